package replica_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/membership"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
	"greengagedeck/internal/replica"
)

// inProcessPeers calls the handlers of other replicas in the same process.
type inProcessPeers struct {
	handlers    map[string]peer.Handler
	unreachable bool
}

func (d *inProcessPeers) Call(ctx context.Context, to string, _ peer.Method, req, resp any) error {
	h, ok := d.handlers[to]
	if !ok || d.unreachable {
		return peer.ErrNotSent
	}
	body, err := record.Encode(req)
	if err != nil {
		return err
	}
	answer, err := h(ctx, "test", body)
	if err != nil {
		return &peer.RemoteError{Message: err.Error()}
	}
	data, err := record.Encode(answer)
	if err != nil {
		return err
	}
	return record.Decode(data, resp)
}

func (d *inProcessPeers) CallAddress(ctx context.Context, addr string, m peer.Method, req, resp any) error {
	return d.Call(ctx, addr, m, req, resp)
}

func (d *inProcessPeers) Send(context.Context, string, peer.Method, any) error { return nil }

func (d *inProcessPeers) MembersAhead(uint64) []string {
	var ids []string
	for id := range d.handlers {
		ids = append(ids, id)
	}
	return ids
}

type handlerRegistrar struct {
	d  *inProcessPeers
	id string
}

func (h handlerRegistrar) Handle(_ peer.Method, f peer.Handler) { h.d.handlers[h.id] = f }

type node struct {
	*replica.Replica
	follower *replica.Follower
	appender *replica.Appender
}

func startNode(ctx context.Context, id string, log platform.Log, peers *inProcessPeers, seeds ...string) *node {
	r := replica.New()
	scope := tally.NoopScope
	src := replica.NewPeerSource(r, peers, peers, scope)
	src.Register(handlerRegistrar{peers, id})
	f := replica.NewFollower(replica.FollowerOptions{
		Replica: r, Log: log, Source: src, Peers: peers, Seeds: func() []string { return seeds },
		Logger: zerolog.Nop(), Scope: scope,
	})
	go func() { _ = f.Run(ctx) }()
	return &node{r, f, replica.NewAppender(log, r, scope)}
}

func team(name string, rate float64) catalogue.Team {
	return catalogue.Team{Name: name, Rate: rate, Burst: 1}
}

func editTeam(g *WithT, base uint64, operator string, t catalogue.Team) record.Record {
	spec, err := record.Encode(t)
	g.Expect(err).NotTo(HaveOccurred())
	e := catalogue.Edit{Base: base, Operator: operator, Changes: []catalogue.Change{
		{Key: catalogue.Key{Kind: catalogue.KindTeam, Name: t.Name}, Spec: spec},
	}}
	r, err := record.New(catalogue.KindEdit, operator, time.Now(), record.Cause{}, e)
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

// runWithVirtualTime runs f with virtual time, then cancels its context and waits for
// the goroutines that f started.
func runWithVirtualTime(t *testing.T, f func(ctx context.Context, g *WithT)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(ctx, NewWithT(t))
		cancel()
		synctest.Wait()
	})
}

// TestConcurrentEditsWithLostAppendAnswers makes two operators edit the same team
// concurrently through two daemons for 200 rounds while 30% of the appends lose their
// answer. Exactly one edit of each round must be accepted, on both daemons.
func TestConcurrentEditsWithLostAppendAnswers(t *testing.T) {
	const seed = 11
	t.Logf("seed %d", seed)
	runWithVirtualTime(t, func(ctx context.Context, g *WithT) {
		log := newFakeLog(seed)
		log.loseAnswers = 0.3
		peers := &inProcessPeers{handlers: map[string]peer.Handler{}}
		nodes := []*node{startNode(ctx, "a", log, peers), startNode(ctx, "b", log, peers)}
		type result struct {
			operator string
			rate     float64
			got      replica.ApplyResult
			err      error
		}
		for round := range 200 {
			base := nodes[0].State().Catalogue.Version
			results := make(chan result, 2)
			for i, op := range []string{"ana", "ben"} {
				rate := float64(2*round + i + 1)
				rec := editTeam(g, base, op, team("t", rate))
				go func() {
					got, err := nodes[i].appender.Append(ctx, rec)
					results <- result{op, rate, got, err}
				}()
			}
			first, second := <-results, <-results
			g.Expect(errors.Join(first.err, second.err)).NotTo(HaveOccurred())
			winner, loser := first, second
			if !first.got.Outcome.Accepted {
				winner, loser = second, first
			}
			g.Expect(winner.got.Outcome.Accepted).To(BeTrue())
			g.Expect(loser.got.Outcome.Accepted).To(BeFalse())
			g.Expect(loser.got.Outcome.Reason).To(ContainSubstring("changed by " + winner.operator))
			time.Sleep(5 * time.Second)
			for _, n := range nodes {
				g.Expect(n.State().Catalogue.Teams["t"].Value.Rate).To(Equal(winner.rate))
			}
		}
		g.Expect(nodes[0].State().Catalogue).To(Equal(nodes[1].State().Catalogue))
	})
}

