package maintenance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/platform"
	"greengagedeck/internal/pool"
)

// newOneZoneSim returns a simulation of one zone with pool p, which has twelve hosts
// in four racks of three and a budget of four, two daemons, and wave w over all hosts.
func newOneZoneSim() *sim {
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

func (s *sim) doneCount(name string) int { return len(s.state.waves.Waves[name].Done) }

func (s *sim) haltReason(name string) string {
	return s.state.waves.Halted(s.state.catalogue.Waves[name])
}

func TestWaveMaintainsEveryHostOnce(t *testing.T) {
	g := NewWithT(t)
	s := newOneZoneSim()
	g.Expect(s.runUntil(600, func() bool { return s.doneCount("w") == 12 })).To(BeTrue())
	for name, h := range s.hosts {
		g.Expect(h.reboots).To(Equal(1), name)
		g.Expect(s.state.pools.Hosts[name].Phase).To(Equal(pool.PhaseServing))
	}
	g.Expect(s.rejected).To(BeEmpty())
}

func TestUrgentWaveDrainsOneRackPerPool(t *testing.T) {
	g := NewWithT(t)
	s := newOneZoneSim()
	s.addPool("p", 12)
	w := newWave("w")
	w.MaxParallel = 12
	w.Deadline = simStart.Add(20 * time.Minute)
	s.setWave(w)
	for range 20 {
		s.tick(time.Minute)
		_, racks := s.unavailability("p")
		g.Expect(len(racks)).To(BeNumerically("<=", 1))
	}
	g.Expect(s.doneCount("w")).To(BeNumerically(">", 0))
}

func TestRackFailureDuringWave(t *testing.T) {
	g := NewWithT(t)
	s := newOneZoneSim()
	g.Expect(s.runUntil(600, func() bool { return s.doneCount("w") == 3 })).To(BeTrue())
	rack := []string{"h06", "h07", "h08"}
	s.setFailed(true, rack...)
	before := s.accepted[pool.KindDrain]
	for range 120 {
		s.tick(time.Minute)
		unavailable, racks := s.unavailability("p")
		g.Expect(unavailable).To(BeNumerically("<=", 4))
		g.Expect(len(racks)).To(BeNumerically("<=", 1))
	}
	g.Expect(s.accepted[pool.KindDrain]).To(Equal(before), "drains started while a rack is lost")
	g.Expect(s.state.waves.Waves["w"].Blocked["a"].Reason).To(ContainSubstring("3 hosts unavailable"))
	s.setFailed(false, rack...)
	g.Expect(s.runUntil(600, func() bool { return s.doneCount("w") == 12 })).To(BeTrue())
}

func TestRebootFailuresHaltWave(t *testing.T) {
	g := NewWithT(t)
	s := newOneZoneSim()
	s.addPool("p", 6)
	s.hosts["h00"].failsAfterReboot = true
	s.hosts["h03"].failsAfterReboot = true
	g.Expect(s.runUntil(600, func() bool { return s.haltReason("w") != "" })).To(BeTrue())
	g.Expect(s.haltReason("w")).To(Equal("2 hosts failed after reboot, at most 1 may"))
	sum := s.state.waves.Summary(s.state.catalogue.Waves["w"], &s.state.pools, s.now)
	g.Expect(sum.Hosts).To(Equal(12))
	g.Expect(sum.Failed).To(Equal(2))
	g.Expect(sum.Halted).NotTo(BeEmpty())
	g.Expect(s.state.pools.Hosts["h00"].Failed).To(BeTrue())
	g.Expect(s.runUntil(60, func() bool { return len(s.drainedHosts()) == 2 })).To(BeTrue(), "only the failed hosts are out")
	before := s.accepted[pool.KindDrain]
	for range 120 {
		s.tick(time.Minute)
	}
	g.Expect(s.accepted[pool.KindDrain]).To(Equal(before), "drains started by a halted wave")

	s.hosts["h00"].healthy, s.hosts["h03"].healthy = true, true
	s.setWave(newWave("w"))
	g.Expect(s.haltReason("w")).To(BeEmpty(), "an edit lifts the halt")
	g.Expect(s.runUntil(600, func() bool { return s.doneCount("w") == 12 })).To(BeTrue())
	g.Expect(s.state.pools.Hosts["h00"].Failed).To(BeFalse())
}

func TestTwoFailuresInOneRackHaltWave(t *testing.T) {
	g := NewWithT(t)
	s := newOneZoneSim()
	s.addPool("p", 6)
	w := newWave("w")
	w.MaxFailures = 9
	s.setWave(w)
	s.hosts["h00"].failsAfterReboot = true
	s.hosts["h01"].failsAfterReboot = true
	g.Expect(s.runUntil(600, func() bool { return s.haltReason("w") != "" })).To(BeTrue())
	g.Expect(s.haltReason("w")).To(Equal("2 hosts of rack r0 failed after reboot"))
}

func TestConcurrentWavesShareOnePoolBudget(t *testing.T) {
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
	// Both plans are made from the same state, in which the budget is unused.
	first := Plan(s.published("a"), s.now, Inputs{Self: "d1", Zone: "a"})
	second := Plan(s.published("b"), s.now, Inputs{Self: "d2", Zone: "b"})
	g.Expect(first).To(HaveLen(1))
	g.Expect(second).To(HaveLen(1))
	accepted := s.appendFrom("d1", first[0].Intent.Kind, first[0].Intent.Body)
	rejected := s.appendFrom("d2", second[0].Intent.Kind, second[0].Intent.Body)
	g.Expect(accepted.Accepted).To(BeTrue())
	g.Expect(rejected.Accepted).To(BeFalse())
	g.Expect(rejected.Subjects).To(ContainElements("host/h2", "pool/p", "wave/wb"))
	unavailable, _ := s.unavailability("p")
	g.Expect(unavailable).To(Equal(1))
	g.Expect(s.runUntil(600, func() bool { return s.doneCount("wa") == 1 && s.doneCount("wb") == 1 })).To(BeTrue())
}

func TestControllerKilledBetweenRebootAndVerification(t *testing.T) {
	g := NewWithT(t)
	s := newOneZoneSim()
	killed := false
	for _, d := range s.daemons {
		d.afterOperation = func(Operation) {
			if !killed {
				killed = true
				d.dead = true
			}
		}
	}
	g.Expect(s.runUntil(60, func() bool { return killed })).To(BeTrue())
	name := s.drainedHosts()[0]
	s.tick(time.Minute)
	g.Expect(s.accepted[KindClaim]).To(Equal(0), "no claim while the executor is a member")
	for _, d := range s.daemons {
		if d.dead {
			s.kill(d)
		}
	}
	g.Expect(s.runUntil(60, func() bool { return s.doneCount("w") >= 1 })).To(BeTrue())
	g.Expect(s.accepted[KindClaim]).To(Equal(1))
	g.Expect(s.hosts[name].reboots).To(Equal(1), "the second controller does not reboot the host again")
}

func TestLogOutageDuringWave(t *testing.T) {
	g := NewWithT(t)
	s := newOneZoneSim()
	rebooted := ""
	s.runUntil(60, func() bool {
		for name, h := range s.hosts {
			if h.reboots > 0 {
				rebooted = name
			}
		}
		return rebooted != ""
	})
	s.logErr = platform.ErrUnavailable
	taken := s.drainedHosts()
	for range 60 {
		s.tick(time.Minute)
		g.Expect(s.drainedHosts()).To(Equal(taken), "no drain starts or ends without the log")
	}
	g.Expect(s.hosts[rebooted].reboots).To(Equal(1))
	s.logErr = nil
	g.Expect(s.runUntil(600, func() bool { return s.doneCount("w") == 12 })).To(BeTrue())
	g.Expect(s.state.waves.Waves["w"].Failures).To(BeEmpty())
}

func TestLostAppendAnswersDuringWave(t *testing.T) {
	g := NewWithT(t)
	s := newOneZoneSim()
	s.loseAppendAnswers = true
	g.Expect(s.runUntil(600, func() bool { return s.doneCount("w") == 12 })).To(BeTrue())
	for name, h := range s.hosts {
		g.Expect(h.reboots).To(Equal(1), name)
	}
}

func TestExecutorPausedDuringReboot(t *testing.T) {
	g := NewWithT(t)
	s := newOneZoneSim()
	for _, d := range s.daemons {
		d.afterOperation = func(Operation) { d.paused = true }
	}
	s.runUntil(60, func() bool { return s.daemons[0].paused || s.daemons[1].paused })
	name := s.drainedHosts()[0]
	for range 30 {
		s.tick(time.Minute)
	}
	g.Expect(s.state.pools.Hosts[name].Phase).To(Equal(pool.PhaseOutOfService))
	for _, d := range s.daemons {
		d.paused, d.afterOperation = false, nil
	}
	g.Expect(s.runUntil(600, func() bool { return s.doneCount("w") == 12 })).To(BeTrue())
	g.Expect(s.hosts[name].reboots).To(Equal(1))
}

func TestLongRunningTasksCheckpointedAfterDrainTimeout(t *testing.T) {
	g := NewWithT(t)
	s := newOneZoneSim()
	for _, h := range s.hosts {
		h.busySlots = 2
	}
	s.runUntil(60, func() bool { return len(s.drainedHosts()) > 0 })
	name := s.drainedHosts()[0]
	for range 9 {
		s.tick(time.Minute)
	}
	g.Expect(s.hosts[name].checkpointedTasks).To(Equal(0), "no checkpoint before the drain timeout")
	for range 3 {
		s.tick(time.Minute)
	}
	g.Expect(s.hosts[name].checkpointedTasks).To(Equal(2))
	g.Expect(s.runUntil(60, func() bool { return s.doneCount("w") >= 1 })).To(BeTrue())
}

func TestSilentHostFailsAndRecovers(t *testing.T) {
	g := NewWithT(t)
	s := newOneZoneSim()
	s.runUntil(60, func() bool { return len(s.drainedHosts()) > 0 })
	name := s.drainedHosts()[0]
	s.hosts[name].rebootStarted = s.now.Add(24 * time.Hour)
	g.Expect(s.runUntil(60, func() bool { return s.state.pools.Hosts[name].Failed })).To(BeTrue())
	s.hosts[name].rebootStarted = time.Time{}
	g.Expect(s.runUntil(600, func() bool { return s.doneCount("w") == 12 })).To(BeTrue())
}

func TestPausedWaveReturnsHostsNotYetRebooted(t *testing.T) {
	g := NewWithT(t)
	s := newOneZoneSim()
	for _, h := range s.hosts {
		h.busySlots = 1
	}
	s.runUntil(60, func() bool { return len(s.drainedHosts()) > 0 })
	w := newWave("w")
	w.Paused = true
	s.setWave(w)
	g.Expect(s.runUntil(10, func() bool { return len(s.drainedHosts()) == 0 })).To(BeTrue())
	g.Expect(s.accepted[pool.KindCancel]).To(Equal(1))
}
