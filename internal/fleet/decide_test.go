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

var testCapacity = job.Resources{CPU: 16000, MemoryMB: 32000}

// viewBuilder builds a View for a test.
type viewBuilder struct{ View }

func newViewBuilder() *viewBuilder {
	return &viewBuilder{View{
		Pools:      []PoolView{{Name: standbyPool, Standby: true}},
		Pending:    map[string]bool{},
		SurplusFor: map[string]time.Duration{},
		BusyFor:    time.Hour,
	}}
}

// addPool adds a pool whose hosts are all up, each with the given number of runs.
func (f *viewBuilder) addPool(name string, hosts, runs int, rep scheduler.Report) *viewBuilder {
	for i := range hosts {
		id := fmt.Sprintf("%s-%d", name, i)
		f.Hosts = append(f.Hosts, Host{Name: "m-" + id, Pool: name, State: HostUp, Capacity: testCapacity, Worker: id})
		rep.Workers = append(rep.Workers, scheduler.WorkerLoad{ID: id, Runs: runs, Schedulable: true, Capacity: testCapacity})
	}
	f.Pools = append(f.Pools, PoolView{Name: name, HasReport: true, Report: rep})
	f.SurplusFor[name] = time.Hour
	return f
}

// addStandby adds hosts to the standby pool.
func (f *viewBuilder) addStandby(hosts int) *viewBuilder {
	for i := range hosts {
		f.Hosts = append(f.Hosts, Host{Name: fmt.Sprintf("m-spare-%d", i), Pool: standbyPool, State: HostUp, Capacity: testCapacity})
	}
	return f
}

// workerLoad returns a worker's load for modification.
func (f *viewBuilder) workerLoad(id string) *scheduler.WorkerLoad {
	for i := range f.Pools {
		for j := range f.Pools[i].Report.Workers {
			if w := &f.Pools[i].Report.Workers[j]; w.ID == id {
				return w
			}
		}
	}
	return nil
}

// countActions returns the number of actions of a kind.
func countActions(actions []Action, k ActionKind) int {
	n := 0
	for _, a := range actions {
		if a.Kind == k {
			n++
		}
	}
	return n
}

// capacityOf returns the capacity of a number of hosts.
func capacityOf(n float64) job.Resources { return scaleResources(testCapacity, n) }

func TestPoolsDoNotShrinkDuringWarmUp(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 20, 0, scheduler.Report{})
	f.BusyFor = 0
	actions := Decide(f.View, DefaultParams).Actions
	g.Expect(actions).To(BeEmpty())
	f.BusyFor = DefaultParams.WarmUp
	d := Decide(f.View, DefaultParams)
	actions, demands := d.Actions, d.Demands
	g.Expect(countActions(actions, Cordon)).To(Equal(20 - demands[0].Required))
}

func TestPoolGrowsByWaitingDemand(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 2, 3, scheduler.Report{Used: capacityOf(2), Waiting: capacityOf(6)}).addStandby(30)
	d := Decide(f.View, DefaultParams)
	actions, demands := d.Actions, d.Demands
	g.Expect(demands[0].Required).To(BeNumerically(">=", 8))
	g.Expect(countActions(actions, Move)).To(Equal(demands[0].Required - 2))
	for _, a := range actions {
		g.Expect(a.To).To(Equal("a"))
	}
}

func TestPoolWithoutHostsGetsSome(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 0, 0, scheduler.Report{Waiting: capacityOf(2)}).addStandby(10)
	g.Expect(countActions(Decide(f.View, DefaultParams).Actions, Move)).To(BeNumerically(">=", 2))
}

// A pool with tasks that no worker takes must get a host before a pool that is
// short of more hosts: its tasks waited for as long as that shortage lasted.
func TestStalledTasksGetHostsBeforeLargerShortage(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 4, 1, scheduler.Report{Used: capacityOf(1), LongRunning: capacityOf(1), HostsNeeded: 1}).
		addPool("b", 2, 3, scheduler.Report{Used: capacityOf(2), Waiting: capacityOf(30)}).addStandby(3)
	to := map[string]int{}
	for _, a := range Decide(f.View, DefaultParams).Actions {
		if a.Kind == Move {
			to[a.To]++
		}
	}
	g.Expect(to).To(Equal(map[string]int{"a": 1, "b": 2}))
}

func TestForecastIsBounded(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 2, 1, scheduler.Report{Used: capacityOf(1), ExpectedDemand: capacityOf(400)}).addStandby(30)
	demands := Decide(f.View, DefaultParams).Demands
	g.Expect(demands[0].Required).To(BeNumerically("<", 10))
}

func TestPoolWithoutReportIsUnchanged(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 20, 0, scheduler.Report{}).addStandby(5)
	f.Pools[1].HasReport = false
	d := Decide(f.View, DefaultParams)
	actions, demands := d.Actions, d.Demands
	g.Expect(actions).To(BeEmpty())
	g.Expect(demands).To(BeEmpty())
}