func TestAppendRetriedAfterLogOutage(t *testing.T) {
	runWithVirtualTime(t, func(ctx context.Context, g *WithT) {
		log := newFakeLog(1)
		peers := &inProcessPeers{handlers: map[string]peer.Handler{}}
		n := startNode(ctx, "a", log, peers)
		_, err := n.appender.Append(ctx, editTeam(g, 0, "ana", team("t", 1)))
		g.Expect(err).NotTo(HaveOccurred())

		log.update(func(l *fakeLog) { l.down = true })
		short, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		pending := editTeam(g, 1, "ana", team("t", 2))
		_, err = n.appender.Append(short, pending)
		g.Expect(err).To(MatchError(replica.ErrOutcomePending))
		g.Expect(n.follower.LogDown()).To(BeTrue())
		g.Expect(n.State().Catalogue.Teams["t"].Value.Rate).To(Equal(1.0))

		log.update(func(l *fakeLog) { l.down = false })
		got, err := n.appender.Append(ctx, pending)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Outcome.Accepted).To(BeTrue())
		again, err := n.appender.Append(ctx, pending)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.Offset).To(Equal(got.Offset), "the same edit takes effect once")
	})
}

func TestFollowerWithoutLogFetchesFromPeers(t *testing.T) {
	runWithVirtualTime(t, func(ctx context.Context, g *WithT) {
		log, downLog := newFakeLog(1), newFakeLog(2)
		downLog.down = true
		peers := &inProcessPeers{handlers: map[string]peer.Handler{}}
		a := startNode(ctx, "a", log, peers)
		_, err := a.appender.Append(ctx, editTeam(g, 0, "ana", team("t", 1)))
		g.Expect(err).NotTo(HaveOccurred())
		b := startNode(ctx, "b", downLog, peers, "a")
		_, err = a.appender.Append(ctx, editTeam(g, 1, "ana", team("t", 2)))
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(5 * time.Second)
		g.Expect(b.follower.Ready()).To(BeTrue())
		g.Expect(b.State().Catalogue.Teams["t"].Value.Rate).To(Equal(2.0))
	})
}

func TestFollowerWithoutLogOrPeersNotReady(t *testing.T) {
	runWithVirtualTime(t, func(ctx context.Context, g *WithT) {
		log := newFakeLog(1)
		log.down = true
		n := startNode(ctx, "a", log, &inProcessPeers{handlers: map[string]peer.Handler{}}, "b")
		time.Sleep(time.Hour)
		g.Expect(n.follower.Ready()).To(BeFalse())
	})
}

func TestCatchUpAfterLogTruncation(t *testing.T) {
	tests := []struct {
		name     string
		snapshot bool
		peer     bool
		ready    bool
	}{
		{"snapshot in the log", true, false, true},
		{"peer with the state", false, true, true},
		{"neither", false, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runWithVirtualTime(t, func(ctx context.Context, g *WithT) {
				log := newFakeLog(1)
				peers := &inProcessPeers{handlers: map[string]peer.Handler{}}
				a := startNode(ctx, "a", log, peers)
				for i := range 5 {
					rec := editTeam(g, uint64(i), "ana", team("t", float64(i)))
					_, err := a.appender.Append(ctx, rec)
					g.Expect(err).NotTo(HaveOccurred())
				}
				if tt.snapshot {
					offset, data, err := a.Snapshot()
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(replica.WriteSnapshot(ctx, log, offset, data)).To(Succeed())
				}
				log.update(func(l *fakeLog) { l.oldest[platform.StreamControl] = 5 })
				peers.unreachable = !tt.peer
				b := startNode(ctx, "b", log, peers, "a")
				time.Sleep(time.Minute)
				g.Expect(b.follower.Ready()).To(Equal(tt.ready))
				if tt.ready {
					g.Expect(b.State().Catalogue).To(Equal(a.State().Catalogue))
				}
			})
		})
	}
}

