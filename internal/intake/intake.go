// Package intake accepts, cancels and answers for jobs on every daemon,
// whoever holds their pool.
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

// The messages between daemons.
const (
	// MethodState asks a pool's holder for the state of a job.
	MethodState peer.Method = "job.state"
	// MethodWaiting asks a pool's holder how many jobs of an entry wait.
	MethodWaiting peer.Method = "job.waiting"
)

// StateQuery is the message of MethodState.
type StateQuery struct {
	Pool string `cbor:"1,keyasint"`
	ID   job.ID `cbor:"2,keyasint"`
}

// StateAnswer is the answer to a StateQuery.
type StateAnswer struct {
	// Held is set when the daemon holds the pool. Otherwise the rest is empty.
	Held  bool      `cbor:"1,keyasint,omitempty"`
	Known bool      `cbor:"2,keyasint,omitempty"`
	Phase job.Phase `cbor:"3,keyasint,omitempty"`
	// Lag is how old the holder's knowledge of submissions is.
	Lag time.Duration `cbor:"4,keyasint,omitempty"`
}

// WaitingQuery is the message of MethodWaiting.
type WaitingQuery struct {
	Pool  string `cbor:"1,keyasint"`
	Entry string `cbor:"2,keyasint"`
}

// WaitingAnswer is the answer to a WaitingQuery.
type WaitingAnswer struct {
	Held  bool `cbor:"1,keyasint,omitempty"`
	Count int  `cbor:"2,keyasint,omitempty"`
}

const (
	// askTimeout bounds one question to a holder.
	askTimeout = 400 * time.Millisecond
	// askRetry is the wait before a holder that does not answer is asked
	// again: another may hold the pool by then.
	askRetry = 100 * time.Millisecond
	// askLimit bounds how long a caller waits for the state of a job while
	// nobody answers for its pool.
	askLimit = time.Second
	// maxLag is how old a holder's knowledge may be when it says that a job is
	// unknown.
	maxLag = 2500 * time.Millisecond
	// logLookups bounds the lookups in the log, a second: each reads a page.
	logLookups = 2
)

// ErrUnknownJob means that nobody accepted the job.
var ErrUnknownJob = eris.New("unknown job")

// Holders tells who holds which pool.
type Holders interface {
	Holder(n duty.Name) (duty.Claim, bool)
}

// Local returns the runner of a pool that this daemon holds.
type Local interface {
	Runner(pool string) (*scheduler.Runner, bool)
}

// Options configure a Service.
type Options struct {
	Self      duty.Member
	Policy    *policy.InForce
	Committer *joblog.Committer
	Log       logstore.Log
	Holders   Holders
	Local     Local
	Caller    peer.Caller
	// LogAge returns how long ago the log answered this daemon.
	LogAge func() time.Duration
	Clock  clock.Clock
	Logger zerolog.Logger
	Scope  tally.Scope
}

// Service serves callers.
type Service struct {
	opt     Options
	metrics metrics
	lookups *rate.Limiter
}

// NewService returns a service.
func NewService(o Options) *Service {
	return &Service{opt: o, metrics: newMetrics(o.Scope), lookups: rate.NewLimiter(logLookups, 1)}
}

// Register serves other daemons' questions.
func (s *Service) Register(m peer.Mux) {
	s.registerOrders(m)
	m.Handle(MethodState, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q StateQuery
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		return s.ownState(q), nil
	})
	m.Handle(MethodWaiting, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q WaitingQuery
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		return s.ownWaiting(q), nil
	})
}

func (s *Service) ownState(q StateQuery) StateAnswer {
	r, ok := s.opt.Local.Runner(q.Pool)
	if !ok {
		return StateAnswer{}
	}
	a, ok := r.Lookup(q.ID)
	if !ok {
		return StateAnswer{}
	}
	return StateAnswer{Held: true, Known: a.Known, Phase: a.Phase, Lag: a.Now - a.KnownUpTo}
}

func (s *Service) ownWaiting(q WaitingQuery) WaitingAnswer {
	r, ok := s.opt.Local.Runner(q.Pool)
	if !ok {
		return WaitingAnswer{}
	}
	n, ok := r.QueuedJobs(q.Entry)
	return WaitingAnswer{Held: ok, Count: n}
}

// logOrder logs what became of a job or cancel that a caller handed in.
func (s *Service) logOrder(done, failed string, id job.ID, e policy.Entry, start time.Duration, err error) {
	line := s.opt.Logger.Info()
	msg := done
	if err != nil {
		line = s.opt.Logger.Warn().Err(err).Stringer("verdict", verdict.Of(err))
		msg = failed
	}
	took := s.opt.Clock.Now() - start
	s.metrics.orderTime.RecordDuration(took)
	line.Str("job", string(id)).Str("entry", e.Name).Str("pool", e.Pool).Str("holder", s.holder(e.Pool)).Dur("took", took).Msg(msg)
}

