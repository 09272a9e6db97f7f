// Package httpplatform implements the platform's interfaces over HTTP. It is the
// only package that defines the paths, methods and field names of the platform's
// API.
package httpplatform

import (
	"context"
	"errors"
	"net"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/keptconn"
	"greengagedeck/internal/platform"
)

const (
	defaultTimeout   = 3 * time.Second
	maxConns         = 64
	maxIdle          = 10 * time.Second
	maxResponseBytes = 64 << 20
)

// Options configures a Client.
type Options struct {
	// BaseURL is the platform's root, such as http://127.0.0.1:7000.
	BaseURL string
	// Timeout bounds each operation; 0 means 3 s. A read may take its wait in
	// addition.
	Timeout time.Duration
	Logger  zerolog.Logger
	// Scope receives the client's counters. It may be nil.
	Scope tally.Scope
}

// Client is a client of the platform's HTTP API.
type Client struct {
	base    string
	timeout time.Duration
	logger  zerolog.Logger
	http    *fasthttp.Client
	metrics metrics
	down    atomic.Bool
}

// New returns a client. Connections are opened on demand.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Client{
		base:    strings.TrimSuffix(opts.BaseURL, "/"),
		timeout: opts.Timeout,
		logger:  opts.Logger,
		http:    newHTTPClient(opts.Timeout, opts.Scope.SubScope("platform")),
		metrics: newMetrics(opts.Scope),
	}
}

// newHTTPClient returns a client that sends every request at most once, because
// an automatic retry could append a record twice. It passes over kept connections that
// do not work any more.
func newHTTPClient(timeout time.Duration, scope tally.Scope) *fasthttp.Client {
	dialer := &net.Dialer{Timeout: timeout}
	return &fasthttp.Client{
		Dial:                      keptconn.NewDialer(dialFunc(dialer), maxIdle, scope).Dial,
		MaxConnsPerHost:           maxConns,
		MaxIdleConnDuration:       maxIdle,
		MaxResponseBodySize:       maxResponseBytes,
		MaxIdemponentCallAttempts: maxConns + 1,
		NoDefaultUserAgentHeader:  true,
		RetryIfErr:                keptconn.Retry,
	}
}

// dialError is a failure to establish a connection, so that no byte of the
// request can have been sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

func dialFunc(d *net.Dialer) fasthttp.DialFunc {
	return func(addr string) (net.Conn, error) {
		conn, err := d.Dial("tcp", addr)
		if err != nil {
			return nil, &dialError{err: err}
		}
		return conn, nil
	}
}

// Log returns the platform's log.
func (c *Client) Log() platform.Log { return logClient{c} }

// Hosts returns the platform's host list.
func (c *Client) Hosts() platform.Hosts { return &hostsClient{c: c} }

// Tasks returns the platform's control over tasks.
func (c *Client) Tasks() platform.Tasks { return tasksClient{c} }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call describes one request to the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// extraTimeout is added to the client's timeout for this call.
	extraTimeout time.Duration
}

// response is a complete response of any status, or the error of the exchange.
type response struct {
	status int
	body   []byte
	err    error
}

// do sends one request at most once. Its error matches ErrUnavailable if no byte
// of the request can have been sent, and ErrUncertain otherwise.
func (c *Client) do(ctx context.Context, k call) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, unavailable(err)
	}
	deadline := time.Now().Add(c.timeout + k.extraTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	responses := make(chan response, 1)
	go func() { responses <- c.exchange(k, deadline) }()
	select {
	case r := <-responses:
		return r, c.classify(r.err)
	case <-ctx.Done():
		return response{}, uncertain(ctx.Err())
	}
}

func (c *Client) exchange(k call, deadline time.Time) response {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	uri := c.base + k.path
	if len(k.query) > 0 {
		uri += "?" + k.query.Encode()
	}
	req.SetRequestURI(uri)
	req.Header.SetMethod(k.method)
	if k.method == fasthttp.MethodPost {
		req.SetBody(k.body)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return response{err: err}
	}
	return response{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
}

// classify maps the error of an exchange to the errors of package platform and
// logs changes of reachability.
func (c *Client) classify(err error) error {
	var dial *dialError
	switch {
	case err == nil:
		c.logReachability(false)
		return nil
	case errors.As(err, &dial), errors.Is(err, fasthttp.ErrNoFreeConns), errors.Is(err, keptconn.ErrUnusable):
		c.logReachability(true)
		return unavailable(err)
	default:
		return uncertain(err)
	}
}

// logReachability writes a log line when the platform becomes unreachable or
// reachable again.
func (c *Client) logReachability(down bool) {
	if c.down.Swap(down) == down {
		return
	}
	if down {
		c.logger.Warn().Str("platform", c.base).Msg("platform unreachable")
		return
	}
	c.logger.Info().Str("platform", c.base).Msg("platform reachable")
}

// operationError is the error of a failed operation. It matches kind, one of the
// errors of package platform, and wraps cause.
type operationError struct {
	kind  error
	cause error
}

func (e *operationError) Error() string        { return e.kind.Error() + ": " + e.cause.Error() }
func (e *operationError) Is(target error) bool { return target == e.kind }
func (e *operationError) Unwrap() error        { return e.cause }

func unavailable(cause error) error {
	return &operationError{kind: platform.ErrUnavailable, cause: cause}
}

func uncertain(cause error) error {
	return &operationError{kind: platform.ErrUncertain, cause: cause}
}

// statusError returns the error for a response other than 200. Only 503 and 429
// guarantee that the operation was not carried out.
func statusError(r response) error {
	switch r.status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return unavailable(eris.Errorf("status %d: %s", r.status, r.body))
	default:
		return uncertain(eris.Errorf("status %d: %s", r.status, r.body))
	}
}

func decode(r response, v any) error {
	if err := cbor.Unmarshal(r.body, v); err != nil {
		return uncertain(eris.Wrap(err, "answer"))
	}
	return nil
}
