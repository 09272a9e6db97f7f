// Package intake serves callers' requests about jobs on every daemon: it submits
// and cancels jobs and returns their state, whichever daemon holds the pool.
package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"greengagedeck/internal/clock"
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

// The methods that query a pool's holder.
const (
	// MethodState asks a pool's holder for the state of a job.
	MethodState peer.Method = "job.state"
	// MethodQueuedJobs asks a pool's holder how many jobs of an entry have
	// started no task.
	MethodQueuedJobs peer.Method = "job.waiting"
)

// StateRequest is the request of MethodState.
type StateRequest struct {
	Pool string `cbor:"1,keyasint"`
	ID   job.ID `cbor:"2,keyasint"`
	// By is who asks.
	By job.Requester `cbor:"3,keyasint,omitzero"`
}

// StateResponse is the response to a StateRequest.
type StateResponse struct {
	// Held is set when the daemon holds the pool. Otherwise the other fields are
	// empty.
	Held  bool      `cbor:"1,keyasint,omitempty"`
	Known bool      `cbor:"2,keyasint,omitempty"`
	Phase job.Phase `cbor:"3,keyasint,omitempty"`
	// Lag is the age of the holder's view of submissions.
	Lag time.Duration `cbor:"4,keyasint,omitempty"`
	// OtherCustomers is set if the job is known and belongs to another customer than the
	// requester. Known is not set then.
	OtherCustomers bool `cbor:"5,keyasint,omitempty"`
	// Version is that of the configuration at the holder, if the job is not known.
	Version int64 `cbor:"6,keyasint,omitempty"`
	// Undecided is set if the job was submitted to the holder and the log may not hold it yet:
	// it is not accepted, and may still be. Neither Known nor Held is set then. Daemons of an
	// earlier release, which do not know the field, ask again as well.
	Undecided bool `cbor:"7,keyasint,omitempty"`
}

const (
	// queryTimeout limits one query to a holder.
	queryTimeout = 400 * time.Millisecond
	// queryRetry is the wait before a query that was not answered is repeated:
	// another daemon may hold the pool by then.
	queryRetry = 100 * time.Millisecond
	// queryLimit limits how long a caller waits for an answer while no daemon
	// answers for the pool.
	queryLimit = time.Second
	// maxLag is the lag from which on a holder's answer that a job is unknown is
	// not trusted.
	maxLag = 2500 * time.Millisecond
	// logLookupsPerSecond limits the rate of lookups in the log by all daemons
	// together: each reads pages of up to a megabyte, and without a holder all
	// daemons look jobs up at the same time.
	logLookupsPerSecond = 4
)

// ErrUnknownJob means that no daemon accepted the job, or that the requester may not
// access it.
var ErrUnknownJob = eris.New("unknown job")

// ErrOtherCustomer means that the ID of a submitted job belongs to a job of another
// customer.
var ErrOtherCustomer = scheduler.ErrOtherCustomer

// Holders returns which daemon holds a pool.
type Holders interface {
	Holder(n duty.Name) (duty.Claim, bool)
}

// ServedPools keeps in the log which pools may have accepted jobs through which requests.
type ServedPools interface {
	// Ensure returns once the log holds it of a pool.
	Ensure(ctx context.Context, s policy.Served) error
	// Await returns once the log has been read since a moment, or at all.
	Await(ctx context.Context, since time.Time) error
}

// LocalRunners returns the runners of the pools that this daemon holds.
type LocalRunners interface {
	Runner(pool string) (*scheduler.Runner, bool)
}

// Options configure a Service.
type Options struct {
	Self      duty.Member
	Policy    *policy.Current
	Committer *joblog.Committer
	Log       logstore.Log
	Holders   Holders
	Local     LocalRunners
	Served    ServedPools
	Caller    peer.Caller
	// LogAge returns how long ago the log last answered this daemon.
	LogAge func() time.Duration
	// Daemons returns how many daemons are live.
	Daemons func() int
	Clock   clock.Clock
	Logger  zerolog.Logger
	Scope   tally.Scope
}

