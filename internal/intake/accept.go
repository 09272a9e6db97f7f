package intake

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/record"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
)

// The methods that send jobs and cancels to a pool's holder.
const (
	// MethodSubmit submits a job.
	MethodSubmit peer.Method = "job.submit"
	// MethodCancel cancels a job.
	MethodCancel peer.Method = "job.cancel"
)

// SubmitRequest is the request of MethodSubmit.
type SubmitRequest struct {
	Submission joblog.Submission `cbor:"1,keyasint"`
}

// CancelRequest is the request of MethodCancel.
type CancelRequest struct {
	Pool string `cbor:"1,keyasint"`
	ID   job.ID `cbor:"2,keyasint"`
	// By is who cancels the job.
	By job.Requester `cbor:"3,keyasint,omitzero"`
}

// Outcome is the result of a submit or cancel request at a holder.
type Outcome uint8

// The outcomes of a request.
const (
	// OutcomeUnknown means that the request may be in the log or may still get
	// there.
	OutcomeUnknown Outcome = iota
	// OutcomeStored means that the request is in the log.
	OutcomeStored
	// OutcomeRejected means that the request is not in the log and never will
	// be.
	OutcomeRejected
	// OutcomeNotHeld means that the daemon does not hold the pool.
	OutcomeNotHeld
	// OutcomeUnknownJob means that the daemon holds the pool and knows no such job.
	OutcomeUnknownJob
	// OutcomeMoved means that a newer configuration than that of the request sends the
	// entry's jobs to another pool. The request had no effect.
	OutcomeMoved
	// OutcomeOtherCustomer means that the job belongs to another customer. The request had
	// no effect.
	OutcomeOtherCustomer
	// OutcomeExcess means that the customer submits more than it is entitled to and that the
	// job would be late. The request had no effect.
	OutcomeExcess
)

// HolderResponse is the response to a SubmitRequest or a CancelRequest.
type HolderResponse struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Reason describes the error, unless the request was stored.
	Reason string `cbor:"2,keyasint,omitempty"`
	// Lag is that of an UnknownJobError.
	Lag time.Duration `cbor:"3,keyasint,omitempty"`
	// RetryAfter is when the caller should come back, if the job is rejected as excess.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Version is that of an UnknownJobError.
	Version int64 `cbor:"5,keyasint,omitempty"`
}

// errMoved is the rejection of a job for a pool that does not serve its entry any more.
var errMoved = verdict.NewNotRun(verdict.ReasonNotReady, "another pool serves the entry since")

// responseFor returns the response that carries the error of a local request.
func responseFor(err error) HolderResponse {
	var unknown *scheduler.UnknownJobError
	switch {
	case err == nil:
		return HolderResponse{Outcome: OutcomeStored}
	case errors.As(err, &unknown):
		return HolderResponse{Outcome: OutcomeUnknownJob, Lag: unknown.Lag, Version: unknown.Version}
	case errors.Is(err, errMoved):
		return HolderResponse{Outcome: OutcomeMoved}
	case errors.Is(err, scheduler.ErrOtherCustomer):
		return HolderResponse{Outcome: OutcomeOtherCustomer}
	case errors.Is(err, scheduler.ErrPoolNotHeld):
		return HolderResponse{Outcome: OutcomeNotHeld}
	case verdict.ReasonOf(err) == verdict.ReasonQuota:
		return HolderResponse{Outcome: OutcomeExcess, Reason: err.Error(), RetryAfter: verdict.RetryAfter(err)}
	case verdict.Of(err) == verdict.NotRun:
		return HolderResponse{Outcome: OutcomeRejected, Reason: err.Error()}
	default:
		return HolderResponse{Outcome: OutcomeUnknown, Reason: err.Error()}
	}
}

// toError is the inverse of responseFor.
func (r HolderResponse) toError() error {
	switch r.Outcome {
	case OutcomeStored:
		return nil
	case OutcomeNotHeld:
		return scheduler.ErrPoolNotHeld
	case OutcomeUnknownJob:
		return &scheduler.UnknownJobError{Lag: r.Lag, Version: r.Version}
	case OutcomeMoved:
		return errMoved
	case OutcomeOtherCustomer:
		return scheduler.ErrOtherCustomer
	case OutcomeExcess:
		err := verdict.NewNotRun(verdict.ReasonQuota, "%s", r.Reason)
		err.RetryAfter = r.RetryAfter
		return err
	case OutcomeRejected:
		return verdict.NewNotRun(verdict.ReasonNotReady, "%s", r.Reason)
	default:
		return verdict.NewMayHaveRun(verdict.ReasonPeerLost, "%s", r.Reason)
	}
}

