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