// Service submits, cancels and looks up jobs for callers.
type Service struct {
	opt              Options
	metrics          metrics
	logLookupLimiter *rate.Limiter
	holders          *holderTracker
}

// NewService returns a service.
func NewService(o Options) *Service {
	s := &Service{opt: o, metrics: newMetrics(o.Scope), logLookupLimiter: rate.NewLimiter(0, 1), holders: newHolderTracker()}
	// A new limiter has a lookup to spare, and all daemons may start at once.
	s.logLookupLimiter.Allow()
	return s
}

// Register registers the handlers for requests of other daemons.
func (s *Service) Register(m peer.Mux) {
	s.registerSubmitAndCancel(m)
	m.Handle(MethodState, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q StateRequest
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		return s.localState(q), nil
	})
	m.Handle(MethodQueuedJobs, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q QueuedJobsRequest
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		return s.localQueuedJobs(q), nil
	})
}

func (s *Service) localState(q StateRequest) StateResponse {
	r, ok := s.opt.Local.Runner(q.Pool)
	if !ok {
		return StateResponse{}
	}
	a, ok := r.Lookup(q.ID)
	if !ok {
		return StateResponse{}
	}
	if a.Known && !a.Stored {
		return StateResponse{Undecided: true}
	}
	resp := StateResponse{Held: true, Lag: a.Now - a.KnownUpTo}
	switch {
	case a.Known && !q.By.MayAccess(a.Owner):
		resp.OtherCustomers = true
	case a.Known:
		resp.Known, resp.Phase = true, a.Phase
	default:
		resp.Version = s.policyVersion()
	}
	return resp
}

// logOutcome logs and times the outcome of a caller's submit or cancel request.
func (s *Service) logOutcome(done, failed string, id job.ID, e policy.Entry, by job.Requester, start time.Duration, err error) {
	line := s.opt.Logger.Info()
	msg := done
	switch {
	case errors.Is(err, ErrUnknownJob):
		line, msg = line.Err(err), failed
	case err != nil:
		line = s.opt.Logger.Warn().Err(err).Stringer("verdict", verdict.Of(err))
		msg = failed
	}
	took := s.opt.Clock.Now() - start
	s.metrics.requestTime.RecordDuration(took)
	if by.Customer != "" {
		line = line.Str("customer", string(by.Customer))
	}
	line.Str("job", string(id)).Str("entry", e.Name).Str("pool", e.Pool).Str("holder", s.holderLabel(e.Pool)).Dur("took", took).Msg(msg)
}

// holderLabel returns the pool's holder and its token, as known to this daemon,
// for log lines.
func (s *Service) holderLabel(pool string) string {
	c, ok := s.opt.Holders.Holder(duty.OfPool(pool))
	if !ok {
		return "none"
	}
	return fmt.Sprintf("%s/%d", c.Holder.ID(), c.Token)
}

// State returns the phase of a job. The error is ErrUnknownJob when no daemon
// accepted the job or the requester may not access it, and another one when that is not
// known at present.
func (s *Service) State(ctx context.Context, e policy.Entry, by job.Requester, id job.ID) (job.Phase, error) {
	ctx, cancel := context.WithTimeout(ctx, queryLimit)
	defer cancel()
	for {
		a, err := s.queryState(ctx, e.Pool, by, id)
		if err == nil && a.Known {
			return a.Phase, nil
		}
		if err == nil && a.Lag < maxLag && a.Version <= s.policyVersion() {
			return s.findInOtherPools(ctx, e.Pool, by, id)
		}
		if phase, ok := s.findInLog(ctx, e.Pool, by, id); ok {
			return phase, nil
		}
		if !clock.Sleep(ctx, queryRetry) {
			s.metrics.unanswered.Inc(1)
			return 0, notTold(e.Pool, err)
		}
	}
}

