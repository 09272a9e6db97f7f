package attempt

import (
	"context"
	"sync"
	"time"

	"greengagedeck/internal/verdict"
)

// connPool holds the connections to one address. Open connections, in use or
// idle, never exceed the limit.
type connPool struct {
	client  *Client
	address string

	mu    sync.Mutex
	limit int
	// open counts the connections in use, idle or being opened.
	open int
	// idle is ordered by when a connection became idle, oldest first.
	idle []*conn
	// waiters each take over one permit to hold a connection. A permit is
	// handed on with its connection when that can be used again.
	waiters []chan *conn
	closed  bool
}

func newConnPool(c *Client, address string) *connPool {
	return &connPool{client: c, address: address}
}

func (p *connPool) setLimit(limit int) {
	p.mu.Lock()
	p.limit = limit
	p.mu.Unlock()
}

// acquire returns a connection for one exchange, waiting while the limit is
// reached. Any failure is NotRun.
func (p *connPool) acquire(ctx context.Context, deadline time.Time, idempotent bool) (*conn, *verdict.Error) {
	cn, err := p.permit(ctx, deadline)
	if err != nil {
		return nil, err
	}
	if cn != nil && p.usable(cn, idempotent) {
		p.client.metrics.reused.Inc(1)
		return cn, nil
	}
	if cn != nil {
		p.client.metrics.stale.Inc(1)
		cn.Close()
	}
	cn, err = p.client.dial(ctx, deadline, p.address)
	if err != nil {
		p.handOn(nil)
	}
	return cn, err
}

// usable reports whether an idle connection may carry a request. A target may
// close an idle connection just as a request is written to it, which leaves
// open whether it ran; so a request that must not be repeated takes only a
// connection that was in use a moment ago.
func (p *connPool) usable(cn *conn, idempotent bool) bool {
	idle := time.Since(cn.idleSince)
	if idle > p.client.opts.IdleTimeout {
		return false
	}
	if !idempotent && idle > p.client.opts.FreshAfter {
		return false
	}
	return cn.quiet()
}

// permit returns the right to hold one connection, with an idle connection or
// with nil.
func (p *connPool) permit(ctx context.Context, deadline time.Time) (*conn, *verdict.Error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		cn := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return cn, nil
	}
	if p.open < p.limit {
		p.open++
		p.mu.Unlock()
		return nil, nil
	}
	w := make(chan *conn, 1)
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	ctx, cancel := withDeadline(ctx, deadline)
	defer cancel()
	select {
	case cn := <-w:
		return cn, nil
	case <-ctx.Done():
		p.leave(w)
		return nil, contextError(ctx, verdict.NotRun)
	}
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}

// leave withdraws a waiter and passes on the permit it may have been given.
func (p *connPool) leave(w chan *conn) {
	p.mu.Lock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	p.handOn(<-w)
}

// release takes back a connection after an exchange and closes it unless the
// exchange left it between two answers.
func (p *connPool) release(cn *conn) {
	if !cn.reusable {
		p.client.metrics.abandoned.Inc(1)
		cn.Close()
		cn = nil
	}
	if cn != nil {
		cn.idleSince = time.Now()
	}
	p.handOn(cn)
}

// handOn gives a permit, with or without a connection, to the next waiter or
// back to the pool.
func (p *connPool) handOn(cn *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		w <- cn
		return
	}
	if cn == nil {
		p.open--
		return
	}
	if p.closed || p.open > p.limit {
		p.open--
		cn.Close()
		return
	}
	p.idle = append(p.idle, cn)
}

func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.dropIdle(len(p.idle))
}

// sweep closes what has been idle since before limit.
func (p *connPool) sweep(limit time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for n < len(p.idle) && p.idle[n].idleSince.Before(limit) {
		n++
	}
	p.dropIdle(n)
}

// dropIdle closes the n oldest idle connections; mu must be held.
func (p *connPool) dropIdle(n int) {
	for _, cn := range p.idle[:n] {
		cn.Close()
	}
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.open -= n
}
