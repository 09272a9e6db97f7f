package scheduler

import (
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/stage"
)

// JobStatus is what the holder knows of a job.
type JobStatus struct {
	Phase job.Phase
	// Known is set if the holder knows the job, and Stored if the log holds it too. Only such
	// a job is accepted: another one may still be taken back, or be lost with the holder.
	Known, Stored bool
	// Owner tells whose job it is, if it is known.
	Owner job.Owner
	// KnownUpTo is a moment up to which the holder knows every submission, and
	// Now is the moment of the lookup, both by the holder's clock.
	KnownUpTo, Now time.Duration
}

// Lookup returns the status of a job, or false before the pool is taken over.
func (r *Runner) Lookup(id job.ID) (JobStatus, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready {
		return JobStatus{}, false
	}
	status := JobStatus{KnownUpTo: r.submissionsKnownUpTo(), Now: r.opt.Clock.Now()}
	status.Phase, status.Known = r.core.Lookup(id)
	status.Stored = status.Known && !r.core.unstored(id)
	status.Owner, _ = r.core.Owner(id)
	return status, true
}

// QueuedJobs returns how many jobs that were submitted through the selected requests of an
// entry have started no task, or false before the pool is taken over.
func (r *Runner) QueuedJobs(entry string, s job.Selector) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.QueuedJobs(entry, s), r.ready
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

// CordonChange makes a worker take no new tasks, or take them again.
type CordonChange struct {
	Worker   string
	Uncordon bool
	Reason   string
	Evacuate bool
}

// ChangeCordons cordons and uncordons workers.
func (r *Runner) ChangeCordons(changes []CordonChange) {
	r.update(stage.List, func(Times) {
		for _, c := range changes {
			if c.Uncordon {
				r.core.Uncordon(c.Worker)
			} else {
				r.core.Cordon(c.Worker, c.Reason, c.Evacuate)
			}
		}
	})
}
