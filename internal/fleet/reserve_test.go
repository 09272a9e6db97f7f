package fleet

import (
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
)

// newReserveView returns pool a with a task that no worker takes and two further pools,
// none of them with more hosts than it needs. There are no hosts in standby.
func newReserveView() *viewBuilder {
	unplaced := []scheduler.UnplacedTasks{{Count: 1, Need: job.Resources{CPU: 1000}, MaxPerHost: 1}}
	return newViewBuilder().
		addPool("a", 4, 1, scheduler.Report{Used: capacityOf(2), LongRunning: capacityOf(2), HostsNeeded: 1, Unplaced: unplaced}).
		addPool("b", 4, 1, scheduler.Report{Used: capacityOf(1)}).
		addPool("c", 3, 1, scheduler.Report{Used: capacityOf(0.5)})
}

// actionsOf returns the actions of a kind for the hosts of a pool.
func actionsOf(actions []Action, k ActionKind, pool string) []Action {
	var out []Action
	for _, a := range actions {
		if a.Kind == k && a.Pool == pool {
			out = append(out, a)
		}
	}
	return out
}

// Guards against a task that no worker takes and that waits for as long as other pools keep
// hosts for demand that may come.
func TestReserveOfOtherPoolsServesWaitingTasks(t *testing.T) {
	g := NewWithT(t)
	f := newReserveView()
	d := Decide(f.View, DefaultParams)
	g.Expect(countActions(d.Actions, Cordon)).To(Equal(1), "%+v", d)
	cordoned := actionsOf(d.Actions, Cordon, "b")
	g.Expect(cordoned).To(HaveLen(1))

	// The host stays cordoned until it is empty, and no other is cordoned.
	f.workerLoad(cordoned[0].Worker).Cordoned = true
	f.workerLoad(cordoned[0].Worker).Schedulable = false
	g.Expect(Decide(f.View, DefaultParams).Actions).To(BeEmpty())

	f.workerLoad(cordoned[0].Worker).Empty = true
	g.Expect(movesTo(Decide(f.View, DefaultParams).Actions, "a")).To(ConsistOf(cordoned[0].Host))
}
