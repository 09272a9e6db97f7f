package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/scheduler"
)

// Guards against a task that waits as long as any host of its pool is in maintenance or
// moves, since each such host counts as one for the task.
func TestPoolGetsHostWhileOtherHostsAreInMaintenance(t *testing.T) {
	s := newGrowthSim(t, 6, 10, spreadStep(6))
	s.g.Expect(s.runUntil(5*time.Second, s.allRunning)).To(BeNumerically("<", 5*time.Second))
	// One more host is in maintenance for long. Its worker held no task.
	s.leave(s.addHost("m-upkeep", growthPool, "rack-1"), HostInMaintenance, 15*time.Second)
	s.decisions = nil
	s.leave(s.hosts[0], HostDown, time.Minute)
	took := s.runUntil(30*time.Second, s.allRunning)
	s.g.Expect(took).To(BeNumerically("<=", growthMove+growthJoin+2*growthStep), strings.Join(s.decisions, "\n"))
}

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

// Guards against a pool that gets a host only after its task has ended with a worker
// that said long before that it would leave.
func TestPoolGetsHostBeforeDrainingWorkerLeaves(t *testing.T) {
	s := newGrowthSim(t, 6, 10, spreadStep(6))
	s.g.Expect(s.runUntil(5*time.Second, s.allRunning)).To(BeNumerically("<", 5*time.Second))
	s.decisions = nil
	h := s.hosts[0]
	h.draining = true
	s.run(4 * time.Second)
	s.g.Expect(h.running).To(BeEmpty(), "the task has moved to a new host:\n"+strings.Join(s.decisions, "\n"))
}

// Guards against hosts of draining and silent workers that count as capacity of their pool, so
// that it gets none for the tasks that wait.
func TestHostsThatTakeNoTasksAreNoCapacity(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 8, 1, scheduler.Report{Used: capacityOf(2), Waiting: capacityOf(3)}).addStandby(10)
	for i := range 6 {
		f.workerLoad(fmt.Sprintf("a-%d", i)).Schedulable = false
	}
	g.Expect(countActions(Decide(f.View, DefaultParams).Actions, Move)).To(BeNumerically(">", 0))
}
