package gateway_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/gateway"
	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

type fakeEntries map[string]catalogue.Entry

func (f fakeEntries) Entry(name string) (catalogue.Entry, bool) {
	e, ok := f[name]
	return e, ok
}

type resultRecorder struct{ got []gateway.Result }

func (l *resultRecorder) Record(r gateway.Result) { l.got = append(l.got, r) }

var entries = fakeEntries{
	"quote": {
		Name: "quote", Owner: "clinic", Pool: "clinic-desk", Class: request.ClassShort, Idempotent: true,
		Limits: catalogue.Limits{Deadline: 2 * time.Second, BodyBytes: 8},
	},
	"off": {Name: "off", Owner: "clinic", Disabled: true},
}

// callHandler sends one request through the handler.
func callHandler(opt gateway.CallerOptions, path, body string, header ...string) *fasthttp.RequestCtx {
	if opt.Ready == nil {
		opt.Ready = func() bool { return true }
	}
	if opt.Recorder == nil {
		opt.Recorder = &resultRecorder{}
	}
	if opt.CloseConnections == nil {
		opt.CloseConnections = func() bool { return false }
	}
	opt.Entries = entries
	opt.Scope = tally.NoopScope
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.SetRequestURI(path)
	ctx.Request.SetBodyString(body)
	for i := 0; i < len(header); i += 2 {
		ctx.Request.Header.Set(header[i], header[i+1])
	}
	gateway.NewCallerAPI(opt).Handler()(&ctx)
	return &ctx
}

// fixedServer returns a fixed response or error and records the request.
type fixedServer struct {
	resp *request.Response
	err  error
	got  *request.Request
}

func (a *fixedServer) Serve(_ context.Context, r *request.Request) (*request.Response, error) {
	a.got = r
	return a.resp, a.err
}

func TestInvalidRequestsNotRun(t *testing.T) {
	tests := []struct {
		name, path, body string
		header           []string
		status           int
		reason           verdict.Reason
	}{
		{"unknown path", "/quote", "", nil, 400, verdict.ReasonBadRequest},
		{"unknown entry", "/v1/entries/none/", "", nil, 404, verdict.ReasonUnknownEntry},
		{"disabled entry", "/v1/entries/off", "", nil, 404, verdict.ReasonUnknownEntry},
		{"body over the limit", "/v1/entries/quote/", "123456789", nil, 422, verdict.ReasonNeverRunnable},
		{"id not a ULID", "/v1/entries/quote/", "", []string{"Request-Id", "x"}, 400, verdict.ReasonBadRequest},
		{"bad class", "/v1/entries/quote/", "", []string{"Request-Class", "tiny"}, 400, verdict.ReasonBadRequest},
		{"urgent not declared", "/v1/entries/quote/", "", []string{"Request-Class", "urgent"}, 400, verdict.ReasonBadRequest},
		{"bad deadline", "/v1/entries/quote/", "", []string{"Request-Deadline-Ms", "-1"}, 400, verdict.ReasonBadRequest},
		{"bad idempotent", "/v1/entries/quote/", "", []string{"Idempotent", "perhaps"}, 400, verdict.ReasonBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			server := &fixedServer{}
			ctx := callHandler(gateway.CallerOptions{Server: server}, tt.path, tt.body, tt.header...)
			g.Expect(server.got).To(BeNil())
			g.Expect(ctx.Response.StatusCode()).To(Equal(tt.status))
			g.Expect(string(ctx.Response.Header.Peek(gateway.HeaderVerdict))).To(Equal("not-run"))
			g.Expect(string(ctx.Response.Header.Peek(gateway.HeaderReason))).To(BeEquivalentTo(tt.reason))
		})
	}
}

