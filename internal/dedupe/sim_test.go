package dedupe

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/membership"
	"greengagedeck/internal/record"
)

// sim runs the real state machines of a few daemons under virtual time: the
// fold of the membership, the failure detector's view and the keeper. Log,
// network, clocks and processes fail by a schedule from a seed.
type sim struct {
	rng   *rand.Rand
	now   time.Duration
	queue events
	seq   int
	bug   bug

	log    []record.Record
	logUp  bool
	nodes  map[string]*simNode
	order  []string
	live   []*simNode
	island map[string]int // nodes on different islands do not hear each other
	noLog  map[string]bool

	starts map[ulid.ULID]int
	stats  map[string]int
}

// bug takes a guard out, to show that the check notices.
type bug string

const (
	noBug      bug = ""
	skipBackup bug = "backup skipped"
	skipLease  bug = "lease skipped"
	skipVouch  bug = "vouching skipped"
	skipFence  bug = "fence skipped"
	earlyEpoch bug = "epoch named before it is kept"
)

type simNode struct {
	*sim
	id, zone string
	alive    bool
	paused   time.Duration // until
	skew     time.Duration
	folded   int
	state    membership.State
	view     *membership.View
	keeper   *Keeper
	logAt    time.Time
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const (
	simTick       = 250 * time.Millisecond
	simClockError = 50 * time.Millisecond
	simLease      = time.Second
	simForced     = 2 * time.Second
	simWindow     = 8 * time.Second
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSim(seed int64, zones, nodes int, b bug) *sim {
	s := &sim{
		rng: rand.New(rand.NewSource(seed)), bug: b, logUp: true,
		nodes: map[string]*simNode{}, island: map[string]int{}, noLog: map[string]bool{},
		starts: map[ulid.ULID]int{}, stats: map[string]int{},
	}
	for i := range nodes {
		s.join(fmt.Sprint("z", i%zones))
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, do: do})
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int63n(int64(d))) }

// append adds a record to the log.
func (s *sim) append(kind record.Kind, body any) {
	r, err := record.New(kind, "sim", time.Time{}, record.Cause{}, body)
	if err != nil {
		panic(err)
	}
	s.log = append(s.log, r)
}

// join starts a daemon in a zone and appends its record.
func (s *sim) join(zone string) *simNode {
	id := fmt.Sprintf("n%02d", len(s.order))
	n := &simNode{sim: s, id: id, zone: zone, alive: true, state: membership.NewState()}
	n.skew = s.upTo(2*simClockError) - simClockError
	m := membership.Member{ID: id, Host: "h" + id, Zone: zone, PeerAddress: "a" + id}
	n.view = membership.NewView(membership.ViewOptions{Self: m, Interval: simTick, CrossInterval: simTick, FailAfter: 4 * simTick})
	n.keeper = NewKeeper(Options{Self: id, Window: simWindow, ClockError: simClockError,
		Lease: simLease, ForcedTakeover: simForced, MaxEntries: 1 << 20})
	s.nodes[id] = n
	s.order = append(s.order, id)
	s.live = append(s.live, n)
	s.append(membership.KindJoin, membership.Join{Member: m})
	s.after(s.upTo(simTick), n.tick)
	return n
}

func (s *sim) remove(id string) { s.append(membership.KindRemove, membership.Remove{ID: id}) }

func (n *simNode) clock() time.Time { return epochStart.Add(n.now + n.skew) }

// local runs do on the node: never once it is dead, and after its pause.
func (n *simNode) local(do func()) {
	switch {
	case !n.alive:
	case n.paused > n.now:
		n.after(n.paused-n.now, func() { n.local(do) })
	default:
		do()
	}
}

func (n *simNode) tick() {
	n.local(func() {
		n.after(simTick, n.tick)
		n.readLog()
		now := n.clock()
		for _, m := range n.view.Targets(now) {
			n.heartbeat(m)
		}
		epochOf := n.view.EpochOf
		if n.bug == skipFence {
			epochOf = func(string) uint64 { return 1 << 40 }
		}
		n.keeper.Update(now, epochOf)
	})
}

func (n *simNode) readLog() {
	sent := n.clock()
	n.after(n.upTo(20*time.Millisecond), func() {
		if !n.logUp || n.noLog[n.id] {
			return
		}
		tail := len(n.log)
		n.after(n.delay(), func() {
			n.local(func() {
				n.fold(tail)
				if sent.After(n.logAt) {
					n.logAt = sent
				}
			})
		})
	})
}

