package scheduler

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/verdict"
)

// stallLimit is how long an append may take before further jobs are refused:
// the log is down, and what is taken in would have no certain end.
const stallLimit = 700 * time.Millisecond

// ErrNotHeld means that the pool is not held by this daemon, or not yet.
var ErrNotHeld = eris.New("the pool is not held here")

// Submit accepts a job. Once it returns nil the log holds the job. Other errors
// than ErrNotHeld carry a verdict.
func (r *Runner) Submit(ctx context.Context, s *joblog.Submission) error {
	if err := r.admit(); err != nil {
		return err
	}
	var version int
	r.update(func(t Times) { version = r.core.Submit(s, t) })
	err := r.await(ctx, s.Spec.ID, version)
	if err == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core.Withdraw(s.Spec.ID) {
		return verdict.Refuse(verdict.ReasonDeadline, "the log did not answer in time")
	}
	return err
}

// Cancel cancels a job. It returns ErrNotHeld when the job is not known here.
func (r *Runner) Cancel(ctx context.Context, id job.ID) error {
	if err := r.admit(); err != nil {
		return err
	}
	version, known := 0, false
	r.update(func(t Times) { version, known = r.core.Cancel(id, t) })
	if !known {
		return ErrNotHeld
	}
	return r.await(ctx, id, version)
}

// admit reports why nothing can be accepted now.
func (r *Runner) admit() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready || r.core.fenced {
		return ErrNotHeld
	}
	if r.appending > 0 && r.opt.Clock.Now()-r.appending > stallLimit {
		return verdict.Refuse(verdict.ReasonNotReady, "the log does not answer")
	}
	return nil
}

// await waits until a version of a job is logged.
func (r *Runner) await(ctx context.Context, id job.ID, version int) error {
	r.mu.Lock()
	if r.core.Logged(id, version) {
		r.mu.Unlock()
		return nil
	}
	w := waiter{version: version, done: make(chan struct{})}
	r.waiters[id] = append(r.waiters[id], w)
	r.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-r.ended:
		return verdict.Unsure(verdict.ReasonPeerLost, "the pool has passed to another daemon")
	case <-ctx.Done():
		return verdict.Unsure(verdict.ReasonDeadline, "the log did not answer in time")
	}
}
