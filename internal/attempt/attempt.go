// Package attempt makes one try at a target: it sends a request over a
// connection, waits for the whole answer and says with certainty what a
// failure proves about whether the target ran the request.
//
// The package never repeats a request. It also holds what its callers need to
// decide about a next try: a retry budget and the ejection of failing hosts.
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
	defaultConnectTimeout = 500 * time.Millisecond
	defaultIdleTimeout    = 30 * time.Second
	defaultFreshAfter     = time.Second
	defaultMaxConnections = 64
	defaultMaxAnswerBytes = 16 << 20
)

// Target is the host that a request is tried on.
type Target struct {
	// Host is the host's name in the catalogue.
	Host string
	// Address is its IP:port.
	Address string
	// Connections is the most connections that this client opens to it, 0
	// for the client's default.
	Connections int
}

// Health follows how tries at hosts go. *Ejector implements it.
type Health interface {
	// Started notes that a try at host begins.
	Started(host string, now time.Time)
	// Observe notes how a try went. err is nil for a success; a complete
	// answer with a status of 500 or more is a *StatusError. Tries that say
	// nothing about the host, as cancelled ones, are not observed.
	Observe(host, pool string, err error, took time.Duration, now time.Time)
}

// Options configures a Client. Zero values take the package's defaults.
type Options struct {
	// Daemon is the ID of this daemon, named in each answer.
	Daemon string
	// ConnectTimeout bounds how long opening a connection may take.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// FreshAfter is the idle time from which a connection no longer carries
	// a request that is not idempotent.
	FreshAfter time.Duration
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes int
	// Health is told of every try, or nil.
	Health Health
	// Metrics receives the counters of this package, or nil.
	Metrics tally.Scope
}

func (o Options) withDefaults() Options {
	option.Default(&o.ConnectTimeout, defaultConnectTimeout)
	option.Default(&o.IdleTimeout, defaultIdleTimeout)
	option.Default(&o.FreshAfter, defaultFreshAfter)
	option.Default(&o.MaxAnswerBytes, defaultMaxAnswerBytes)
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return o
}

// Client tries requests on targets. It is safe for concurrent use.
type Client struct {
	opts    Options
	dialer  net.Dialer
	metrics *metrics

	mu     sync.RWMutex
	pools  map[string]*connPool
	closed bool
}

// New returns a client without connections.
func New(opts Options) *Client {
	opts = opts.withDefaults()
	return &Client{
		opts:    opts,
		dialer:  net.Dialer{Timeout: opts.ConnectTimeout},
		metrics: newMetrics(opts.Metrics),
		pools:   map[string]*connPool{},
	}
}

// Do sends r to t once and returns the whole answer. A failure is a
// *verdict.Error whose verdict is NotRun only when it is certain that t did not
// start the request.
func (c *Client) Do(ctx context.Context, t Target, r *request.Request) (*request.Response, error) {
	start := time.Now()
	if c.opts.Health != nil {
		c.opts.Health.Started(t.Host, start)
	}
	resp, err := c.try(ctx, t, r)
	c.metrics.count(err)
	c.observe(t, r, resp, err, start)
	if err != nil {
		return nil, err
	}
	resp.Host = t.Host
	resp.Daemon = c.opts.Daemon
	resp.Attempts = 1
	return resp, nil
}

func (c *Client) observe(t Target, r *request.Request, resp *request.Response, err *verdict.Error, start time.Time) {
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

// hostOutcome returns what a try says about its host, if it says anything.
func hostOutcome(resp *request.Response, err *verdict.Error) (outcome error, ok bool) {
	switch {
	case err == nil && resp.Status >= fasthttp.StatusInternalServerError:
		return &StatusError{Status: resp.Status}, true
	case err == nil:
		return nil, true
	case err.Reason == verdict.ReasonCancelled, err.Reason == verdict.ReasonBadRequest:
		return nil, false
	case err.Reason == verdict.ReasonDeadline:
		// The deadline passed before the request left.
		return nil, false
	default:
		return err, true
	}
}

// try returns *verdict.Error and not error, so that no failure can leave
// without a verdict.
func (c *Client) try(ctx context.Context, t Target, r *request.Request) (*request.Response, *verdict.Error) {
	if err := checkRequest(r); err != nil {
		return nil, err
	}
	deadline := earliestDeadline(ctx, r)
	if err := ended(ctx, deadline); err != nil {
		return nil, err
	}
	p := c.pool(t)
	cn, err := p.acquire(ctx, deadline, r.Idempotent)
	if err != nil {
		return nil, err
	}
	resp, err := exchange(ctx, cn, deadline, r, request.NewID(time.Now()).String(), c.opts.MaxAnswerBytes)
	p.release(cn)
	return resp, err
}

// pool returns the connections to t.
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

// Run closes connections that stay unused, until ctx is done; then it closes
// all that are idle.
func (c *Client) Run(ctx context.Context) {
	tick := time.NewTicker(c.opts.IdleTimeout)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			c.Close()
			return
		case now := <-tick.C:
			c.sweep(now)
		}
	}
}

// Close closes the idle connections and lets none become idle again. Tries in
// progress are not disturbed.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.pools {
		p.close()
	}
}

// sweep keeps pools without connections: a try may be about to use one, and a
// second pool of its address would have a limit of its own.
func (c *Client) sweep(now time.Time) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, p := range c.pools {
		p.sweep(now.Add(-c.opts.IdleTimeout))
	}
}

// earliestDeadline returns the deadline of r or of ctx, or zero for none.
func earliestDeadline(ctx context.Context, r *request.Request) time.Time {
	d, ok := ctx.Deadline()
	if !ok || !r.Deadline.IsZero() && r.Deadline.Before(d) {
		return r.Deadline
	}
	return d
}

// ended refuses a request whose caller no longer waits for it.
func ended(ctx context.Context, deadline time.Time) *verdict.Error {
	if err := contextError(ctx, verdict.NotRun); err != nil {
		return err
	}
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		return verdict.NewNotRun(verdict.ReasonDeadline, "deadline passed")
	}
	return nil
}

// contextError returns a failure when ctx is done, else nil.
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
