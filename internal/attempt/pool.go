package attempt

import (
	"context"
	"sync"
	"time"

	"greengagedeck/internal/verdict"
)

// connPool holds the connections to one address. The number of open
// connections, in use or idle, never exceeds the limit.
type connPool struct {
	client  *Client
	address string

	mu    sync.Mutex
	limit int
	// open counts the connections in use, idle or being opened.
	open int
	// idle is ordered by idleSince, oldest first.
	idle []*conn
	// waiters are the callers that wait for a permit to hold a connection.
	// A permit is passed on together with its connection if the connection
	// can be reused.
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

// acquire returns a connection for one exchange. It waits while the limit is
// reached. The verdict of every failure is NotRun.
func (p *connPool) acquire(ctx context.Context, deadline time.Time, idempotent bool) (*conn, *verdict.Error) {
	cn, err := p.acquirePermit(ctx, deadline)
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
		p.releasePermit(nil)
	}
	return cn, err
}

// usable reports whether an idle connection may carry a request. A target may
// close an idle connection while a request is being written to it, and then it
// is unknown whether the request ran. A request that is not idempotent therefore
// uses only a connection that was in use recently.
func (p *connPool) usable(cn *conn, idempotent bool) bool {
	idle := time.Since(cn.idleSince)
	if idle > p.client.opts.IdleTimeout {
		return false
	}
	if !idempotent && idle > p.client.opts.NonIdempotentMaxIdle {
		return false
	}
	return cn.probe.OpenAndEmpty()
}

// acquirePermit returns a permit to hold one connection. The connection is nil
// if a new one must be opened.
func (p *connPool) acquirePermit(ctx context.Context, deadline time.Time) (*conn, *verdict.Error) {
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
		p.removeWaiter(w)
		return nil, contextError(ctx, verdict.NotRun)
	}
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}

// removeWaiter removes a waiter and releases the permit if it was granted one.
func (p *connPool) removeWaiter(w chan *conn) {
	p.mu.Lock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			p.mu.Unlock()
			return
		}
	}
	p.mu.Unlock()
	p.releasePermit(<-w)
}

// release returns a connection to the pool after an exchange and closes it if it
// is not reusable.
func (p *connPool) release(cn *conn) {
	if !cn.reusable {
		p.client.metrics.abandoned.Inc(1)
		cn.Close()
		cn = nil
	}
	if cn != nil {
		cn.idleSince = time.Now()
	}
	p.releasePermit(cn)
}

// releasePermit passes a permit, with or without a connection, to the next
// waiter, or returns it to the pool.
func (p *connPool) releasePermit(cn *conn) {
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
	p.closeOldestIdle(len(p.idle))
}

// closeIdleBefore closes connections that have been idle since before limit.
func (p *connPool) closeIdleBefore(limit time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for n < len(p.idle) && p.idle[n].idleSince.Before(limit) {
		n++
	}
	p.closeOldestIdle(n)
}

// closeOldestIdle closes the n oldest idle connections; mu must be held.
func (p *connPool) closeOldestIdle(n int) {
	for _, cn := range p.idle[:n] {
		cn.Close()
	}
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.open -= n
}
