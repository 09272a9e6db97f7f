package maintenance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/platform"
	"greengagedeck/internal/pool"
)

// oneZone has pool p with twelve hosts on four racks of three and a budget of
// four, two daemons, and wave w over all.
func oneZone() *sim {
	s := newSim()
	s.addPool("p", 4)
	for i := range 12 {
		s.addHost(fmt.Sprintf("h%02d", i), "p", "a", fmt.Sprintf("r%d", i/3))
	}
	s.addDaemon("d1", "a")
	s.addDaemon("d2", "a")
	s.setWave(newWave("w"))
	return s
}

func (s *sim) done(name string) int { return len(s.state.waves.Waves[name].Done) }

func (s *sim) halted(name string) string {
	return s.state.waves.Halted(s.state.catalogue.Waves[name])
}

func TestWaveMaintainsEveryHostOnce(t *testing.T) {
	g := NewWithT(t)
	s := oneZone()
	g.Expect(s.until(600, func() bool { return s.done("w") == 12 })).To(BeTrue())
	for name, h := range s.hosts {
		g.Expect(h.reboots).To(Equal(1), name)
		g.Expect(s.state.pools.Hosts[name].Phase).To(Equal(pool.PhaseServing))
	}
	g.Expect(s.rejected).To(BeEmpty())
}

func TestHurriedWaveNeverTakesTwoRacksOfAPool(t *testing.T) {
	g := NewWithT(t)
	s := oneZone()
	s.addPool("p", 12)
	w := newWave("w")
	w.MaxParallel = 12
	w.Deadline = simStart.Add(20 * time.Minute)
	s.setWave(w)
	for range 20 {
		s.tick(time.Minute)
		_, racks := s.outage("p")
		g.Expect(len(racks)).To(BeNumerically("<=", 1))
	}
	g.Expect(s.done("w")).To(BeNumerically(">", 0))
}

func TestRackLostInMidWave(t *testing.T) {
	g := NewWithT(t)
	s := oneZone()
	g.Expect(s.until(600, func() bool { return s.done("w") == 3 })).To(BeTrue())
	rack := []string{"h06", "h07", "h08"}
	s.fail(true, rack...)
	before := s.accepted[pool.KindDrain]
	for range 120 {
		s.tick(time.Minute)
		unavailable, racks := s.outage("p")
		g.Expect(unavailable).To(BeNumerically("<=", 4))
		g.Expect(len(racks)).To(BeNumerically("<=", 1))
	}
	g.Expect(s.accepted[pool.KindDrain]).To(Equal(before), "hosts taken while a rack is lost")
	g.Expect(s.state.waves.Waves["w"].Blocked["a"].Reason).To(ContainSubstring("3 hosts unavailable"))
	s.fail(false, rack...)
	g.Expect(s.until(600, func() bool { return s.done("w") == 12 })).To(BeTrue())
}

func TestHostsThatFailAfterRebootHaltTheWave(t *testing.T) {
	g := NewWithT(t)
	s := oneZone()
	s.addPool("p", 6)
	s.hosts["h00"].breaks = true
	s.hosts["h03"].breaks = true
	g.Expect(s.until(600, func() bool { return s.halted("w") != "" })).To(BeTrue())
	g.Expect(s.halted("w")).To(Equal("2 hosts failed after reboot, at most 1 may"))
	sum := s.state.waves.Summary(s.state.catalogue.Waves["w"], &s.state.pools, s.now)
	g.Expect(sum.Hosts).To(Equal(12))
	g.Expect(sum.Failed).To(Equal(2))
	g.Expect(sum.Halted).NotTo(BeEmpty())
	g.Expect(s.state.pools.Hosts["h00"].Failed).To(BeTrue())
	g.Expect(s.until(60, func() bool { return len(s.taken()) == 2 })).To(BeTrue(), "only the failed ones are out")
	before := s.accepted[pool.KindDrain]
	for range 120 {
		s.tick(time.Minute)
	}
	g.Expect(s.accepted[pool.KindDrain]).To(Equal(before), "hosts taken by a halted wave")

	s.hosts["h00"].healthy, s.hosts["h03"].healthy = true, true
	s.setWave(newWave("w"))
	g.Expect(s.halted("w")).To(BeEmpty(), "an edit lifts the halt")
	g.Expect(s.until(600, func() bool { return s.done("w") == 12 })).To(BeTrue())
	g.Expect(s.state.pools.Hosts["h00"].Failed).To(BeFalse())
}

func TestTwoFailuresOfOneRackHaltTheWave(t *testing.T) {
	g := NewWithT(t)
	s := oneZone()
	s.addPool("p", 6)
	w := newWave("w")
	w.MaxFailures = 9
	s.setWave(w)
	s.hosts["h00"].breaks = true
	s.hosts["h01"].breaks = true
	g.Expect(s.until(600, func() bool { return s.halted("w") != "" })).To(BeTrue())
	g.Expect(s.halted("w")).To(Equal("2 hosts of rack r0 failed after reboot"))
}

