package scheduler

import (
	"time"

	"greengagedeck/internal/job"
)

// Answer is what the holder says of a job.
type Answer struct {
	Phase job.Phase
	Known bool
	// Current is a moment up to which the holder knows every submission, by
	// its clock, and Now the present.
	Current, Now time.Duration
}

// Lookup returns what is known of a job, or false before the pool is taken over.
func (r *Runner) Lookup(id job.ID) (Answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready {
		return Answer{}, false
	}
	a := Answer{Current: r.confirmed, Now: r.opt.Clock.Now()}
	a.Phase, a.Known = r.core.Lookup(id)
	return a, true
}

// Waiting returns how many jobs of an entry have started no task, or false
// before the pool is taken over.
func (r *Runner) Waiting(entry string) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Waiting(entry), r.ready
}

// Report describes the pool, or returns false before it is taken over.
func (r *Runner) Report(lead time.Duration) (Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready {
		return Report{}, false
	}
	return r.core.Report(r.opt.Clock.Now(), lead), true
}

// Close has workers take no new tasks.
func (r *Runner) Close(ids []string, reason string, evacuate bool) {
	r.update(func(Times) {
		for _, id := range ids {
			r.core.Close(id, reason, evacuate)
		}
	})
}

// Open has closed workers take tasks again.
func (r *Runner) Open(ids []string) {
	r.update(func(Times) {
		for _, id := range ids {
			r.core.Open(id)
		}
	})
}
