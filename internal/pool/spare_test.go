package pool

import (
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/membership"
)

// lender drives a policy of one pool with two hosts of its own and four spare
// hosts, and carries out what it decides.
type lender struct {
	policy  SparePolicy
	memory  SpareMemory
	now     time.Time
	lent    int
	changes []time.Time
}

const ownHosts, spareCount = 2, 4

func newLender(p SparePolicy) *lender {
	return &lender{policy: p, memory: SpareMemory{}, now: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)}
}

func (l *lender) input(demand float64) SpareInput {
	return SpareInput{
		Now: l.now, Elapsed: DefaultDecideInterval, Idle: spareCount - l.lent,
		Loads: []Load{{Pool: "p", Hosts: ownHosts + l.lent, Lent: l.lent, Demand: demand}},
	}
}

// run offers a demand, in hosts, for some time.
func (l *lender) run(demand float64, d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(DefaultDecideInterval) {
		next, changes := l.policy.Decide(l.memory, l.input(demand))
		l.memory = next
		for _, ch := range changes {
			l.lent += ch.Hosts
			l.changes = append(l.changes, l.now)
		}
	}
}

var breakEven = BreakEven{SpareRates: DefaultSpareRates}

func TestBurstOfSecondsMovesNoHost(t *testing.T) {
	for name, policy := range map[string]SparePolicy{"break-even": breakEven, "predictive": DefaultPredictive} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLender(policy)
			for range 120 {
				l.run(2.5, 20*time.Second)
				l.run(0.025, 80*time.Second)
			}
			g.Expect(l.changes).To(BeEmpty())
		})
	}
}

func TestLastingDemandMovesHostsOnceAndBack(t *testing.T) {
	g := NewWithT(t)
	l := newLender(breakEven)
	l.run(0.5, time.Hour)
	start := l.now
	l.run(2, 4*time.Hour)
	g.Expect(l.lent).To(Equal(2))
	g.Expect(l.changes[0].Sub(start)).To(BeNumerically("<", DefaultSpareRates.Smoothing+DefaultSpareRates.MoveCost))
	l.run(0.5, 4*time.Hour)
	g.Expect(l.lent).To(Equal(0))
	g.Expect(len(l.changes)).To(BeNumerically("<=", 4))
}

func TestNightlyPeakFindsItsHostsInPlace(t *testing.T) {
	g := NewWithT(t)
	l := newLender(DefaultPredictive)
	l.run(0.5, 20*time.Hour)
	l.run(2, 2*time.Hour)
	l.run(0.5, 21*time.Hour)
	g.Expect(l.lent).To(Equal(0), "an hour before the second peak")
	l.run(0.5, time.Hour)
	g.Expect(l.lent).To(Equal(2), "as the second peak begins")
}

func TestDecideChangesNoMemory(t *testing.T) {
	g := NewWithT(t)
	l := newLender(DefaultPredictive)
	l.run(2, time.Hour)
	before := maps.Clone(l.memory)
	_, first := l.policy.Decide(l.memory, l.input(2))
	_, second := l.policy.Decide(l.memory, l.input(2))
	g.Expect(l.memory).To(Equal(before))
	g.Expect(first).To(Equal(second))
}

func TestHoldFollowsYesterday(t *testing.T) {
	g := NewWithT(t)
	l := newLender(DefaultPredictive)
	l.run(0.5, 6*time.Hour)
	g.Expect(l.policy.Hold(l.memory, l.input(0.5))).To(Equal(spareCount), "nothing is known of the day yet")
	l.run(0.5, 14*time.Hour)
	l.run(2, 2*time.Hour)
	l.run(0.5, 10*time.Hour)
	g.Expect(l.policy.Hold(l.memory, l.input(0.5))).To(Equal(1), "the peak is far")
	l.run(0.5, 10*time.Hour+30*time.Minute)
	g.Expect(l.policy.Hold(l.memory, l.input(0.5))).To(BeNumerically(">=", 2), "the peak is near")
}

func lendingFleet() *fleet {
	f := &fleet{catalogue: catalogue.NewState(), pools: NewState()}
	f.catalogue.Pools["p"] = versioned(catalogue.Pool{Name: "p", Owner: "team", SlotsPerHost: 8, MaxUnavailable: 2})
	f.catalogue.Pools["s"] = versioned(catalogue.Pool{Name: "s", Spare: true, SlotsPerHost: 8, MaxUnavailable: 2})
	for name, h := range map[string]catalogue.Host{
		"p1": {Pool: "p", Zone: "a", Rack: "r1"}, "p2": {Pool: "p", Zone: "b", Rack: "r2"},
		"s1": {Pool: "s", Zone: "a", Rack: "r1"}, "s2": {Pool: "s", Zone: "a", Rack: "r2"},
		"s3": {Pool: "s", Zone: "b", Rack: "r3"},
	} {
		h.Name = name
		f.catalogue.Hosts[name] = versioned(h)
	}
	f.pools.Reconcile(1, f)
	return f
}

