package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a wave that maintains none of the hosts of a step that has a task on each of
// them, since the pool asks for no host that a task could move to.
func TestWaveMaintainsHostsOfSpreadStep(t *testing.T) {
	s := newGrowthSim(t, 6, 10, spreadStep(6))
	s.g.Expect(s.runUntil(5*time.Second, s.allRunning)).To(BeNumerically("<", 5*time.Second))
	s.decisions = nil
	w := s.addWave(growthPool)
	s.run(40 * time.Second)
	s.g.Expect(w.Started).To(HaveLen(6), strings.Join(s.decisions, "\n"))
}

// Guards against hosts that are given back and asked for again for each host of a wave, in
// place of one host that serves for all of them.
func TestWaveOfSpreadStepMovesOneHost(t *testing.T) {
	s := newGrowthSim(t, 6, 10, spreadStep(6))
	s.g.Expect(s.runUntil(5*time.Second, s.allRunning)).To(BeNumerically("<", 5*time.Second))
	s.decisions = nil
	w := s.addWave(growthPool)
	fewest := s.step.Count
	s.runUntil(40*time.Second, func() bool {
		fewest = min(fewest, s.runningTasks())
		return len(w.Started) == len(w.Hosts)
	})
	s.run(10 * time.Second)
	s.g.Expect(fewest).To(Equal(s.step.Count-s.step.MaxUnavailable), "the step's availability budget")
	s.g.Expect(s.decided(Move)).To(Equal(2), "one move to the pool and one back:\n"+strings.Join(s.decisions, "\n"))
	s.g.Expect(s.decided(Uncordon)).To(BeZero(), strings.Join(s.decisions, "\n"))
}

// Guards against hosts that are given back before the tasks they were asked for have moved
// there, and against more hosts than draining workers have tasks.
func TestEachDrainingWorkerGetsOneHost(t *testing.T) {
	s := newGrowthSim(t, 6, 10, spreadStep(6))
	s.g.Expect(s.runUntil(5*time.Second, s.allRunning)).To(BeNumerically("<", 5*time.Second))
	s.decisions = nil
	for _, h := range s.hosts[:3] {
		h.draining = true
	}
	s.run(10 * time.Second)
	s.g.Expect(s.allRunning()).To(BeTrue())
	for _, h := range s.hosts[:3] {
		s.g.Expect(h.running).To(BeEmpty())
	}
	s.g.Expect(s.decisions).To(HaveLen(3), strings.Join(s.decisions, "\n"))
	s.g.Expect(s.decided(Move)).To(Equal(3), strings.Join(s.decisions, "\n"))
}

// decided returns how many decisions of a kind were carried out.
func (s *growthSim) decided(k ActionKind) int {
	n := 0
	for _, d := range s.decisions {
		if strings.Contains(d, fmt.Sprintf(" kind=%d ", k)) {
			n++
		}
	}
	return n
}

// Guards against a wave that waits for ever for a host that was cordoned to shrink its pool, and
// on which a long-running task started just before.
func TestWaveEvacuatesHostCordonedToShrinkPool(t *testing.T) {
	s := newGrowthSim(t, 6, 10, spreadStep(6))
	s.g.Expect(s.runUntil(5*time.Second, s.allRunning)).To(BeNumerically("<", 5*time.Second))
	s.core.Cordon(s.hosts[0].Worker, "pool needs 3 hosts and has 6", false)
	s.decisions = nil
	w := s.addWave(growthPool)
	s.run(40 * time.Second)
	s.g.Expect(w.Started).To(HaveLen(6), strings.Join(s.decisions, "\n"))
}
