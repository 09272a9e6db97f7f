package fleet

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
)

const standbyPool = "standby"

var hostRoom = job.Resources{CPU: 16000, MemoryMB: 32000}

// fleetView is a View that tests put together.
type fleetView struct{ View }

func newFleetView() *fleetView {
	return &fleetView{View{
		Pools:   []PoolView{{Name: standbyPool, Standby: true}},
		Pending: map[string]bool{},
		Surplus: map[string]time.Duration{},
		Busy:    time.Hour,
	}}
}

// pool adds a pool with hosts that all work, each with some runs.
func (f *fleetView) pool(name string, hosts, runs int, rep scheduler.Report) *fleetView {
	for i := range hosts {
		id := fmt.Sprintf("%s-%d", name, i)
		f.Machines = append(f.Machines, Machine{Name: "m-" + id, Pool: name, State: Up, Capacity: hostRoom, Worker: id})
		rep.Workers = append(rep.Workers, scheduler.WorkerLoad{ID: id, Runs: runs, Schedulable: true, Capacity: hostRoom})
	}
	f.Pools = append(f.Pools, PoolView{Name: name, Known: true, Report: rep})
	f.Surplus[name] = time.Hour
	return f
}

// spare adds hosts to the standby pool.
func (f *fleetView) spare(hosts int) *fleetView {
	for i := range hosts {
		f.Machines = append(f.Machines, Machine{Name: fmt.Sprintf("m-spare-%d", i), Pool: standbyPool, State: Up, Capacity: hostRoom})
	}
	return f
}

// load returns the load of a worker, to change it.
func (f *fleetView) load(id string) *scheduler.WorkerLoad {
	for i := range f.Pools {
		for j := range f.Pools[i].Report.Workers {
			if w := &f.Pools[i].Report.Workers[j]; w.ID == id {
				return w
			}
		}
	}
	return nil
}

// count returns how many actions of a kind a decision holds.
func count(actions []Action, k Kind) int {
	n := 0
	for _, a := range actions {
		if a.Kind == k {
			n++
		}
	}
	return n
}

// roomOf returns the room of a number of hosts.
func roomOf(n float64) job.Resources { return scale(hostRoom, n) }

func TestPoolsKeepTheirHostsUntilCallersHaveCome(t *testing.T) {
	g := NewWithT(t)
	f := newFleetView().pool("a", 20, 0, scheduler.Report{})
	f.Busy = 0
	actions, _ := Decide(f.View, DefaultRates)
	g.Expect(actions).To(BeEmpty())
	f.Busy = DefaultRates.WarmUp
	actions, needs := Decide(f.View, DefaultRates)
	g.Expect(count(actions, Close)).To(Equal(20 - needs[0].Want))
}

func TestPoolGrowsFromStandbyByWhatWaits(t *testing.T) {
	g := NewWithT(t)
	f := newFleetView().pool("a", 2, 3, scheduler.Report{Used: roomOf(2), Waiting: roomOf(6)}).spare(30)
	actions, needs := Decide(f.View, DefaultRates)
	g.Expect(needs[0].Want).To(BeNumerically(">=", 8))
	g.Expect(count(actions, Move)).To(Equal(needs[0].Want - 2))
	for _, a := range actions {
		g.Expect(a.To).To(Equal("a"))
	}
}

func TestExpectationFromFewJobsIsBounded(t *testing.T) {
	g := NewWithT(t)
	f := newFleetView().pool("a", 2, 1, scheduler.Report{Used: roomOf(1), ExpectedDemand: roomOf(400)}).spare(30)
	_, needs := Decide(f.View, DefaultRates)
	g.Expect(needs[0].Want).To(BeNumerically("<", 10))
}

func TestPoolOfAHolderThatDoesNotAnswerKeepsItsHosts(t *testing.T) {
	g := NewWithT(t)
	f := newFleetView().pool("a", 20, 0, scheduler.Report{}).spare(5)
	f.Pools[1].Known = false
	actions, needs := Decide(f.View, DefaultRates)
	g.Expect(actions).To(BeEmpty())
	g.Expect(needs).To(BeEmpty())
}

