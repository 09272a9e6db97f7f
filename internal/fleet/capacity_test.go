package fleet

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/scheduler"
)

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

// newUnservedPool returns a view of a pool that has as many hosts as it needs, and with six
// workers of eight that take no tasks.
func newUnservedPool() *viewBuilder {
	f := newViewBuilder().addPool("a", 8, 1, scheduler.Report{Used: capacityOf(2), Waiting: capacityOf(3)}).addStandby(10)
	for i := range 6 {
		f.workerLoad(fmt.Sprintf("a-%d", i)).Schedulable = false
	}
	return f
}

// Guards against hosts that replace all those of a pool whose new holder has polled none of
// its workers yet.
func TestHostsWithUnpolledWorkersAreCapacity(t *testing.T) {
	g := NewWithT(t)
	f := newUnservedPool()
	for i := range 6 {
		f.workerLoad(fmt.Sprintf("a-%d", i)).Joining = true
	}
	g.Expect(Decide(f.View, DefaultParams).Actions).To(BeEmpty())
}

// Guards against hosts that are moved for workers that have missed a call and answer the next.
func TestHostsThatServedRecentlyAreCapacity(t *testing.T) {
	g := NewWithT(t)
	f := newUnservedPool()
	f.RecentlyServing = map[string]bool{}
	for i := range 6 {
		f.RecentlyServing[fmt.Sprintf("m-a-%d", i)] = true
	}
	g.Expect(Decide(f.View, DefaultParams).Actions).To(BeEmpty())
	f.workerLoad("a-5").Draining = true
	g.Expect(countActions(Decide(f.View, DefaultParams).Actions, Move)).To(Equal(1), "a draining worker does not come back")
}

// Guards against a draining worker that is uncordoned in place of a host that the pool needs.
func TestDrainingWorkerIsNotUncordoned(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 8, 1, scheduler.Report{Used: capacityOf(2), Waiting: capacityOf(3)}).addStandby(10)
	l := f.workerLoad("a-0")
	l.Cordoned, l.Draining, l.Schedulable = true, true, false
	actions := Decide(f.View, DefaultParams).Actions
	g.Expect(countActions(actions, Uncordon)).To(BeZero())
	g.Expect(countActions(actions, Move)).To(Equal(1))
}

// Guards against workers in use that are cordoned since others, which take no tasks, count in
// the surplus of the pool.
func TestSurplusIsOfHostsThatTakeTasks(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 8, 1, scheduler.Report{Used: capacityOf(2), Waiting: capacityOf(1)})
	for i := range 3 {
		f.workerLoad(fmt.Sprintf("a-%d", i)).Schedulable = false
	}
	d := Decide(f.View, DefaultParams)
	g.Expect(d.Demands[0].Hosts).To(Equal(5))
	g.Expect(d.Demands[0].Required).To(BeNumerically(">", 5))
	g.Expect(d.Surplus).To(BeEmpty())
	g.Expect(countActions(d.Actions, Cordon)).To(BeZero())
}

// Guards against a host that keeps counting as capacity, or stops at the first missed call.
func TestHostServesRecentlyForGracePeriod(t *testing.T) {
	g := NewWithT(t)
	s := &session{notServingSince: map[string]time.Duration{}}
	f := newViewBuilder().addPool("a", 1, 0, scheduler.Report{})
	recently := func(now time.Duration) bool {
		f.RecentlyServing = map[string]bool{}
		s.trackServing(&f.View, now)
		return f.RecentlyServing["m-a-0"]
	}
	l := f.workerLoad("a-0")
	l.Schedulable = false
	g.Expect(recently(time.Minute)).To(BeTrue())
	g.Expect(recently(time.Minute + servingGrace - 1)).To(BeTrue())
	g.Expect(recently(time.Minute + servingGrace)).To(BeFalse())
	l.Schedulable = true
	recently(2 * time.Minute)
	l.Schedulable = false
	g.Expect(recently(3*time.Minute)).To(BeTrue(), "the worker took tasks since")
	f.Pools[1].HasReport = false
	recently(4 * time.Minute)
	f.Pools[1].HasReport = true
	g.Expect(recently(5*time.Minute)).To(BeTrue(), "the pool has a new holder")
}

// Guards against a second host that is moved for a task whose host an earlier holder of the
// duty has moved, and against a host that counts as on its way for ever.
func TestHostMovedByEarlierHolderIsArrivingForATime(t *testing.T) {
	g := NewWithT(t)
	s := &session{lastOrdered: map[string]time.Duration{"m-up": time.Second}, hostList: newHostList()}
	s.hostList.hosts = []Host{{Name: "m-up", State: HostUp}, {Name: "m-moving", State: HostMoving}, {Name: "m-upkeep", State: HostInMaintenance}, {Name: "m-down", State: HostDown}}
	s.trackEarlierOrders(time.Minute)
	s.trackEarlierOrders(2 * time.Minute)
	g.Expect(s.lastOrdered).To(Equal(map[string]time.Duration{"m-up": time.Second, "m-moving": time.Minute, "m-upkeep": time.Minute}))

	rep := scheduler.Report{LongRunning: capacityOf(1), Used: capacityOf(1), HostsNeeded: 1}
	f := newViewBuilder().addPool("a", 4, 1, rep).addStandby(4)
	f.Hosts[0].State, f.Hosts[0].Worker = HostMoving, ""
	f.Arriving = map[string]bool{"m-a-0": true}
	g.Expect(countActions(Decide(f.View, DefaultParams).Actions, Move)).To(BeZero(), "the host is on its way")
	f.Arriving = nil
	g.Expect(countActions(Decide(f.View, DefaultParams).Actions, Move)).To(Equal(1), "the move takes too long")
}