// fold moves the node's state on to the tail-th record. The keeper is shown a
// state before the view, which names its epoch to others.
func (n *simNode) fold(tail int) {
	if tail <= n.folded {
		return
	}
	next := n.state.Clone()
	for ; n.folded < tail; n.folded++ {
		next.Apply(uint64(n.folded+1), n.log[n.folded])
	}
	n.state = next
	if n.bug == earlyEpoch {
		n.view.SetState(&next)
		n.after(2*time.Second, func() { n.local(func() { n.keeper.SetState(&next) }) })
		return
	}
	n.keeper.SetState(&next)
	n.view.SetState(&next)
}

func (s *sim) delay() time.Duration {
	if s.rng.Intn(40) == 0 {
		return s.upTo(2 * time.Second)
	}
	return time.Millisecond + s.upTo(10*time.Millisecond)
}

func (s *sim) hears(a, b string) bool { return s.island[a] == s.island[b] }

// send delivers do to another node, unless the message is lost.
func (n *simNode) send(to string, do func(*simNode)) {
	if to == n.id {
		do(n)
		return
	}
	if !n.hears(n.id, to) || n.rng.Intn(100) == 0 {
		return
	}
	n.after(n.delay(), func() {
		m := n.nodes[to]
		if n.hears(n.id, to) {
			m.local(func() { do(m) })
		}
	})
}

func (n *simNode) self() membership.Heartbeat {
	return membership.Heartbeat{Epoch: n.state.Epoch, Offset: uint64(n.folded)}
}

func (n *simNode) heartbeat(to membership.Member) {
	sent, hb := n.clock(), n.self()
	n.send(to.ID, func(m *simNode) {
		m.view.HandleHeartbeat(n.id, hb, m.clock())
		a, b, tail := m.view.Answer(m.self(), n.zone, m.clock()), m.keeper.fence.base(), m.folded
		m.send(n.id, func(n *simNode) {
			n.view.HandleAnswer(to.ID, a, sent, n.clock())
			if b.Epoch > 0 {
				n.keeper.fence.learn(b)
			}
			if n.rng.Intn(4) == 0 { // records come from peers too
				n.fold(tail)
			}
		})
	})
}

// confirmed is what Service.confirmed does.
func (n *simNode) confirmed() time.Time {
	now := n.clock()
	if n.bug == skipLease {
		return now
	}
	at := n.logAt
	if c := n.view.EpochConfirmed(now); n.keeper.Epoch() == n.state.Epoch && c.After(at) {
		at = c
	}
	return at
}

// claim runs one try of the ID at the node; start says whether the request
// starts once it is granted, or is found not to run.
func (n *simNode) claim(id ulid.ULID, start bool) {
	pair, ok := n.keeper.Pair(id)
	if !ok {
		n.stats["no pair"]++
		return
	}
	token := ulid.ULID{}
	_, _ = n.rng.Read(token[:])
	t := &try{claim: Claim{Epoch: n.keeper.Epoch(), ID: id, Token: token}, pair: pair}
	n.ask(t, start)
}

func (n *simNode) ask(t *try, start bool) {
	answered := false
	to := t.target()
	n.send(to, func(m *simNode) {
		a := m.keeper.Claim(m.clock(), m.confirmed(), t.claim)
		m.send(n.id, func(n *simNode) {
			if answered {
				return
			}
			answered = true
			n.answered(t, a, start)
		})
	})
	n.after(time.Second, func() {
		if !answered {
			answered = true
			n.local(func() { n.refuse(t, "unreachable") })
		}
	})
}

func (n *simNode) answered(t *try, a ClaimAnswer, start bool) {
	if n.bug == skipVouch {
		a.Vouched = true
	}
	r := t.take(a)
	if r == resultMore && n.bug == skipBackup && t.vouched {
		r = resultGranted
	}
	switch r {
	case resultMore:
		n.ask(t, start)
	case resultGranted:
		n.after(n.upTo(time.Second), func() { n.local(func() { n.begin(t, start) }) })
	default:
		n.refuse(t, a.Status.String())
	}
}

func (n *simNode) begin(t *try, start bool) {
	if !start {
		n.refuse(t, "abandoned")
		return
	}
	n.stats["granted"]++
	n.starts[t.claim.ID]++
}

func (n *simNode) refuse(t *try, why string) {
	n.stats[why]++
	for _, to := range []string{t.pair.Home, t.pair.Backup} {
		n.send(to, func(m *simNode) { m.keeper.Abandon(Abandon{ID: t.claim.ID, Token: t.claim.Token}) })
	}
}

// violations returns the IDs that started more than once.
func (s *sim) violations() int {
	v := 0
	for _, n := range s.starts {
		if n > 1 {
			v++
		}
	}
	return v
}