func TestWaveNeverTakesMoreHostsThanItMay(t *testing.T) {
	g := NewWithT(t)
	f := newFleetView().pool("a", 4, 0, scheduler.Report{}).spare(10)
	w := WaveView{Wave: Wave{Number: 1, Duration: 20 * time.Second, MaxDown: 4}, Left: 20 * time.Second, Begun: map[string]bool{}}
	for _, m := range f.Machines {
		w.Machines = append(w.Machines, m.Name)
	}
	f.Waves = []WaveView{w}
	f.Machines[5].State = Upkeep
	f.Pending[f.Machines[6].Name] = true
	actions, _ := Decide(f.View, DefaultRates)
	g.Expect(count(actions, Maintain)).To(Equal(2))
}

func TestWaveLeavesLongRunningTasksAloneWhileThereIsTime(t *testing.T) {
	g := NewWithT(t)
	f := newFleetView().pool("a", 3, 2, scheduler.Report{Used: roomOf(3), Waiting: roomOf(1)})
	for i := range 3 {
		f.load(fmt.Sprintf("a-%d", i)).LongRunning = 1
	}
	w := WaveView{Wave: Wave{Number: 1, Machines: []string{"m-a-0", "m-a-1"}, Duration: 20 * time.Second, MaxDown: 1}, Left: 19 * time.Second, Begun: map[string]bool{}}
	f.Waves = []WaveView{w}
	actions, _ := Decide(f.View, DefaultRates)
	g.Expect(actions).To(BeEmpty())
	f.Waves[0].Left = 10 * time.Second
	actions, _ = Decide(f.View, DefaultRates)
	g.Expect(count(actions, Close)).To(Equal(1))
	g.Expect(actions[0].Evacuate).To(BeTrue())
}

func TestHostsOfAWaveAreNotMovedBeforeTheirMaintenance(t *testing.T) {
	g := NewWithT(t)
	f := newFleetView().pool("a", 1, 3, scheduler.Report{Used: roomOf(1), Waiting: roomOf(6)}).spare(4)
	w := WaveView{Wave: Wave{Number: 1, Duration: 20 * time.Second, MaxDown: 1}, Left: 20 * time.Second, Begun: map[string]bool{}}
	for i := range 4 {
		w.Machines = append(w.Machines, fmt.Sprintf("m-spare-%d", i))
	}
	f.Waves = []WaveView{w}
	actions, _ := Decide(f.View, DefaultRates)
	g.Expect(count(actions, Maintain)).To(Equal(1))
	g.Expect(count(actions, Move)).To(Equal(0))
}

func TestHostWithRunsIsClosedAndNotMoved(t *testing.T) {
	g := NewWithT(t)
	f := newFleetView().pool("a", 10, 1, scheduler.Report{Used: roomOf(1)})
	actions, _ := Decide(f.View, DefaultRates)
	g.Expect(count(actions, Move)).To(Equal(0))
	g.Expect(count(actions, Close)).To(BeNumerically(">", 0))
	for i := range 10 {
		l := f.load(fmt.Sprintf("a-%d", i))
		l.Cordoned, l.Schedulable = true, false
	}
	f.load("a-9").Empty = true
	f.Pools[1].Report.Used = job.Resources{}
	actions, _ = Decide(f.View, DefaultRates)
	for _, a := range actions {
		if a.Kind == Move {
			g.Expect(a.Worker).To(Equal("a-9"))
		}
	}
}

func TestClosedHostsAreOpenedBeforeOthersAreMovedIn(t *testing.T) {
	g := NewWithT(t)
	f := newFleetView().pool("a", 4, 1, scheduler.Report{Used: roomOf(2), Waiting: roomOf(1)}).spare(4)
	l := f.load("a-3")
	l.Cordoned, l.Schedulable = true, false
	actions, needs := Decide(f.View, DefaultRates)
	g.Expect(count(actions, Open)).To(Equal(1))
	g.Expect(count(actions, Move)).To(Equal(needs[0].Want - 4))
}

// A host whose worker takes no tasks, and that was not moved there just now, is no
// help for a task that finds no worker.
func TestHostsForTasksThatFindNoneAreNotThoseOutOfReach(t *testing.T) {
	g := NewWithT(t)
	rep := scheduler.Report{LongRunning: roomOf(1), Used: roomOf(1), HostsNeeded: 1}
	f := newFleetView().pool("a", 8, 1, rep).spare(4)
	f.load("a-6").Schedulable, f.load("a-7").Schedulable = false, false
	actions, _ := Decide(f.View, DefaultRates)
	g.Expect(count(actions, Move)).To(Equal(1))

	f.Arriving = map[string]bool{"m-a-6": true}
	actions, _ = Decide(f.View, DefaultRates)
	g.Expect(count(actions, Move)).To(BeZero(), "one is on its way")
}
