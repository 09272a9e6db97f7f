package dedupe

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/oklog/ulid/v2"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/membership"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/record"
	"greengagedeck/internal/request"
)

// loopback is a set of daemons that communicate over real connections on loopback
// addresses.
type loopback struct {
	addrs    sync.Map
	services []*Service
	scopes   []tally.TestScope
	ids      []string
}

func newLoopback(b *testing.B, ctx context.Context, daemons, zones int) *loopback {
	l := &loopback{}
	s := membership.NewState()
	var ds []*membership.Detector
	for i := range daemons {
		m := membership.Member{ID: fmt.Sprintf("n%02d", i), Host: fmt.Sprint(i), Zone: fmt.Sprint(i % zones)}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		m.PeerAddress = ln.Addr().String()
		l.addrs.Store(m.ID, m.PeerAddress)
		scope := tally.NewTestScope("", nil)
		n := peer.NewNode(peer.Options{Self: m.ID, Resolve: l.resolve, Scope: scope})
		d := membership.NewDetector(membership.DetectorOptions{Self: m, Caller: n})
		svc := NewService(ServiceOptions{Options: Options{Self: m.ID, MaxEntries: 4 << 20}, Caller: n, Members: d})
		d.Register(n)
		svc.Register(n)
		go func() { _ = n.Serve(ln) }()
		b.Cleanup(n.Close)
		r, _ := record.New(membership.KindJoin, m.ID, time.Time{}, record.Cause{}, membership.Join{Member: m})
		s.Apply(uint64(i+1), r)
		l.services, l.scopes, l.ids = append(l.services, svc), append(l.scopes, scope), append(l.ids, m.ID)
		ds = append(ds, d)
	}
	for i, d := range ds {
		l.services[i].SetState(&s)
		d.SetState(&s, s.Epoch)
		go func() { _ = d.Run(ctx) }()
		go func() { _ = l.services[i].Run(ctx) }()
	}
	time.Sleep(6 * time.Second) // until heartbeats confirm the epoch and a floor is known
	return l
}

func (l *loopback) resolve(id string) (string, bool) {
	v, ok := l.addrs.Load(id)
	if !ok {
		return "", false
	}
	return v.(string), true
}

// bytesOut returns the bytes of a traffic class that all daemons sent.
func (l *loopback) bytesOut(class string) (n int64) {
	for _, s := range l.scopes {
		n += s.Snapshot().Counters()["peer.bytes_out+class="+class].Value()
	}
	return n
}

// BenchmarkControlBytesOverLoopback measures the heartbeat bytes that idle daemons
// send and receive, without TCP and IP headers.
func BenchmarkControlBytesOverLoopback(b *testing.B) {
	const seconds = 10
	for _, size := range []struct{ daemons, zones int }{{7, 3}, {9, 4}, {21, 7}, {42, 7}} {
		b.Run(fmt.Sprintf("daemons=%d/zones=%d", size.daemons, size.zones), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l := newLoopback(b, ctx, size.daemons, size.zones)
			before := l.bytesOut("control")
			time.Sleep(seconds * time.Second)
			sent := l.bytesOut("control") - before
			b.ReportMetric(2*float64(sent)/seconds/float64(size.daemons), "bytes/s/daemon")
		})
	}
}

// BenchmarkGuardOverLoopback measures the latency and the bytes on the wire that
// the guard adds to a request, with nine daemons in four zones.
func BenchmarkGuardOverLoopback(b *testing.B) {
	for _, parallel := range []int{1, 8, 64} {
		b.Run(fmt.Sprint("callers=", parallel), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			l := newLoopback(b, ctx, 9, 4)
			next := request.ServerFunc(func(context.Context, *request.Request) (*request.Response, error) {
				return &request.Response{Status: 200, Body: make([]byte, 200)}, nil
			})
			var mu sync.Mutex
			hist := hdrhistogram.New(1, int64(time.Minute), 3)
			rejected := 0
			before := l.bytesOut("data")
			var wg sync.WaitGroup
			b.ResetTimer()
			for w := range parallel {
				wg.Go(func() {
					g := NewGuard(l.services[w%len(l.services)], next)
					for range (b.N + parallel - 1) / parallel {
						start := time.Now()
						_, err := g.Serve(ctx, &request.Request{ID: ulid.Make().String()})
						took := time.Since(start)
						mu.Lock()
						_ = hist.RecordValue(int64(took))
						if err != nil {
							rejected++
						}
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			time.Sleep(200 * time.Millisecond)
			n := float64(hist.TotalCount())
			b.ReportMetric(float64(hist.ValueAtQuantile(50))/1e3, "p50-µs")
			b.ReportMetric(float64(hist.ValueAtQuantile(99))/1e3, "p99-µs")
			b.ReportMetric(float64(l.bytesOut("data")-before)/n, "wire-bytes/op")
			b.ReportMetric(float64(rejected)/n, "refused/op")
		})
	}
}

// BenchmarkMemoryPerID measures the memory of a recorded claim without an answer
// and with a stored answer of 200 bytes.
func BenchmarkMemoryPerID(b *testing.B) {
	const ids = 200_000
	for _, body := range []int{0, 200} {
		b.Run(fmt.Sprint("answer=", body), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(memoryPerID(ids, body), "bytes/ID")
			}
		})
	}
}

func memoryPerID(ids, body int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t := NewTable(time.Hour, ids, 1<<30)
	now := t.Advance(epochStart)
	for i := range ids {
		id := idAt(now.Add(time.Duration(i) * time.Millisecond))
		t.Put(Claim{ID: id, Token: id})
		if body > 0 {
			t.Complete(Complete{ID: id, Token: id, Response: &request.Response{Body: make([]byte, body)}})
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perID := float64(after.HeapAlloc-before.HeapAlloc) / float64(t.Len())
	runtime.KeepAlive(t)
	return perID
}
