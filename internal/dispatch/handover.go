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

// maxHops is how often a request may be handed over: once to another zone and
// once within that zone.
const maxHops = 2

// handoverRequest asks another daemon to serve a request.
type handoverRequest struct {
	Request request.Request `cbor:"1,keyasint"`
	// OtherZone is set when the sender belongs to another zone: the
	// receiver may then still hand the request over to a daemon of its own
	// zone.
	OtherZone bool `cbor:"2,keyasint,omitempty"`
}

// handoverReply carries the response, or the rejection if the request was not
// answered.
type handoverReply struct {
	Response  *request.Response `cbor:"1,keyasint,omitempty"`
	Rejection *rejection        `cbor:"2,keyasint,omitempty"`
	// State is the state of the receiver's part of the pool.
	State PoolState `cbor:"3,keyasint"`
}

// rejection is the encoding of a verdict.Error between daemons.
type rejection struct {
	Verdict    verdict.Verdict `cbor:"1,keyasint"`
	Reason     verdict.Reason  `cbor:"2,keyasint"`
	Detail     string          `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration   `cbor:"4,keyasint,omitempty"`
}

func newRejection(err error) *rejection {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return &rejection{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonPeerLost, Detail: err.Error()}
	}
	return &rejection{Verdict: e.Verdict, Reason: e.Reason, Detail: e.Detail, RetryAfter: e.RetryAfter}
}

func (r *rejection) toError() *verdict.Error {
	return &verdict.Error{Verdict: r.Verdict, Reason: r.Reason, Detail: r.Detail, RetryAfter: r.RetryAfter}
}

// dataMux is a peer.Mux that handles callers' requests apart from control
// messages.
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

// sendHandover hands a request over to another daemon and waits for its reply.
// The verdict is NotRun only if the request was not sent or the other daemon
// says so; a lost reply does not tell whether the request ran.
func (d *Dispatcher) sendHandover(ctx context.Context, p *poolQueue, to string, r *request.Request) (*request.Response, error) {
	handedOver := *r
	handedOver.Hops++
	zonePeer := d.isZonePeer(to)
	var reply handoverReply
	err := d.opts.Caller.Call(ctx, to, methodHandOver, handoverRequest{Request: handedOver, OtherZone: !zonePeer}, &reply)
	switch {
	case errors.Is(err, peer.ErrNotSent):
		p.observePeer(to, PoolState{})
		return nil, verdict.NewNotRun(verdict.ReasonPeerLost, "daemon %s cannot be reached", to)
	case err != nil:
		p.metrics.peerLost.Inc(1)
		p.observePeer(to, PoolState{})
		return nil, lostReplyError(ctx, to, err)
	}
	if zonePeer {
		p.observePeer(to, reply.State)
	}
	if reply.Rejection != nil {
		return nil, reply.Rejection.toError()
	}
	if reply.Response == nil {
		return nil, verdict.NewMayHaveRun(verdict.ReasonPeerLost, "daemon %s sent an empty answer", to)
	}
	return reply.Response, nil
}

func lostReplyError(ctx context.Context, to string, err error) *verdict.Error {
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
// with the sender's, so a caller that disconnects also cancels the request
// here.
func (d *Dispatcher) onHandOver(ctx context.Context, _ string, body cbor.RawMessage) (any, error) {
	var m handoverRequest
	if err := record.Decode(body, &m); err != nil {
		return handoverReply{Rejection: newRejection(verdict.NewNotRun(verdict.ReasonBadRequest, "%v", err))}, nil
	}
	r := &m.Request
	// Use the deadline of this daemon's context, so that daemons' clocks
	// need not agree.
	if deadline, ok := ctx.Deadline(); ok {
		r.Deadline = deadline
	}
	resp, err := d.serveHandedOver(ctx, r, m.OtherZone)
	reply := handoverReply{Response: resp}
	if err != nil {
		reply.Rejection = newRejection(err)
	}
	if _, ok := d.opts.Policy.Pool(r.Pool); ok {
		reply.State = d.pool(r.Pool).currentState()
	}
	return reply, nil
}

// reportMessage carries a daemon's state in the pools in which it has changed.
type reportMessage struct {
	Pools map[string]PoolState `cbor:"1,keyasint"`
}

// pullMessage asks for a waiting request.
type pullMessage struct {
	Pool  string    `cbor:"1,keyasint"`
	Long  bool      `cbor:"2,keyasint,omitempty"`
	State PoolState `cbor:"3,keyasint"`
}

// loadMessage asks for a daemon's load in a pool; the reply is a Load.
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
			d.pool(name).observePeer(from, s)
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
		d.pool(m.Pool).servePull(from, m.Long, m.State)
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
