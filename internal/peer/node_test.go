package peer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"greengagedeck/internal/peer"
	"greengagedeck/internal/record"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// These two goroutines of fasthttp sleep for up to 10 s after shutdown.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// directory maps daemon IDs to addresses.
type directory struct{ sync.Map }

func (d *directory) resolve(id string) (string, bool) {
	v, ok := d.Load(id)
	if !ok {
		return "", false
	}
	return v.(string), true
}

// trackingListener records the accepted connections so that a test can close
// them.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

func (l *trackingListener) closeConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}

type server struct {
	*peer.Node
	ln *trackingListener
}

// start runs a node with the handlers that setup registers.
func start(t *testing.T, dir *directory, o peer.Options, setup func(*peer.Node)) *server {
	t.Helper()
	o.Resolve = dir.resolve
	n := peer.NewNode(o)
	if setup != nil {
		setup(n)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	cl := &trackingListener{Listener: ln}
	dir.Store(o.Self, ln.Addr().String())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = n.Serve(cl)
	}()
	t.Cleanup(func() {
		n.Close()
		<-served
	})
	return &server{Node: n, ln: cl}
}

func echo(_ context.Context, from string, body cbor.RawMessage) (any, error) {
	var s string
	if err := record.Decode(body, &s); err != nil {
		return nil, err
	}
	return from + ":" + s, nil
}

func TestConcurrentAnswersMatchRequests(t *testing.T) {
	g := NewWithT(t)
	dir := &directory{}
	const calls = 200
	var gate sync.WaitGroup
	gate.Add(calls)
	start(t, dir, peer.Options{Self: "b"}, func(n *peer.Node) {
		n.Handle("echo", func(ctx context.Context, from string, body cbor.RawMessage) (any, error) {
			gate.Done()
			gate.Wait() // wait until all calls are in flight
			return echo(ctx, from, body)
		})
	})
	a := start(t, dir, peer.Options{Self: "a"}, nil)
	var wg sync.WaitGroup
	var wrong atomic.Int64
	for i := range calls {
		wg.Go(func() {
			var got string
			want := fmt.Sprint(i)
			err := a.Call(context.Background(), "b", "echo", want, &got)
			if err != nil || got != "a:"+want {
				wrong.Add(1)
			}
		})
	}
	wg.Wait()
	g.Expect(wrong.Load()).To(BeZero())
}

func TestCallToSelfAndByAddress(t *testing.T) {
	g := NewWithT(t)
	dir := &directory{}
	b := start(t, dir, peer.Options{Self: "b"}, func(n *peer.Node) { n.Handle("echo", echo) })
	a := start(t, dir, peer.Options{Self: "a"}, nil)
	var got string
	g.Expect(b.Call(context.Background(), "b", "echo", "x", &got)).To(Succeed())
	g.Expect(got).To(Equal("b:x"))
	addr, _ := dir.resolve("b")
	g.Expect(a.CallAddress(context.Background(), addr, "echo", "y", &got)).To(Succeed())
	g.Expect(got).To(Equal("a:y"))
	var remote *peer.RemoteError
	g.Expect(errors.As(a.Call(context.Background(), "b", "none", "y", nil), &remote)).To(BeTrue())
}

