// Package httpplatform reaches the platform over HTTP. It is the only place
// that knows the platform's paths, verbs and field names.
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

	"greengagedeck/internal/platform"
)

const (
	defaultTimeout = 3 * time.Second
	maxConns       = 64
	maxIdle        = 10 * time.Second
	maxAnswerBytes = 64 << 20
)

// Options configures a Client.
type Options struct {
	// BaseURL is the platform's root, such as http://127.0.0.1:7000.
	BaseURL string
	// Timeout bounds each operation, 0 for 3 s. A read may take its wait on
	// top of it.
	Timeout time.Duration
	Logger  zerolog.Logger
	// Scope receives the client's counters. It may be nil.
	Scope tally.Scope
}

// Client speaks the platform's HTTP protocol.
type Client struct {
	base    string
	timeout time.Duration
	logger  zerolog.Logger
	http    *fasthttp.Client
	metrics metrics
	down    atomic.Bool
}

// New returns a client. It opens connections when they are first needed.
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
		http:    newHTTPClient(opts.Timeout),
		metrics: newMetrics(opts.Scope),
	}
}

// newHTTPClient returns a client that sends every request at most once: an
// append that is sent again behind the caller's back would be added twice.
func newHTTPClient(timeout time.Duration) *fasthttp.Client {
	dialer := &net.Dialer{Timeout: timeout}
	return &fasthttp.Client{
		Dial:                      dialWith(dialer),
		MaxConnsPerHost:           maxConns,
		MaxIdleConnDuration:       maxIdle,
		MaxResponseBodySize:       maxAnswerBytes,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
	}
}

// dialError marks a failure that happened before a connection stood, so that
// no byte of the request can have left.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

func dialWith(d *net.Dialer) fasthttp.DialFunc {
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

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call is one exchange with the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// extra is added to the client's timeout.
	extra time.Duration
}

// answer is a complete answer, whatever its status.
type answer struct {
	status int
	body   []byte
	err    error
}

// do sends one request at most once. Its error matches ErrUnavailable when no
// byte of the request can have left, and ErrUncertain otherwise.
func (c *Client) do(ctx context.Context, k call) (answer, error) {
	if err := ctx.Err(); err != nil {
		return answer{}, unavailable(err)
	}
	deadline := time.Now().Add(c.timeout + k.extra)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	done := make(chan answer, 1)
	go func() { done <- c.exchange(k, deadline) }()
	select {
	case a := <-done:
		return a, c.classify(a.err)
	case <-ctx.Done():
		return answer{}, uncertain(ctx.Err())
	}
}

func (c *Client) exchange(k call, deadline time.Time) answer {
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
		return answer{err: err}
	}
	return answer{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
}

// classify turns a failed exchange into the platform's errors and notes
// changes of reachability.
func (c *Client) classify(err error) error {
	var dial *dialError
	switch {
	case err == nil:
		c.note(false)
		return nil
	case errors.As(err, &dial), errors.Is(err, fasthttp.ErrNoFreeConns):
		c.note(true)
		return unavailable(err)
	default:
		return uncertain(err)
	}
}

// note logs when the platform becomes unreachable and reachable again.
func (c *Client) note(down bool) {
	if c.down.Swap(down) == down {
		return
	}
	if down {
		c.logger.Warn().Str("platform", c.base).Msg("platform unreachable")
		return
	}
	c.logger.Info().Str("platform", c.base).Msg("platform reachable")
}

// operationError is a failed operation: which of the platform's errors it
// counts as, and why.
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

// statusError turns an answer that is not a success into an error. Only 503
// and 429 promise that nothing was done.
func statusError(a answer) error {
	switch a.status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return unavailable(eris.Errorf("status %d: %s", a.status, a.body))
	default:
		return uncertain(eris.Errorf("status %d: %s", a.status, a.body))
	}
}

func decode(a answer, v any) error {
	if err := cbor.Unmarshal(a.body, v); err != nil {
		return uncertain(eris.Wrap(err, "answer"))
	}
	return nil
}
