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

// bigBody does not fit into the socket buffers of a loopback connection.
var bigBody = strings.Repeat("x", 32<<20)

// sendTime is the deadline of requests that are sent, or begun to be sent, and then time
// out. One that has passed before the first byte is sent leads to another verdict.
const sendTime = time.Second

// verdictCase is one possible outcome of an attempt.
type verdictCase struct {
	name   string
	script script
	// change modifies the request. It may be nil.
	change func(*request.Request)
	// cancelOnExecution cancels the caller's context once the target has
	// executed the request.
	cancelOnExecution bool
	verdict           verdict.Verdict
	reason            verdict.Reason
	status            int
	// executed is how often the target executes the request.
	executed int64
	// reused is set if the connection may carry the next request.
	reused bool
}

var verdictCases = []verdictCase{
	{name: "complete response", script: executeAndRespond, verdict: verdict.Ran, status: 200, executed: 1, reused: true},
	{name: "complete chunked response", script: respondOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"), verdict: verdict.Ran, status: 200, executed: 1, reused: true},
	{name: "response without a body", script: respondOnce("HTTP/1.1 204 No Content\r\n\r\n"), verdict: verdict.Ran, status: 204, executed: 1, reused: true},
	{name: "interim response first", script: respondOnce("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"), verdict: verdict.Ran, status: 200, executed: 1, reused: true},
	{name: "target reports its own failure", script: respondOnce("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), verdict: verdict.Ran, status: 500, executed: 1, reused: true},
	{name: "target busy without not-run header", script: respondOnce("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), verdict: verdict.Ran, status: 503, executed: 1, reused: true},

	{name: "target rejects with not-run header", script: rejectRequests, verdict: verdict.NotRun, reason: verdict.ReasonTargetRefused, reused: true},
	{name: "deadline passed before sending", script: executeAndRespond, change: func(r *request.Request) { r.Deadline = time.Now().Add(-time.Second) }, verdict: verdict.NotRun, reason: verdict.ReasonDeadline},
	{name: "invalid path", script: executeAndRespond, change: func(r *request.Request) { r.Path = "/a HTTP/1.1\r\nX: 1" }, verdict: verdict.NotRun, reason: verdict.ReasonBadRequest},
	{name: "invalid method", script: executeAndRespond, change: func(r *request.Request) { r.Method = "GET / HTTP/1.1\r\nX: 1\r\n\r\nPOST" }, verdict: verdict.NotRun, reason: verdict.ReasonBadRequest},
	{name: "invalid field name", script: executeAndRespond, change: addField("X: 1\r\nY", "1"), verdict: verdict.NotRun, reason: verdict.ReasonBadRequest},
	{name: "invalid field value", script: executeAndRespond, change: addField("X", "1\r\nContent-Length: 0\r\n\r\nGET / HTTP/1.1"), verdict: verdict.NotRun, reason: verdict.ReasonBadRequest},
	{name: "invalid request ID", script: executeAndRespond, change: func(r *request.Request) { r.ID = "a\r\nX: 1" }, verdict: verdict.NotRun, reason: verdict.ReasonBadRequest},

	{name: "reset during write", script: func(s *targetConn) { s.readSome(); s.reset() }, change: func(r *request.Request) { r.Body = []byte(bigBody) }, verdict: verdict.MayHaveRun, reason: verdict.ReasonConnectionLost},
	{name: "timeout during write", script: func(s *targetConn) { s.readSome(); <-s.target.done }, change: func(r *request.Request) {
		r.Body = []byte(bigBody)
		r.Deadline = time.Now().Add(sendTime)
	}, verdict: verdict.MayHaveRun, reason: verdict.ReasonTimeout},
	{name: "reset after write before execution", script: func(s *targetConn) { s.read(); s.reset() }, verdict: verdict.MayHaveRun, reason: verdict.ReasonConnectionLost},
	{name: "reset after execution", script: func(s *targetConn) { s.read(); s.execute(); s.reset() }, verdict: verdict.MayHaveRun, reason: verdict.ReasonConnectionLost, executed: 1},
	{name: "closed after execution", script: respondAndClose(""), verdict: verdict.MayHaveRun, reason: verdict.ReasonConnectionLost, executed: 1},
	{name: "timeout waiting for the response", script: respondOnce(""), change: func(r *request.Request) { r.Deadline = time.Now().Add(sendTime) }, verdict: verdict.MayHaveRun, reason: verdict.ReasonTimeout, executed: 1},
	{name: "cancelled after the first byte", script: respondOnce(""), cancelOnExecution: true, verdict: verdict.MayHaveRun, reason: verdict.ReasonCancelled, executed: 1},

	{name: "response truncated in the status line", script: respondAndClose("HTTP/1.1 20"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "response truncated in the header", script: respondAndClose("HTTP/1.1 200 OK\r\nContent-Le"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "response shorter than its Content-Length", script: respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "response truncated in a chunk", script: respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "response truncated between chunks", script: respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "response truncated in the last chunk", script: respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "response truncated after the last chunk", script: respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "response without a length", script: respondAndClose("HTTP/1.1 200 OK\r\n\r\nabc"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},
	{name: "rejection truncated", script: respondAndClose("HTTP/1.1 503 Busy\r\nRequest-Verdict: not-run\r\nContent-Length: 9\r\n\r\nbu"), verdict: verdict.MayHaveRun, reason: verdict.ReasonTruncated, executed: 1},

	{name: "response is not HTTP", script: respondOnce("hello hello hello\r\n\r\n"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "response with two lengths", script: respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "response with an unknown transfer coding", script: respondOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "response with an invalid chunk", script: respondOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "response header too large", script: respondOnce("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 64<<10) + "\r\n\r\n"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "response body too large", script: respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "response switches protocols", script: respondOnce("HTTP/1.1 101 Switching Protocols\r\n\r\n"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "too many interim responses", script: respondOnce(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
	{name: "response to another attempt", script: respondOnce("HTTP/1.1 200 OK\r\nRequest-Attempt: 01OTHER\r\nContent-Length: 1\r\n\r\na"), verdict: verdict.MayHaveRun, reason: verdict.ReasonMalformed, executed: 1},
}

func addField(name, value string) func(*request.Request) {
	return func(r *request.Request) { r.Header = append(r.Header, request.Field{Name: name, Value: value}) }
}

func rejectRequests(s *targetConn) {
	for s.read() != nil {
		s.send("HTTP/1.1 503 Busy\r\nRequest-Verdict: not-run\r\nContent-Length: 4\r\n\r\nbusy")
	}
}

func (s *targetConn) readSome() { _, _ = s.br.Peek(1024) }

func TestVerdicts(t *testing.T) {
	for _, row := range verdictCases {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			checkVerdict(t, row)
		})
	}
}

func checkVerdict(t *testing.T, row verdictCase) {
	g := NewWithT(t)
	rt := newScriptedTarget(t, row.script)
	c := attempt.New(attempt.Options{NonIdempotentMaxIdle: time.Hour})
	defer c.Close()
	target := attempt.Target{Host: "w-01", Address: rt.addr}
	r := newRequest("POST", "/order", "part")
	if row.change != nil {
		row.change(r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if row.cancelOnExecution {
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
		g.Expect(rt.executed.Load()).To(BeZero(), "the verdict is not-run, but the target executed the request")
	}
	g.Expect(rt.executed.Load()).To(Equal(row.executed))
	checkNextRequest(t, g, c, rt, target, row.reused)
}

// checkNextRequest sends a second request and checks which connection it uses.
func checkNextRequest(t *testing.T, g *WithT, c *attempt.Client, rt *scriptedTarget, target attempt.Target, reused bool) {
	t.Helper()
	before := rt.accepted.Load()
	rt.setScript(executeAndRespond)
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
	// The kernel does not allow connections to the broadcast address.
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

// fullBacklog returns the address of a listener that accepts no connections and
// whose backlog is full, so that an attempt to connect gets no reply.
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
	rt := newScriptedTarget(t, executeAndRespond)
	c := attempt.New(attempt.Options{})
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.Do(ctx, attempt.Target{Address: rt.addr}, newRequest("POST", "/", "x"))
	g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
	g.Expect(err).To(MatchError(ContainSubstring("cancelled")))
	g.Expect(rt.accepted.Load()).To(BeZero())
}
