package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"greengagedeck/internal/verdict"
)

// poolQueue is a Scheduler with its lock.
type poolQueue struct {
	name string

	mu    sync.Mutex
	sched *Scheduler
}

func newPoolQueue(name string, cfg SchedulerConfig) *poolQueue {
	return &poolQueue{name: name, sched: NewScheduler(cfg)}
}

// acquire waits until the job gets a slot, which release gives back. An error
// is a refusal: the job has not started.
func (p *poolQueue) acquire(ctx context.Context, j *Job) (Start, error) {
	granted := make(chan Start, 1)
	j.Granted = func(s Start) { granted <- s }
	if err := p.offer(j); err != nil {
		return Start{}, err
	}
	select {
	case s := <-granted:
		return settle(s)
	case <-ctx.Done():
	}
	if p.cancel(j) {
		return Start{}, contextError(ctx)
	}
	// The decision came first; a slot that was given is given back.
	s := <-granted
	if s.Refusal != nil {
		return Start{}, s.Refusal
	}
	p.release(j, false)
	return Start{}, contextError(ctx)
}

func settle(s Start) (Start, error) {
	if s.Refusal != nil {
		return Start{}, s.Refusal
	}
	return s, nil
}

func (p *poolQueue) offer(j *Job) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if len(p.sched.hosts) == 0 {
		return verdict.Refuse(verdict.ReasonNoTarget, "no host of %s takes requests", p.name)
	}
	if err := p.sched.Offer(now, j); err != nil {
		return err
	}
	p.pump(now)
	return nil
}

func (p *poolQueue) cancel(j *Job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.Cancel(j)
}

// release gives a slot back; ran tells whether the host ran the job.
func (p *poolQueue) release(j *Job, ran bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.sched.Finish(now, j, ran)
	p.pump(now)
}

func (p *poolQueue) tick(now time.Time, targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.SetTargets(targets)
	p.sched.Tick(now)
	p.pump(now)
}

// pump hands out every decision that can be made now. Granted must not block.
func (p *poolQueue) pump(now time.Time) {
	for {
		s, ok := p.sched.Next(now)
		if !ok {
			return
		}
		s.Job.Granted(s)
	}
}

// splitSlots returns self's part of a host's slots when the daemons of a zone
// divide them evenly. The remainder goes to other daemons from host to host.
func splitSlots(slots, host int, daemons []string, self string) int {
	n := len(daemons)
	sorted := slices.Sorted(slices.Values(daemons))
	rank := slices.Index(sorted, self)
	if rank < 0 {
		return 0
	}
	part := slots / n
	if (rank+host)%n < slots%n {
		part++
	}
	return part
}