// findInOtherPools looks for a job in all pools but one. The job's entry may have
// referred to another pool when the job was accepted.
func (s *Service) findInOtherPools(ctx context.Context, exclude string, by job.Requester, id job.ID) (job.Phase, error) {
	pools := s.otherPools(exclude)
	answers := make([]StateResponse, len(pools))
	errs := make([]error, len(pools))
	var wg sync.WaitGroup
	for i, p := range pools {
		wg.Go(func() { answers[i], errs[i] = s.queryState(ctx, p, by, id) })
	}
	wg.Wait()
	for i, a := range answers {
		if errs[i] == nil && a.Known {
			return a.Phase, nil
		}
	}
	for i, a := range answers {
		if a.Version > s.policyVersion() {
			return 0, errOlderConfiguration
		}
		if errs[i] != nil || a.Lag >= maxLag {
			return 0, notTold(pools[i], errs[i])
		}
	}
	return 0, ErrUnknownJob
}

// notTold returns the rejection of a query for a job that a pool's holder did not answer, with
// the error err, or answered as of too long ago.
func notTold(pool string, err error) error {
	if errors.Is(err, errUndecided) {
		return verdict.NewNotRun(verdict.ReasonNotReady, "pool %s: %v", pool, err)
	}
	return verdict.NewNotRun(verdict.ReasonNotReady, "nobody answers for pool %s", pool)
}

// errPoolNotHeld means that a query was not answered because the pool has no
// known holder, or because the daemon that got the query does not hold it.
var errPoolNotHeld = eris.New("the pool is not held there")

// errUndecided means that a job was submitted to the pool's holder and that the log may not
// hold it yet.
var errUndecided = eris.New("the log may not hold the job yet")

// queryState queries the pool's holder for the state of a job.
func (s *Service) queryState(ctx context.Context, pool string, by job.Requester, id job.ID) (StateResponse, error) {
	q := StateRequest{Pool: pool, ID: id, By: by}
	var a StateResponse
	err := s.queryHolder(ctx, pool, MethodState, q, &a, func() { a = s.localState(q) })
	switch {
	case err != nil:
		return a, err
	case a.Undecided:
		s.metrics.undecided.Inc(1)
		return a, errUndecided
	case !a.Held:
		return a, errPoolNotHeld
	default:
		return a, nil
	}
}

// queryHolder sends a query q to a pool's holder and stores the answer in a. When
// this daemon is the holder, it calls local instead.
func (s *Service) queryHolder(ctx context.Context, pool string, m peer.Method, q, a any, local func()) error {
	c, ok := s.opt.Holders.Holder(duty.OfPool(pool))
	if !ok {
		return errPoolNotHeld
	}
	if c.Holder == s.opt.Self {
		local()
		return nil
	}
	if _, ask := s.holders.timeLimit(c.Holder.ID(), s.opt.Clock.Now()); !ask {
		return errPoolNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return s.opt.Caller.Call(ctx, c.Holder.ID(), m, q, a)
}

// findInLog reads a job's phase from the log. It returns false when it finds no
// record: that a record is absent at one moment does not prove that the job is
// unknown.
func (s *Service) findInLog(ctx context.Context, pool string, by job.Requester, id job.ID) (job.Phase, bool) {
	s.logLookupLimiter.SetLimit(rate.Limit(logLookupsPerSecond / float64(max(1, s.opt.Daemons()))))
	if !s.logLookupLimiter.Allow() {
		return 0, false
	}
	phase, err := joblog.FindPhase(ctx, s.opt.Log, pool, id, by)
	if err != nil {
		if !errors.Is(err, joblog.ErrNotFound) {
			s.opt.Logger.Debug().Err(err).Str("job", string(id)).Msg("looking up the job in the log failed")
		}
		return 0, false
	}
	s.metrics.logLookups.Inc(1)
	return phase, true
}
