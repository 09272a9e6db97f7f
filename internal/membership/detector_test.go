package membership

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"greengagedeck/internal/peer"
	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

var large = flag.Bool("membership.large", false, "measure heartbeats of larger memberships too")

// frameOverhead is what the transport adds to a body: its own frame and the
// WebSocket header.
const frameOverhead = 40

// network connects detectors in memory and counts bytes by daemon.
type network struct {
	mu       sync.Mutex
	handlers map[string]map[peer.Method]peer.Handler
	cut      map[string]bool
	bytes    map[string]int
}

type port struct {
	net  *network
	self string
}

func newNetwork() *network {
	return &network{handlers: map[string]map[peer.Method]peer.Handler{}, cut: map[string]bool{}, bytes: map[string]int{}}
}

func (n *network) port(id string) port {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[id] = map[peer.Method]peer.Handler{}
	return port{net: n, self: id}
}

func (p port) Handle(m peer.Method, h peer.Handler) { p.net.handlers[p.self][m] = h }

func (p port) Send(ctx context.Context, to string, m peer.Method, msg any) error {
	return p.Call(ctx, to, m, msg, nil)
}

func (p port) Call(ctx context.Context, to string, m peer.Method, req, resp any) error {
	p.net.mu.Lock()
	h := p.net.handlers[to][m]
	if p.net.cut[to] || p.net.cut[p.self] {
		h = nil
	}
	p.net.mu.Unlock()
	if h == nil {
		return peer.ErrNotSent
	}
	time.Sleep(time.Millisecond)
	body, err := record.Encode(req)
	if err != nil {
		return err
	}
	out, err := h(ctx, p.self, cbor.RawMessage(body))
	if err != nil {
		return &peer.RemoteError{Message: err.Error()}
	}
	data, err := record.Encode(out)
	if err != nil {
		return err
	}
	p.net.mu.Lock()
	for _, id := range []string{p.self, to} {
		p.net.bytes[id] += len(body) + len(data) + 2*frameOverhead
	}
	p.net.mu.Unlock()
	return record.Decode(data, resp)
}

// startDetectors runs a detector for each member of s.
func startDetectors(ctx context.Context, n *network, s *State) map[string]*Detector {
	out := map[string]*Detector{}
	for _, m := range s.sortedMembers() {
		p := n.port(m.ID)
		d := NewDetector(DetectorOptions{Self: m, Caller: p})
		d.Register(p)
		d.SetState(s, s.Epoch)
		d.Publish("q", func() []byte { return make([]byte, 16) })
		out[m.ID] = d
	}
	for _, d := range out {
		go func() { _ = d.Run(ctx) }()
	}
	return out
}

func sinceConfirmed(d *Detector) time.Duration {
	_, at := d.EpochConfirmed()
	return time.Since(at)
}

// stopDetectors stops the detectors and lets exchanges in progress finish.
func stopDetectors(cancel context.CancelFunc) {
	cancel()
	time.Sleep(time.Second)
	synctest.Wait()
}

func stateAcrossZones(size, zones int) *State {
	var ms []Member
	for i := range size {
		ms = append(ms, member(fmt.Sprintf("01J%023d", i), fmt.Sprint("z", i%zones)))
	}
	return stateWith(ms...)
}

func TestDetectorsDetectPartitionedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		n, s := newNetwork(), stateAcrossZones(9, 4)
		ds := startDetectors(ctx, n, s)
		time.Sleep(5 * time.Second)
		for _, d := range ds {
			g.Expect(d.LiveMembers()).To(HaveLen(9))
			g.Expect(sinceConfirmed(d)).To(BeNumerically("<", 3*time.Second))
			g.Expect(d.Paused()).To(BeFalse())
		}
		n.mu.Lock()
		for _, id := range s.InZone("z1") {
			n.cut[id] = true
		}
		n.mu.Unlock()
		time.Sleep(10 * time.Second)
		d := ds[s.InZone("z0")[0]]
		g.Expect(d.LiveMembers()).To(HaveLen(7))
		g.Expect(d.OtherZoneMembers()).NotTo(HaveKey("z1"))
		g.Expect(sinceConfirmed(d)).To(BeNumerically("<", 3*time.Second), "one zone may be missing")
		cutOff := ds[s.InZone("z1")[0]]
		g.Expect(sinceConfirmed(cutOff)).To(BeNumerically(">", 3*time.Second))
		stopDetectors(cancel)
	})
}

