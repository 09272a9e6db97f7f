// Package attempt makes a single attempt of a request at a target: it sends the
// request over a connection, reads the complete response, and classifies each
// failure by whether the target may have run the request.
//
// The package never retries. It provides what its callers need to decide on
// retries: a retry budget and the ejection of failing hosts.
package attempt

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/option"
	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

// The defaults of Options.
const (
	defaultConnectTimeout       = 500 * time.Millisecond
	defaultIdleTimeout          = 30 * time.Second
	defaultNonIdempotentMaxIdle = time.Second
	defaultMaxConnections       = 64
	defaultMaxResponseBytes     = 16 << 20
)

// Target is the host that a request is sent to.
type Target struct {
	// Host is the host's name in the catalogue.
	Host string
	// Address is its IP:port.
	Address string
	// Connections is the maximum number of connections that this client
	// opens to the target. 0 selects the default.
	Connections int
}

// HealthObserver is told of the attempts at hosts and their outcomes. *Ejector
// implements it.
type HealthObserver interface {
	// Started records the start of an attempt at host.
	Started(host string, now time.Time)
	// Observe records the outcome of an attempt. err is nil for a success;
	// a complete response with a status of 500 or more is a *StatusError.
	// Attempts whose outcome does not depend on the host, such as cancelled
	// ones, are not observed.
	Observe(host, pool string, err error, took time.Duration, now time.Time)
}

// Options configures a Client. Zero values take the package's defaults.
type Options struct {
	// Daemon is the ID of this daemon, which is set in each response.
	Daemon string
	// ConnectTimeout bounds how long opening a connection may take.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// NonIdempotentMaxIdle is the idle time above which a connection is not
	// used for a request that is not idempotent.
	NonIdempotentMaxIdle time.Duration
	// MaxResponseBytes is the maximum size of a response body.
	MaxResponseBytes int
	// Health is told of every attempt. It may be nil.
	Health HealthObserver
	// Metrics receives the counters of this package. It may be nil.
	Metrics tally.Scope
}

func (o Options) withDefaults() Options {
	option.Default(&o.ConnectTimeout, defaultConnectTimeout)
	option.Default(&o.IdleTimeout, defaultIdleTimeout)
	option.Default(&o.NonIdempotentMaxIdle, defaultNonIdempotentMaxIdle)
	option.Default(&o.MaxResponseBytes, defaultMaxResponseBytes)
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return o
}

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	opts    Options
	dialer  net.Dialer
	metrics *metrics

	mu     sync.RWMutex
	pools  map[string]*connPool
	closed bool
}

// New returns a client with no open connections.
func New(opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{
		opts:    opts,
		dialer:  net.Dialer{Timeout: opts.ConnectTimeout},
		metrics: newMetrics(opts.Metrics),
		pools:   map[string]*connPool{},
	}
}

// Do sends r to t once and returns the complete response. A failure is a
// *verdict.Error whose verdict is NotRun only when it is certain that t did not
// start the request.
func (c *Client) Do(ctx context.Context, t Target, r *request.Request) (*request.Response, error) {
	start := time.Now()
	if c.opts.Health != nil {
		c.opts.Health.Started(t.Host, start)
	}
	resp, err := c.roundTrip(ctx, t, r)
	c.metrics.countVerdict(err)
	c.reportHealth(t, r, resp, err, start)
	if err != nil {
		return nil, err
	}
	resp.Host = t.Host
	resp.Daemon = c.opts.Daemon
	resp.Attempts = 1
	return resp, nil
}

func (c *Client) reportHealth(t Target, r *request.Request, resp *request.Response, err *verdict.Error, start time.Time) {
	if c.opts.Health == nil {
		return
	}
	outcome, ok := hostOutcome(resp, err)
	if !ok {
		return
	}
	now := time.Now()
	c.opts.Health.Observe(t.Host, r.Pool, outcome, now.Sub(start), now)
}

