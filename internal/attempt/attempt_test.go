package attempt_test

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/attempt"
	"greengagedeck/internal/request"
)

// serve runs h on a loopback address until the test ends and returns the address.
func serve(tb testing.TB, h fasthttp.RequestHandler) string {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: h, NoDefaultServerHeader: true}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(ln)
	}()
	tb.Cleanup(func() {
		_ = srv.Shutdown()
		<-done
	})
	return ln.Addr().String()
}

func newRequest(method, path, body string) *request.Request {
	return &request.Request{
		ID:       "req-1",
		Pool:     "labada",
		Method:   method,
		Path:     path,
		Body:     []byte(body),
		Deadline: time.Now().Add(time.Minute),
	}
}

func TestDoForwardsRequestAndResponse(t *testing.T) {
	g := NewWithT(t)
	var got fasthttp.Request
	addr := serve(t, func(ctx *fasthttp.RequestCtx) {
		ctx.Request.CopyTo(&got)
		ctx.Response.Header.Set("X-Answer", "1")
		ctx.Response.Header.Set("Connection", "X-Hop")
		ctx.Response.Header.Set("X-Hop", "drop")
		ctx.Response.Header.Set("Keep-Alive", "timeout=5")
		ctx.SetStatusCode(201)
		ctx.SetBodyString("pickup booked")
	})
	c := attempt.New(attempt.Options{Daemon: "d-1"})
	t.Cleanup(c.Close)
	r := newRequest("POST", "/a%2Fb//c?x=1", "order")
	r.Header = []request.Field{
		{Name: "X-Caller", Value: "guest"}, {Name: "connection", Value: "X-Secret"},
		{Name: "X-Secret", Value: "drop"}, {Name: "TE", Value: "trailers"},
		{Name: "request-id", Value: "forged"},
	}

	resp, err := c.Do(context.Background(), attempt.Target{Host: "w-01", Address: addr}, r)

	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Status).To(Equal(201))
	g.Expect(string(resp.Body)).To(Equal("pickup booked"))
	g.Expect(resp.Header).To(ContainElement(request.Field{Name: "X-Answer", Value: "1"}))
	for _, f := range resp.Header {
		g.Expect(f.Name).NotTo(BeElementOf("X-Hop", "Connection", "Keep-Alive", "Content-Length"))
	}
	g.Expect([]any{resp.Host, resp.Daemon, resp.Attempts}).To(Equal([]any{"w-01", "d-1", 1}))
	g.Expect(string(got.Header.RequestURI())).To(Equal("/a%2Fb//c?x=1"))
	g.Expect(string(got.Body())).To(Equal("order"))
	g.Expect(string(got.Header.Peek("Request-Id"))).To(Equal("req-1"))
	g.Expect(string(got.Header.Peek("Request-Pool"))).To(Equal("labada"))
	g.Expect(string(got.Header.Peek("Request-Attempt"))).To(HaveLen(26))
	g.Expect(string(got.Header.Peek("X-Caller"))).To(Equal("guest"))
	for _, name := range []string{"X-Secret", "TE"} {
		g.Expect(got.Header.Peek(name)).To(BeEmpty(), name)
	}
}
