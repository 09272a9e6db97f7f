package peer_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"greengagedeck/internal/peer"
)

// silencedConn is a connection over which nothing passes any more once it is silenced,
// and which stays open.
type silencedConn struct {
	net.Conn
	silenced atomic.Bool
}

// Read implements net.Conn.
func (c *silencedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silenced.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *silencedConn) Write(p []byte) (int, error) {
	if c.silenced.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// silencingListener can silence the connections that it has accepted.
type silencingListener struct {
	net.Listener
	mu       sync.Mutex
	accepted []*silencedConn
}

// Accept implements net.Listener.
func (l *silencingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := &silencedConn{Conn: c}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted = append(l.accepted, out)
	return out, nil
}

func (l *silencingListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.accepted {
		c.silenced.Store(true)
	}
}

// startSilenceable runs a node whose accepted connections can be silenced.
func startSilenceable(t *testing.T, dir *directory, self string, setup func(*peer.Node)) *silencingListener {
	n := peer.NewNode(peer.Options{Self: self, Resolve: dir.resolve})
	setup(n)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	l := &silencingListener{Listener: ln}
	dir.Store(self, ln.Addr().String())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = n.Serve(l)
	}()
	t.Cleanup(func() {
		n.Close()
		<-served
	})
	return l
}

// callWithin makes a call that may take a time.
func callWithin(n *server, d time.Duration, m peer.Method) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var got string
	return n.Call(ctx, "b", m, "x", &got)
}

// Guards against calls that go unanswered for 15 s because their connection has gone silent,
// while a new one would work.
func TestCallsAreAnsweredSoonAfterConnectionGoesSilent(t *testing.T) {
	g := NewWithT(t)
	dir := &directory{}
	ln := startSilenceable(t, dir, "b", func(n *peer.Node) { n.Handle("echo", echo) })
	a := start(t, dir, peer.Options{Self: "a"}, nil)
	g.Expect(callWithin(a, time.Second, "echo")).To(Succeed())
	ln.silence()
	g.Eventually(func() error { return callWithin(a, 300*time.Millisecond, "echo") }, 3*time.Second, 10*time.Millisecond).Should(Succeed())
}

// Guards against closing the connection to a daemon that answers others while one call takes
// longer than its caller waits.
func TestConnectionOutlivesSlowCalls(t *testing.T) {
	g := NewWithT(t)
	dir := &directory{}
	done := make(chan struct{})
	b := start(t, dir, peer.Options{Self: "b"}, func(n *peer.Node) {
		n.Handle("hang", func(context.Context, string, cbor.RawMessage) (any, error) {
			<-done
			return "x", nil
		})
	})
	t.Cleanup(func() { close(done) })
	a := start(t, dir, peer.Options{Self: "a"}, nil)
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); {
		g.Expect(callWithin(a, 100*time.Millisecond, "hang")).To(MatchError(peer.ErrLost))
	}
	b.ln.mu.Lock()
	defer b.ln.mu.Unlock()
	g.Expect(b.ln.conns).To(HaveLen(1))
}
