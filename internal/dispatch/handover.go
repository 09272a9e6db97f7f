package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"greengagedeck/internal/peer"
	"greengagedeck/internal/record"
	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

// The messages between dispatchers.
const (
	methodHandOver peer.Method = "dispatch.handover"
	methodReport   peer.Method = "dispatch.report"
	methodPull     peer.Method = "dispatch.pull"
	methodLoad     peer.Method = "dispatch.load"
)

// maxHops is how many daemons may hand a request on: one to another zone and
// one within it.
const maxHops = 2

// handOver gives a request to another daemon, which answers it.
type handOver struct {
	Request request.Request `cbor:"1,keyasint"`
	// Zone is set when the sender belongs to another zone: the receiver may
	// then still hand the request to a daemon of its own.
	Zone bool `cbor:"2,keyasint,omitempty"`
}

// handOverReply is the answer: a response, or why there is none.
type handOverReply struct {
	Response *request.Response `cbor:"1,keyasint,omitempty"`
	Refusal  *refusal          `cbor:"2,keyasint,omitempty"`
	// State is the receiver's part of the pool.
	State State `cbor:"3,keyasint"`
}

// refusal is a verdict.Error between daemons.
type refusal struct {
	Verdict    verdict.Verdict `cbor:"1,keyasint"`
	Reason     verdict.Reason  `cbor:"2,keyasint"`
	Detail     string          `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration   `cbor:"4,keyasint,omitempty"`
}

func newRefusal(err error) *refusal {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return &refusal{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonPeerLost, Detail: err.Error()}
	}
	return &refusal{Verdict: e.Verdict, Reason: e.Reason, Detail: e.Detail, RetryAfter: e.RetryAfter}
}

func (r *refusal) err() *verdict.Error {
	return &verdict.Error{Verdict: r.Verdict, Reason: r.Reason, Detail: r.Detail, RetryAfter: r.RetryAfter}
}

// dataMux is a peer.Mux that keeps callers' requests apart from control.
type dataMux interface {
	HandleData(m peer.Method, h peer.Handler)
}

// register adds the handlers of this package to the daemon's mux.
func (d *Dispatcher) register(mux peer.Mux) {
	if data, ok := mux.(dataMux); ok {
		data.HandleData(methodHandOver, d.onHandOver)
	} else {
		mux.Handle(methodHandOver, d.onHandOver)
	}
	mux.Handle(methodReport, d.onReport)
	mux.Handle(methodPull, d.onPull)
	mux.Handle(methodLoad, d.onLoad)
}

// handTo gives a request to another daemon and waits for its answer. The
// verdict is NotRun only if the request did not leave or the other daemon says
// so; a lost answer proves nothing.
func (d *Dispatcher) handTo(ctx context.Context, p *poolQueue, to string, r *request.Request) (*request.Response, error) {
	handed := *r
	handed.Hops++
	mate := d.isMate(to)
	var reply handOverReply
	err := d.opts.Caller.Call(ctx, to, methodHandOver, handOver{Request: handed, Zone: !mate}, &reply)
	switch {
	case errors.Is(err, peer.ErrNotSent):
		p.observe(to, State{})
		return nil, verdict.NewNotRun(verdict.ReasonPeerLost, "daemon %s cannot be reached", to)
	case err != nil:
		p.metrics.peerLost.Inc(1)
		p.observe(to, State{})
		return nil, lostError(ctx, to, err)
	}
	if mate {
		p.observe(to, reply.State)
	}
	if reply.Refusal != nil {
		return nil, reply.Refusal.err()
	}
	if reply.Response == nil {
		return nil, verdict.NewMayHaveRun(verdict.ReasonPeerLost, "daemon %s sent an empty answer", to)
	}
	return reply.Response, nil
}

func lostError(ctx context.Context, to string, err error) *verdict.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer from daemon %s in time", to)
	case ctx.Err() != nil:
		return verdict.NewMayHaveRun(verdict.ReasonCancelled, "caller went away")
	default:
		return verdict.NewMayHaveRun(verdict.ReasonPeerLost, "answer of daemon %s lost: %v", to, err)
	}
}

// onHandOver serves a request of another daemon. The handler's context ends
// with the sender's, so a caller that goes away takes the request along.
func (d *Dispatcher) onHandOver(ctx context.Context, _ string, body cbor.RawMessage) (any, error) {
	var m handOver
	if err := record.Decode(body, &m); err != nil {
		return handOverReply{Refusal: newRefusal(verdict.NewNotRun(verdict.ReasonBadRequest, "%v", err))}, nil
	}
	r := &m.Request
	// The deadline counts from here, so that daemons' clocks need not agree.
	if left, ok := ctx.Deadline(); ok {
		r.Deadline = left
	}
	resp, err := d.serveForeign(ctx, r, m.Zone)
	reply := handOverReply{Response: resp}
	if err != nil {
		reply.Refusal = newRefusal(err)
	}
	if _, ok := d.opts.Policy.Pool(r.Pool); ok {
		reply.State = d.pool(r.Pool).currentState()
	}
	return reply, nil
}

// reportMessage is a daemon's state in the pools in which it has changed.
type reportMessage struct {
	Pools map[string]State `cbor:"1,keyasint"`
}

// pullMessage asks for a waiting request.
type pullMessage struct {
	Pool  string `cbor:"1,keyasint"`
	Long  bool   `cbor:"2,keyasint,omitempty"`
	State State  `cbor:"3,keyasint"`
}

// loadMessage asks for a daemon's load in a pool; the answer is a Load.
type loadMessage struct {
	Pool string `cbor:"1,keyasint"`
}

func (d *Dispatcher) onReport(_ context.Context, from string, body cbor.RawMessage) (any, error) {
	var m reportMessage
	if err := record.Decode(body, &m); err != nil {
		return nil, err
	}
	for name, s := range m.Pools {
		if _, ok := d.opts.Policy.Pool(name); ok {
			d.pool(name).observe(from, s)
		}
	}
	return nil, nil
}

func (d *Dispatcher) onPull(_ context.Context, from string, body cbor.RawMessage) (any, error) {
	var m pullMessage
	if err := record.Decode(body, &m); err != nil {
		return nil, err
	}
	if _, ok := d.opts.Policy.Pool(m.Pool); ok {
		d.pool(m.Pool).pulled(from, m.Long, m.State)
	}
	return nil, nil
}

func (d *Dispatcher) onLoad(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
	var m loadMessage
	if err := record.Decode(body, &m); err != nil {
		return nil, err
	}
	if _, ok := d.opts.Policy.Pool(m.Pool); !ok {
		return Load{}, nil
	}
	return d.pool(m.Pool).load(), nil
}
