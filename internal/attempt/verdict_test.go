package attempt_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/attempt"
	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

// bigBody does not fit into the buffers of a loopback connection.
var bigBody = strings.Repeat("x", 32<<20)

// verdictRow is one way a try can end.
type verdictRow struct {
	name   string
	script script
	// change edits the request, or is nil.
	change func(*request.Request)
	// cancelOn cancels the caller's context once the target has executed.
	cancelOn bool
	verdict  verdict.Verdict
	reason   verdict.Reason
	status   int
	// executed is how often the target may have run the request.
	executed int64
	// reused is set when the connection may carry the next request.
	reused bool
}

var verdictTable = []verdictRow{
	{name: "whole answer", script: honest, verdict: verdict.Ran, status: 200, executed: 1, reused: true},
	{name: "whole chunked answer", script: once("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"), verdict: verdict.Ran, status: 200, executed: 1, reused: true},
	{name: "answer without a body", script: once("HTTP/1.1 204 No Content\r\n\r\n"), verdict: verdict.Ran, status: 204, executed: 1, reused: true},
	{name: "interim answer first", script: once("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"), verdict: verdict.Ran, status: 200, executed: 1, reused: true},
	{name: "target reports its own failure", script: once("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), verdict: verdict.Ran, status: 500, executed: 1, reused: true},
	{name: "target busy without proof", script: once("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), verdict: verdict.Ran, status: 503, executed: 1, reused: true},

	{name: "target refuses with proof", script: refuse, verdict: verdict.NotRun, reason: verdict.ReasonTargetRefused, reused: true},
	{name: "deadline passed before sending", script: honest, change: func(r *request.Request) { r.Deadline = time.Now().Add(-time.Second) }, verdict: verdict.NotRun, reason: verdict.ReasonDeadline},
	{name: "request line cannot be sent", script: honest, change: func(r *request.Request) { r.Path = "/a HTTP/1.1\r\nX: 1" }, verdict: verdict.NotRun, reason: verdict.ReasonBadRequest},
	{name: "method cannot be sent", script: honest, change: func(r *request.Request) { r.Method = "GET / HTTP/1.1\r\nX: 1\r\n\r\nPOST" }, verdict: verdict.NotRun, reason: verdict.ReasonBadRequest},
	{name: "field name cannot be sent", script: honest, change: addField("X: 1\r\nY", "1"), verdict: verdict.NotRun, reason: verdict.ReasonBadRequest},
	{name: "field value cannot be sent", script: honest, change: addField("X", "1\r\nContent-Length: 0\r\n\r\nGET / HTTP/1.1"), verdict: verdict.NotRun, reason: verdict.ReasonBadRequest},
	{name: "request ID cannot be sent", script: honest, change: func(r *request.Request) { r.ID = "a\r\nX: 1" }, verdict: verdict.NotRun, reason: verdict.ReasonBadRequest},

	{name: "reset during write", script: func(s *targetConn) { s.readSome(); s.reset() }, change: func(r *request.Request) { r.Body = []byte(bigBody) }, verdict: verdict.MayHaveRun, reason: verdict.ReasonConnectionLost},
	{name: "timeout during write", script: func(s *targetConn) { s.readSome(); <-s.target.done }, change: func(r *request.Request) {
		r.Body = []byte(bigBody)
		r.Deadline = time.Now().Add(200 * time.Millisecond)
	}, verdict: verdict.MayHaveRun, reason: verdict.ReasonTimeout},
	{name: "reset after write before execution", script: func(s *targetConn) { s.read(); s.reset() }, verdict: verdict.MayHaveRun, reason: verdict.ReasonConnectionLost},
	{name: "reset after execution", script: func(s *targetConn) { s.read(); s.execute(); s.reset() }, verdict: verdict.MayHaveRun, reason: verdict.ReasonConnectionLost, executed: 1},
	{name: "closed after execution", script: cut(""), verdict: verdict.MayHaveRun, reason: verdict.ReasonConnectionLost, executed: 1},
	{name: "timeout waiting for the answer", script: once(""), change: func(r *request.Request) { r.Deadline = time.Now().Add(100 * time.Millisecond) }, verdict: verdict.MayHaveRun, reason: verdict.ReasonTimeout, executed: 1},
	{name: "cancelled after the first byte", script: once(""), cancelOn: true, verdict: verdict.MayHaveRun, reason: verdict.ReasonCancelled, executed: 1},

	{name: "answer cut in the status line", script: cut("HTTP/1.1 20"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "answer cut in the header", script: cut("HTTP/1.1 200 OK\r\nContent-Le"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "answer shorter than its length", script: cut("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "answer cut in a chunk", script: cut("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "answer cut between chunks", script: cut("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "answer cut in the last chunk", script: cut("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "answer cut after the last chunk", script: cut("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "answer without a length", script: cut("HTTP/1.1 200 OK\r\n\r\nabc"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "refusal cut short", script: cut("HTTP/1.1 503 Busy\r\nRequest-Verdict: not-run\r\nContent-Length: 9\r\n\r\nbu"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},

	{name: "answer is not HTTP", script: once("hello hello hello\r\n\r\n"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "answer with two lengths", script: once("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "answer in an unknown coding", script: once("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "answer with a bad chunk", script: once("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "answer header too large", script: once("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 64<<10) + "\r\n\r\n"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "answer body too large", script: once("HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "answer switches protocols", script: once("HTTP/1.1 101 Switching Protocols\r\n\r\n"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "interim answers without end", script: once(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "answer to another attempt", script: once("HTTP/1.1 200 OK\r\nRequest-Attempt: 01OTHER\r\nContent-Length: 1\r\n\r\na"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
}

func addField(name, value string) func(*request.Request) {
	return func(r *request.Request) { r.Header = append(r.Header, request.Field{Name: name, Value: value}) }
}

func refuse(s *targetConn) {
	for s.read() != nil {
		s.send("HTTP/1.1 503 Busy\r\nRequest-Verdict: not-run\r\nContent-Length: 4\r\n\r\nbusy")
	}
}

func (s *targetConn) readSome() { _, _ = s.br.Peek(1024) }

func TestVerdicts(t *testing.T) {
	for _, row := range verdictTable {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			playRow(t, row)
		})
	}
}

func playRow(t *testing.T, row verdictRow) {
	g := NewWithT(t)
	rt := newRawTarget(t, row.script)
	c := attempt.New(attempt.Options{FreshAfter: time.Hour})
	defer c.Close()
	target := attempt.Target{Host: "w-01", Address: rt.addr}
	r := newRequest("POST", "/order", "part")
	if row.change != nil {
		row.change(r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if row.cancelOn {
		go func() {
			<-rt.executions
			cancel()
		}()
	}

	resp, err := c.Do(ctx, target, r)

	g.Expect(verdict.Of(err)).To(Equal(row.verdict), "%v", err)
	if row.verdict == verdict.Ran {
		g.Expect(resp.Status).To(Equal(row.status))
	} else {
		var verr *verdict.Error
		g.Expect(errors.As(err, &verr)).To(BeTrue())
		g.Expect(verr.Reason).To(Equal(row.reason), "%v", err)
	}
	if row.verdict == verdict.NotRun {
		g.Expect(rt.executed.Load()).To(BeZero(), "not run, yet executed")
	}
	g.Expect(rt.executed.Load()).To(Equal(row.executed))
	checkNext(t, g, c, rt, target, row.reused)
}

// checkNext makes a second request and checks over which connection it goes.
func checkNext(t *testing.T, g *WithT, c *attempt.Client, rt *rawTarget, target attempt.Target, reused bool) {
	t.Helper()
	before := rt.accepted.Load()
	rt.play(honest)
	next := newRequest("GET", "/next", "")
	next.ID = "req-2"
	next.Deadline = time.Now().Add(10 * time.Second)
	if reused {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, _ = c.Do(ctx, target, next)
		g.Expect(rt.accepted.Load()).To(Equal(before), "connection not reused")
		return
	}
	resp, err := c.Do(context.Background(), target, next)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(resp.Body)).To(Equal("answer to req-2"))
	g.Expect(rt.accepted.Load()).To(Equal(before + 1))
}

func TestConnectRefused(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	addr := ln.Addr().String()
	ln.Close()
	expectConnectFailure(g, addr)
}

func TestNoRoute(t *testing.T) {
	// The kernel refuses to connect to the broadcast address.
	expectConnectFailure(NewWithT(t), "255.255.255.255:9")
}

func TestConnectTimeout(t *testing.T) {
	g := NewWithT(t)
	addr := fullBacklog(t)
	expectConnectFailure(g, addr)
}

func expectConnectFailure(g *WithT, addr string) {
	c := attempt.New(attempt.Options{ConnectTimeout: 100 * time.Millisecond})
	defer c.Close()
	_, err := c.Do(context.Background(), attempt.Target{Address: addr}, newRequest("POST", "/", "x"))
	var verr *verdict.Error
	g.Expect(errors.As(err, &verr)).To(BeTrue())
	g.Expect(verr.Verdict).To(Equal(verdict.NotRun))
	g.Expect(verr.Reason).To(Equal(verdict.ReasonConnect), "%v", err)
}

// fullBacklog returns an address whose listener accepts nothing and has no
// room for another connection, so that a connect to it gets no reply.
func fullBacklog(t *testing.T) string {
	t.Helper()
	g := NewWithT(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = syscall.Close(fd) })
	g.Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	g.Expect(syscall.Listen(fd, 0)).To(Succeed())
	sa, err := syscall.Getsockname(fd)
	g.Expect(err).NotTo(HaveOccurred())
	addr := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*syscall.SockaddrInet4).Port}
	for {
		nc, err := net.DialTimeout("tcp", addr.String(), 100*time.Millisecond)
		if err != nil {
			return addr.String()
		}
		t.Cleanup(func() { nc.Close() })
	}
}

func TestCancelledBeforeTheFirstByte(t *testing.T) {
	g := NewWithT(t)
	rt := newRawTarget(t, honest)
	c := attempt.New(attempt.Options{})
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.Do(ctx, attempt.Target{Address: rt.addr}, newRequest("POST", "/", "x"))
	g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
	g.Expect(err).To(MatchError(ContainSubstring("cancelled")))
	g.Expect(rt.accepted.Load()).To(BeZero())
}