func TestTwoWavesRaceForOneBudget(t *testing.T) {
	g := NewWithT(t)
	s := newSim()
	s.addPool("p", 1)
	s.addHost("h1", "p", "a", "r1")
	s.addHost("h2", "p", "b", "r2")
	s.addDaemon("d1", "a")
	s.addDaemon("d2", "b")
	wa, wb := newWave("wa"), newWave("wb")
	wa.Zone, wb.Zone = "a", "b"
	s.setWave(wa)
	s.setWave(wb)
	s.now = s.now.Add(time.Minute)
	// Both plans see the same state, in which the budget is free.
	first := Plan(s.published("a"), s.now, Inputs{Self: "d1", Zone: "a"})
	second := Plan(s.published("b"), s.now, Inputs{Self: "d2", Zone: "b"})
	g.Expect(first).To(HaveLen(1))
	g.Expect(second).To(HaveLen(1))
	won := s.appendFrom("d1", first[0].Intent.Kind, first[0].Intent.Body)
	lost := s.appendFrom("d2", second[0].Intent.Kind, second[0].Intent.Body)
	g.Expect(won.Accepted).To(BeTrue())
	g.Expect(lost.Accepted).To(BeFalse())
	g.Expect(lost.Subjects).To(ContainElements("host/h2", "pool/p", "wave/wb"))
	unavailable, _ := s.outage("p")
	g.Expect(unavailable).To(Equal(1))
	g.Expect(s.until(600, func() bool { return s.done("wa") == 1 && s.done("wb") == 1 })).To(BeTrue())
}

func TestControllerKilledBetweenRebootAndVerify(t *testing.T) {
	g := NewWithT(t)
	s := oneZone()
	killed := false
	for _, d := range s.daemons {
		d.after = func(Operation) {
			if !killed {
				killed = true
				d.dead = true
			}
		}
	}
	g.Expect(s.until(60, func() bool { return killed })).To(BeTrue())
	name := s.taken()[0]
	s.tick(time.Minute)
	g.Expect(s.accepted[KindClaim]).To(Equal(0), "nobody takes over from a member")
	for _, d := range s.daemons {
		if d.dead {
			s.kill(d)
		}
	}
	g.Expect(s.until(60, func() bool { return s.done("w") >= 1 })).To(BeTrue())
	g.Expect(s.accepted[KindClaim]).To(Equal(1))
	g.Expect(s.hosts[name].reboots).To(Equal(1), "the second controller does not reboot it again")
}

func TestLogDownInMidWave(t *testing.T) {
	g := NewWithT(t)
	s := oneZone()
	rebooted := ""
	s.until(60, func() bool {
		for name, h := range s.hosts {
			if h.reboots > 0 {
				rebooted = name
			}
		}
		return rebooted != ""
	})
	s.log = platform.ErrUnavailable
	taken := s.taken()
	for range 60 {
		s.tick(time.Minute)
		g.Expect(s.taken()).To(Equal(taken), "nothing moves without the log")
	}
	g.Expect(s.hosts[rebooted].reboots).To(Equal(1))
	s.log = nil
	g.Expect(s.until(600, func() bool { return s.done("w") == 12 })).To(BeTrue())
	g.Expect(s.state.waves.Waves["w"].Failures).To(BeEmpty())
}

func TestLostAppendAnswersInMidWave(t *testing.T) {
	g := NewWithT(t)
	s := oneZone()
	s.loses = true
	g.Expect(s.until(600, func() bool { return s.done("w") == 12 })).To(BeTrue())
	for name, h := range s.hosts {
		g.Expect(h.reboots).To(Equal(1), name)
	}
}

func TestExecutorPausedInMidReboot(t *testing.T) {
	g := NewWithT(t)
	s := oneZone()
	for _, d := range s.daemons {
		d.after = func(Operation) { d.paused = true }
	}
	s.until(60, func() bool { return s.daemons[0].paused || s.daemons[1].paused })
	name := s.taken()[0]
	for range 30 {
		s.tick(time.Minute)
	}
	g.Expect(s.state.pools.Hosts[name].Phase).To(Equal(pool.PhaseOutOfService))
	for _, d := range s.daemons {
		d.paused, d.after = false, nil
	}
	g.Expect(s.until(600, func() bool { return s.done("w") == 12 })).To(BeTrue())
	g.Expect(s.hosts[name].reboots).To(Equal(1))
}

func TestLongWorkIsCheckpointedAfterTheDrainTimeout(t *testing.T) {
	g := NewWithT(t)
	s := oneZone()
	for _, h := range s.hosts {
		h.busy = 2
	}
	s.until(60, func() bool { return len(s.taken()) > 0 })
	name := s.taken()[0]
	for range 9 {
		s.tick(time.Minute)
	}
	g.Expect(s.hosts[name].saved).To(Equal(0), "long work has until the timeout")
	for range 3 {
		s.tick(time.Minute)
	}
	g.Expect(s.hosts[name].saved).To(Equal(2))
	g.Expect(s.until(60, func() bool { return s.done("w") >= 1 })).To(BeTrue())
}

func TestHostThatStopsReportingFailsAndIsTakenUpAgain(t *testing.T) {
	g := NewWithT(t)
	s := oneZone()
	s.until(60, func() bool { return len(s.taken()) > 0 })
	name := s.taken()[0]
	s.hosts[name].rebooting = s.now.Add(24 * time.Hour)
	g.Expect(s.until(60, func() bool { return s.state.pools.Hosts[name].Failed })).To(BeTrue())
	s.hosts[name].rebooting = time.Time{}
	g.Expect(s.until(600, func() bool { return s.done("w") == 12 })).To(BeTrue())
}

func TestPausedWaveGivesBackWhatIsNotRebooted(t *testing.T) {
	g := NewWithT(t)
	s := oneZone()
	for _, h := range s.hosts {
		h.busy = 1
	}
	s.until(60, func() bool { return len(s.taken()) > 0 })
	w := newWave("w")
	w.Paused = true
	s.setWave(w)
	g.Expect(s.until(10, func() bool { return len(s.taken()) == 0 })).To(BeTrue())
	g.Expect(s.accepted[pool.KindCancel]).To(Equal(1))
}
