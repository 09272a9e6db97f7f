package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/stage"
	"greengagedeck/internal/verdict"
)

// maxAppendTime is how long an append may take before further jobs are
// rejected: the log is down then, and the outcome of a submission would stay
// unknown.
const maxAppendTime = 700 * time.Millisecond

// ErrPoolNotHeld means that this daemon does not hold the pool, or has not taken it
// over yet.
var ErrPoolNotHeld = eris.New("the pool is not held here")

// ErrOtherCustomer means that a job belongs to a customer other than that of a request,
// which had no effect.
var ErrOtherCustomer = verdict.NewNotRun(verdict.ReasonDuplicate, "the job belongs to another customer")

// errPoolPassed means that what was waited for may be in the log: another daemon holds the
// pool and knows.
var errPoolPassed = verdict.NewMayHaveRun(verdict.ReasonPeerLost, "the pool has passed to another daemon")

// accessible reports whether a requester may access a job. Any may, if it is not known.
func (c *Core) accessible(id job.ID, by job.Requester) bool {
	owner, known := c.Owner(id)
	return !known || by.MayAccess(owner)
}

// Submit accepts a job. Once it returns nil the log holds the job. Errors other
// than ErrPoolNotHeld carry a verdict. It returns ErrOtherCustomer if the ID belongs to a
// job of another customer. An excess job that would not meet its objective is rejected.
func (r *Runner) Submit(ctx context.Context, s *joblog.Submission) error {
	if known, err := r.Join(ctx, s.Spec.ID, s.Terms.Requester()); known {
		return err
	}
	if err := r.checkAccepting(); err != nil {
		return err
	}
	if err := r.awaitAccess(ctx, s.Spec.ID, s.Terms.Requester()); err != nil {
		if errors.Is(err, errPoolPassed) {
			return ErrPoolNotHeld
		}
		return ErrOtherCustomer
	}
	var version int
	var rejection error
	r.update(stage.Submit, func(t Times) {
		if !r.core.accessible(s.Spec.ID, s.Terms.Requester()) {
			rejection = ErrOtherCustomer
			return
		}
		if rejection = r.rejectExcess(s, t); rejection == nil {
			version = r.core.Submit(s, t)
		}
	})
	if rejection != nil {
		return rejection
	}
	err := r.awaitLogged(ctx, s.Spec.ID, version)
	if err == nil || verdict.Of(err) == verdict.NotRun {
		return err
	}
	if r.withdraw(s.Spec.ID) {
		return errTakenBack
	}
	return err
}

// Join waits until the log holds a job that was submitted here before. It returns known false
// if no job is known here that the requester may access. Unlike Submit it adds none. An error
// with the verdict not-run means that the job was taken back.
func (r *Runner) Join(ctx context.Context, id job.ID, by job.Requester) (known bool, err error) {
	r.mu.Lock()
	known = r.ready && !r.core.fenced && r.core.accessible(id, by) && r.core.hasSubmission(id)
	version := r.core.unstoredVersion(id)
	r.mu.Unlock()
	if !known || version == 0 {
		return known, nil
	}
	return true, r.awaitLogged(ctx, id, version)
}

// awaitAccess waits while a job of another customer is known here that the log may not hold yet.
// It returns ErrOtherCustomer once the log holds it, and another error if that is not decided
// in time.
func (r *Runner) awaitAccess(ctx context.Context, id job.ID, by job.Requester) error {
	for {
		r.mu.Lock()
		accessible, version := r.core.accessible(id, by), r.core.unstoredVersion(id)
		r.mu.Unlock()
		switch {
		case accessible:
			return nil
		case version == 0:
			return ErrOtherCustomer
		}
		if err := r.awaitLogged(ctx, id, version); err != nil && verdict.Of(err) != verdict.NotRun {
			return err
		}
	}
}

// UnknownJobError means that the holder of a pool knows of no job with an ID.
type UnknownJobError struct {
	// Lag is how long ago the holder last knew of every submission.
	Lag time.Duration
	// Version is that of the configuration at the holder, or 0 if it is not known.
	Version int64
}

// Error implements error.
func (e *UnknownJobError) Error() string {
	return fmt.Sprintf("the pool has no such job, as of %v ago", e.Lag)
}

// Cancel cancels a job. It returns an *UnknownJobError when the job is not known here, and
// ErrOtherCustomer when the requester may not access it.
func (r *Runner) Cancel(ctx context.Context, id job.ID, by job.Requester) error {
	if err := r.checkAccepting(); err != nil {
		return err
	}
	if err := r.awaitAccess(ctx, id, by); err != nil && !errors.Is(err, ErrOtherCustomer) {
		return verdict.NewNotRun(verdict.ReasonNotReady, "it is not known yet whose job it is: %v", err)
	}
	version, known, foreign := 0, false, false
	r.update(stage.Submit, func(t Times) {
		if foreign = !r.core.accessible(id, by); !foreign {
			version, known = r.core.Cancel(id, t)
		}
	})
	switch {
	case foreign:
		return ErrOtherCustomer
	case !known:
		r.mu.Lock()
		defer r.mu.Unlock()
		return &UnknownJobError{Lag: r.opt.Clock.Now() - r.submissionsKnownUpTo()}
	}
	return r.awaitLogged(ctx, id, version)
}

// checkAccepting returns an error when nothing can be accepted now.
func (r *Runner) checkAccepting() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready || r.core.fenced {
		return ErrPoolNotHeld
	}
	if r.appendStarted > 0 && r.opt.Clock.Now()-r.appendStarted > maxAppendTime {
		return verdict.NewNotRun(verdict.ReasonNotReady, "the log does not answer")
	}
	return nil
}

// awaitLogged waits until a version of a job is logged. An error with the verdict not-run means
// that the job was taken back.
func (r *Runner) awaitLogged(ctx context.Context, id job.ID, version int) error {
	r.mu.Lock()
	if r.core.Logged(id, version) {
		r.mu.Unlock()
		return nil
	}
	w := r.logWaiters.add(id, version)
	r.mu.Unlock()
	select {
	case err := <-w.outcome:
		return err
	case <-r.ended:
		return errPoolPassed
	case <-ctx.Done():
		r.mu.Lock()
		defer r.mu.Unlock()
		r.logWaiters.remove(id, w)
		return verdict.NewMayHaveRun(verdict.ReasonDeadline, "the log did not answer in time")
	}
}
