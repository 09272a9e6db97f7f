package pool

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/membership"
)

var (
	schedules    = flag.Int("schedules", 10_000, "random schedules of moves to check")
	scheduleSeed = flag.Int("schedule-seed", 1, "seed of the first schedule")
)

// action is one step of a schedule: the index of an operation in ops and the
// daemon, host and pool that it is applied to.
type action struct {
	operation          uint8
	daemon, host, pool uint8
}

// ops are the operations of a schedule. Each is chosen with a probability in
// proportion to its weight.
var ops = []struct {
	weight int
	do     func(sim *simulation, d *daemon, t *simHost, a action)
}{
	{10, func(_ *simulation, d *daemon, _ *simHost, a action) { d.enterAsOwner(simHosts[a.host]) }},
	{2, func(_ *simulation, d *daemon, _ *simHost, a action) { d.enter(simHosts[a.host], simPools[a.pool]) }},
	{4, func(_ *simulation, _ *daemon, t *simHost, _ action) { t.sendAll() }},
	{4, func(_ *simulation, _ *daemon, t *simHost, _ action) { t.finishOldest() }},
	{1, func(_ *simulation, _ *daemon, t *simHost, _ action) { t.abandonOldest() }},
	{8, func(sim *simulation, _ *daemon, _ *simHost, _ action) { sim.sampleAllUsage() }},
	{12, func(_ *simulation, d *daemon, _ *simHost, a action) { d.applyRecords(1 + int(a.pool)) }},
	{12, func(_ *simulation, d *daemon, _ *simHost, _ action) { d.step() }},
	{12, func(sim *simulation, _ *daemon, _ *simHost, _ action) { sim.round(time.Second) }},
	{2, func(sim *simulation, _ *daemon, _ *simHost, a action) { sim.now = sim.now.Add(time.Second << a.host) }},
	{1, func(sim *simulation, _ *daemon, _ *simHost, _ action) { sim.now = sim.now.Add(20 * time.Second) }},
	{4, func(_ *simulation, d *daemon, _ *simHost, a action) {
		d.proposeMove(simHosts[a.host], simPools[a.pool])
	}},
	{1, func(sim *simulation, d *daemon, _ *simHost, _ action) { sim.setPaused(d, true) }},
	{2, func(sim *simulation, d *daemon, _ *simHost, _ action) { sim.setPaused(d, false) }},
	{1, func(_ *simulation, d *daemon, _ *simHost, _ action) { d.disconnected = true }},
	{2, func(_ *simulation, d *daemon, _ *simHost, _ action) { d.disconnected = false }},
	{1, func(sim *simulation, _ *daemon, _ *simHost, a action) {
		sim.mode = logMode(a.pool+a.host) % logModeCount
	}},
	{2, func(sim *simulation, _ *daemon, _ *simHost, _ action) { sim.mode = logUp }},
	{2, func(sim *simulation, _ *daemon, _ *simHost, _ action) { sim.deliverDelayed() }},
	{1, func(sim *simulation, d *daemon, _ *simHost, _ action) { sim.killDaemon(d); sim.startDaemon(d.index) }},
	{1, func(sim *simulation, d *daemon, _ *simHost, _ action) { sim.removeDaemon(d) }},
	{2, func(sim *simulation, _ *daemon, _ *simHost, a action) { sim.editHost(a) }},
	{1, func(sim *simulation, d *daemon, _ *simHost, a action) { sim.cancelDrain(d, simHosts[a.host]) }},
}

var weightedOps = func() []uint8 {
	var table []uint8
	for i, op := range ops {
		for range op.weight {
			table = append(table, uint8(i))
		}
	}
	return table
}()

// deliverDelayed appends the oldest delayed record to the log.
func (sim *simulation) deliverDelayed() {
	if len(sim.delayed) == 0 {
		return
	}
	r := sim.delayed[0]
	sim.delayed = sim.delayed[1:]
	sim.append(r)
}

// removeDaemon kills a daemon and removes it from the membership.
func (sim *simulation) removeDaemon(d *daemon) {
	sim.killDaemon(d)
	sim.append(newRecord(membership.KindRemove, "d9", sim.now, membership.Remove{ID: d.id}))
}

