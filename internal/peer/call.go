package peer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/record"
)

// Call implements Caller.
func (n *Node) Call(ctx context.Context, to string, m Method, req, resp any) error {
	if to == n.opts.Self {
		return n.callSelf(ctx, m, req, resp)
	}
	return n.countError(n.linkTo(to, "").call(ctx, m, req, resp))
}

// CallAddress is like Call for a daemon whose ID is not known, only its IP:port.
func (n *Node) CallAddress(ctx context.Context, addr string, m Method, req, resp any) error {
	return n.countError(n.linkTo("", addr).call(ctx, m, req, resp))
}

// Send implements Caller.
func (n *Node) Send(ctx context.Context, to string, m Method, msg any) error {
	if to == n.opts.Self {
		return n.callSelf(ctx, m, msg, nil)
	}
	return n.countError(n.linkTo(to, "").send(ctx, m, msg))
}

func (n *Node) countError(err error) error {
	switch {
	case eris.Is(err, ErrNotSent):
		n.metrics.notSent.Inc(1)
	case eris.Is(err, ErrLost):
		n.metrics.lost.Inc(1)
	}
	return err
}

// callSelf runs the local handler without using the network. Values are still
// encoded and decoded as CBOR so that caller and handler share no memory.
func (n *Node) callSelf(ctx context.Context, m Method, req, resp any) error {
	reg, ok := n.handler(m)
	if !ok {
		return &RemoteError{Message: "unknown method " + string(m)}
	}
	body, err := record.Encode(req)
	if err != nil {
		return notSentError(err)
	}
	out, err := reg.handler(ctx, n.opts.Self, body)
	if err != nil {
		return &RemoteError{Message: err.Error()}
	}
	if resp == nil {
		return nil
	}
	data, err := record.Encode(out)
	if err != nil {
		return &RemoteError{Message: err.Error()}
	}
	return decodeAnswer(data, resp)
}

func notSentError(err error) error { return eris.Wrap(ErrNotSent, err.Error()) }

func lostError(err error) error { return eris.Wrap(ErrLost, err.Error()) }

// decodeAnswer decodes an answer into resp. An answer that cannot be decoded is
// reported as ErrLost.
func decodeAnswer(data []byte, resp any) error {
	if resp == nil {
		return nil
	}
	if err := record.Decode(data, resp); err != nil {
		return lostError(err)
	}
	return nil
}

func (l *link) call(ctx context.Context, m Method, req, resp any) error {
	body, err := record.Encode(req)
	if err != nil {
		return notSentError(err)
	}
	c, err := l.connection(ctx)
	if err != nil {
		return notSentError(err)
	}
	cl := l.node.classOf(m)
	id, p := l.register(c, cl)
	defer l.unregister(id)
	f := frame{ID: id, Kind: kindRequest, Method: m, Timeout: remainingTimeout(ctx), Body: body}
	data, err := f.encode()
	if err != nil {
		return notSentError(err)
	}
	o := &outgoingFrame{data: data, class: cl}
	if err := c.enqueue(o); err != nil {
		return notSentError(err)
	}
	return l.awaitAnswer(ctx, c, o, id, p, resp)
}

// awaitAnswer waits for the answer to a queued request. Without an answer it
// returns ErrNotSent or ErrLost, depending on whether the frame was written.
func (l *link) awaitAnswer(ctx context.Context, c *conn, o *outgoingFrame, id uint64, p *pendingCall, resp any) error {
	select {
	case f, ok := <-p.answer:
		if ok {
			return handleAnswer(f, resp)
		}
		return undeliveredError(o, eris.New("connection to peer ended"))
	case <-c.done:
		// Use an answer that arrived before the connection was closed.
		select {
		case f, ok := <-p.answer:
			if ok {
				return handleAnswer(f, resp)
			}
		default:
		}
		return undeliveredError(o, eris.New("connection to peer ended"))
	case <-ctx.Done():
		err := undeliveredError(o, ctx.Err())
		if eris.Is(err, ErrLost) {
			l.cancel(c, id, o.class)
			c.check()
		}
		return err
	}
}

// undeliveredError withdraws the frame and returns ErrNotSent if the writer had
// not taken it yet, ErrLost otherwise.
func undeliveredError(o *outgoingFrame, err error) error {
	if o.withdraw() {
		return notSentError(err)
	}
	return lostError(err)
}

// cancel notifies the peer, best effort, that the caller no longer waits for the
// answer.
func (l *link) cancel(c *conn, id uint64, cl trafficClass) {
	data, err := frame{ID: id, Kind: kindCancel}.encode()
	if err != nil {
		return
	}
	_ = c.enqueue(&outgoingFrame{data: data, class: cl})
}

func handleAnswer(f frame, resp any) error {
	switch f.Kind {
	case kindResponse:
		return decodeAnswer(f.Body, resp)
	case kindBusy:
		// The peer did not call its handler.
		return notSentError(eris.New("peer is busy"))
	default:
		return &RemoteError{Message: f.Error}
	}
}

func (l *link) send(ctx context.Context, m Method, msg any) error {
	body, err := record.Encode(msg)
	if err != nil {
		return notSentError(err)
	}
	c, err := l.connection(ctx)
	if err != nil {
		return notSentError(err)
	}
	data, err := frame{Kind: kindOneway, Method: m, Body: body}.encode()
	if err != nil {
		return notSentError(err)
	}
	if err := c.enqueue(&outgoingFrame{data: data, class: l.node.classOf(m)}); err != nil {
		return notSentError(err)
	}
	return nil
}

// remainingTimeout returns the time left until the context's deadline, or 0 if it
// has none.
func remainingTimeout(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(d), time.Nanosecond)
}
