package intake

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/duty"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/record"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
)

// The messages that hand jobs and cancels to a pool's holder.
const (
	// MethodSubmit hands over a job.
	MethodSubmit peer.Method = "job.submit"
	// MethodCancel cancels a job.
	MethodCancel peer.Method = "job.cancel"
)

// SubmitOrder is the message of MethodSubmit.
type SubmitOrder struct {
	Submission joblog.Submission `cbor:"1,keyasint"`
}

// CancelOrder is the message of MethodCancel.
type CancelOrder struct {
	Pool string `cbor:"1,keyasint"`
	ID   job.ID `cbor:"2,keyasint"`
}

// Outcome is what a holder made of an order.
type Outcome uint8

// The outcomes of an order.
const (
	// OutcomeUnsure orders may have been or may yet be logged.
	OutcomeUnsure Outcome = iota
	// OutcomeStored orders are in the log.
	OutcomeStored
	// OutcomeRefused orders are not in the log and never will be.
	OutcomeRefused
	// OutcomeNotHeld means that the daemon cannot take the order.
	OutcomeNotHeld
)

// OrderAnswer is the answer to a SubmitOrder or a CancelOrder.
type OrderAnswer struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Reason says why, for people.
	Reason string `cbor:"2,keyasint,omitempty"`
}

func answerOf(err error) OrderAnswer {
	switch {
	case err == nil:
		return OrderAnswer{Outcome: OutcomeStored}
	case errors.Is(err, scheduler.ErrNotHeld):
		return OrderAnswer{Outcome: OutcomeNotHeld}
	case verdict.Of(err) == verdict.NotRun:
		return OrderAnswer{Outcome: OutcomeRefused, Reason: err.Error()}
	default:
		return OrderAnswer{Outcome: OutcomeUnsure, Reason: err.Error()}
	}
}

// err is the inverse of answerOf.
func (a OrderAnswer) err() error {
	switch a.Outcome {
	case OutcomeStored:
		return nil
	case OutcomeNotHeld:
		return scheduler.ErrNotHeld
	case OutcomeRefused:
		return verdict.NewNotRun(verdict.ReasonNotReady, "%s", a.Reason)
	default:
		return verdict.NewMayHaveRun(verdict.ReasonPeerLost, "%s", a.Reason)
	}
}

const (
	// holderShare is the part of a caller's time in which the holder may
	// answer. The rest is for the way around it.
	holderShare = 0.5
	// holderTimeout bounds that time.
	holderTimeout = 900 * time.Millisecond
)

// registerOrders serves other daemons' orders.
func (s *Service) registerOrders(m peer.Mux) {
	m.Handle(MethodSubmit, func(ctx context.Context, _ string, body cbor.RawMessage) (any, error) {
		var o SubmitOrder
		if err := record.Decode(body, &o); err != nil {
			return nil, err
		}
		return answerOf(s.ownSubmit(ctx, &o.Submission)), nil
	})
	m.Handle(MethodCancel, func(ctx context.Context, _ string, body cbor.RawMessage) (any, error) {
		var o CancelOrder
		if err := record.Decode(body, &o); err != nil {
			return nil, err
		}
		return answerOf(s.ownCancel(ctx, o)), nil
	})
}

func (s *Service) ownSubmit(ctx context.Context, sub *joblog.Submission) error {
	r, ok := s.opt.Local.Runner(sub.Terms.Pool)
	if !ok {
		return scheduler.ErrNotHeld
	}
	return r.Submit(ctx, sub)
}

func (s *Service) ownCancel(ctx context.Context, o CancelOrder) error {
	r, ok := s.opt.Local.Runner(o.Pool)
	if !ok {
		return scheduler.ErrNotHeld
	}
	return r.Cancel(ctx, o.ID)
}

