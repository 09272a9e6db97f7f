package attempt_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"
)

// script implements the behaviour of a target on one accepted connection.
type script func(s *targetConn)

// scriptedTarget accepts connections and runs a script on each. It counts the
// requests it executes, so that a test can check verdicts against the count.
type scriptedTarget struct {
	addr     string
	executed atomic.Int64
	accepted atomic.Int64
	open     atomic.Int64
	mostOpen atomic.Int64
	// executions receives a value for each execution, unless it is full.
	executions chan struct{}
	// done is closed when the test ends.
	done chan struct{}

	mu     sync.Mutex
	script script
}

// targetConn is one accepted connection of a scriptedTarget.
type targetConn struct {
	*net.TCPConn
	target *scriptedTarget
	number int64
	br     *bufio.Reader
}

func newScriptedTarget(tb testing.TB, sc script) *scriptedTarget {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	rt := &scriptedTarget{
		addr:       ln.Addr().String(),
		script:     sc,
		executions: make(chan struct{}, 1),
		done:       make(chan struct{}),
	}
	var wg sync.WaitGroup
	wg.Go(func() { rt.accept(ln, &wg) })
	tb.Cleanup(func() {
		ln.Close()
		close(rt.done)
		wg.Wait()
	})
	return rt
}

func (rt *scriptedTarget) accept(ln net.Listener, wg *sync.WaitGroup) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s := &targetConn{TCPConn: c.(*net.TCPConn), target: rt, number: rt.accepted.Add(1), br: bufio.NewReader(c)}
		rt.recordOpen(rt.open.Add(1))
		wg.Go(func() {
			rt.currentScript()(s)
			rt.open.Add(-1)
			s.Close()
		})
	}
}

func (rt *scriptedTarget) recordOpen(open int64) {
	for {
		most := rt.mostOpen.Load()
		if open <= most || rt.mostOpen.CompareAndSwap(most, open) {
			return
		}
	}
}

func (rt *scriptedTarget) currentScript() script {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.script
}

// setScript sets the script of connections that are accepted from now on.
func (rt *scriptedTarget) setScript(sc script) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.script = sc
}

// read returns the next complete request, or nil if there is none.
func (s *targetConn) read() *fasthttp.Request {
	var req fasthttp.Request
	if err := req.Read(s.br); err != nil {
		return nil
	}
	return &req
}

func (s *targetConn) execute() {
	s.target.executed.Add(1)
	select {
	case s.target.executions <- struct{}{}:
	default:
	}
}

func (s *targetConn) send(text string) { _, _ = s.Write([]byte(text)) }

// reset closes the connection with a RST.
func (s *targetConn) reset() {
	_ = s.SetLinger(0)
	s.Close()
}

// waitClosed returns once the client has closed the connection.
func (s *targetConn) waitClosed() { _, _ = s.br.ReadByte() }

// echoResponse returns a complete response that contains the request's ID and
// attempt ID.
func echoResponse(req *fasthttp.Request) string {
	body := "answer to " + string(req.Header.Peek("Request-Id"))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s",
		req.Header.Peek("Request-Attempt"), len(body), body)
}

// executeAndRespond executes every request and responds to it.
func executeAndRespond(s *targetConn) {
	for req := s.read(); req != nil; req = s.read() {
		s.execute()
		s.send(echoResponse(req))
	}
}

// respondOnce reads one request, executes it and sends text, then waits until the
// client closes the connection.
func respondOnce(text string) script {
	return func(s *targetConn) {
		if req := s.read(); req != nil {
			s.execute()
			s.send(strings.ReplaceAll(text, "{attempt}", string(req.Header.Peek("Request-Attempt"))))
			s.waitClosed()
		}
	}
}

// respondAndClose is like respondOnce, but closes the connection after sending
// text.
func respondAndClose(text string) script {
	return func(s *targetConn) {
		if s.read() != nil {
			s.execute()
			s.send(text)
		}
	}
}
