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

// sim runs the real state machines of a few daemons in virtual time: the membership
// state, the failure detector's view and the claim store. Log, network, clocks and
// processes fail according to a schedule that is derived from a seed.
type sim struct {
	rng   *rand.Rand
	now   time.Duration
	queue events
	seq   int
	bug   injectedBug

	log          []record.Record
	logAvailable bool
	nodes        map[string]*simNode
	order        []string
	live         []*simNode
	partition    map[string]int // nodes in different partitions cannot reach each other
	logBlocked   map[string]bool

	starts map[ulid.ULID]int
	stats  map[string]int
}

// injectedBug disables a safeguard to check that the simulation detects it.
type injectedBug string

const (
	noBug            injectedBug = ""
	skipBackup       injectedBug = "backup skipped"
	skipLease        injectedBug = "lease skipped"
	skipHistoryCheck injectedBug = "history check skipped"
	skipFence        injectedBug = "fence skipped"
	earlyEpoch       injectedBug = "epoch announced before it is applied"
)

type simNode struct {
	*sim
	id, zone       string
	alive          bool
	pausedUntil    time.Duration
	clockSkew      time.Duration
	appliedRecords int
	state          membership.State
	view           *membership.View
	store          *ClaimStore
	logConfirmedAt time.Time
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
	simTick           = 250 * time.Millisecond
	simClockError     = 50 * time.Millisecond
	simLease          = time.Second
	simForcedTakeover = 2 * time.Second
	simWindow         = 8 * time.Second
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSim(seed int64, zones, nodes int, b injectedBug) *sim {
	s := &sim{
		rng: rand.New(rand.NewSource(seed)), bug: b, logAvailable: true,
		nodes: map[string]*simNode{}, partition: map[string]int{}, logBlocked: map[string]bool{},
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

func (s *sim) randomUpTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int63n(int64(d))) }

// append adds a record to the log.
func (s *sim) append(kind record.Kind, body any) {
	r, err := record.New(kind, "sim", time.Time{}, record.Cause{}, body)
	if err != nil {
		panic(err)
	}
	s.log = append(s.log, r)
}

// join starts a daemon in a zone and appends its join record.
func (s *sim) join(zone string) *simNode {
	id := fmt.Sprintf("n%02d", len(s.order))
	n := &simNode{sim: s, id: id, zone: zone, alive: true, state: membership.NewState()}
	n.clockSkew = s.randomUpTo(2*simClockError) - simClockError
	m := membership.Member{ID: id, Host: "h" + id, Zone: zone, PeerAddress: "a" + id}
	n.view = membership.NewView(membership.ViewOptions{Self: m, Interval: simTick, CrossInterval: simTick, FailAfter: 4 * simTick})
	n.store = NewClaimStore(Options{Self: id, Window: simWindow, ClockError: simClockError,
		Lease: simLease, ForcedTakeover: simForcedTakeover, MaxEntries: 1 << 20})
	s.nodes[id] = n
	s.order = append(s.order, id)
	s.live = append(s.live, n)
	s.append(membership.KindJoin, membership.Join{Member: m})
	s.after(s.randomUpTo(simTick), n.tick)
	return n
}

func (s *sim) remove(id string) { s.append(membership.KindRemove, membership.Remove{ID: id}) }

func (n *simNode) clock() time.Time { return epochStart.Add(n.now + n.clockSkew) }

// runWhenActive runs do on the node, after its pause if it is paused, and never if
// it is dead.
func (n *simNode) runWhenActive(do func()) {
	switch {
	case !n.alive:
	case n.pausedUntil > n.now:
		n.after(n.pausedUntil-n.now, func() { n.runWhenActive(do) })
	default:
		do()
	}
}

func (n *simNode) tick() {
	n.runWhenActive(func() {
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
		n.store.Update(now, epochOf)
	})
}

func (n *simNode) readLog() {
	sent := n.clock()
	n.after(n.randomUpTo(20*time.Millisecond), func() {
		if !n.logAvailable || n.logBlocked[n.id] {
			return
		}
		tail := len(n.log)
		n.after(n.messageDelay(), func() {
			n.runWhenActive(func() {
				n.applyRecords(tail)
				if sent.After(n.logConfirmedAt) {
					n.logConfirmedAt = sent
				}
			})
		})
	})
}

// applyRecords applies the log's records up to tail to the node's state. The claim
// store gets the new state before the view, which announces its epoch to others.
func (n *simNode) applyRecords(tail int) {
	if tail <= n.appliedRecords {
		return
	}
	next := n.state.Clone()
	for ; n.appliedRecords < tail; n.appliedRecords++ {
		next.Apply(uint64(n.appliedRecords+1), n.log[n.appliedRecords])
	}
	n.state = next
	if n.bug == earlyEpoch {
		n.view.SetState(&next)
		n.after(2*time.Second, func() { n.runWhenActive(func() { n.store.SetState(&next) }) })
		return
	}
	n.store.SetState(&next)
	n.view.SetState(&next)
}

func (s *sim) messageDelay() time.Duration {
	if s.rng.Intn(40) == 0 {
		return s.randomUpTo(2 * time.Second)
	}
	return time.Millisecond + s.randomUpTo(10*time.Millisecond)
}

func (s *sim) connected(a, b string) bool { return s.partition[a] == s.partition[b] }

// send delivers do to another node, unless the message is lost.
func (n *simNode) send(to string, do func(*simNode)) {
	if to == n.id {
		do(n)
		return
	}
	if !n.connected(n.id, to) || n.rng.Intn(100) == 0 {
		return
	}
	n.after(n.messageDelay(), func() {
		m := n.nodes[to]
		if n.connected(n.id, to) {
			m.runWhenActive(func() { do(m) })
		}
	})
}

func (n *simNode) ownHeartbeat() membership.Heartbeat {
	return membership.Heartbeat{Epoch: n.state.Epoch, Offset: uint64(n.appliedRecords)}
}

func (n *simNode) heartbeat(to membership.Member) {
	sent, hb := n.clock(), n.ownHeartbeat()
	n.send(to.ID, func(m *simNode) {
		m.view.HandleHeartbeat(n.id, hb, m.clock())
		a, floor, tail := m.view.Answer(m.ownHeartbeat(), n.zone, m.clock()), m.store.fence.floor(), m.appliedRecords
		m.send(n.id, func(n *simNode) {
			n.view.HandleAnswer(to.ID, a, sent, n.clock())
			if floor.Epoch > 0 {
				n.store.fence.addFloor(floor)
			}
			if n.rng.Intn(4) == 0 { // records are fetched from peers too
				n.applyRecords(tail)
			}
		})
	})
}

// epochConfirmedAt does the same as Service.epochConfirmedAt.
func (n *simNode) epochConfirmedAt() time.Time {
	now := n.clock()
	if n.bug == skipLease {
		return now
	}
	at := n.logConfirmedAt
	if c := n.view.EpochConfirmed(now); n.store.Epoch() == n.state.Epoch && c.After(at) {
		at = c
	}
	return at
}

// claim starts one claim attempt for the ID at the node. start says whether the
// request starts once the claim is granted, or the claim is abandoned.
func (n *simNode) claim(id ulid.ULID, start bool) {
	pair, ok := n.store.Pair(id)
	if !ok {
		n.stats["no pair"]++
		return
	}
	token := ulid.ULID{}
	_, _ = n.rng.Read(token[:])
	t := &claimAttempt{claim: Claim{Epoch: n.store.Epoch(), ID: id, Token: token}, pair: pair}
	n.sendClaim(t, start)
}

func (n *simNode) sendClaim(t *claimAttempt, start bool) {
	answered := false
	to := t.nextDaemon()
	n.send(to, func(m *simNode) {
		a := m.store.Claim(m.clock(), m.epochConfirmedAt(), t.claim)
		m.send(n.id, func(n *simNode) {
			if answered {
				return
			}
			answered = true
			n.handleAnswer(t, a, start)
		})
	})
	n.after(time.Second, func() {
		if !answered {
			answered = true
			n.runWhenActive(func() { n.abandonClaim(t, "unreachable") })
		}
	})
}

func (n *simNode) handleAnswer(t *claimAttempt, a ClaimAnswer, start bool) {
	if n.bug == skipHistoryCheck {
		a.HistoryComplete = true
	}
	r := t.recordAnswer(a)
	if r == resultAskBackup && n.bug == skipBackup && t.historyComplete {
		r = resultGranted
	}
	switch r {
	case resultAskBackup:
		n.sendClaim(t, start)
	case resultGranted:
		n.after(n.randomUpTo(time.Second), func() { n.runWhenActive(func() { n.startRequest(t, start) }) })
	default:
		n.abandonClaim(t, a.Status.String())
	}
}

func (n *simNode) startRequest(t *claimAttempt, start bool) {
	if !start {
		n.abandonClaim(t, "abandoned")
		return
	}
	n.stats["granted"]++
	n.starts[t.claim.ID]++
}

func (n *simNode) abandonClaim(t *claimAttempt, why string) {
	n.stats[why]++
	for _, to := range []string{t.pair.Primary, t.pair.Backup} {
		n.send(to, func(m *simNode) { m.store.Abandon(Abandon{ID: t.claim.ID, Token: t.claim.Token}) })
	}
}

// duplicateStarts returns the number of IDs that started more than once.
func (s *sim) duplicateStarts() int {
	v := 0
	for _, n := range s.starts {
		if n > 1 {
			v++
		}
	}
	return v
}
