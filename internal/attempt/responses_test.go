package attempt_test

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"greengagedeck/internal/attempt"
	"greengagedeck/internal/verdict"
)

// rapidSeed makes test runs reproducible. -rapid.seed overrides it.
const rapidSeed = "20260301"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", rapidSeed)
	// The server and client of fasthttp, which only the tests use, leave
	// goroutines running.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// The response to an attempt that timed out arrives while the next request is in
// progress. The next caller must not receive it.
func TestLateResponseIsNotGivenToNextRequest(t *testing.T) {
	g := NewWithT(t)
	second := make(chan struct{})
	rt := newScriptedTarget(t, func(s *targetConn) {
		req := s.read()
		if s.number == 1 {
			select {
			case <-second:
			case <-s.target.done:
			}
			s.send(echoResponse(req))
			return
		}
		close(second)
		s.send(echoResponse(req))
	})
	c := attempt.New(attempt.Options{NonIdempotentMaxIdle: time.Hour})
	defer c.Close()
	target := attempt.Target{Address: rt.addr, Connections: 1}
	first := newRequest("GET", "/", "")
	first.Deadline = time.Now().Add(100 * time.Millisecond)
	_, err := c.Do(context.Background(), target, first)
	g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))

	next := newRequest("GET", "/", "")
	next.ID = "req-2"
	resp, err := c.Do(context.Background(), target, next)

	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(resp.Body)).To(Equal("answer to req-2"))
	g.Expect(rt.accepted.Load()).To(BeEquivalentTo(2))
}

// Responses arrive in the reverse order of their requests. Each caller must
// receive its own.
func TestReorderedResponsesMatchTheirRequests(t *testing.T) {
	g := NewWithT(t)
	const callers = 8
	gates := make([]chan struct{}, callers+1)
	for i := range gates {
		gates[i] = make(chan struct{})
	}
	rt := newScriptedTarget(t, func(s *targetConn) {
		req := s.read()
		if s.number < callers {
			select {
			case <-gates[s.number+1]:
			case <-s.target.done:
			}
		}
		s.send(echoResponse(req))
		close(gates[s.number])
	})
	c := attempt.New(attempt.Options{})
	defer c.Close()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			r := newRequest("GET", "/", "")
			r.ID = fmt.Sprintf("req-%d", i)
			resp, err := c.Do(context.Background(), attempt.Target{Address: rt.addr}, r)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(resp.Body)).To(Equal("answer to " + r.ID))
		})
	}
	wg.Wait()
}

// A target that returns attempt IDs sends an unexpected response before the right
// one.
func TestUnexpectedResponseOnReusedConnectionIsRejected(t *testing.T) {
	for name, stray := range map[string]func(*fasthttp.Request) string{
		"response to the previous attempt": echoResponse,
		"response without an attempt ID": func(*fasthttp.Request) string {
			return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rt := newScriptedTarget(t, func(s *targetConn) {
				first := s.read()
				s.send(echoResponse(first))
				if second := s.read(); second != nil {
					s.send(stray(first) + echoResponse(second))
				}
			})
			c := attempt.New(attempt.Options{NonIdempotentMaxIdle: time.Hour})
			defer c.Close()
			target := attempt.Target{Address: rt.addr}
			_, err := c.Do(context.Background(), target, newRequest("GET", "/", ""))
			g.Expect(err).NotTo(HaveOccurred())

			resp, err := c.Do(context.Background(), target, newRequest("GET", "/", ""))

			g.Expect(resp).To(BeNil())
			g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))
			g.Expect(rt.accepted.Load()).To(BeEquivalentTo(1))
		})
	}
}

// A target sends more bytes than the Content-Length of its response.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	g := NewWithT(t)
	stray := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	rt := newScriptedTarget(t, respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"+stray))
	c := attempt.New(attempt.Options{NonIdempotentMaxIdle: time.Hour})
	defer c.Close()
	for range 3 {
		resp, err := c.Do(context.Background(), attempt.Target{Address: rt.addr}, newRequest("GET", "/", ""))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(resp.Body)).To(Equal("own"))
	}
	g.Expect(rt.accepted.Load()).To(BeEquivalentTo(3))
}

func TestOpenConnectionsStayWithinLimit(t *testing.T) {
	g := NewWithT(t)
	rt := newScriptedTarget(t, executeAndRespond)
	c := attempt.New(attempt.Options{})
	defer c.Close()
	const limit, callers, each = 4, 32, 20
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for i := range each {
				method, body := "GET", ""
				if i%2 == 0 {
					method, body = "POST", "x"
				}
				_, err := c.Do(context.Background(), attempt.Target{Address: rt.addr, Connections: limit}, newRequest(method, "/", body))
				g.Expect(err).NotTo(HaveOccurred())
			}
		})
	}
	wg.Wait()
	g.Expect(rt.executed.Load()).To(BeEquivalentTo(callers * each))
	g.Expect(rt.accepted.Load()).To(BeNumerically("<=", limit))
	g.Expect(rt.mostOpen.Load()).To(BeNumerically("<=", limit))
}

func TestCancelledWhileWaitingForAConnection(t *testing.T) {
	g := NewWithT(t)
	rt := newScriptedTarget(t, respondOnce(""))
	c := attempt.New(attempt.Options{})
	defer c.Close()
	target := attempt.Target{Address: rt.addr, Connections: 1}
	holding, release := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = c.Do(holding, target, newRequest("POST", "/", "x")) })
	<-rt.executions
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()

	_, err := c.Do(ctx, target, newRequest("POST", "/", "x"))

	g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
	g.Expect(rt.executed.Load()).To(BeEquivalentTo(1))
	release()
	wg.Wait()
	rt.setScript(executeAndRespond)
	_, err = c.Do(context.Background(), target, newRequest("POST", "/", "x"))
	g.Expect(err).NotTo(HaveOccurred(), "the permit was lost")
}

func TestIdleConnectionCarriesOnlyIdempotentRequests(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		g := NewWithT(t)
		rt := newScriptedTarget(t, executeAndRespond)
		c := attempt.New(attempt.Options{NonIdempotentMaxIdle: time.Nanosecond})
		defer c.Close()
		for range 3 {
			r := newRequest("POST", "/", strings.Repeat("x", 10))
			r.Idempotent = idempotent
			_, err := c.Do(context.Background(), attempt.Target{Address: rt.addr}, r)
			g.Expect(err).NotTo(HaveOccurred())
		}
		want := 3
		if idempotent {
			want = 1
		}
		g.Expect(rt.accepted.Load()).To(BeEquivalentTo(want))
	}
}

func TestRunClosesIdleConnections(t *testing.T) {
	g := NewWithT(t)
	rt := newScriptedTarget(t, executeAndRespond)
	c := attempt.New(attempt.Options{IdleTimeout: 20 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	_, err := c.Do(context.Background(), attempt.Target{Address: rt.addr}, newRequest("GET", "/", ""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(rt.open.Load).Should(BeZero())
	cancel()
	wg.Wait()
}
