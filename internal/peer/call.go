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
	return n.count(n.link(to, "").call(ctx, m, req, resp))
}

// CallAddress is Call for a daemon of which only the IP:port is known.
func (n *Node) CallAddress(ctx context.Context, addr string, m Method, req, resp any) error {
	return n.count(n.link("", addr).call(ctx, m, req, resp))
}

// Send implements Caller.
func (n *Node) Send(ctx context.Context, to string, m Method, msg any) error {
	if to == n.opts.Self {
		return n.callSelf(ctx, m, msg, nil)
	}
	return n.count(n.link(to, "").send(ctx, m, msg))
}

func (n *Node) count(err error) error {
	switch {
	case eris.Is(err, ErrNotSent):
		n.metrics.notSent.Inc(1)
	case eris.Is(err, ErrLost):
		n.metrics.lost.Inc(1)
	}
	return err
}

// callSelf runs the handler without the network; values still go through CBOR,
// so that the two sides share no memory.
func (n *Node) callSelf(ctx context.Context, m Method, req, resp any) error {
	reg, ok := n.handler(m)
	if !ok {
		return &RemoteError{Message: "unknown method " + string(m)}
	}
	body, err := record.Encode(req)
	if err != nil {
		return notSent(err)
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

func notSent(err error) error { return eris.Wrap(ErrNotSent, err.Error()) }

func lost(err error) error { return eris.Wrap(ErrLost, err.Error()) }

// decodeAnswer reads an answer; one that cannot be read counts as lost.
func decodeAnswer(data []byte, resp any) error {
	if resp == nil {
		return nil
	}
	if err := record.Decode(data, resp); err != nil {
		return lost(err)
	}
	return nil
}

func (l *link) call(ctx context.Context, m Method, req, resp any) error {
	body, err := record.Encode(req)
	if err != nil {
		return notSent(err)
	}
	c, err := l.connection(ctx)
	if err != nil {
		return notSent(err)
	}
	cl := l.node.classOf(m)
	id, p := l.register(c, cl)
	defer l.forget(id)
	f := frame{ID: id, Kind: kindRequest, Method: m, Timeout: timeLeft(ctx), Body: body}
	data, err := f.encode()
	if err != nil {
		return notSent(err)
	}
	o := &outgoing{data: data, class: cl}
	if err := c.enqueue(o); err != nil {
		return notSent(err)
	}
	return l.await(ctx, c, o, id, p, resp)
}

// await returns the answer to a queued request, or what is known of it.
func (l *link) await(ctx context.Context, c *conn, o *outgoing, id uint64, p *pendingCall, resp any) error {
	select {
	case f, ok := <-p.answer:
		if ok {
			return answer(f, resp)
		}
		return undelivered(o, eris.New("connection to peer ended"))
	case <-c.done:
		// An answer that arrived before the end still counts.
		select {
		case f, ok := <-p.answer:
			if ok {
				return answer(f, resp)
			}
		default:
		}
		return undelivered(o, eris.New("connection to peer ended"))
	case <-ctx.Done():
		err := undelivered(o, ctx.Err())
		if eris.Is(err, ErrLost) {
			l.cancel(c, id, o.class)
		}
		return err
	}
}

// undelivered withdraws the frame: it was not sent if the writer had not taken
// it, and is lost otherwise.
func undelivered(o *outgoing, err error) error {
	if o.withdraw() {
		return notSent(err)
	}
	return lost(err)
}

// cancel tells the peer, at best effort, that nobody waits for the answer.
func (l *link) cancel(c *conn, id uint64, cl class) {
	data, err := frame{ID: id, Kind: kindCancel}.encode()
	if err != nil {
		return
	}
	_ = c.enqueue(&outgoing{data: data, class: cl})
}

func answer(f frame, resp any) error {
	switch f.Kind {
	case kindResponse:
		return decodeAnswer(f.Body, resp)
	case kindBusy:
		// The peer proves that its handler was not called.
		return notSent(eris.New("peer is busy"))
	default:
		return &RemoteError{Message: f.Error}
	}
}

func (l *link) send(ctx context.Context, m Method, msg any) error {
	body, err := record.Encode(msg)
	if err != nil {
		return notSent(err)
	}
	c, err := l.connection(ctx)
	if err != nil {
		return notSent(err)
	}
	data, err := frame{Kind: kindOneway, Method: m, Body: body}.encode()
	if err != nil {
		return notSent(err)
	}
	if err := c.enqueue(&outgoing{data: data, class: l.node.classOf(m)}); err != nil {
		return notSent(err)
	}
	return nil
}

// timeLeft returns what is left of the context's deadline, 0 for none.
func timeLeft(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(d), time.Nanosecond)
}