// TestHeartbeatBytesAreBounded checks that the heartbeats alone stay below the
// target for all control traffic of a daemon.
func TestHeartbeatBytesAreBounded(t *testing.T) {
	const target, seconds = 8 << 10, 60
	sizes := []struct{ daemons, zones int }{{9, 4}}
	if *large {
		sizes = append(sizes, []struct{ daemons, zones int }{{7, 3}, {14, 7}, {28, 7}, {42, 7}}...)
	}
	for _, size := range sizes {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			n := newNetwork()
			startDetectors(ctx, n, stateAcrossZones(size.daemons, size.zones))
			time.Sleep(seconds * time.Second)
			stopDetectors(cancel)
			most, sum := 0, 0
			for _, b := range n.bytes {
				most, sum = max(most, b), sum+b
			}
			t.Logf("%d daemons in %d zones: %d bytes/s in and out per daemon, at most %d",
				size.daemons, size.zones, sum/size.daemons/seconds, most/seconds)
			NewWithT(t).Expect(most / seconds).To(BeNumerically("<", target))
		})
	}
}

// fakeLog applies appended records, each ID once, and loses the answers to the
// next answersToLose appends.
type fakeLog struct {
	state         State
	offset        uint64
	answersToLose int
	appends       int
	seen          map[string]bool
}

func (l *fakeLog) append(_ context.Context, r record.Record) error {
	l.appends++
	if !l.seen[r.ID.String()] {
		l.seen[r.ID.String()] = true
		l.offset++
		l.state.Apply(l.offset, r)
	}
	if l.answersToLose > 0 {
		l.answersToLose--
		return platform.ErrUncertain
	}
	return nil
}

func TestJoinIsAppliedOnceWhenAppendAnswersAreLost(t *testing.T) {
	g := NewWithT(t)
	l := &fakeLog{state: NewState(), answersToLose: 2, seen: map[string]bool{}}
	self := NewMember("h", "a", "127.0.0.1:1")
	d := NewDetector(DetectorOptions{Self: self})
	hosts := NewListReader(ListReaderOptions{Detector: d})
	stale := l.state.Clone()
	state := func() *State { return &stale } // does not contain its own join yet
	j := NewJoiner(JoinerOptions{Self: self, Append: l.append, State: state, Detector: d, List: hosts,
		LogConfirmed: func() time.Time { return time.Time{} }})
	for range 3 {
		j.reconcile(context.Background())
	}
	g.Expect(l.appends).To(Equal(3))
	g.Expect(l.offset).To(Equal(uint64(1)), "retries use one record ID")
	g.Expect(l.state.Members).To(HaveKey(self.ID))
	l.answersToLose = 1
	g.Expect(j.Leave(context.Background())).To(Succeed())
	g.Expect(l.state.Members).To(BeEmpty())
}

func TestSeedAddresses(t *testing.T) {
	g := NewWithT(t)
	self := Member{ID: "1", PeerAddress: "10.0.0.1:7000"}
	s := stateWith(Member{ID: "2", Host: "h2", Zone: "a", PeerAddress: "10.0.0.2:7000"})
	d := NewDetector(DetectorOptions{Self: self})
	r := NewListReader(ListReaderOptions{Detector: d})
	r.list.Update(platform.HostList{Version: 1, Hosts: []platform.HostStatus{
		{ID: "e", Address: "10.0.0.3", Entry: true}, {ID: "w", Address: "10.0.0.9", Entry: false},
	}}, time.Now())
	g.Expect(SeedAddresses([]string{"10.0.0.4:7000", "10.0.0.1:7000"}, s, r, self)).To(Equal(
		[]string{"10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000"}))
}

