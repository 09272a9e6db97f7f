package attempt

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

// connPair returns both ends of a connection: the client's and the target's.
func connPair(t *testing.T) (*conn, *net.TCPConn) {
	t.Helper()
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	far, err := ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		nc.Close()
		far.Close()
	})
	return newConn(nc, ln.Addr().String()), far.(*net.TCPConn)
}

func newOrderRequest() *request.Request {
	return &request.Request{ID: "r", Method: "POST", Path: "/", Body: []byte("x")}
}

func TestOpenAndEmptyDetectsPeerActivity(t *testing.T) {
	for name, act := range map[string]func(*net.TCPConn) error{
		"closed":      func(c *net.TCPConn) error { return c.Close() },
		"half-closed": func(c *net.TCPConn) error { return c.CloseWrite() },
		"reset":       func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
		"sent a late response": func(c *net.TCPConn) error {
			_, err := c.Write([]byte("HTTP/1.1 200 OK\r\n"))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cn, far := connPair(t)
			g.Expect(cn.probe.OpenAndEmpty()).To(BeTrue())
			g.Expect(act(far)).To(Succeed())
			g.Eventually(cn.probe.OpenAndEmpty).Should(BeFalse())
		})
	}
}

// The target has reset the connection and the reset has arrived. The kernel
// accepts no byte, so none can have reached the target.
func TestResetBeforeWriteIsNotRun(t *testing.T) {
	g := NewWithT(t)
	cn, far := connPair(t)
	g.Expect(errors.Join(far.SetLinger(0), far.Close())).To(Succeed())
	g.Eventually(cn.probe.OpenAndEmpty).Should(BeFalse())
	_, err := exchange(context.Background(), cn, time.Time{}, newOrderRequest(), "a", 1<<20)
	g.Expect(err.Verdict).To(Equal(verdict.NotRun), "%v", err)
	g.Expect(err.Reason).To(Equal(verdict.ReasonConnectionLost))
	g.Expect(cn.reusable).To(BeFalse())
}

// The target closes its end just before the write. The kernel still accepts the
// bytes, so it is unknown whether the target has run the request.
func TestClosedBeforeWriteMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	cn, far := connPair(t)
	g.Expect(far.CloseWrite()).To(Succeed())
	g.Eventually(cn.probe.OpenAndEmpty).Should(BeFalse())
	_, err := exchange(context.Background(), cn, time.Time{}, newOrderRequest(), "a", 1<<20)
	g.Expect(err.Verdict).To(Equal(verdict.MayHaveRun), "%v", err)
}

// failingConn accepts n bytes of a write and then fails.
type failingConn struct {
	net.Conn
	n int
}

func (c failingConn) Write([]byte) (int, error) { return c.n, syscall.EPIPE }

func TestFailedWriteVerdictDependsOnBytesSent(t *testing.T) {
	for n, want := range map[int]verdict.Verdict{0: verdict.NotRun, 1: verdict.MayHaveRun} {
		g := NewWithT(t)
		cn, _ := connPair(t)
		cn.Conn = failingConn{Conn: cn.Conn, n: n}
		_, err := exchange(context.Background(), cn, time.Time{}, newOrderRequest(), "a", 1<<20)
		g.Expect(err.Verdict).To(Equal(want), "%d bytes accepted", n)
	}
}

func TestCancelledBeforeWriteIsNotRun(t *testing.T) {
	g := NewWithT(t)
	cn, _ := connPair(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := exchange(ctx, cn, time.Time{}, newOrderRequest(), "a", 1<<20)
	g.Expect(err.Verdict).To(Equal(verdict.NotRun))
	g.Expect(err.Reason).To(Equal(verdict.ReasonCancelled))
	g.Expect(cn.bytesSent).To(BeZero())
	g.Expect(cn.reusable).To(BeFalse())
}

func TestExpiredDeadlineBeforeWriteIsNotRun(t *testing.T) {
	g := NewWithT(t)
	cn, _ := connPair(t)
	_, err := exchange(context.Background(), cn, time.Now().Add(-time.Second), newOrderRequest(), "a", 1<<20)
	g.Expect(err.Verdict).To(Equal(verdict.NotRun))
	g.Expect(err.Reason).To(Equal(verdict.ReasonDeadline))
}

// A waiter is cancelled at the moment at which it is granted a permit.
func TestPermitOfCancelledWaiterIsReleased(t *testing.T) {
	g := NewWithT(t)
	p := newConnPool(New(Options{}), "127.0.0.1:1")
	p.setLimit(1)
	p.open = 1
	w := make(chan *conn, 1)
	p.waiters = append(p.waiters, w)
	p.releasePermit(nil)
	p.removeWaiter(w)
	g.Expect(p.open).To(BeZero())
}

// cancellingConn cancels the caller's context when the complete response has
// arrived.
type cancellingConn struct {
	net.Conn
	cancel context.CancelFunc
}

func (c cancellingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.cancel()
	return n, err
}

// The response arrives and the caller cancels at the same time. The interruption
// may still be about to set the deadline of the connection.
func TestConnectionOfACancelledCallerIsNotReused(t *testing.T) {
	g := NewWithT(t)
	cn, far := connPair(t)
	ctx, cancel := context.WithCancel(context.Background())
	cn.br.Reset(cancellingConn{Conn: cn.Conn, cancel: cancel})
	_, werr := far.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"))
	g.Expect(werr).NotTo(HaveOccurred())
	resp, err := exchange(ctx, cn, time.Time{}, newOrderRequest(), "a", 1<<20)
	g.Expect(err).To(BeNil())
	g.Expect(string(resp.Body)).To(Equal("a"))
	g.Expect(cn.reusable).To(BeFalse())
}

// Idle connections are closed after an attempt has selected its pool and before
// it uses it.
func TestClosingIdleConnectionsKeepsThePool(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	target := Target{Address: "127.0.0.1:1", Connections: 1}
	p := c.pool(target)
	c.closeIdleConnections(time.Now())
	g.Expect(c.pool(target)).To(BeIdenticalTo(p), "a second pool has a limit of its own")
}

func TestClosedClientKeepsNoConnection(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	c.Close()
	p := c.pool(Target{Address: "127.0.0.1:1"})
	cn, _ := connPair(t)
	cn.reusable = true
	p.open = 1
	p.release(cn)
	g.Expect(p.open).To(BeZero())
	g.Expect(p.idle).To(BeEmpty())
}
