package httpplatform_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/platform"
	"greengagedeck/internal/platform/httpplatform"
)

// serveRaw reads one request from each connection, calls respond and closes the
// connection. It counts the requests.
func serveRaw(t *testing.T, respond func(c *net.TCPConn)) (url string, requests *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveOne(c.(*net.TCPConn), requests, respond)
		}
	}()
	return "http://" + ln.Addr().String(), requests
}

func serveOne(c *net.TCPConn, requests *atomic.Int64, respond func(c *net.TCPConn)) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	requests.Add(1)
	respond(c)
}

func write(s string) func(c *net.TCPConn) {
	return func(c *net.TCPConn) { _, _ = c.Write([]byte(s)) }
}

func TestFailedAppendIsUncertainAndNotRetried(t *testing.T) {
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	tests := map[string]func(c *net.TCPConn){
		"closed without a response": func(*net.TCPConn) {},
		"reset":                     func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"truncated body":            write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n\xa1"),
		"truncated header":          write("HTTP/1.1 200 OK\r\nConte"),
		"not CBOR":                  write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\xff\xff"),
		"server error":              write("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"),
		"timeout":                   func(*net.TCPConn) { <-hang },
	}
	for name, respond := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			url, requests := serveRaw(t, respond)
			c := httpplatform.New(httpplatform.Options{BaseURL: url, Timeout: 200 * time.Millisecond})
			_, err := c.Log().Append(context.Background(), platform.StreamControl, []byte("x"))
			g.Expect(err).To(MatchError(platform.ErrUncertain))
			g.Expect(errors.Is(err, platform.ErrUnavailable)).To(BeFalse())
			g.Expect(requests.Load()).To(BeEquivalentTo(1))
		})
	}
}

func TestAppendWithoutEffectIsUnavailable(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ln.Close()).To(Succeed())
	c := httpplatform.New(httpplatform.Options{BaseURL: "http://" + ln.Addr().String()})
	_, err = c.Log().Append(context.Background(), platform.StreamControl, []byte("x"))
	g.Expect(err).To(MatchError(platform.ErrUnavailable), "connection refused")

	url, requests := serveRaw(t, write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"))
	c = httpplatform.New(httpplatform.Options{BaseURL: url})
	_, err = c.Log().Append(context.Background(), platform.StreamControl, []byte("x"))
	g.Expect(err).To(MatchError(platform.ErrUnavailable), "rejected by the service")
	g.Expect(requests.Load()).To(BeEquivalentTo(1))

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = c.Log().Append(ctx, platform.StreamControl, []byte("x"))
	g.Expect(err).To(MatchError(platform.ErrUnavailable), "cancelled before it was sent")
	g.Expect(requests.Load()).To(BeEquivalentTo(1))
}

func TestCancelledReadReturns(t *testing.T) {
	g := NewWithT(t)
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	url, requests := serveRaw(t, func(*net.TCPConn) { <-hang })
	c := httpplatform.New(httpplatform.Options{BaseURL: url})
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := c.Log().Read(ctx, platform.StreamControl, 1, 1, time.Hour)
		failed <- err
	}()
	g.Eventually(requests.Load, "10s").Should(BeEquivalentTo(1))
	cancel()
	g.Eventually(failed, "10s").Should(Receive(MatchError(context.Canceled)))
}

// Guards against an append whose outcome is unknown because the platform had closed the
// connection while it was idle.
func TestAppendAfterIdleCloseIsSentOnNewConnection(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{}, 3)
	url, requests := serveRaw(t, func(c *net.TCPConn) {
		write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\xa0")(c)
		_ = c.CloseWrite()
		closed <- struct{}{}
	})
	c := httpplatform.New(httpplatform.Options{BaseURL: url})
	for range cap(closed) {
		_, err := c.Log().Append(context.Background(), platform.StreamControl, []byte("x"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(closed, "10s").Should(Receive())
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(requests.Load()).To(BeEquivalentTo(cap(closed)))
}
