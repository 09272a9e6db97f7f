package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/fasthttp/websocket"
	"github.com/rotisserie/eris"
)

const (
	// redialInitial and redialMax limit the backoff after a failed dial.
	redialInitial = 50 * time.Millisecond
	redialMax     = 2 * time.Second
)

// link sends messages to one daemon over a connection that is dialled on demand.
type link struct {
	node *Node
	// peerID is empty when only addr is known.
	peerID string
	addr   string

	mu       sync.Mutex
	conn     *conn
	dialling chan struct{}
	backoff  *backoff.ExponentialBackOff
	retryAt  time.Time
	lastErr  error

	pendingMu sync.Mutex
	pending   map[uint64]*pendingCall
	nextID    uint64
}

// pendingCall is a request that has not been answered yet.
type pendingCall struct {
	conn   *conn
	class  trafficClass
	answer chan frame
}

func newLink(n *Node, to, addr string) *link {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = redialInitial
	b.MaxInterval = redialMax
	return &link{node: n, peerID: to, addr: addr, backoff: b, pending: map[uint64]*pendingCall{}}
}

// connection returns the open connection and dials one if there is none. After a
// failed dial it returns the last error immediately until the backoff has passed.
func (l *link) connection(ctx context.Context) (*conn, error) {
	for {
		l.mu.Lock()
		if l.conn != nil {
			c := l.conn
			l.mu.Unlock()
			return c, nil
		}
		wait := l.dialling
		if wait == nil {
			if time.Now().Before(l.retryAt) {
				err := l.lastErr
				l.mu.Unlock()
				return nil, err
			}
			wait = make(chan struct{})
			l.dialling = wait
			if !l.node.spawn(func() { l.dial(wait) }) {
				l.dialling = nil
				l.mu.Unlock()
				return nil, errClosed
			}
		}
		l.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dial opens the connection, closes dialled and serves the connection until it
// is closed.
func (l *link) dial(dialled chan struct{}) {
	c, err := l.open()
	l.mu.Lock()
	l.dialling = nil
	if err != nil {
		l.lastErr = err
		l.retryAt = time.Now().Add(l.backoff.NextBackOff())
	} else {
		l.conn = c
		l.backoff.Reset()
	}
	l.mu.Unlock()
	close(dialled)
	if err == nil {
		l.run(c)
	}
}

func (l *link) open() (*conn, error) {
	n := l.node
	n.metrics.dials.Inc(1)
	ctx, cancel := context.WithTimeout(n.ctx, n.opts.DialTimeout)
	defer cancel()
	addr, ok := l.address()
	if !ok {
		return nil, eris.Errorf("no address for peer %s", l.peerID)
	}
	d := websocket.Dialer{HandshakeTimeout: n.opts.DialTimeout}
	ws, resp, err := d.DialContext(ctx, "ws://"+addr+peerPath, l.header())
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		n.metrics.dialErrors.Inc(1)
		return nil, eris.Wrapf(err, "dial peer %s", addr)
	}
	c := newConn(ws, true, n.metrics)
	c.stillWanted = func() bool {
		current, ok := l.address()
		return ok && current == addr
	}
	if !n.track(c) {
		c.close()
		return nil, errClosed
	}
	return c, nil
}

func (l *link) address() (string, bool) {
	if l.peerID == "" {
		return l.addr, true
	}
	return l.node.opts.Resolve(l.peerID)
}

func (l *link) header() http.Header {
	h := http.Header{}
	h.Set(headerFrom, l.node.opts.Self)
	h.Set(headerTo, l.peerID)
	if t := l.node.opts.Token; t != "" {
		h.Set("Authorization", "Bearer "+t)
	}
	return h
}

// run serves the connection until it is closed and then fails its pending calls.
func (l *link) run(c *conn) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeLoop()
	}()
	c.readLoop(l.receive)
	// Wait for the writer before failing the pending calls, so that no frame is
	// written after its caller was told that it was not sent.
	<-written
	l.mu.Lock()
	l.conn = nil
	l.retryAt = time.Now().Add(redialInitial)
	l.lastErr = eris.New("connection to peer ended")
	l.mu.Unlock()
	l.node.untrack(c)
	l.failPending(c)
	if _, ok := l.address(); !ok {
		l.node.Disconnect(l.peerID)
	}
}

func (l *link) receive(f frame, size int64) {
	l.pendingMu.Lock()
	p, ok := l.pending[f.ID]
	delete(l.pending, f.ID)
	l.pendingMu.Unlock()
	if !ok {
		// The caller no longer waits, so the class of its call is not known.
		l.node.metrics.countReceived(classControl, size)
		return
	}
	l.node.metrics.countReceived(p.class, size)
	p.answer <- f
}

func (l *link) register(c *conn, cl trafficClass) (uint64, *pendingCall) {
	l.pendingMu.Lock()
	defer l.pendingMu.Unlock()
	l.nextID++
	p := &pendingCall{conn: c, class: cl, answer: make(chan frame, 1)}
	l.pending[l.nextID] = p
	return l.nextID, p
}

func (l *link) unregister(id uint64) {
	l.pendingMu.Lock()
	defer l.pendingMu.Unlock()
	delete(l.pending, id)
}

// close closes the connection if there is one.
func (l *link) close() {
	l.mu.Lock()
	c := l.conn
	l.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// failPending fails the pending calls of c by closing their answer channels.
func (l *link) failPending(c *conn) {
	l.pendingMu.Lock()
	defer l.pendingMu.Unlock()
	for id, p := range l.pending {
		if p.conn == c {
			delete(l.pending, id)
			close(p.answer)
		}
	}
}