// fakeHosts serves a host list that a test sets, and counts the reads.
type fakeHosts struct {
	mu    sync.Mutex
	list  platform.HostList
	reads int
}

func (h *fakeHosts) List(context.Context) (platform.HostList, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads++
	return h.list, nil
}

func (h *fakeHosts) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads
}

func (h *fakeHosts) set(version uint64, hosts ...platform.HostStatus) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = platform.HostList{Version: version, Hosts: hosts}
}

// TestListReaderFailover checks that one daemon of the zone reads the list for
// all of them, and that another one takes over once the reader is unreachable.
func TestListReaderFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer stopDetectors(cancel)
		n, s, hosts := newNetwork(), stateAcrossZones(3, 1), &fakeHosts{}
		hosts.set(1, platform.HostStatus{ID: "w1"})
		var readers []*ListReader
		for _, m := range s.sortedMembers() {
			p := n.port(m.ID)
			d := NewDetector(DetectorOptions{Self: m, Caller: p})
			r := NewListReader(ListReaderOptions{Hosts: hosts, Detector: d, Caller: p})
			d.Register(p)
			r.Register(p)
			d.SetState(s, s.Epoch)
			go func() { _ = d.Run(ctx) }()
			go func() { _ = r.Run(ctx) }()
			readers = append(readers, r)
		}
		time.Sleep(10 * time.Second)
		for _, r := range readers {
			listed, version := r.Listed("w1")
			g.Expect(listed && version == 1).To(BeTrue())
		}
		before := hosts.count()
		time.Sleep(10 * time.Second)
		g.Expect(hosts.count()-before).To(BeNumerically("~", 10, 2), "one daemon reads the list once a second")
		n.mu.Lock()
		n.cut[s.sortedMembers()[0].ID] = true
		n.mu.Unlock()
		hosts.set(2, platform.HostStatus{ID: "w1", Leaving: true})
		time.Sleep(5 * time.Second)
		leaving, version := readers[2].Leaving("w1")
		g.Expect(leaving && version == 2).To(BeTrue(), "newer list within 5 s of the reader's loss")
	})
}

// sharedLog is a log that several daemons append to and read.
type sharedLog struct {
	mu sync.Mutex
	fakeLog
}

func (l *sharedLog) currentState() *State {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state.Clone()
	return &s
}

func (l *sharedLog) appendShared(ctx context.Context, r record.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = l.state.Clone()
	return l.append(ctx, r)
}

func (l *sharedLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// TestUnresponsiveDaemonIsSuspendedAndResumes runs detectors and joiners
// over one log, and disconnects and reconnects one daemon.
func TestUnresponsiveDaemonIsSuspendedAndResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer stopDetectors(cancel)
		n, s := newNetwork(), stateAcrossZones(9, 4)
		l := &sharedLog{fakeLog: fakeLog{state: s.Clone(), offset: 9, seen: map[string]bool{}}}
		victim := s.sortedMembers()[4].ID
		ds := startDetectors(ctx, n, s)
		list := NewListReader(ListReaderOptions{Detector: NewDetector(DetectorOptions{})})
		joiner := func(id string) *Joiner {
			return NewJoiner(JoinerOptions{
				Self: s.Members[id], Detector: ds[id], List: list,
				LogConfirmed: time.Now, State: l.currentState, Append: l.appendShared,
			})
		}
		for id := range ds {
			if id != victim {
				go func() { _ = joiner(id).Run(ctx) }()
			}
		}
		cut := func(is bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.cut[victim] = is
		}
		time.Sleep(20 * time.Second)
		g.Expect(l.count()).To(BeZero())
		cut(true)
		time.Sleep(5 * time.Second)
		g.Expect(l.currentState().Suspended).To(HaveKey(victim), "suspended within 5 s")
		g.Expect(l.count()).To(Equal(1), "appended by one daemon")
		cut(false)
		j := joiner(victim)
		time.Sleep(startupGrace + 5*time.Second)
		j.reconcile(ctx)
		g.Expect(l.currentState().Suspended).To(BeEmpty(), "it resumes itself")
	})
}