func TestLendingPicksAHostOfTheZoneOnAFreeRack(t *testing.T) {
	g := NewWithT(t)
	f := lendingFleet()
	demand := map[string]float64{"p": 16}
	l := NewLending(LendingOptions{
		Zone: "a", Policy: DefaultThreshold, Demand: func() map[string]float64 { return demand },
	})
	p := Published{Pools: &f.pools, Catalogue: &f.catalogue}
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	var moves []Move
	for range 60 {
		now = now.Add(DefaultDecideInterval)
		if moves = l.Proposals(p, now); len(moves) > 0 {
			break
		}
	}
	g.Expect(moves).To(HaveLen(1))
	g.Expect(moves[0].Host).To(Equal("s2"), "rack r1 has a host of p")
	g.Expect(moves[0].Cause.Object).To(Equal("pool/p"))
	g.Expect(moves[0].Cause.Owner).To(Equal("team"))

	h := f.pools.Hosts["s2"]
	h.Pool = "p"
	f.pools.Hosts["s2"] = h
	g.Expect(l.Proposals(p, now)).To(BeEmpty(), "the proposal has been carried out")
	demand["p"] = 0
	for range 600 {
		now = now.Add(DefaultDecideInterval)
		if moves = l.Proposals(p, now); len(moves) > 0 {
			break
		}
	}
	g.Expect(moves).To(HaveLen(1))
	g.Expect(moves[0]).To(HaveField("Host", "s2"))
	g.Expect(moves[0]).To(HaveField("To", "s"), "a lent host goes back to its own pool")
}

// A burst that fills every queue for seconds must not look like lasting demand.
func TestQueuedBurstMovesNoHost(t *testing.T) {
	g := NewWithT(t)
	f := lendingFleet()
	demand := map[string]float64{}
	l := NewLending(LendingOptions{Zone: "a", Demand: func() map[string]float64 { return demand }})
	p := Published{Pools: &f.pools, Catalogue: &f.catalogue}
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	for i := range 720 {
		now = now.Add(DefaultDecideInterval)
		demand["p"] = 0.4
		if i%6 == 0 {
			demand["p"] = 8 + 400
		}
		g.Expect(l.Proposals(p, now)).To(BeEmpty())
	}
}

func TestRefusalsCountTheSlotsTheyWouldHaveFilled(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	r := NewRefusals(10 * time.Second)
	r.Ran("p", 100*time.Millisecond)
	for range 1000 {
		r.Refused("p", now)
	}
	g.Expect(r.Slots(now)).To(BeEmpty(), "the window has not ended")
	g.Expect(r.Slots(now.Add(10 * time.Second))).To(HaveKeyWithValue("p", 10.0))
	g.Expect(r.Slots(now.Add(20 * time.Second))).To(BeEmpty())
	r.Refused("p", now.Add(25*time.Second))
	g.Expect(r.Slots(now.Add(60*time.Second))).To(BeEmpty(), "what is long ago counts no more")
}

// A daemon that starts anew knows yesterday's peak from the folded state.
func TestYesterdayIsKnownAfterEveryDaemonWasReplaced(t *testing.T) {
	g := NewWithT(t)
	f := lendingFleet()
	f.members.Members = map[string]membership.Member{"d1": {ID: "d1", Zone: "a"}, "d2": {ID: "d2", Zone: "a"}}
	demand := map[string]float64{}
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	day := func(l *Lending, author string, hours int) (moves []Move) {
		for end := now.Add(time.Duration(hours) * time.Hour); now.Before(end); now = now.Add(DefaultDecideInterval) {
			demand["p"] = 2
			if now.Hour() == 20 {
				demand["p"] = 14
			}
			p := Published{Pools: &f.pools, Catalogue: &f.catalogue}
			moves = append(moves, l.Proposals(p, now)...)
			for _, in := range planDemand(p, Inputs{Demand: l.Ended()}) {
				next, out := f.apply(newRecord(in.Kind, author, now, in.Body))
				g.Expect(out.Accepted).To(BeTrue(), out.Reason)
				f = next
			}
		}
		return moves
	}
	fresh := func() *Lending {
		return NewLending(LendingOptions{Zone: "a", Demand: func() map[string]float64 { return demand }})
	}
	day(fresh(), "d1", 24)
	g.Expect(f.pools.Demand["a"].Pools["p"]).To(HaveLen(daySlots))
	second := fresh()
	g.Expect(day(second, "d2", 19)).To(BeEmpty())
	g.Expect(day(second, "d2", 1)).NotTo(BeEmpty(), "before the second peak")
}
