// Package gateway serves callers and operators over HTTP.
package gateway

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/oklog/ulid/v2"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

// Header fields of the caller API, described in docs/API.md.
const (
	HeaderRequestID  = "Request-Id"
	HeaderIdempotent = "Idempotent"
	HeaderDeadline   = "Request-Deadline-Ms"
	HeaderClass      = "Request-Class"
	HeaderVerdict    = "Request-Verdict"
	HeaderReason     = "Request-Reason"
	HeaderHost       = "Request-Host"
	HeaderAttempts   = "Request-Attempts"
	HeaderEntry      = "Request-Entry"
	HeaderOwner      = "Request-Owner"
)

// MaxBodyBytes bounds a caller's request body.
const MaxBodyBytes = 1 << 20

// Entries looks up catalogue entries in the current state.
type Entries interface {
	Entry(name string) (catalogue.Entry, bool)
}

// Result describes a finished request for metrics and traces.
type Result struct {
	Request  *request.Request
	Response *request.Response
	Err      error
	Duration time.Duration
}

// Recorder counts and traces finished requests. It must not block.
type Recorder interface {
	Record(Result)
}

// CallerOptions configure CallerAPI.
type CallerOptions struct {
	Entries Entries
	Server  request.Server
	// Ready reports whether this daemon may serve.
	Ready func() bool
	// CloseConnections reports whether responses close their connections. They
	// do so when this daemon stops, so that the balancer opens its next
	// connections to other daemons.
	CloseConnections func() bool
	Recorder         Recorder
	Scope            tally.Scope
}

// CallerAPI serves the callers' HTTP interface.
type CallerAPI struct {
	opt      CallerOptions
	counters map[verdict.Verdict]tally.Counter
	latency  tally.Histogram
}

// NewCallerAPI returns the caller API.
func NewCallerAPI(opt CallerOptions) *CallerAPI {
	opt.Scope = opt.Scope.SubScope("gateway")
	c := &CallerAPI{
		opt:      opt,
		counters: map[verdict.Verdict]tally.Counter{},
		latency:  opt.Scope.Histogram("request_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)),
	}
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		c.counters[v] = opt.Scope.Tagged(map[string]string{"verdict": v.String()}).Counter("requests")
	}
	return c
}

// Handler returns the handler of the callers' listener.
func (c *CallerAPI) Handler() fasthttp.RequestHandler {
	r := router.New()
	// A redirect would make the caller send its request again.
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.ANY("/v1/entries/{rest:*}", c.serve)
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		writeError(ctx, verdict.NewNotRun(verdict.ReasonBadRequest, "no such path: requests go to /v1/entries/ENTRY/"))
	}
	return r.Handler
}

func (c *CallerAPI) serve(ctx *fasthttp.RequestCtx) {
	start := time.Now()
	if c.opt.CloseConnections() {
		ctx.SetConnectionClose()
	}
	req, resp, err := c.handle(ctx, start)
	took := time.Since(start)
	c.counters[verdict.Of(err)].Inc(1)
	c.latency.RecordDuration(took)
	if req != nil {
		c.opt.Recorder.Record(Result{Request: req, Response: resp, Err: err, Duration: took})
		ctx.Response.Header.Set(HeaderRequestID, req.ID)
		ctx.Response.Header.Set(HeaderEntry, req.Entry)
		ctx.Response.Header.Set(HeaderOwner, req.Owner)
	}
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeResponse(ctx, resp)
}

func (c *CallerAPI) handle(ctx *fasthttp.RequestCtx, start time.Time) (*request.Request, *request.Response, error) {
	if !c.opt.Ready() {
		return nil, nil, verdict.NewNotRun(verdict.ReasonNotReady, "this daemon has no current state yet")
	}
	req, err := c.parse(ctx, start)
	if err != nil {
		return nil, nil, err
	}
	dctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	resp, err := c.opt.Server.Serve(dctx, req)
	return req, resp, err
}

// parse validates a caller's request against its entry. An error guarantees that
// nothing ran.
func (c *CallerAPI) parse(ctx *fasthttp.RequestCtx, start time.Time) (*request.Request, error) {
	rest, _ := ctx.UserValue("rest").(string)
	name, path, _ := strings.Cut(rest, "/")
	e, ok := c.opt.Entries.Entry(name)
	if !ok || e.Disabled {
		return nil, verdict.NewNotRun(verdict.ReasonUnknownEntry, "no entry %q in force", name)
	}
	body := ctx.PostBody()
	if e.Limits.BodyBytes > 0 && len(body) > e.Limits.BodyBytes {
		return nil, verdict.NewNotRun(verdict.ReasonNeverRunnable, "body has %d bytes, limit body_bytes of entry %s is %d", len(body), e.Name, e.Limits.BodyBytes)
	}
	p := headerParser{h: &ctx.Request.Header}
	req := &request.Request{
		ID:          p.id(start),
		IDGenerated: len(p.h.Peek(HeaderRequestID)) == 0,
		Entry:       e.Name,
		Owner:       e.Owner,
		Pool:        e.Pool,
		Class:       p.class(e.Class),
		Idempotent:  p.idempotent(e.Idempotent),
		Deadline:    start.Add(p.deadline(e.Limits.Deadline)),
		Arrived:     start,
		Method:      string(ctx.Method()),
		Path:        targetPath(path, ctx.URI().QueryString()),
		Header:      p.forwarded(),
		Body:        append([]byte(nil), body...),
	}
	if p.err != nil {
		return nil, p.err
	}
	return req, nil
}