func TestRequestAndResponsePassThrough(t *testing.T) {
	g := NewWithT(t)
	server := &fixedServer{resp: &request.Response{Status: 201, Body: []byte("done"), Host: "w1", Attempts: 2}}
	rec := &resultRecorder{}
	ctx := callHandler(gateway.CallerOptions{Server: server, Recorder: rec}, "/v1/entries/quote/a/b?c=d", "body",
		"Request-Id", "01M904GS00RPVNAV3ZEEHW8BY5", "Request-Deadline-Ms", "60000", "Idempotent", "false", "X-Own", "1")
	r := server.got
	g.Expect(r.ID).To(Equal("01M904GS00RPVNAV3ZEEHW8BY5"))
	g.Expect(r.Owner).To(Equal("clinic"))
	g.Expect(r.Path).To(Equal("/a/b?c=d"))
	g.Expect(string(r.Body)).To(Equal("body"))
	g.Expect(r.Idempotent).To(BeFalse())
	g.Expect(r.Deadline.Sub(r.Arrived)).To(Equal(2*time.Second), "the entry's limit bounds the deadline")
	g.Expect(r.Header).To(ContainElement(request.Field{Name: "X-Own", Value: "1"}))
	g.Expect(ctx.Response.StatusCode()).To(Equal(201))
	g.Expect(string(ctx.Response.Body())).To(Equal("done"))
	for name, want := range map[string]string{
		"Request-Verdict": "ran", "Request-Host": "w1", "Request-Attempts": "2",
		"Request-Id": "01M904GS00RPVNAV3ZEEHW8BY5", "Request-Entry": "quote", "Request-Owner": "clinic",
	} {
		g.Expect(string(ctx.Response.Header.Peek(name))).To(Equal(want), name)
	}
	g.Expect(rec.got).To(HaveLen(1))
}

func TestErrorStatusAndVerdict(t *testing.T) {
	queueFull := verdict.NewNotRun(verdict.ReasonQueueFull, "full")
	queueFull.RetryAfter = 1500 * time.Millisecond
	tests := []struct {
		name       string
		err        error
		status     int
		verdict    string
		retryAfter string
	}{
		{"rejected with retry time", queueFull, 503, "not-run", "2"},
		{"connection lost", verdict.NewMayHaveRun(verdict.ReasonConnectionLost, "x"), 502, "may-have-run", ""},
		{"duplicate", verdict.NewMayHaveRun(verdict.ReasonDuplicate, "x"), 409, "may-have-run", ""},
		{"error without verdict", errors.New("x"), 502, "may-have-run", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			ctx := callHandler(gateway.CallerOptions{Server: &fixedServer{err: tt.err}}, "/v1/entries/quote", "")
			g.Expect(ctx.Response.StatusCode()).To(Equal(tt.status))
			g.Expect(string(ctx.Response.Header.Peek("Request-Verdict"))).To(Equal(tt.verdict))
			g.Expect(string(ctx.Response.Header.Peek("Retry-After"))).To(Equal(tt.retryAfter))
		})
	}
}

func TestNotReadyRejectsRequests(t *testing.T) {
	g := NewWithT(t)
	server := &fixedServer{}
	ctx := callHandler(gateway.CallerOptions{Server: server, Ready: func() bool { return false }}, "/v1/entries/quote", "")
	g.Expect(server.got).To(BeNil())
	g.Expect(string(ctx.Response.Header.Peek("Request-Reason"))).To(Equal("not-ready"))
	g.Expect(string(ctx.Response.Header.Peek("Request-Verdict"))).To(Equal("not-run"))
}

func TestStoppingDaemonClosesConnections(t *testing.T) {
	g := NewWithT(t)
	server := &fixedServer{resp: &request.Response{Status: 200}}
	ctx := callHandler(gateway.CallerOptions{Server: server, CloseConnections: func() bool { return true }}, "/v1/entries/quote", "")
	g.Expect(ctx.Response.ConnectionClose()).To(BeTrue())
	g.Expect(ctx.Response.StatusCode()).To(Equal(200))
}

func FuzzCallerHeaders(f *testing.F) {
	f.Add("01M904GS00RPVNAV3ZEEHW8BY5", "true", "100", "short", "quote/x")
	f.Add("", "", "-1", "\x00", "../..")
	f.Fuzz(func(t *testing.T, id, idempotent, deadline, class, path string) {
		if strings.ContainsAny(path, " \r\n") {
			return
		}
		server := &fixedServer{resp: &request.Response{Status: 200}}
		ctx := callHandler(gateway.CallerOptions{Server: server}, "/v1/entries/"+path, "",
			"Request-Id", id, "Idempotent", idempotent, "Request-Deadline-Ms", deadline, "Request-Class", class)
		if len(ctx.Response.Header.Peek(gateway.HeaderVerdict)) == 0 {
			t.Fatalf("no verdict on status %d", ctx.Response.StatusCode())
		}
		if r := server.got; r != nil && (!r.Class.Valid() || !r.Deadline.After(r.Arrived) || r.ID == "") {
			t.Fatalf("passed on %+v", r)
		}
	})
}
