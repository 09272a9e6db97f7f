package bench

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Bounds that the results of the product's strategy must keep.
const (
	maxShortRatio   = 1.1  // of the reference's p99 at load 0.8
	maxBlockedRatio = 1.2  // of the p99 without long work
	maxFloodRatio   = 1.1  // of the p99 without the flood
	minGoodput      = 0.9  // of its peak
	maxControlRate  = 8000 // control bytes per second
	maxUrgentWait   = 5900 * time.Millisecond
	testDuration    = 30 * time.Second
)

var testSeeds = []uint64{1, 2, 3}

// forEachSeed runs a check for every seed and logs the seed.
func forEachSeed(t *testing.T, check func(g *WithT, seed uint64)) {
	for _, seed := range testSeeds {
		t.Logf("seed %d", seed)
		check(NewWithT(t), seed)
	}
}

func TestShortWorkLatencyNearCentralQueue(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(g *WithT, seed uint64) {
		for _, p := range []pattern{load80, skew80} {
			for _, sh := range []shape{kumotZone, fourDaemonZone} {
				ref := runSlots(seed, centralSpec, sh, p, testDuration)
				got := runSlots(seed, lendingSpec, sh, p, testDuration)
				g.Expect(ratio(got.p99, ref.p99)).To(BeNumerically("<=", maxShortRatio), "%s at %s, seed %d", sh.name, p.name, seed)
				g.Expect(got.rejected).To(BeNumerically("<=", ref.rejected), "%s at %s, seed %d", sh.name, p.name, seed)
				g.Expect(got.control).To(BeNumerically("<", maxControlRate), "%s at %s, seed %d", sh.name, p.name, seed)
				g.Expect(got.overflows).To(BeZero(), "no host gets more than its slots")
			}
		}
	})
}

func TestFiveContendedPoolsStayWithinControlBudget(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(g *WithT, seed uint64) {
		ref := runSlots(seed, centralSpec, kumotZone, load80, testDuration)
		got := runSlots(seed, lendingFifthBudgetSpec, kumotZone, load80, testDuration)
		g.Expect(5*got.control).To(BeNumerically("<", maxControlRate), "seed %d", seed)
		g.Expect(ratio(got.p99, ref.p99)).To(BeNumerically("<=", maxShortRatio), "seed %d", seed)
	})
}

func TestShortWorkIsNotBlockedByLongWork(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(g *WithT, seed uint64) {
		alone := runHOL(seed, lendingSpec, kumotZone, holCases[0], longShare)
		for _, c := range holCases[1:3] {
			got := runHOL(seed, lendingSpec, kumotZone, c, longShare)
			g.Expect(ratio(got.p99, alone.p99)).To(BeNumerically("<=", maxBlockedRatio), "%s, seed %d", c.name, seed)
			g.Expect(got.rejected).To(BeZero())
			g.Expect(got.longCompleted).To(BeNumerically(">", 0), "long work is not starved")
		}
	})
}

func TestGoodputHoldsUnderOverload(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(g *WithT, seed uint64) {
		peak := runOverload(seed, lendingSpec, kumotZone, 1)
		for _, load := range []float64{2, 5} {
			got := runOverload(seed, lendingSpec, kumotZone, load)
			g.Expect(got.goodput/peak.goodput).To(BeNumerically(">=", minGoodput), "load %.0f, seed %d", load, seed)
			g.Expect(got.urgentWait).To(BeNumerically("<=", maxUrgentWait), "load %.0f, seed %d", load, seed)
		}
	})
}

func TestLatencyRecoversAfterBurst(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(g *WithT, seed uint64) {
		after := runRecovery(seed, lendingSpec, kumotZone, true)
		calm := runRecovery(seed, lendingSpec, kumotZone, false)
		g.Expect(ratio(after, calm)).To(BeNumerically("<=", maxShortRatio), "seed %d", seed)
	})
}

func TestFloodingTeamDoesNotDelayOthers(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(g *WithT, seed uint64) {
		c := quotaCases[len(quotaCases)-1]
		calm := runQuota(seed, lendingSpec, kumotZone, c, false)
		flood := runQuota(seed, lendingSpec, kumotZone, c, true)
		g.Expect(ratio(flood, calm)).To(BeNumerically("<=", maxFloodRatio), "seed %d", seed)
	})
}

func TestOverloadedZoneHandsOverToOthers(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(g *WithT, seed uint64) {
		alone := runCrossZone(seed, crossZonePolicies[0], crossZoneCases[0])
		helped := runCrossZone(seed, productCrossZonePolicy, crossZoneCases[0])
		g.Expect(helped.rejected).To(BeNumerically("<", alone.rejected), "seed %d", seed)
		g.Expect(helped.control).To(BeNumerically("<", maxControlRate), "seed %d", seed)
		g.Expect(helped.onTime).To(BeNumerically(">", alone.onTime), "seed %d", seed)
	})
}

func TestFewHandoversWhenAllZonesOverloaded(t *testing.T) {
	t.Parallel()
	alone := runCrossZone(1, crossZonePolicies[0], crossZoneCases[len(crossZoneCases)-1])
	all := runCrossZone(1, productCrossZonePolicy, crossZoneCases[len(crossZoneCases)-1])
	g := NewWithT(t)
	const maxHanded = 0.05
	g.Expect(all.handedOver).To(BeNumerically("<", maxHanded))
	g.Expect(float64(all.onTime) / float64(alone.onTime)).To(BeNumerically(">=", minGoodput))
}

func TestCrashLosesNoMoreThanHomeQueue(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(g *WithT, seed uint64) {
		home := runCrash(seed, homeSpec, kumotZone, 0.8)
		got := runCrash(seed, lendingSpec, kumotZone, 0.8)
		g.Expect(got.lost).To(BeNumerically("<=", home.lost), "seed %d", seed)
		g.Expect(got.rejected).To(BeNumerically("<", home.rejected), "seed %d", seed)
	})
}

func TestRunsAreDeterministicForSeed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	a := runSlots(7, lendingSpec, kumotZone, load80, 5*time.Second)
	b := runSlots(7, lendingSpec, kumotZone, load80, 5*time.Second)
	c := runSlots(8, lendingSpec, kumotZone, load80, 5*time.Second)
	g.Expect(a).To(Equal(b))
	g.Expect(a).NotTo(Equal(c))
}