// registerSubmitAndCancel registers the handlers for submit and cancel requests
// of other daemons.
func (s *Service) registerSubmitAndCancel(m peer.Mux) {
	m.Handle(MethodSubmit, func(ctx context.Context, _ string, body cbor.RawMessage) (any, error) {
		var req SubmitRequest
		if err := record.Decode(body, &req); err != nil {
			return nil, err
		}
		return responseFor(s.submitLocally(ctx, &req.Submission)), nil
	})
	m.Handle(MethodCancel, func(ctx context.Context, _ string, body cbor.RawMessage) (any, error) {
		var req CancelRequest
		if err := record.Decode(body, &req); err != nil {
			return nil, err
		}
		return responseFor(s.cancelLocally(ctx, req)), nil
	})
}

// checkSize returns an error with the verdict not-run if the log does not take a job. Once
// accepted, it would keep the jobs after it from being logged.
func (s *Service) checkSize(sub *joblog.Submission) error {
	if err := joblog.CheckSubmission(sub, s.opt.Log.Limits()); err != nil {
		return verdict.NewNotRun(verdict.ReasonBadRequest, "%v", err)
	}
	return nil
}

// submitLocally submits a job to the pool's runner in this daemon.
func (s *Service) submitLocally(ctx context.Context, sub *joblog.Submission) error {
	r, held := s.opt.Local.Runner(sub.Terms.Pool)
	if s.hasMoved(&sub.Terms) {
		return joinMoved(ctx, r, held, sub)
	}
	if !held {
		return scheduler.ErrPoolNotHeld
	}
	if err := s.checkSize(sub); err != nil {
		return err
	}
	if err := s.ensureServed(ctx, &sub.Terms); err != nil {
		return err
	}
	return r.Submit(ctx, sub)
}

// joinMoved returns the outcome of a submission to a pool that does not serve its requests any
// more. It is accepted only if the pool has accepted the job already, or was about to.
func joinMoved(ctx context.Context, r *scheduler.Runner, held bool, sub *joblog.Submission) error {
	if !held {
		return errMoved
	}
	known, err := r.Join(ctx, sub.Spec.ID, sub.Terms.Requester())
	if !known || verdict.Of(err) == verdict.NotRun {
		return errMoved
	}
	return err
}

// ensureServed returns once the log tells that the pool of a job may have accepted jobs
// through its requests. Without that, daemons that start after the requests were sent
// elsewhere would not ask the pool.
func (s *Service) ensureServed(ctx context.Context, t *job.Terms) error {
	return s.opt.Served.Ensure(ctx, policy.Served{Selector: t.Selector, Pool: t.Pool})
}

// cancelLocally cancels a job at the pool's runner in this daemon.
func (s *Service) cancelLocally(ctx context.Context, req CancelRequest) error {
	r, ok := s.opt.Local.Runner(req.Pool)
	if !ok {
		return scheduler.ErrPoolNotHeld
	}
	err := r.Cancel(ctx, req.ID, req.By)
	var unknown *scheduler.UnknownJobError
	if errors.As(err, &unknown) {
		unknown.Version = s.policyVersion()
	}
	return err
}

// Submit accepts a job for an entry. Once it returns nil, the job is stored and
// will run. Otherwise the error's verdict tells whether the job may still run. It is
// scheduler.ErrOtherCustomer if the ID belongs to a job that the requester may not access.
//
// The pool's holder logs the job together with its first plan for the job. When
// the holder does not answer, the job is appended to the intake log, from which
// the next holder reads it. A job that is stored in both ways runs only once.
func (s *Service) Submit(ctx context.Context, e policy.Entry, by job.Requester, version int64, spec job.Spec) error {
	start := s.opt.Clock.Now()
	err := s.submit(ctx, e, by, version, spec)
	s.metrics.countSubmission(err)
	s.logOutcome("job accepted", "job not accepted", spec.ID, e, by, start, err)
	return err
}

// submit does what Submit does, without logging the outcome.
func (s *Service) submit(ctx context.Context, e policy.Entry, by job.Requester, version int64, spec job.Spec) error {
	sub := joblog.Submission{Spec: spec, Terms: e.Terms(version), AcceptedAt: s.opt.Clock.Wall().UnixMilli()}
	sub.Terms.Customer = by.Customer
	if err := s.checkSize(&sub); err != nil {
		return err
	}
	accepted, err := s.acceptedEarlier(ctx, e, by, spec.ID)
	if accepted || err != nil {
		return err
	}
	err = s.sendToHolder(ctx, e.Pool, MethodSubmit, SubmitRequest{sub}, func(ctx context.Context) error {
		return s.submitLocally(ctx, &sub)
	})
	if err != nil && !s.finallyRejected(err) {
		err = s.storeSubmission(ctx, &sub, err)
	}
	return err
}

