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

// pipe returns a client's connection and its target's end.
func pipe(t *testing.T) (*conn, *net.TCPConn) {
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

func order() *request.Request {
	return &request.Request{ID: "r", Method: "POST", Path: "/", Body: []byte("x")}
}

func TestQuietSeesWhatTheTargetDidToAnIdleConnection(t *testing.T) {
	for name, act := range map[string]func(*net.TCPConn) error{
		"closed":      func(c *net.TCPConn) error { return c.Close() },
		"half-closed": func(c *net.TCPConn) error { return c.CloseWrite() },
		"reset":       func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
		"sent a late answer": func(c *net.TCPConn) error {
			_, err := c.Write([]byte("HTTP/1.1 200 OK\r\n"))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			cn, far := pipe(t)
			g.Expect(cn.quiet()).To(BeTrue())
			g.Expect(act(far)).To(Succeed())
			g.Eventually(cn.quiet).Should(BeFalse())
		})
	}
}

// The target has reset the connection and the reset has arrived: the kernel
// takes no byte, which proves that none left.
func TestResetBeforeWriteIsNotRun(t *testing.T) {
	g := NewWithT(t)
	cn, far := pipe(t)
	g.Expect(errors.Join(far.SetLinger(0), far.Close())).To(Succeed())
	g.Eventually(cn.quiet).Should(BeFalse())
	_, err := exchange(context.Background(), cn, time.Time{}, order(), "a", 1<<20)
	g.Expect(err.Verdict).To(Equal(verdict.NotRun), "%v", err)
	g.Expect(err.Reason).To(Equal(verdict.ReasonConnectionLost))
	g.Expect(cn.reusable).To(BeFalse())
}

// The target has closed its end in the moment before the write: the kernel
// takes the bytes, so nothing is proved.
func TestClosedBeforeWriteMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	cn, far := pipe(t)
	g.Expect(far.CloseWrite()).To(Succeed())
	g.Eventually(cn.quiet).Should(BeFalse())
	_, err := exchange(context.Background(), cn, time.Time{}, order(), "a", 1<<20)
	g.Expect(err.Verdict).To(Equal(verdict.MayHaveRun), "%v", err)
}

// failingConn takes n bytes of a write and then fails.
type failingConn struct {
	net.Conn
	n int
}

func (c failingConn) Write([]byte) (int, error) { return c.n, syscall.EPIPE }

func TestFirstByteDecidesTheVerdictOfAFailedWrite(t *testing.T) {
	for n, want := range map[int]verdict.Verdict{0: verdict.NotRun, 1: verdict.MayHaveRun} {
		g := NewWithT(t)
		cn, _ := pipe(t)
		cn.Conn = failingConn{Conn: cn.Conn, n: n}
		_, err := exchange(context.Background(), cn, time.Time{}, order(), "a", 1<<20)
		g.Expect(err.Verdict).To(Equal(want), "%d bytes taken", n)
	}
}

func TestCancelledBeforeWriteIsNotRun(t *testing.T) {
	g := NewWithT(t)
	cn, _ := pipe(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := exchange(ctx, cn, time.Time{}, order(), "a", 1<<20)
	g.Expect(err.Verdict).To(Equal(verdict.NotRun))
	g.Expect(err.Reason).To(Equal(verdict.ReasonCancelled))
	g.Expect(cn.sent).To(BeZero())
	g.Expect(cn.reusable).To(BeFalse())
}

func TestInterruptedBeforeTheFirstByteIsNotRun(t *testing.T) {
	g := NewWithT(t)
	cn, _ := pipe(t)
	_, err := exchange(context.Background(), cn, time.Now().Add(-time.Second), order(), "a", 1<<20)
	g.Expect(err.Verdict).To(Equal(verdict.NotRun))
	g.Expect(err.Reason).To(Equal(verdict.ReasonDeadline))
}

// A waiter gives up in the moment in which it is handed a permit.
func TestPermitOfAWaiterThatLeftIsHandedOn(t *testing.T) {
	g := NewWithT(t)
	p := newConnPool(New(Options{}), "127.0.0.1:1")
	p.setLimit(1)
	p.open = 1
	w := make(chan *conn, 1)
	p.waiters = append(p.waiters, w)
	p.handOn(nil)
	p.leave(w)
	g.Expect(p.open).To(BeZero())
}

// cancellingConn ends the caller's context when the whole answer has come.
type cancellingConn struct {
	net.Conn
	cancel context.CancelFunc
}

func (c cancellingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.cancel()
	return n, err
}

// The answer and the caller's cancellation come at once: the interruption may
// still be on its way to the connection.
func TestConnectionOfACancelledCallerIsNotReused(t *testing.T) {
	g := NewWithT(t)
	cn, far := pipe(t)
	ctx, cancel := context.WithCancel(context.Background())
	cn.br.Reset(cancellingConn{Conn: cn.Conn, cancel: cancel})
	_, werr := far.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"))
	g.Expect(werr).NotTo(HaveOccurred())
	resp, err := exchange(ctx, cn, time.Time{}, order(), "a", 1<<20)
	g.Expect(err).To(BeNil())
	g.Expect(string(resp.Body)).To(Equal("a"))
	g.Expect(cn.reusable).To(BeFalse())
}

// Idle connections are swept between a try's choice of a pool and its use.
func TestSweptPoolKeepsItsLimit(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	target := Target{Address: "127.0.0.1:1", Connections: 1}
	p := c.pool(target)
	c.sweep(time.Now())
	g.Expect(c.pool(target)).To(BeIdenticalTo(p), "a second pool has a limit of its own")
}

func TestClosedClientKeepsNoConnection(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	c.Close()
	p := c.pool(Target{Address: "127.0.0.1:1"})
	cn, _ := pipe(t)
	cn.reusable = true
	p.open = 1
	p.release(cn)
	g.Expect(p.open).To(BeZero())
	g.Expect(p.idle).To(BeEmpty())
}
