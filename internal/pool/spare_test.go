package pool

import (
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/membership"
)

// policySimulation runs a policy for one pool with two hosts of its own and four
// spare hosts, and applies the changes that it decides.
type policySimulation struct {
	policy   SparePolicy
	state    SparePolicyState
	now      time.Time
	borrowed int
	changes  []time.Time
}

const ownHosts, spareCount = 2, 4

func newPolicySimulation(p SparePolicy) *policySimulation {
	return &policySimulation{policy: p, state: SparePolicyState{}, now: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)}
}

func (sim *policySimulation) input(demand float64) SpareInput {
	return SpareInput{
		Now: sim.now, Elapsed: DefaultDecisionInterval, IdleHosts: spareCount - sim.borrowed,
		Loads: []PoolLoad{{Pool: "p", Hosts: ownHosts + sim.borrowed, Borrowed: sim.borrowed, Demand: demand}},
	}
}

// run applies a demand, in hosts, for the duration d.
func (sim *policySimulation) run(demand float64, d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(DefaultDecisionInterval) {
		next, changes := sim.policy.Decide(sim.state, sim.input(demand))
		sim.state = next
		for _, ch := range changes {
			sim.borrowed += ch.Hosts
			sim.changes = append(sim.changes, sim.now)
		}
	}
}

var breakEven = BreakEven{SpareParams: DefaultSpareParams}

func TestShortBurstMovesNoHost(t *testing.T) {
	for name, policy := range map[string]SparePolicy{"break-even": breakEven, "predictive": DefaultPredictive} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l := newPolicySimulation(policy)
			for range 120 {
				l.run(2.5, 20*time.Second)
				l.run(0.025, 80*time.Second)
			}
			g.Expect(l.changes).To(BeEmpty())
		})
	}
}

func TestSustainedDemandMovesHostsOnceAndBack(t *testing.T) {
	g := NewWithT(t)
	l := newPolicySimulation(breakEven)
	l.run(0.5, time.Hour)
	start := l.now
	l.run(2, 4*time.Hour)
	g.Expect(l.borrowed).To(Equal(2))
	g.Expect(l.changes[0].Sub(start)).To(BeNumerically("<", DefaultSpareParams.SmoothingTime+DefaultSpareParams.MoveCost))
	l.run(0.5, 4*time.Hour)
	g.Expect(l.borrowed).To(Equal(0))
	g.Expect(len(l.changes)).To(BeNumerically("<=", 4))
}

func TestPredictiveLendsBeforeNightlyPeak(t *testing.T) {
	g := NewWithT(t)
	l := newPolicySimulation(DefaultPredictive)
	l.run(0.5, 20*time.Hour)
	l.run(2, 2*time.Hour)
	l.run(0.5, 21*time.Hour)
	g.Expect(l.borrowed).To(Equal(0), "an hour before the second peak")
	l.run(0.5, time.Hour)
	g.Expect(l.borrowed).To(Equal(2), "as the second peak begins")
}

func TestDecideDoesNotModifyState(t *testing.T) {
	g := NewWithT(t)
	l := newPolicySimulation(DefaultPredictive)
	l.run(2, time.Hour)
	before := maps.Clone(l.state)
	_, first := l.policy.Decide(l.state, l.input(2))
	_, second := l.policy.Decide(l.state, l.input(2))
	g.Expect(l.state).To(Equal(before))
	g.Expect(first).To(Equal(second))
}

func TestSpareTargetFollowsPreviousDay(t *testing.T) {
	g := NewWithT(t)
	l := newPolicySimulation(DefaultPredictive)
	l.run(0.5, 6*time.Hour)
	g.Expect(l.policy.SpareTarget(l.state, l.input(0.5))).To(Equal(spareCount), "no demand of the last day is known yet")
	l.run(0.5, 14*time.Hour)
	l.run(2, 2*time.Hour)
	l.run(0.5, 10*time.Hour)
	g.Expect(l.policy.SpareTarget(l.state, l.input(0.5))).To(Equal(1), "the peak is more than spareLookahead away")
	l.run(0.5, 10*time.Hour+30*time.Minute)
	g.Expect(l.policy.SpareTarget(l.state, l.input(0.5))).To(BeNumerically(">=", 2), "the peak is within spareLookahead")
}