// storeSubmission stores a job in its pool's intake after the holder did not accept it, with
// the error holderErr.
func (s *Service) storeSubmission(ctx context.Context, sub *joblog.Submission, holderErr error) error {
	if err := s.ensureServed(ctx, &sub.Terms); err != nil {
		return notStored(holderErr, err)
	}
	return s.appendToIntakeLog(ctx, sub.Terms.Pool, sub.Spec.ID, holderErr, func() (logstore.Entry, error) { return joblog.IntakeSubmissionEntry(*sub) })
}

// hadNoEffect reports whether a request certainly had no effect at the holder that answered
// with an error, or was not reached.
func hadNoEffect(holderErr error) bool {
	return errors.Is(holderErr, scheduler.ErrPoolNotHeld) || isUnknownJob(holderErr) || verdict.Of(holderErr) == verdict.NotRun
}

// notStored returns the error of a request that was certainly not stored in the intake,
// because of err, after the holder had answered with holderErr.
func notStored(holderErr, err error) error {
	if hadNoEffect(holderErr) {
		return err
	}
	return verdict.NewMayHaveRun(verdict.ReasonPeerLost, "%v, and before: %v", err, holderErr)
}

// maxLogAge is how long the log may not have answered this daemon for it to append
// to the intake log. Blocking reads of the log answer within less time.
const maxLogAge = 1200 * time.Millisecond

// finallyRejected reports whether a rejection by the holder is final. The holder
// rejects a request when the log does not answer it, and the alternative, an append
// to the intake log, needs the log too. It is tried only if the log has answered
// this daemon lately. That is safe, because a rejected request has no effect at the
// holder.
func (s *Service) finallyRejected(err error) bool {
	switch reason := verdict.ReasonOf(err); {
	case errors.Is(err, errMoved), errors.Is(err, scheduler.ErrOtherCustomer):
		return true
	case reason == verdict.ReasonQuota, reason == verdict.ReasonBadRequest:
		return true
	}
	if errors.Is(err, scheduler.ErrPoolNotHeld) || verdict.Of(err) != verdict.NotRun {
		return false
	}
	return s.opt.LogAge() >= maxLogAge
}

// sendToHolder sends a request to the pool's holder.
func (s *Service) sendToHolder(ctx context.Context, pool string, m peer.Method, req any, local func(context.Context) error) error {
	resp := HolderResponse{Outcome: OutcomeStored}
	if err := s.callHolder(ctx, pool, m, req, &resp, local); err != nil {
		return err
	}
	return resp.toError()
}

// appendToIntakeLog appends an entry to the intake log after the request to the
// holder failed with holderErr. It returns the verdict not-run only if the request
// certainly had no effect at the holder either.
func (s *Service) appendToIntakeLog(ctx context.Context, pool string, id job.ID, holderErr error, entry func() (logstore.Entry, error)) error {
	noEffect := hadNoEffect(holderErr)
	if age := s.opt.LogAge(); age >= maxLogAge && noEffect {
		return notStorable(age)
	}
	e, err := entry()
	if err != nil {
		return verdict.NewNotRun(verdict.ReasonBadRequest, "%v", err)
	}
	s.metrics.viaLog.Inc(1)
	s.opt.Logger.Info().Err(holderErr).Str("key", e.Key).Str("pool", pool).Str("holder", s.holderLabel(pool)).Msg("request to the holder failed, appending to the intake log")
	err = s.opt.Committer.Append(ctx, joblog.IntakePartition(pool, id), e)
	if verdict.Of(err) == verdict.NotRun {
		return notStored(holderErr, err)
	}
	return err
}

const (
	// minRetryAfter is when a caller should come back after a rejection, and
	// longOutage how long the log must not have answered for a later return to be
	// asked for. Returns are spread over retrySpread, so that they do not all come
	// at once when the log answers again.
	minRetryAfter = time.Second
	longOutage    = 2500 * time.Millisecond
	retrySpread   = 2 * time.Second
)

// notStorable returns the rejection of a request that can be stored nowhere: the
// pool's holder was not asked or rejected it, and the log has not answered for age.
func notStorable(age time.Duration) error {
	err := verdict.NewNotRun(verdict.ReasonNotReady, "the pool's holder is not reached and the log has not answered for %v", age.Round(time.Millisecond))
	err.RetryAfter = minRetryAfter
	if age >= longOutage {
		err.RetryAfter += rand.N(retrySpread)
	}
	return err
}