// Submit accepts a job for an entry. Once it returns nil the job is stored and
// will run. The error's verdict tells whether it may run nevertheless.
//
// The pool's holder logs the job with its first plan. When it does not answer,
// the job goes to the intake log, which the next holder reads; having it twice
// is having it once.
func (s *Service) Submit(ctx context.Context, e policy.Entry, version int64, spec job.Spec) error {
	start := s.opt.Clock.Now()
	sub := joblog.Submission{Spec: spec, Terms: e.Terms(version), Accepted: s.opt.Clock.Wall().UnixMilli()}
	err := s.order(ctx, e.Pool, MethodSubmit, SubmitOrder{sub}, func(ctx context.Context) error {
		return s.ownSubmit(ctx, &sub)
	})
	if err != nil && !s.refused(err) {
		err = s.around(ctx, e.Pool, err, func() (logstore.Entry, error) { return joblog.SubmissionEntry(sub) })
	}
	s.metrics.submitted(err)
	s.logOrder("job accepted", "job not accepted", spec.ID, e, start, err)
	return err
}

// Cancel cancels a job. Once it returns nil the cancel is stored.
func (s *Service) Cancel(ctx context.Context, e policy.Entry, id job.ID) error {
	start := s.opt.Clock.Now()
	o := CancelOrder{Pool: e.Pool, ID: id}
	err := s.order(ctx, e.Pool, MethodCancel, o, func(ctx context.Context) error { return s.ownCancel(ctx, o) })
	if err != nil && !s.refused(err) {
		err = s.around(ctx, e.Pool, err, func() (logstore.Entry, error) { return joblog.CancelEntry(id), nil })
	}
	s.metrics.cancelled(err)
	s.logOrder("cancel accepted", "cancel not accepted", id, e, start, err)
	return err
}

// freshLog is how long ago the log may have answered this daemon for it to go
// around a holder that the log does not answer.
const freshLog = 2 * time.Second

// refused reports whether the holder refused an order for good: the log does not
// answer it, and the way around needs the log. An order that is refused has no
// effect at the holder, so it may go around it all the same.
func (s *Service) refused(err error) bool {
	if errors.Is(err, scheduler.ErrNotHeld) || verdict.Of(err) != verdict.NotRun {
		return false
	}
	return s.opt.LogAge() >= freshLog
}

// order hands an order to the pool's holder, which may be this daemon.
func (s *Service) order(ctx context.Context, pool string, m peer.Method, req any, own func(context.Context) error) error {
	c, ok := s.opt.Holders.Holder(duty.OfPool(pool))
	if !ok {
		return scheduler.ErrNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, holderTime(ctx))
	defer cancel()
	if c.Holder == s.opt.Self {
		return own(ctx)
	}
	var a OrderAnswer
	err := s.opt.Caller.Call(ctx, c.Holder.ID(), m, req, &a)
	switch {
	case err == nil:
		return a.err()
	case eris.Is(err, peer.ErrNotSent):
		return scheduler.ErrNotHeld
	default:
		return verdict.NewMayHaveRun(verdict.ReasonPeerLost, "%v", err)
	}
}

func holderTime(ctx context.Context) time.Duration {
	at, ok := ctx.Deadline()
	if !ok {
		return holderTimeout
	}
	return min(holderTimeout, time.Duration(holderShare*float64(time.Until(at))))
}

// around puts an entry into the intake log. before is how the order to the
// holder failed: unless it is certain that it had no effect, neither is it now.
func (s *Service) around(ctx context.Context, pool string, before error, entry func() (logstore.Entry, error)) error {
	e, err := entry()
	if err != nil {
		return verdict.NewNotRun(verdict.ReasonBadRequest, "%v", err)
	}
	s.metrics.around.Inc(1)
	s.opt.Logger.Info().Err(before).Str("key", e.Key).Str("pool", pool).Str("holder", s.holder(pool)).Msg("holder not reached, going to the log")
	err = s.opt.Committer.Append(ctx, joblog.Intake(pool), e)
	noEffect := errors.Is(before, scheduler.ErrNotHeld) || verdict.Of(before) == verdict.NotRun
	if err != nil && !noEffect && verdict.Of(err) == verdict.NotRun {
		return verdict.NewMayHaveRun(verdict.ReasonPeerLost, "%v, and before: %v", err, before)
	}
	return err
}