// holder names the pool's holder as this daemon knows it, for people.
func (s *Service) holder(pool string) string {
	c, ok := s.opt.Holders.Holder(duty.OfPool(pool))
	if !ok {
		return "none"
	}
	return fmt.Sprintf("%s/%d", c.Holder.ID(), c.Token)
}

// State returns the phase of a job. The error is ErrUnknownJob when nobody
// accepted the job, and another when that cannot be told now.
func (s *Service) State(ctx context.Context, e policy.Entry, id job.ID) (job.Phase, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	for {
		a, err := s.askState(ctx, e.Pool, id)
		if err == nil && a.Known {
			return a.Phase, nil
		}
		if err == nil && a.Lag < maxLag {
			return s.elsewhere(ctx, e.Pool, id)
		}
		if phase, ok := s.lookup(ctx, e.Pool, id); ok {
			return phase, nil
		}
		if !clock.Sleep(ctx, askRetry) {
			s.metrics.unanswered.Inc(1)
			return 0, verdict.NewNotRun(verdict.ReasonNotReady, "nobody answers for pool %s", e.Pool)
		}
	}
}

// elsewhere looks for a job in the other pools: its entry may have led to
// another one when it was accepted.
func (s *Service) elsewhere(ctx context.Context, not string, id job.ID) (job.Phase, error) {
	var pools []string
	for _, p := range s.opt.Policy.Get().Working() {
		if p != not {
			pools = append(pools, p)
		}
	}
	answers := make([]StateAnswer, len(pools))
	errs := make([]error, len(pools))
	var wg sync.WaitGroup
	for i, p := range pools {
		wg.Go(func() { answers[i], errs[i] = s.askState(ctx, p, id) })
	}
	wg.Wait()
	for i, a := range answers {
		if errs[i] == nil && a.Known {
			return a.Phase, nil
		}
	}
	for i, a := range answers {
		if errs[i] != nil || a.Lag >= maxLag {
			return 0, verdict.NewNotRun(verdict.ReasonNotReady, "nobody answers for pool %s", pools[i])
		}
	}
	return 0, ErrUnknownJob
}

// errNotHeld means that a daemon that should hold a pool does not.
var errNotHeld = eris.New("the pool is not held there")

// askState asks the pool's holder for a job.
func (s *Service) askState(ctx context.Context, pool string, id job.ID) (StateAnswer, error) {
	q := StateQuery{Pool: pool, ID: id}
	var a StateAnswer
	err := s.ask(ctx, pool, MethodState, q, &a, func() { a = s.ownState(q) })
	if err == nil && !a.Held {
		err = errNotHeld
	}
	return a, err
}

// ask puts a question to a pool's holder, which may be this daemon.
func (s *Service) ask(ctx context.Context, pool string, m peer.Method, q, a any, own func()) error {
	c, ok := s.opt.Holders.Holder(duty.OfPool(pool))
	if !ok {
		return errNotHeld
	}
	if c.Holder == s.opt.Self {
		own()
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return s.opt.Caller.Call(ctx, c.Holder.ID(), m, q, a)
}

// Waiting returns how many jobs of an entry have started no task.
func (s *Service) Waiting(ctx context.Context, e policy.Entry) (int, error) {
	q := WaitingQuery{Pool: e.Pool, Entry: e.Name}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	for {
		var a WaitingAnswer
		err := s.ask(ctx, e.Pool, MethodWaiting, q, &a, func() { a = s.ownWaiting(q) })
		if err == nil && a.Held {
			return a.Count, nil
		}
		if !clock.Sleep(ctx, askRetry) {
			s.metrics.unanswered.Inc(1)
			return 0, verdict.NewNotRun(verdict.ReasonNotReady, "nobody answers for pool %s", e.Pool)
		}
	}
}

// lookup reads a job's state from the log. It finds no jobs that nobody knows:
// their absence from the log at one moment proves nothing.
func (s *Service) lookup(ctx context.Context, pool string, id job.ID) (job.Phase, bool) {
	if !s.lookups.Allow() {
		return 0, false
	}
	phase, err := joblog.Find(ctx, s.opt.Log, pool, id)
	if err != nil {
		if !errors.Is(err, joblog.ErrNotFound) {
			s.opt.Logger.Debug().Err(err).Str("job", string(id)).Msg("lookup in the log failed")
		}
		return 0, false
	}
	s.metrics.logLookups.Inc(1)
	return phase, true
}