// targetPath returns the path that follows the entry's name, with the query.
func targetPath(path string, query []byte) string {
	path = "/" + path
	if len(query) > 0 {
		path += "?" + string(query)
	}
	return path
}

// headerParser reads the header fields of a request and keeps the first error.
type headerParser struct {
	h   *fasthttp.RequestHeader
	err error
}

func (p *headerParser) addError(format string, args ...any) {
	if p.err == nil {
		p.err = verdict.NewNotRun(verdict.ReasonBadRequest, format, args...)
	}
}

func (p *headerParser) id(now time.Time) string {
	v := string(p.h.Peek(HeaderRequestID))
	if v == "" {
		return request.NewID(now).String()
	}
	id, err := ulid.ParseStrict(v)
	if err != nil {
		p.addError("%s %q is not a ULID", HeaderRequestID, v)
		return ""
	}
	return id.String()
}

func (p *headerParser) class(declared request.Class) request.Class {
	v := string(p.h.Peek(HeaderClass))
	if v == "" {
		return declared
	}
	c := request.Class(v)
	if !c.Valid() {
		p.addError("%s %q is not urgent, short or long", HeaderClass, v)
	}
	if c == request.ClassUrgent && declared != request.ClassUrgent {
		p.addError("%s urgent is not allowed: the entry's class is %s", HeaderClass, declared)
	}
	return c
}

func (p *headerParser) idempotent(declared bool) bool {
	v := string(p.h.Peek(HeaderIdempotent))
	if v == "" {
		return declared
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		p.addError("%s %q is not true or false", HeaderIdempotent, v)
	}
	return b
}

func (p *headerParser) deadline(limit time.Duration) time.Duration {
	v := string(p.h.Peek(HeaderDeadline))
	if v == "" {
		return limit
	}
	ms, err := strconv.ParseInt(v, 10, 32)
	if err != nil || ms <= 0 {
		p.addError("%s %q is not a positive number of milliseconds", HeaderDeadline, v)
		return limit
	}
	return min(time.Duration(ms)*time.Millisecond, limit)
}

// forwarded returns the header fields that are sent on to the target.
func (p *headerParser) forwarded() []request.Field {
	var out []request.Field
	for k, v := range p.h.All() {
		name := string(k)
		if consumedByGateway(name) {
			continue
		}
		out = append(out, request.Field{Name: name, Value: string(v)})
	}
	return out
}

// consumedByGateway reports whether a header field is not forwarded to the target.
func consumedByGateway(name string) bool {
	switch name {
	case HeaderRequestID, HeaderIdempotent, HeaderDeadline, HeaderClass, "Host", "Content-Length", "Connection":
		return true
	default:
		return false
	}
}

func writeResponse(ctx *fasthttp.RequestCtx, resp *request.Response) {
	for _, f := range resp.Header {
		ctx.Response.Header.Add(f.Name, f.Value)
	}
	ctx.SetStatusCode(resp.Status)
	ctx.SetBody(resp.Body)
	h := &ctx.Response.Header
	h.Set(HeaderVerdict, verdict.Ran.String())
	h.Set(HeaderHost, resp.Host)
	h.Set(HeaderAttempts, strconv.Itoa(resp.Attempts))
}

func writeError(ctx *fasthttp.RequestCtx, err error) {
	var e *verdict.Error
	if !errors.As(err, &e) {
		e = verdict.NewMayHaveRun(verdict.ReasonConnectionLost, "%v", err)
	}
	ctx.SetStatusCode(httpStatus(e))
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(e.Error() + "\n")
	h := &ctx.Response.Header
	if id := ctx.Request.Header.Peek(HeaderRequestID); len(id) > 0 && len(h.Peek(HeaderRequestID)) == 0 {
		h.SetBytesV(HeaderRequestID, id)
	}
	h.Set(HeaderVerdict, e.Verdict.String())
	h.Set(HeaderReason, string(e.Reason))
	if e.RetryAfter > 0 {
		secs := int64((e.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(secs, 10))
	}
}

// httpStatus maps reasons to HTTP status codes.
func httpStatus(e *verdict.Error) int {
	switch e.Reason {
	case verdict.ReasonBadRequest:
		return fasthttp.StatusBadRequest
	case verdict.ReasonUnknownEntry:
		return fasthttp.StatusNotFound
	case verdict.ReasonNeverRunnable:
		return fasthttp.StatusUnprocessableEntity
	case verdict.ReasonDuplicate:
		return fasthttp.StatusConflict
	case verdict.ReasonQuota:
		return fasthttp.StatusTooManyRequests
	case verdict.ReasonDeadline, verdict.ReasonTimeout, verdict.ReasonCancelled:
		return fasthttp.StatusGatewayTimeout
	case verdict.ReasonConnectionLost, verdict.ReasonTruncated, verdict.ReasonConnect, verdict.ReasonPeerLost:
		return fasthttp.StatusBadGateway
	default:
		return fasthttp.StatusServiceUnavailable
	}
}
