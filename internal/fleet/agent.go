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

// The messages from the holder of the fleet duty to the holders of pools.
const (
	// MethodReport asks for a pool's load.
	MethodReport peer.Method = "fleet.report"
	// MethodClose has workers take no new tasks, or take tasks again.
	MethodClose peer.Method = "fleet.close"
)

// ReportQuery is the message of MethodReport.
type ReportQuery struct {
	Pool string `cbor:"1,keyasint"`
	// Lead is how far ahead to expect demand.
	Lead time.Duration `cbor:"2,keyasint"`
}

// ReportAnswer is the answer to a ReportQuery.
type ReportAnswer struct {
	// Held is set when the daemon holds the pool.
	Held   bool             `cbor:"1,keyasint,omitempty"`
	Report scheduler.Report `cbor:"2,keyasint"`
}

// CloseOrder is the message of MethodClose.
type CloseOrder struct {
	Pool  string `cbor:"1,keyasint"`
	Token int64  `cbor:"2,keyasint"`
	// Worker is closed, or opened if Open is set.
	Worker   string `cbor:"3,keyasint"`
	Open     bool   `cbor:"4,keyasint,omitempty"`
	Reason   string `cbor:"5,keyasint,omitempty"`
	Evacuate bool   `cbor:"6,keyasint,omitempty"`
}

// errNotHeld means that the pool is not held by the daemon that was asked.
var errNotHeld = eris.New("the pool is not held here")

// errOldToken means that a newer holder of the fleet duty has given orders.
var errOldToken = eris.New("a newer holder of the fleet duty is known")

// Local returns the runner of a pool that this daemon holds.
type Local interface {
	Runner(pool string) (*scheduler.Runner, bool)
}

// Agent answers the holder of the fleet duty for the pools that this daemon
// holds.
type Agent struct {
	local Local

	mu sync.Mutex
	// highest is the highest fencing token that an order carried.
	highest int64
}

// NewAgent returns an agent.
func NewAgent(l Local) *Agent { return &Agent{local: l} }

// Register serves the messages of this package.
func (a *Agent) Register(m peer.Mux) {
	m.Handle(MethodReport, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q ReportQuery
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		return a.report(q), nil
	})
	m.Handle(MethodClose, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var o CloseOrder
		if err := record.Decode(body, &o); err != nil {
			return nil, err
		}
		return nil, a.close(o)
	})
}

func (a *Agent) report(q ReportQuery) ReportAnswer {
	r, ok := a.local.Runner(q.Pool)
	if !ok {
		return ReportAnswer{}
	}
	rep, ok := r.Report(q.Lead)
	return ReportAnswer{Held: ok, Report: rep}
}

func (a *Agent) close(o CloseOrder) error {
	a.mu.Lock()
	old := o.Token < a.highest
	a.highest = max(a.highest, o.Token)
	a.mu.Unlock()
	if old {
		return errOldToken
	}
	r, ok := a.local.Runner(o.Pool)
	if !ok {
		return errNotHeld
	}
	if o.Open {
		r.Uncordon([]string{o.Worker})
		return nil
	}
	r.Cordon([]string{o.Worker}, o.Reason, o.Evacuate)
	return nil
}

// Pools reaches the holders of pools.
type Pools struct {
	Self    duty.Member
	Holders interface {
		Holder(n duty.Name) (duty.Claim, bool)
	}
	Agent  *Agent
	Caller peer.Caller
}

// callTimeout bounds one call of a holder.
const callTimeout = 300 * time.Millisecond

// Report returns a pool's load.
func (p *Pools) Report(ctx context.Context, pool string, lead time.Duration) (scheduler.Report, error) {
	q := ReportQuery{Pool: pool, Lead: lead}
	var a ReportAnswer
	err := p.call(ctx, pool, MethodReport, q, &a, func() error {
		a = p.Agent.report(q)
		return nil
	})
	if err == nil && !a.Held {
		err = errNotHeld
	}
	return a.Report, err
}

// Close closes or opens a worker.
func (p *Pools) Close(ctx context.Context, o CloseOrder) error {
	return p.call(ctx, o.Pool, MethodClose, o, nil, func() error { return p.Agent.close(o) })
}

func (p *Pools) call(ctx context.Context, pool string, m peer.Method, req, resp any, own func() error) error {
	c, ok := p.Holders.Holder(duty.OfPool(pool))
	if !ok {
		return errNotHeld
	}
	if c.Holder == p.Self {
		return own()
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.Caller.Call(ctx, c.Holder.ID(), m, req, resp)
}