func TestUnreachablePeerIsNotSent(t *testing.T) {
	g := NewWithT(t)
	dir := &directory{}
	a := start(t, dir, peer.Options{Self: "a"}, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	dir.Store("b", ln.Addr().String())
	g.Expect(ln.Close()).To(Succeed())
	g.Expect(a.Call(context.Background(), "b", "echo", "x", nil)).To(MatchError(peer.ErrNotSent))
	g.Expect(a.Call(context.Background(), "unknown", "echo", "x", nil)).To(MatchError(peer.ErrNotSent))
}

func TestStalePeerAddressIsNotSent(t *testing.T) {
	g := NewWithT(t)
	dir := &directory{}
	var ran atomic.Int64
	start(t, dir, peer.Options{Self: "b2"}, func(n *peer.Node) {
		n.Handle("m", func(context.Context, string, cbor.RawMessage) (any, error) {
			return ran.Add(1), nil
		})
	})
	addr, _ := dir.resolve("b2")
	dir.Store("b1", addr)
	a := start(t, dir, peer.Options{Self: "a"}, nil)
	g.Expect(a.Call(context.Background(), "b1", "m", 0, nil)).To(MatchError(peer.ErrNotSent))
	g.Expect(ran.Load()).To(BeZero())
}

func TestWrongTokenIsNotSent(t *testing.T) {
	g := NewWithT(t)
	dir := &directory{}
	start(t, dir, peer.Options{Self: "b", Token: "s3cret"}, func(n *peer.Node) { n.Handle("echo", echo) })
	good := start(t, dir, peer.Options{Self: "a", Token: "s3cret"}, nil)
	bad := start(t, dir, peer.Options{Self: "c", Token: "guess"}, nil)
	var got string
	g.Expect(good.Call(context.Background(), "b", "echo", "x", &got)).To(Succeed())
	g.Expect(bad.Call(context.Background(), "b", "echo", "x", &got)).To(MatchError(peer.ErrNotSent))
}

func TestConnectionClosedDuringCallIsLost(t *testing.T) {
	g := NewWithT(t)
	dir := &directory{}
	started := make(chan struct{})
	ended := make(chan struct{})
	b := start(t, dir, peer.Options{Self: "b"}, func(n *peer.Node) {
		n.Handle("hang", func(ctx context.Context, _ string, _ cbor.RawMessage) (any, error) {
			close(started)
			<-ctx.Done()
			close(ended)
			return nil, ctx.Err()
		})
		n.Handle("echo", echo)
	})
	a := start(t, dir, peer.Options{Self: "a"}, nil)
	go func() {
		<-started
		b.ln.closeConnections()
	}()
	g.Expect(a.Call(context.Background(), "b", "hang", 0, nil)).To(MatchError(peer.ErrLost))
	<-ended
	// The link reconnects.
	var got string
	g.Eventually(func() error {
		return a.Call(context.Background(), "b", "echo", "again", &got)
	}, 10*time.Second).Should(Succeed())
}

func TestCancelledCallCancelsHandler(t *testing.T) {
	g := NewWithT(t)
	dir := &directory{}
	started, ended := make(chan struct{}), make(chan struct{})
	start(t, dir, peer.Options{Self: "b"}, func(n *peer.Node) {
		n.Handle("hang", func(ctx context.Context, _ string, _ cbor.RawMessage) (any, error) {
			close(started)
			<-ctx.Done()
			close(ended)
			return nil, ctx.Err()
		})
	})
	a := start(t, dir, peer.Options{Self: "a"}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	g.Expect(a.Call(ctx, "b", "hang", 0, nil)).To(MatchError(peer.ErrLost))
	<-ended
}

func TestOversizedMessageIsNotSent(t *testing.T) {
	g := NewWithT(t)
	dir := &directory{}
	start(t, dir, peer.Options{Self: "b"}, func(n *peer.Node) { n.Handle("echo", echo) })
	a := start(t, dir, peer.Options{Self: "a"}, nil)
	err := a.Call(context.Background(), "b", "echo", make([]byte, 3<<20), nil)
	g.Expect(err).To(MatchError(peer.ErrNotSent))
}

// TestNotSentCallNeverReachesHandler repeatedly closes the connections while calls
// are in flight. A call that fails with ErrNotSent must not have reached its
// handler, and no call may reach it twice.
func TestNotSentCallNeverReachesHandler(t *testing.T) {
	g := NewWithT(t)
	const seed, workers, calls, callsPerCut = 7, 16, 150, 60
	t.Logf("seed %d", seed)
	dir := &directory{}
	var ran [workers * calls]atomic.Int32
	var arrived atomic.Int32
	var b *server
	b = start(t, dir, peer.Options{Self: "b"}, func(n *peer.Node) {
		n.HandleData("run", func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
			var req [2][]byte
			var i int
			if err := record.Decode(body, &req); err != nil {
				return nil, err
			}
			if err := record.Decode(req[0], &i); err != nil {
				return nil, err
			}
			ran[i].Add(1)
			if arrived.Add(1)%callsPerCut == 0 {
				b.ln.closeConnections()
			}
			return i, nil
		})
	})
	a := start(t, dir, peer.Options{Self: "a"}, nil)
	var wg sync.WaitGroup
	var ok, notSent, lost, wrong atomic.Int64
	for w := range workers {
		wg.Go(func() {
			rng := rand.New(rand.NewSource(seed + int64(w)))
			for i := w * calls; i < (w+1)*calls; i++ {
				id, _ := record.Encode(i)
				got := -1
				req := [2][]byte{id, make([]byte, rng.Intn(200_000))}
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				err := a.Call(ctx, "b", "run", req, &got)
				cancel()
				switch {
				case err == nil && got == i && ran[i].Load() == 1:
					ok.Add(1)
				case errors.Is(err, peer.ErrNotSent):
					notSent.Add(1)
				case errors.Is(err, peer.ErrLost):
					lost.Add(1)
				default:
					wrong.Add(1)
				}
				if errors.Is(err, peer.ErrNotSent) {
					// Leave time for a wrongly sent frame to arrive.
					time.Sleep(time.Duration(rng.Intn(20)) * time.Millisecond)
					if ran[i].Load() != 0 {
						wrong.Add(1)
					}
				}
			}
		})
	}
	wg.Wait()
	t.Logf("answered %d, not sent %d, lost %d", ok.Load(), notSent.Load(), lost.Load())
	g.Expect(wrong.Load()).To(BeZero())
	g.Expect(ok.Load()).To(BeNumerically(">", 0))
	g.Expect(notSent.Load()).To(BeNumerically(">", 0))
}

func TestBytesCountedByClass(t *testing.T) {
	g := NewWithT(t)
	dir := &directory{}
	scope := tally.NewTestScope("", nil)
	setup := func(n *peer.Node) {
		n.Handle("control", echo)
		n.HandleData("data", echo)
	}
	start(t, dir, peer.Options{Self: "b"}, setup)
	a := start(t, dir, peer.Options{Self: "a", Scope: scope}, setup)
	g.Expect(a.Call(context.Background(), "b", "control", "x", nil)).To(Succeed())
	g.Expect(a.Call(context.Background(), "b", "data", string(make([]byte, 10_000)), nil)).To(Succeed())
	value := func(name, class string) int64 {
		return scope.Snapshot().Counters()["peer."+name+"+class="+class].Value()
	}
	g.Expect(value("bytes_in", "data")).To(BeNumerically("~", 10_000, 100))
	g.Eventually(func() int64 { return value("bytes_out", "data") }).Should(BeNumerically("~", 10_000, 100))
	g.Expect(value("bytes_out", "control")).To(BeNumerically("<", 100))
	g.Expect(value("frames_in", "control")).To(Equal(int64(1)))
}

// TestCloseWithConnectedPeers closes the accepting side while the dialling side
// stays connected.
func TestCloseWithConnectedPeers(t *testing.T) {
	g := NewWithT(t)
	dir := &directory{}
	b := start(t, dir, peer.Options{Self: "b"}, func(n *peer.Node) { n.Handle("echo", echo) })
	a := start(t, dir, peer.Options{Self: "a"}, nil)
	g.Expect(a.Call(context.Background(), "b", "echo", "x", nil)).To(Succeed())
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		b.Close()
	}()
	g.Eventually(closed, 10*time.Second).Should(BeClosed())
}

// BenchmarkCall measures calls between two daemons over one connection.
func BenchmarkCall(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			dir := &directory{}
			serve := peer.NewNode(peer.Options{Self: "b", Resolve: dir.resolve})
			serve.HandleData("echo", echo)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			dir.Store("b", ln.Addr().String())
			go func() { _ = serve.Serve(ln) }()
			a := peer.NewNode(peer.Options{Self: "a", Resolve: dir.resolve})
			defer serve.Close()
			defer a.Close()
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() {
					for range (b.N + callers - 1) / callers {
						if err := a.Call(context.Background(), "b", "echo", "x", nil); err != nil {
							b.Error(err)
						}
					}
				})
			}
			wg.Wait()
		})
	}
}