func TestWaveConcurrencyLimit(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 4, 0, scheduler.Report{}).addStandby(10)
	w := WaveView{Wave: Wave{Number: 1, Duration: 20 * time.Second, MaxConcurrent: 4}, TimeLeft: 20 * time.Second, Started: map[string]bool{}}
	for _, m := range f.Hosts {
		w.Hosts = append(w.Hosts, m.Name)
	}
	f.Waves = []WaveView{w}
	f.Hosts[5].State = HostInMaintenance
	f.Pending[f.Hosts[6].Name] = true
	actions := Decide(f.View, DefaultParams).Actions
	g.Expect(countActions(actions, Maintain)).To(Equal(2))
}

func TestWaveDefersHostsWithLongRunningTasks(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 3, 2, scheduler.Report{Used: capacityOf(3), Waiting: capacityOf(1)})
	for i := range 3 {
		f.workerLoad(fmt.Sprintf("a-%d", i)).LongRunning = 1
	}
	w := WaveView{Wave: Wave{Number: 1, Hosts: []string{"m-a-0", "m-a-1"}, Duration: 20 * time.Second, MaxConcurrent: 1}, TimeLeft: 19 * time.Second, Started: map[string]bool{}}
	f.Waves = []WaveView{w}
	actions := Decide(f.View, DefaultParams).Actions
	g.Expect(actions).To(BeEmpty())
	f.Waves[0].TimeLeft = 10 * time.Second
	actions = Decide(f.View, DefaultParams).Actions
	g.Expect(countActions(actions, Cordon)).To(Equal(1))
	g.Expect(actions[0].Evacuate).To(BeTrue())
}

func TestHostsAwaitingMaintenanceAreNotMoved(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 1, 3, scheduler.Report{Used: capacityOf(1), Waiting: capacityOf(6)}).addStandby(4)
	w := WaveView{Wave: Wave{Number: 1, Duration: 20 * time.Second, MaxConcurrent: 1}, TimeLeft: 20 * time.Second, Started: map[string]bool{}}
	for i := range 4 {
		w.Hosts = append(w.Hosts, fmt.Sprintf("m-spare-%d", i))
	}
	f.Waves = []WaveView{w}
	actions := Decide(f.View, DefaultParams).Actions
	g.Expect(countActions(actions, Maintain)).To(Equal(1))
	g.Expect(countActions(actions, Move)).To(Equal(0))
}

func TestHostWithRunsIsCordonedNotMoved(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 10, 1, scheduler.Report{Used: capacityOf(1)})
	actions := Decide(f.View, DefaultParams).Actions
	g.Expect(countActions(actions, Move)).To(Equal(0))
	g.Expect(countActions(actions, Cordon)).To(BeNumerically(">", 0))
	for i := range 10 {
		l := f.workerLoad(fmt.Sprintf("a-%d", i))
		l.Cordoned, l.Schedulable = true, false
	}
	f.workerLoad("a-9").Empty = true
	f.Pools[1].Report.Used = job.Resources{}
	actions = Decide(f.View, DefaultParams).Actions
	for _, a := range actions {
		if a.Kind == Move {
			g.Expect(a.Worker).To(Equal("a-9"))
		}
	}
}

func TestUncordonBeforeMove(t *testing.T) {
	g := NewWithT(t)
	f := newViewBuilder().addPool("a", 4, 1, scheduler.Report{Used: capacityOf(2), Waiting: capacityOf(1)}).addStandby(4)
	l := f.workerLoad("a-3")
	l.Cordoned, l.Schedulable = true, false
	d := Decide(f.View, DefaultParams)
	actions, demands := d.Actions, d.Demands
	g.Expect(countActions(actions, Uncordon)).To(Equal(1))
	g.Expect(countActions(actions, Move)).To(Equal(demands[0].Required - 4))
}

// A host whose worker takes no tasks must not count as capacity for unplaced
// tasks, unless it was moved there just now and its worker is still starting.
func TestUnavailableHostsDoNotServeUnplacedTasks(t *testing.T) {
	g := NewWithT(t)
	rep := scheduler.Report{LongRunning: capacityOf(1), Used: capacityOf(1), HostsNeeded: 1}
	f := newViewBuilder().addPool("a", 8, 1, rep).addStandby(4)
	f.workerLoad("a-6").Schedulable, f.workerLoad("a-7").Schedulable = false, false
	actions := Decide(f.View, DefaultParams).Actions
	g.Expect(countActions(actions, Move)).To(Equal(1))

	f.Arriving = map[string]bool{"m-a-6": true}
	f.workerLoad("a-6").Joining = true
	actions = Decide(f.View, DefaultParams).Actions
	g.Expect(countActions(actions, Move)).To(BeZero(), "one host is arriving")
}

// A host that was moved to its pool just now and whose worker drains, is ejected or
// no longer answers is not on its way any more.
func TestPolledWorkerThatTakesNoTasksIsNotArriving(t *testing.T) {
	g := NewWithT(t)
	rep := scheduler.Report{LongRunning: capacityOf(1), Used: capacityOf(1), HostsNeeded: 1}
	f := newViewBuilder().addPool("a", 5, 1, rep).addStandby(4)
	f.workerLoad("a-4").Schedulable = false
	f.Arriving = map[string]bool{"m-a-4": true}
	g.Expect(countActions(Decide(f.View, DefaultParams).Actions, Move)).To(Equal(1))
}