// cancelDrain cancels the drain of a host, as a member may at any time.
func (sim *simulation) cancelDrain(d *daemon, host string) {
	if id := sim.head().pools.Hosts[host].DrainID; id != "" && !d.disconnected {
		sim.append(newRecord(KindCancel, d.id, sim.now, DrainRef{Drain: id}))
	}
}

// editHost changes a host's pool or address in the catalogue.
func (sim *simulation) editHost(a action) {
	h := sim.head().catalogue.Hosts[simHosts[a.host]].Value
	h.Pool = simPools[a.pool]
	if a.daemon == 0 {
		h.Address = fmt.Sprintf("127.0.0.1:%d", 21000+len(sim.log))
	}
	key := catalogue.Key{Kind: catalogue.KindHost, Name: h.Name}
	sim.append(editOf(sim.head(), false, map[catalogue.Key]any{key: h}))
}

func (sim *simulation) runActions(actions []action) error {
	for i, a := range actions {
		ops[a.operation].do(sim, sim.daemons[a.daemon], sim.hosts[simHosts[a.host]], a)
		if err := sim.checkInvariants(); err != nil {
			return fmt.Errorf("after action %d of %d: %w", i, len(actions), err)
		}
	}
	return sim.settle()
}

func scheduleGenerator() *rapid.Generator[[]action] {
	one := rapid.Custom(func(t *rapid.T) action {
		bits := mixBits(rapid.Uint64().Draw(t, "action"))
		return action{
			operation: weightedOps[(bits>>32)%uint64(len(weightedOps))],
			daemon:    uint8((bits >> 8) % simDaemonCount),
			host:      uint8((bits >> 16) % uint64(len(simHosts))),
			pool:      uint8((bits >> 24) % uint64(len(simPools))),
		}
	})
	return rapid.SliceOfN(one, 40, 80)
}

// mixBits mixes the bits of x with the finalizer of splitmix64. rapid draws small
// numbers more often, which would make the first operations more frequent.
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// checkSchedules runs n schedules, starting with seed, in several workers and
// returns the first failure of each worker.
func checkSchedules(faults injectedFaults, seed, n int) (started, moved int, failures []error) {
	const workers = 4
	gen := scheduleGenerator()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for first := range workers {
		wg.Go(func() {
			for i := seed + first; i < seed+n; i += workers {
				sim := newSimulation(faults)
				err := sim.runActions(gen.Example(i))
				mu.Lock()
				started, moved = started+sim.startedRequests, moved+sim.ownerChanges
				if err != nil {
					failures = append(failures, fmt.Errorf("schedule seed %d: %w", i, err))
				}
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	return started, moved, failures
}

// No schedule may let two pools use a host at the same time, exceed a budget or
// leave a drain that never ends.
func TestOneHostOnePoolUnderRandomSchedules(t *testing.T) {
	g := NewWithT(t)
	started, moved, failures := checkSchedules(injectedFaults{}, *scheduleSeed, *schedules)
	t.Logf("%d schedules from seed %d: %d requests started, %d changes of owner",
		*schedules, *scheduleSeed, started, moved)
	g.Expect(failures).To(BeEmpty())
	g.Expect(started).To(BeNumerically(">", *schedules), "requests started")
	g.Expect(moved).To(BeNumerically(">", *schedules), "changes of owner")
}

// Checks the same with schedules that rapid shrinks to a short one on failure.
func TestOneHostOnePoolWithShrinking(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := scheduleGenerator().Draw(rt, "schedule")
		if err := newSimulation(injectedFaults{}).runActions(actions); err != nil {
			rt.Fatal(err)
		}
	})
}

// Each injected fault must be detected by the checks of the random schedules.
func TestSchedulesDetectInjectedFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults injectedFaults
	}{
		{"one acknowledgement is skipped", injectedFaults{skipAck: true}},
		{"requests in progress are not counted", injectedFaults{skipInProgress: true}},
		{"the host's usage report is ignored", injectedFaults{skipUsage: true}},
		{"no new round when a member leaves", injectedFaults{skipRounds: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			_, _, failures := checkSchedules(tt.faults, *scheduleSeed, *schedules)
			g.Expect(failures).NotTo(BeEmpty(), "no schedule detected the fault")
			t.Logf("detected: %v", failures[0])
		})
	}
}