// hostOutcome returns the outcome of an attempt as it counts for the host's
// health. ok is false if the outcome does not depend on the host.
func hostOutcome(resp *request.Response, err *verdict.Error) (outcome error, ok bool) {
	switch {
	case err == nil && resp.Status >= fasthttp.StatusInternalServerError:
		return &StatusError{Status: resp.Status}, true
	case err == nil:
		return nil, true
	case err.Reason == verdict.ReasonCancelled, err.Reason == verdict.ReasonBadRequest:
		return nil, false
	case err.Reason == verdict.ReasonDeadline:
		// The deadline passed before the request was sent.
		return nil, false
	default:
		return err, true
	}
}

// roundTrip returns *verdict.Error rather than error, so that every failure
// has a verdict.
func (c *Client) roundTrip(ctx context.Context, t Target, r *request.Request) (*request.Response, *verdict.Error) {
	if err := checkRequest(r); err != nil {
		return nil, err
	}
	deadline := earliestDeadline(ctx, r)
	if err := checkExpired(ctx, deadline); err != nil {
		return nil, err
	}
	p := c.pool(t)
	cn, err := p.acquire(ctx, deadline, r.Idempotent)
	if err != nil {
		return nil, err
	}
	resp, err := exchange(ctx, cn, deadline, r, request.NewID(time.Now()).String(), c.opts.MaxResponseBytes)
	p.release(cn)
	return resp, err
}

// pool returns the connection pool of t and updates its limit.
func (c *Client) pool(t Target) *connPool {
	limit := t.Connections
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	c.mu.RLock()
	p := c.pools[t.Address]
	c.mu.RUnlock()
	if p == nil {
		p = c.addPool(t.Address)
	}
	p.setLimit(limit)
	return p
}

func (c *Client) addPool(address string) *connPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = newConnPool(c, address)
		p.closed = c.closed
		c.pools[address] = p
	}
	return p
}

// Run periodically closes connections that have been idle for IdleTimeout. When
// ctx is done, it closes the client and returns.
func (c *Client) Run(ctx context.Context) {
	tick := time.NewTicker(c.opts.IdleTimeout)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			c.Close()
			return
		case now := <-tick.C:
			c.closeIdleConnections(now)
		}
	}
}

// Close closes the idle connections and prevents others from becoming idle.
// Attempts in progress continue.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.pools {
		p.close()
	}
}

// closeIdleConnections closes connections that have been idle for IdleTimeout.
// It keeps empty pools: an attempt may be about to use one, and a second pool
// for the same address would have a separate connection limit.
func (c *Client) closeIdleConnections(now time.Time) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, p := range c.pools {
		p.closeIdleBefore(now.Add(-c.opts.IdleTimeout))
	}
}

// earliestDeadline returns the earlier deadline of r and ctx, or the zero time
// if neither has one.
func earliestDeadline(ctx context.Context, r *request.Request) time.Time {
	d, ok := ctx.Deadline()
	if !ok || !r.Deadline.IsZero() && r.Deadline.Before(d) {
		return r.Deadline
	}
	return d
}

// checkExpired rejects a request whose context is done or whose deadline has
// passed.
func checkExpired(ctx context.Context, deadline time.Time) *verdict.Error {
	if err := contextError(ctx, verdict.NotRun); err != nil {
		return err
	}
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		return verdict.NewNotRun(verdict.ReasonDeadline, "deadline passed")
	}
	return nil
}

// contextError returns an error with verdict v if ctx is done, otherwise nil.
func contextError(ctx context.Context, v verdict.Verdict) *verdict.Error {
	err := ctx.Err()
	if err == nil {
		return nil
	}
	return &verdict.Error{Verdict: v, Reason: contextReason(err, v), Detail: err.Error()}
}

func contextReason(err error, v verdict.Verdict) verdict.Reason {
	switch {
	case err == context.Canceled:
		return verdict.ReasonCancelled
	case v == verdict.NotRun:
		return verdict.ReasonDeadline
	default:
		return verdict.ReasonTimeout
	}
}
