package bench

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The bounds are the goals that the comparison is held to.
const (
	maxShortRatio   = 1.1  // of the reference's p99 at load 0.8
	maxBlockedRatio = 1.2  // of the p99 without long work
	maxFloodRatio   = 1.1  // of the p99 without the flood
	minGoodput      = 0.9  // of its peak
	maxControl      = 8000 // bytes a second for control
	maxUrgentWait   = 5900 * time.Millisecond
	testRun         = 30 * time.Second
)

var testSeeds = []uint64{1, 2, 3}

// forSeeds runs a check for every seed and names the seed.
func forSeeds(t *testing.T, check func(g *WithT, seed uint64)) {
	for _, seed := range testSeeds {
		t.Logf("seed %d", seed)
		check(NewWithT(t), seed)
	}
}

func TestShortWorkWaitsLittleLongerThanWithOneCentralQueue(t *testing.T) {
	t.Parallel()
	forSeeds(t, func(g *WithT, seed uint64) {
		for _, p := range []pattern{load80, skew80} {
			for _, sh := range []shape{kumotZone, thinZone} {
				ref := runSlots(seed, centralMethod, sh, p, testRun)
				got := runSlots(seed, lendMethod, sh, p, testRun)
				g.Expect(ratio(got.p99, ref.p99)).To(BeNumerically("<=", maxShortRatio), "%s at %s, seed %d", sh.name, p.name, seed)
				g.Expect(got.refused).To(BeNumerically("<=", ref.refused), "%s at %s, seed %d", sh.name, p.name, seed)
				g.Expect(got.control).To(BeNumerically("<", maxControl), "%s at %s, seed %d", sh.name, p.name, seed)
				g.Expect(got.overrun).To(BeZero(), "no host gets more than its slots")
			}
		}
	})
}

func TestFiveContendedPoolsStayWithinTheControlBytes(t *testing.T) {
	t.Parallel()
	forSeeds(t, func(g *WithT, seed uint64) {
		ref := runSlots(seed, centralMethod, kumotZone, load80, testRun)
		got := runSlots(seed, lendFifthMethod, kumotZone, load80, testRun)
		g.Expect(5*got.control).To(BeNumerically("<", maxControl), "seed %d", seed)
		g.Expect(ratio(got.p99, ref.p99)).To(BeNumerically("<=", maxShortRatio), "seed %d", seed)
	})
}

func TestShortWorkIsNotBlockedByLongWork(t *testing.T) {
	t.Parallel()
	forSeeds(t, func(g *WithT, seed uint64) {
		alone := runHOL(seed, lendMethod, kumotZone, holCases[0], longShare)
		for _, c := range holCases[1:3] {
			got := runHOL(seed, lendMethod, kumotZone, c, longShare)
			g.Expect(ratio(got.p99, alone.p99)).To(BeNumerically("<=", maxBlockedRatio), "%s, seed %d", c.name, seed)
			g.Expect(got.refused).To(BeZero())
			g.Expect(got.longDone).To(BeNumerically(">", 0), "long work is not starved")
		}
	})
}

func TestGoodputHoldsUnderOverload(t *testing.T) {
	t.Parallel()
	forSeeds(t, func(g *WithT, seed uint64) {
		peak := runOverload(seed, lendMethod, kumotZone, 1)
		for _, load := range []float64{2, 5} {
			got := runOverload(seed, lendMethod, kumotZone, load)
			g.Expect(got.goodput/peak.goodput).To(BeNumerically(">=", minGoodput), "load %.0f, seed %d", load, seed)
			g.Expect(got.urgentWait).To(BeNumerically("<=", maxUrgentWait), "load %.0f, seed %d", load, seed)
		}
	})
}

func TestNoCollapseAfterABurst(t *testing.T) {
	t.Parallel()
	forSeeds(t, func(g *WithT, seed uint64) {
		after := runRecovery(seed, lendMethod, kumotZone, true)
		calm := runRecovery(seed, lendMethod, kumotZone, false)
		g.Expect(ratio(after, calm)).To(BeNumerically("<=", maxShortRatio), "seed %d", seed)
	})
}

func TestFloodOfOneTeamLeavesTheOthersAlone(t *testing.T) {
	t.Parallel()
	forSeeds(t, func(g *WithT, seed uint64) {
		c := quotaCases[len(quotaCases)-1]
		calm := runQuota(seed, lendMethod, kumotZone, c, false)
		flood := runQuota(seed, lendMethod, kumotZone, c, true)
		g.Expect(ratio(flood, calm)).To(BeNumerically("<=", maxFloodRatio), "seed %d", seed)
	})
}

func TestFullZoneIsHelpedByOthers(t *testing.T) {
	t.Parallel()
	forSeeds(t, func(g *WithT, seed uint64) {
		alone := runZones(seed, awayMethods[0], zonesCases[0])
		helped := runZones(seed, keptAway, zonesCases[0])
		g.Expect(helped.refused).To(BeNumerically("<", alone.refused), "seed %d", seed)
		g.Expect(helped.control).To(BeNumerically("<", maxControl), "seed %d", seed)
		g.Expect(helped.good).To(BeNumerically(">", alone.good), "seed %d", seed)
	})
}

func TestOverloadedZonesDoNotPassRequestsAround(t *testing.T) {
	t.Parallel()
	alone := runZones(1, awayMethods[0], zonesCases[len(zonesCases)-1])
	all := runZones(1, keptAway, zonesCases[len(zonesCases)-1])
	g := NewWithT(t)
	const maxHanded = 0.05
	g.Expect(all.handed).To(BeNumerically("<", maxHanded))
	g.Expect(float64(all.good) / float64(alone.good)).To(BeNumerically(">=", minGoodput))
}

func TestDeathOfADaemonLosesOnlyWhatItHeld(t *testing.T) {
	t.Parallel()
	forSeeds(t, func(g *WithT, seed uint64) {
		home := runDeath(seed, homeMethod, kumotZone, 0.8)
		got := runDeath(seed, lendMethod, kumotZone, 0.8)
		g.Expect(got.lost).To(BeNumerically("<=", home.lost), "seed %d", seed)
		g.Expect(got.refused).To(BeNumerically("<", home.refused), "seed %d", seed)
	})
}

func TestRunsDependOnTheirSeedAlone(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	a := runSlots(7, lendMethod, kumotZone, load80, 5*time.Second)
	b := runSlots(7, lendMethod, kumotZone, load80, 5*time.Second)
	c := runSlots(8, lendMethod, kumotZone, load80, 5*time.Second)
	g.Expect(a).To(Equal(b))
	g.Expect(a).NotTo(Equal(c))
}
