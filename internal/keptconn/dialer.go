package keptconn

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
)

// ErrUnusable means that a kept connection does not work any more, and that no byte of
// the request was sent on it.
var ErrUnusable = eris.New("the connection was closed while it was idle")

// Retry is for the field RetryIfErr of a fasthttp client whose connections a Dialer opens.
// The client must be allowed one attempt more than it keeps connections.
func Retry(_ *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
	return false, errors.Is(err, ErrUnusable)
}

// Dialer opens connections that are kept between requests, and knows at which addresses
// connections have failed.
type Dialer struct {
	dial fasthttp.DialFunc
	// maxIdle is how long connections are kept.
	maxIdle time.Duration
	// opened counts the connections opened, and unusable the kept ones that could not
	// be used again.
	opened, unusable tally.Counter

	mu sync.Mutex
	// failures is when a connection to an address last failed.
	failures map[string]time.Time
}

// NewDialer returns a dialer that opens connections by dial. maxIdle is for how long the
// client keeps unused connections.
func NewDialer(dial fasthttp.DialFunc, maxIdle time.Duration, scope tally.Scope) *Dialer {
	return &Dialer{
		dial:     dial,
		maxIdle:  maxIdle,
		opened:   scope.Counter("connections_opened"),
		unusable: scope.Counter("connections_unusable"),
		failures: map[string]time.Time{},
	}
}

// Dial opens a connection. The first write of a request on one that was kept fails with
// ErrUnusable if the other end has closed it meanwhile, or if another connection to the
// address has failed since it was last read from.
func (d *Dialer) Dial(addr string) (net.Conn, error) {
	c, err := d.dial(addr)
	if err != nil {
		return nil, err
	}
	d.opened.Inc(1)
	return &conn{Conn: c, probe: NewProbe(c), dialer: d, addr: addr}, nil
}

// recordFailure records that a connection to an address has failed. What failed it may
// have failed the others too.
func (d *Dialer) recordFailure(addr string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, at := range d.failures {
		if now.Sub(at) > d.maxIdle {
			delete(d.failures, other)
		}
	}
	d.failures[addr] = now
}

// failedSince reports whether a connection to an address has failed since a moment.
func (d *Dialer) failedSince(addr string, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.failures[addr]
	return ok && at.After(since)
}

// conn is a connection that is kept between requests. It is used by one request at a
// time.
type conn struct {
	net.Conn
	probe  *Probe
	dialer *Dialer
	addr   string
	// lastRead is when bytes of an answer last arrived, and kept is set from then on
	// until the next request is written.
	lastRead time.Time
	kept     bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	now := time.Now()
	if n > 0 {
		c.lastRead = now
		c.kept = true
	}
	if err != nil {
		c.dialer.recordFailure(c.addr, now)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.kept {
		c.kept = false
		if c.dialer.failedSince(c.addr, c.lastRead) || !c.probe.OpenAndEmpty() {
			c.dialer.unusable.Inc(1)
			return 0, ErrUnusable
		}
	}
	return c.Conn.Write(p)
}