func newLendingFleet() *fleetState {
	f := &fleetState{catalogue: catalogue.NewState(), pools: NewState()}
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

func TestLendingSelectsHostOnUnusedRack(t *testing.T) {
	g := NewWithT(t)
	f := newLendingFleet()
	demand := map[string]float64{"p": 16}
	l := NewLendingPlanner(LendingPlannerOptions{
		Zone: "a", Policy: DefaultThreshold, Demand: func() map[string]float64 { return demand },
	})
	p := PublishedState{Pools: &f.pools, Catalogue: &f.catalogue}
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	var moves []Move
	for range 60 {
		now = now.Add(DefaultDecisionInterval)
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
	g.Expect(l.Proposals(p, now)).To(BeEmpty(), "the proposed move is complete")
	demand["p"] = 0
	for range 600 {
		now = now.Add(DefaultDecisionInterval)
		if moves = l.Proposals(p, now); len(moves) > 0 {
			break
		}
	}
	g.Expect(moves).To(HaveLen(1))
	g.Expect(moves[0]).To(HaveField("Host", "s2"))
	g.Expect(moves[0]).To(HaveField("To", "s"), "a lent host goes back to its own pool")
}

// A burst that fills every queue for a few seconds must not count as sustained
// demand.
func TestQueuedBurstMovesNoHost(t *testing.T) {
	g := NewWithT(t)
	f := newLendingFleet()
	demand := map[string]float64{}
	l := NewLendingPlanner(LendingPlannerOptions{Zone: "a", Demand: func() map[string]float64 { return demand }})
	p := PublishedState{Pools: &f.pools, Catalogue: &f.catalogue}
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	for i := range 720 {
		now = now.Add(DefaultDecisionInterval)
		demand["p"] = 0.4
		if i%6 == 0 {
			demand["p"] = 8 + 400
		}
		g.Expect(l.Proposals(p, now)).To(BeEmpty())
	}
}

func TestRejectedDemandCountsSlots(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	r := NewRejectedDemand(10 * time.Second)
	r.RecordRun("p", 100*time.Millisecond)
	for range 1000 {
		r.RecordRejection("p", now)
	}
	g.Expect(r.RejectedSlots(now)).To(BeEmpty(), "the window has not ended")
	g.Expect(r.RejectedSlots(now.Add(10 * time.Second))).To(HaveKeyWithValue("p", 10.0))
	g.Expect(r.RejectedSlots(now.Add(20 * time.Second))).To(BeEmpty())
	r.RecordRejection("p", now.Add(25*time.Second))
	g.Expect(r.RejectedSlots(now.Add(60*time.Second))).To(BeEmpty(), "rejections in older windows are not counted")
}

// A restarted daemon takes yesterday's demand from the replicated state, so it
// lends hosts before the peak.
func TestDemandHistorySurvivesDaemonReplacement(t *testing.T) {
	g := NewWithT(t)
	f := newLendingFleet()
	f.members.Members = map[string]membership.Member{"d1": {ID: "d1", Zone: "a"}, "d2": {ID: "d2", Zone: "a"}}
	demand := map[string]float64{}
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	day := func(l *LendingPlanner, author string, hours int) (moves []Move) {
		for end := now.Add(time.Duration(hours) * time.Hour); now.Before(end); now = now.Add(DefaultDecisionInterval) {
			demand["p"] = 2
			if now.Hour() == 20 {
				demand["p"] = 14
			}
			p := PublishedState{Pools: &f.pools, Catalogue: &f.catalogue}
			moves = append(moves, l.Proposals(p, now)...)
			for _, in := range planDemand(p, PlanInputs{Demand: l.LastEndedSlot()}) {
				next, out := f.apply(newRecord(in.Kind, author, now, in.Body))
				g.Expect(out.Accepted).To(BeTrue(), out.Reason)
				f = next
			}
		}
		return moves
	}
	fresh := func() *LendingPlanner {
		return NewLendingPlanner(LendingPlannerOptions{Zone: "a", Demand: func() map[string]float64 { return demand }})
	}
	day(fresh(), "d1", 24)
	g.Expect(f.pools.Demand["a"].Pools["p"]).To(HaveLen(timeSlotsPerDay))
	second := fresh()
	g.Expect(day(second, "d2", 19)).To(BeEmpty())
	g.Expect(day(second, "d2", 1)).NotTo(BeEmpty(), "before the second peak")
}
