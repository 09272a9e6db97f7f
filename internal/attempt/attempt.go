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

	"github.com/oklog/ulid/v2"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

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

// Observer is told how each try went. err is nil for a success; a complete
// answer with a status of 500 or more is a *StatusError. Tries that the caller
// cancelled are not reported.
type Observer func(host, pool string, err error, took time.Duration)

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
	// Observe is told of every try, or nil.
	Observe Observer
	// Metrics receives the counters of this package, or nil.
	Metrics tally.Scope
}

func (o Options) withDefaults() Options {
	setDefault(&o.ConnectTimeout, defaultConnectTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.FreshAfter, defaultFreshAfter)
	setDefault(&o.MaxAnswerBytes, defaultMaxAnswerBytes)
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Client tries requests on targets. It is safe for concurrent use.
type Client struct {
	opts    Options
	dialer  net.Dialer
	metrics *metrics

	mu     sync.Mutex
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
	resp, err := c.try(ctx, t, r)
	c.report(t, r, resp, err, time.Since(start))
	if err != nil {
		return nil, err
	}
	resp.Host = t.Host
	resp.Daemon = c.opts.Daemon
	resp.Attempts = 1
	return resp, nil
}

func (c *Client) report(t Target, r *request.Request, resp *request.Response, err *verdict.Error, took time.Duration) {
	c.metrics.count(err)
	if c.opts.Observe == nil {
		return
	}
	switch {
	case err == nil && resp.Status >= fasthttp.StatusInternalServerError:
		c.opts.Observe(t.Host, r.Pool, &StatusError{Status: resp.Status}, took)
	case err == nil:
		c.opts.Observe(t.Host, r.Pool, nil, took)
	case err.Reason == verdict.ReasonCancelled, err.Reason == verdict.ReasonBadRequest:
		// These say nothing about the host.
	default:
		c.opts.Observe(t.Host, r.Pool, err, took)
	}
}

// try returns *verdict.Error and not error, so that no failure can leave
// without a verdict.
func (c *Client) try(ctx context.Context, t Target, r *request.Request) (*request.Response, *verdict.Error) {
	if err := checkRequest(r); err != nil {
		return nil, err
	}
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	if err := contextError(ctx, verdict.NotRun); err != nil {
		return nil, err
	}
	p := c.pool(t)
	cn, err := p.acquire(ctx, r.Idempotent)
	if err != nil {
		return nil, err
	}
	resp, err := exchange(ctx, cn, r, ulid.Make().String(), c.opts.MaxAnswerBytes)
	p.release(cn)
	return resp, err
}

// pool returns the connections to t.
func (c *Client) pool(t Target) *connPool {
	limit := t.Connections
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[t.Address]
	if p == nil {
		p = newConnPool(c, t.Address)
		c.pools[t.Address] = p
	}
	p.setLimit(limit)
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

func (c *Client) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if p.sweep(now.Add(-c.opts.IdleTimeout)) {
			delete(c.pools, address)
		}
	}
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
