package fleet

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
)

// movesTo returns the hosts that actions move to a pool.
func movesTo(actions []Action, pool string) []string {
	var out []string
	for _, a := range actions {
		if a.Kind == Move && a.To == pool {
			out = append(out, a.Host)
		}
	}
	return out
}

// Guards against hosts that a pool gets beside those that its waiting tasks use, and against
// hosts that it gives back and gets again.
func TestPoolGetsOnlyHostsThatTasksUse(t *testing.T) {
	s := newGrowthSim(t, 1, 12, spreadStep(8))
	s.run(30 * time.Second)
	s.g.Expect(s.allRunning()).To(BeTrue())
	s.g.Expect(s.serving()).To(HaveLen(8), strings.Join(s.decisions, "\n"))
	s.g.Expect(s.decisions).To(HaveLen(7), strings.Join(s.decisions, "\n"))
}

// Guards against a host for each step, where tasks of several steps fit on one.
func TestUnplacedTasksOfSeveralStepsShareHosts(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 4, 1, scheduler.Report{
		Used: capacityOf(1), LongRunning: capacityOf(1), HostsNeeded: 2,
		Unplaced: []scheduler.UnplacedTasks{
			{Count: 2, Need: job.Resources{CPU: 1000}, MaxPerHost: 1},
			{Count: 12, Need: job.Resources{CPU: 2000}},
		},
	}).addStandby(8)
	g.Expect(movesTo(Decide(f.View, DefaultParams).Actions, "a")).To(HaveLen(2))
}

// Guards against a cordoned host with room for a task that waits: the pool would cordon it
// and uncordon it in turn.
func TestHostWithRoomForUnplacedTaskIsNotCordoned(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 10, 0, scheduler.Report{Unplaced: []scheduler.UnplacedTasks{{Count: 1, Need: job.Resources{CPU: 1000}}}})
	g.Expect(Decide(f.View, DefaultParams).Actions).To(BeEmpty())
	f.Pools[1].Report.Unplaced = nil
	g.Expect(countActions(Decide(f.View, DefaultParams).Actions, Cordon)).To(BeNumerically(">", 0))
}

// Guards against hosts that are too small for the tasks that wait, whether they are moved or
// count because they are on their way.
func TestPoolGetsHostsLargeEnoughForUnplacedTasks(t *testing.T) {
	g := NewWithT(t)
	large := job.Resources{CPU: 8000}
	f := newViewBuilder().addPool("a", 4, 1, scheduler.Report{
		Used: capacityOf(1), LongRunning: capacityOf(1), HostsNeeded: 2,
		Unplaced: []scheduler.UnplacedTasks{{Count: 2, Need: large, MaxPerHost: 1}},
	}).addStandby(8)
	for i := range f.Hosts {
		f.Hosts[i].Capacity = job.Resources{CPU: 4000, MemoryMB: 32000}
	}
	f.Hosts[3].State, f.Hosts[3].Worker = HostMoving, ""
	f.Arriving = map[string]bool{"m-a-3": true}
	f.Hosts[6].Capacity, f.Hosts[9].Capacity = testCapacity, testCapacity
	g.Expect(movesTo(Decide(f.View, DefaultParams).Actions, "a")).To(Equal([]string{"m-spare-2", "m-spare-5"}))

	f.Hosts[3].Capacity = testCapacity
	f.Pools[1].Report.Used, f.Pools[1].Report.LongRunning = job.Resources{}, job.Resources{}
	g.Expect(movesTo(Decide(f.View, DefaultParams).Actions, "a")).To(Equal([]string{"m-spare-2"}), "one large host is arriving")
}

// Guards against hosts for tasks that fit on none.
func TestPoolGetsNoHostForTaskThatFitsOnNone(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 4, 1, scheduler.Report{
		HostsNeeded: 1, Unplaced: []scheduler.UnplacedTasks{{Count: 1, Need: job.Resources{CPU: 64000}}},
	}).addStandby(8)
	g.Expect(movesTo(Decide(f.View, DefaultParams).Actions, "a")).To(BeEmpty())
}

// Guards against hosts for a label that none has, and against tasks without a label that
// wait for hosts beside labelled ones with room.
func TestUnplacedTasksWithLabelsGetFittingHosts(t *testing.T) {
	g := NewWithT(t)
	need := job.Resources{CPU: 1000}
	f := newViewBuilder().addPool("a", 4, 1, scheduler.Report{HostsNeeded: 1, Unplaced: []scheduler.UnplacedTasks{
		{Count: 3, Need: need, MaxPerHost: 1, Label: "gone"},
		{Count: 1, Need: need, MaxPerHost: 1, Label: "large"},
		{Count: 1, Need: need, MaxPerHost: 1},
	}}).addStandby(8)
	g.Expect(movesTo(Decide(f.View, DefaultParams).Actions, "a")).To(Equal([]string{"m-spare-0"}), "no host is large")
	f.Hosts[9].Labels = []string{"large", "rack-2"}
	g.Expect(movesTo(Decide(f.View, DefaultParams).Actions, "a")).To(ConsistOf("m-spare-5"))
}

// Guards against a pool that gets one host after the other for tasks whose label none has.
func TestPoolGetsNoHostsForUnknownLabel(t *testing.T) {
	step := spreadStep(2)
	step.Label = "rack-9"
	s := newGrowthSim(t, 5, 6, step)
	s.run(30 * time.Second)
	for _, d := range s.decisions {
		s.g.Expect(d).NotTo(ContainSubstring(`to="a"`))
	}
}