func TestOlderSnapshotDoesNotRevertState(t *testing.T) {
	g := NewWithT(t)
	old, current := replica.New(), replica.New()
	var recs []platform.LogRecord
	for i := range 10 {
		data, err := record.Encode(editTeam(g, uint64(i), "ana", team("t", float64(i))))
		g.Expect(err).NotTo(HaveOccurred())
		recs = append(recs, platform.LogRecord{Offset: uint64(i + 1), Data: data})
	}
	old.Apply(recs[:4])
	current.Apply(recs)
	_, data, err := old.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(current.Restore(data)).To(Succeed())
	g.Expect(current.Apply(recs[:4])).To(BeEquivalentTo(10))
	g.Expect(current.State().Offset).To(BeEquivalentTo(10))
}

func TestSnapshotOfOtherStateVersionRejected(t *testing.T) {
	g := NewWithT(t)
	s := replica.NewState()
	s.StateVersion++
	s.Offset = 9
	data, err := record.Encode(s)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replica.New().Restore(data)).To(MatchError(replica.ErrStateVersion))
}

// TestStateIndependentOfBatching applies one stream at once, and in random batches
// with repeated records and restored snapshots in between. Both states must be equal.
func TestStateIndependentOfBatching(t *testing.T) {
	const seed = 3
	t.Logf("seed %d", seed)
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(seed, seed))
	var recs []platform.LogRecord
	var earlier []cbor.RawMessage
	for i := range 300 {
		data, err := record.Encode(editTeam(g, uint64(rng.IntN(i+1)), "ana", team(fmt.Sprintf("t%d", rng.IntN(20)), rng.Float64())))
		g.Expect(err).NotTo(HaveOccurred())
		if i > 0 && rng.IntN(10) == 0 {
			data = earlier[rng.IntN(len(earlier))]
		}
		earlier = append(earlier, data)
		recs = append(recs, platform.LogRecord{Offset: uint64(i + 1), Data: data})
	}
	straight := replica.New()
	straight.Apply(recs)
	_, want, err := straight.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())

	batched := replica.New()
	for at := 0; at < len(recs); {
		from := max(0, at-rng.IntN(5))
		at = min(len(recs), at+1+rng.IntN(20))
		batched.Apply(recs[from:at])
		if rng.IntN(4) == 0 {
			restored := replica.New()
			_, data, err := batched.Snapshot()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(restored.Restore(data)).To(Succeed())
			batched = restored
		}
	}
	_, got, err := batched.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(want))
}

// TestDuplicateJoinAfterRemovalIgnored applies a join, the removal of the member and
// a second copy of the join. An append that is repeated because its answer was lost
// may leave them in the log in this order.
func TestDuplicateJoinAfterRemovalIgnored(t *testing.T) {
	g := NewWithT(t)
	m := membership.Member{ID: "m1", Host: "h", Zone: "z", PeerAddress: "127.0.0.1:1"}
	join, err := record.New(membership.KindJoin, "m1", time.Time{}, record.Cause{}, membership.Join{Member: m})
	g.Expect(err).NotTo(HaveOccurred())
	remove, err := record.New(membership.KindRemove, "m2", time.Time{}, record.Cause{}, membership.Remove{ID: "m1"})
	g.Expect(err).NotTo(HaveOccurred())
	var recs []platform.LogRecord
	for i, r := range []record.Record{join, remove, join} {
		data, err := record.Encode(r)
		g.Expect(err).NotTo(HaveOccurred())
		recs = append(recs, platform.LogRecord{Offset: uint64(i + 1), Data: data})
	}
	r := replica.New()
	g.Expect(r.Apply(recs)).To(BeEquivalentTo(3))
	g.Expect(r.State().Members.Members).To(BeEmpty())
}
