package attempt_test

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"greengagedeck/internal/attempt"
	"greengagedeck/internal/request"
)

// BenchmarkForward compares a server that forwards with Client.Do to one that
// forwards with fasthttp's own client. Compare the requests/s of a single run.
func BenchmarkForward(b *testing.B) {
	target := serve(b, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("quote: 42") })
	b.Run("bare", func(b *testing.B) { benchmarkForwarder(b, serve(b, bareForwarder(target))) })
	b.Run("attempt", func(b *testing.B) { benchmarkForwarder(b, serve(b, attemptForwarder(b, target))) })
}

func benchmarkForwarder(b *testing.B, addr string) {
	client := &fasthttp.HostClient{Addr: addr, MaxConns: 256}
	b.Cleanup(client.CloseIdleConnections)
	b.SetParallelism(8)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + addr + "/quote")
		req.Header.SetMethod("POST")
		req.SetBodyString("puncture")
		for pb.Next() {
			if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
				b.Errorf("status %d, %v", resp.StatusCode(), err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

func bareForwarder(target string) fasthttp.RequestHandler {
	client := &fasthttp.HostClient{Addr: target, MaxConns: 64, MaxConnWaitTimeout: time.Minute}
	return func(ctx *fasthttp.RequestCtx) {
		ctx.Request.Header.SetHost(target)
		if err := client.Do(&ctx.Request, &ctx.Response); err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadGateway)
		}
	}
}

func attemptForwarder(b *testing.B, target string) fasthttp.RequestHandler {
	client := attempt.New(attempt.Options{Health: attempt.NewEjector(attempt.EjectorOptions{})})
	b.Cleanup(client.Close)
	return func(ctx *fasthttp.RequestCtx) {
		rctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		resp, err := client.Do(rctx, attempt.Target{Host: "w", Address: target}, toRequest(ctx))
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadGateway)
			return
		}
		ctx.SetStatusCode(resp.Status)
		for _, f := range resp.Header {
			ctx.Response.Header.Add(f.Name, f.Value)
		}
		ctx.SetBody(resp.Body)
	}
}

func toRequest(ctx *fasthttp.RequestCtx) *request.Request {
	r := &request.Request{
		ID:       "r",
		Pool:     "labada",
		Method:   string(ctx.Method()),
		Path:     string(ctx.RequestURI()),
		Body:     ctx.PostBody(),
		Deadline: time.Now().Add(time.Minute),
	}
	for name, value := range ctx.Request.Header.All() {
		r.Header = append(r.Header, request.Field{Name: string(name), Value: string(value)})
	}
	return r
}
