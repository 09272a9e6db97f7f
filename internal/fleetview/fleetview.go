// Package fleetview tells operators what customers run and wait for in all pools, and why
// a job waits. Any daemon answers: it asks the holders of the pools over the peer links
// and names those that do not answer.
package fleetview

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/duty"
	"greengagedeck/internal/job"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/scheduler"
)

// askTimeout is how long the holders of all pools together have to answer a query.
const askTimeout = 400 * time.Millisecond

// Holders returns which daemon holds a pool.
type Holders interface {
	Holder(n duty.Name) (duty.Claim, bool)
}

// Runner answers for a pool that this daemon holds. It is implemented by
// scheduler.Runner.
type Runner interface {
	// Customers returns nil before the pool is taken over.
	Customers() []scheduler.CustomerStatus
	Explain(id job.ID) (scheduler.JobExplanation, bool)
	Lookup(id job.ID) (scheduler.JobStatus, bool)
}

// Options configure a Service.
type Options struct {
	Self    duty.Member
	Policy  *policy.Current
	Holders Holders
	// Local returns the runner of a pool that this daemon holds.
	Local  func(pool string) (Runner, bool)
	Caller peer.Caller
}

// Service answers operators' queries about customers and jobs.
type Service struct{ opt Options }

// NewService returns a service.
func NewService(o Options) *Service { return &Service{opt: o} }

// errNoConfiguration means that the pools are not known yet.
var errNoConfiguration = eris.New("this daemon has no configuration yet")

// The reasons for which a pool has no answer.
var (
	errNoHolder = eris.New("no daemon is known to hold the pool")
	errNotHeld  = eris.New("the daemon does not hold the pool, or has not taken it over yet")
)

// Unanswered is a pool whose holder did not answer.
type Unanswered struct {
	Pool string `json:"pool"`
	// Daemon is the holder as far as this daemon knows, or empty.
	Daemon string `json:"daemon"`
	Reason string `json:"reason"`
}

// pools returns the names of the pools that run tasks, in order.
func (s *Service) pools() ([]string, error) {
	p := s.opt.Policy.Get()
	if p == nil {
		return nil, errNoConfiguration
	}
	return slices.Sorted(slices.Values(p.WorkerPools())), nil
}

// answer is what the holder of a pool has answered.
type answer[T any] struct {
	pool, daemon string
	value        T
}

// query is a question about one pool.
type query[T any] struct {
	method peer.Method
	// request returns the message that asks about a pool, and local answers it here.
	request func(pool string) any
	local   func(pool string) T
	// held reports whether an answer is from the holder of the pool.
	held func(T) bool
}

// askAll asks the holders of pools, all at once. The results are in the order of pools.
func askAll[T any](ctx context.Context, s *Service, pools []string, q query[T]) ([]answer[T], []Unanswered) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	all := make([]answer[T], len(pools))
	errs := make([]error, len(pools))
	var calls sync.WaitGroup
	for i, pool := range pools {
		calls.Go(func() { all[i], errs[i] = ask(ctx, s, pool, q) })
	}
	calls.Wait()
	answers, unanswered := []answer[T]{}, []Unanswered{}
	for i, a := range all {
		if errs[i] != nil {
			unanswered = append(unanswered, Unanswered{Pool: a.pool, Daemon: a.daemon, Reason: reasonOf(errs[i])})
		} else {
			answers = append(answers, a)
		}
	}
	return answers, unanswered
}

// ask asks the holder of one pool.
func ask[T any](ctx context.Context, s *Service, pool string, q query[T]) (answer[T], error) {
	a := answer[T]{pool: pool}
	c, ok := s.opt.Holders.Holder(duty.OfPool(pool))
	if !ok {
		return a, errNoHolder
	}
	a.daemon = c.Holder.ID()
	var err error
	if c.Holder == s.opt.Self {
		a.value, err = answerHere(ctx, pool, q)
	} else {
		err = s.opt.Caller.Call(ctx, a.daemon, q.method, q.request(pool), &a.value)
	}
	if err == nil && !q.held(a.value) {
		err = errNotHeld
	}
	return a, err
}

// answerHere answers a query for a pool that this daemon holds. It does not wait longer
// than ctx lasts for a scheduler that is busy.
func answerHere[T any](ctx context.Context, pool string, q query[T]) (T, error) {
	answered := make(chan T, 1)
	go func() { answered <- q.local(pool) }()
	select {
	case v := <-answered:
		return v, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// reasonOf returns why a pool has no answer, for operators.
func reasonOf(err error) string {
	var remote *peer.RemoteError
	switch {
	case errors.Is(err, errNoHolder), errors.Is(err, errNotHeld), errors.As(err, &remote):
		return err.Error()
	case eris.Is(err, peer.ErrNotSent):
		return "the daemon is not reached"
	default:
		return fmt.Sprintf("no answer in %v", askTimeout)
	}
}
