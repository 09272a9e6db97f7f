package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/duty"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/record"
	"greengagedeck/internal/scheduler"
)

// Messages from the holder of the fleet duty to the holders of pools.
const (
	// MethodReport requests the load of a pool.
	MethodReport peer.Method = "fleet.report"
	// MethodCordon cordons and uncordons workers.
	MethodCordon peer.Method = "fleet.cordon"
	// MethodStepDown makes an earlier holder of the fleet duty stop. Its sender is
	// the new holder.
	MethodStepDown peer.Method = "fleet.stepdown"
)

// ReportRequest is the request of MethodReport.
type ReportRequest struct {
	Pool string `cbor:"1,keyasint"`
	// LeadTime is how far ahead to forecast demand.
	LeadTime time.Duration `cbor:"2,keyasint"`
}

// ReportResponse is the response to a ReportRequest.
type ReportResponse struct {
	// Held is set if the daemon holds the pool. Report is only valid then.
	Held   bool             `cbor:"1,keyasint,omitempty"`
	Report scheduler.Report `cbor:"2,keyasint"`
}

// CordonOrder is the request of MethodCordon. It changes any number of workers of
// one pool, since demand that turns to another pool frees hundreds at once.
type CordonOrder struct {
	Pool    string         `cbor:"1,keyasint"`
	Token   int64          `cbor:"2,keyasint"`
	Changes []CordonChange `cbor:"7,keyasint"`
}

// CordonChange cordons a worker, or uncordons it if Uncordon is set.
type CordonChange struct {
	Worker   string `cbor:"1,keyasint"`
	Uncordon bool   `cbor:"2,keyasint,omitempty"`
	Reason   string `cbor:"3,keyasint,omitempty"`
	Evacuate bool   `cbor:"4,keyasint,omitempty"`
}

// StepDownRequest is the request of MethodStepDown.
type StepDownRequest struct {
	// Token is the fencing token of the new holder, and Held the one under which the
	// receiver held the duty, or 0 if it is not known.
	Token int64 `cbor:"1,keyasint"`
	Held  int64 `cbor:"2,keyasint,omitempty"`
}

// StepDownResponse is the response to a StepDownRequest. Once it is sent, the
// earlier holder sends no further order under a token below the request's.
type StepDownResponse struct {
	// OrderAges is how long ago the last order for each host ended, for hosts
	// with a recent order. It is 0 if the outcome of the order is unknown.
	OrderAges map[string]time.Duration `cbor:"1,keyasint,omitempty"`
}

// errPoolNotHeld means that no known daemon holds the pool, or that the daemon
// that received the call does not hold it.
var errPoolNotHeld = eris.New("the pool is not held here")

// errStaleToken means that an earlier order carried a higher fencing token.
var errStaleToken = eris.New("a newer holder of the fleet duty is known")

// RunnerLookup finds the runner of a pool that this daemon holds.
type RunnerLookup interface {
	Runner(pool string) (*scheduler.Runner, bool)
}

// Agent serves the calls of the holder of the fleet duty for the pools that
// this daemon holds.
type Agent struct {
	runners RunnerLookup
	// StepDown stops the controller if its token is lower, waits until none of
	// its orders is in progress and returns the ages of the recent ones. It must
	// be set before Register.
	StepDown func(q StepDownRequest) (map[string]time.Duration, error)

	mu sync.Mutex
	// highestToken is the highest fencing token of all orders received so far.
	highestToken int64
}

// NewAgent returns an agent for the pools that runners finds.
func NewAgent(runners RunnerLookup) *Agent { return &Agent{runners: runners} }

// Register registers the handlers of this package's messages.
func (a *Agent) Register(m peer.Mux) {
	m.Handle(MethodReport, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q ReportRequest
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		return a.report(q), nil
	})
	m.Handle(MethodCordon, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var o CordonOrder
		if err := record.Decode(body, &o); err != nil {
			return nil, err
		}
		return nil, a.cordon(o)
	})
	m.Handle(MethodStepDown, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q StepDownRequest
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		ages, err := a.StepDown(q)
		return StepDownResponse{OrderAges: ages}, err
	})
}

func (a *Agent) report(q ReportRequest) ReportResponse {
	r, ok := a.runners.Runner(q.Pool)
	if !ok {
		return ReportResponse{}
	}
	rep, ok := r.Report(q.LeadTime)
	return ReportResponse{Held: ok, Report: rep}
}

func (a *Agent) cordon(o CordonOrder) error {
	a.mu.Lock()
	stale := o.Token < a.highestToken
	a.highestToken = max(a.highestToken, o.Token)
	a.mu.Unlock()
	if stale {
		return errStaleToken
	}
	r, ok := a.runners.Runner(o.Pool)
	if !ok {
		return errPoolNotHeld
	}
	changes := make([]scheduler.CordonChange, 0, len(o.Changes))
	for _, c := range o.Changes {
		changes = append(changes, scheduler.CordonChange(c))
	}
	r.ChangeCordons(changes)
	return nil
}

// PoolClient calls the holders of pools. Pools that this daemon holds are
// served by Agent without a network call.
type PoolClient struct {
	Self    duty.Member
	Holders interface {
		Holder(n duty.Name) (duty.Claim, bool)
	}
	Agent  *Agent
	Caller peer.Caller
}

// callTimeout bounds one call to a holder.
const callTimeout = 300 * time.Millisecond

// Report returns the load of a pool.
func (p *PoolClient) Report(ctx context.Context, pool string, leadTime time.Duration) (scheduler.Report, error) {
	q := ReportRequest{Pool: pool, LeadTime: leadTime}
	var a ReportResponse
	err := p.call(ctx, pool, MethodReport, q, &a, func() error {
		a = p.Agent.report(q)
		return nil
	})
	if err == nil && !a.Held {
		err = errPoolNotHeld
	}
	return a.Report, err
}

// Cordon cordons and uncordons workers.
func (p *PoolClient) Cordon(ctx context.Context, o CordonOrder) error {
	return p.call(ctx, o.Pool, MethodCordon, o, nil, func() error { return p.Agent.cordon(o) })
}

// stepDownTimeout bounds the wait for an earlier holder to stop, which has to wait
// for the orders that it has in flight.
const stepDownTimeout = 900 * time.Millisecond

// StepDown makes an earlier holder of the fleet duty stop. It returns the ages of
// its recent orders.
func (p *PoolClient) StepDown(ctx context.Context, holderID string, q StepDownRequest) (map[string]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, stepDownTimeout)
	defer cancel()
	var a StepDownResponse
	err := p.Caller.Call(ctx, holderID, MethodStepDown, q, &a)
	return a.OrderAges, err
}

func (p *PoolClient) call(ctx context.Context, pool string, m peer.Method, req, resp any, local func() error) error {
	c, ok := p.Holders.Holder(duty.OfPool(pool))
	if !ok {
		return errPoolNotHeld
	}
	if c.Holder == p.Self {
		return local()
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.Caller.Call(ctx, c.Holder.ID(), m, req, resp)
}
