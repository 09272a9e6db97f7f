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

// action is one step of a schedule: an operation and what it is applied to.
type action struct {
	op                 uint8
	daemon, host, pool uint8
}

// The operations of a schedule, repeated by weight.
var ops = []struct {
	weight int
	do     func(w *world, d *daemon, t *target, a action)
}{
	{10, func(_ *world, d *daemon, _ *target, a action) { d.enterOwned(worldHosts[a.host]) }},
	{2, func(_ *world, d *daemon, _ *target, a action) { d.enter(worldHosts[a.host], worldPools[a.pool]) }},
	{4, func(_ *world, _ *daemon, t *target, _ action) { t.send() }},
	{4, func(_ *world, _ *daemon, t *target, _ action) { t.finish() }},
	{1, func(_ *world, _ *daemon, t *target, _ action) { t.abandon() }},
	{8, func(w *world, _ *daemon, _ *target, _ action) { w.sampleAll() }},
	{12, func(_ *world, d *daemon, _ *target, a action) { d.fold(1 + int(a.pool)) }},
	{12, func(_ *world, d *daemon, _ *target, _ action) { d.step() }},
	{12, func(w *world, _ *daemon, _ *target, _ action) { w.round(time.Second) }},
	{2, func(w *world, _ *daemon, _ *target, a action) { w.now = w.now.Add(time.Second << a.host) }},
	{1, func(w *world, _ *daemon, _ *target, _ action) { w.now = w.now.Add(20 * time.Second) }},
	{4, func(_ *world, d *daemon, _ *target, a action) { d.propose(worldHosts[a.host], worldPools[a.pool]) }},
	{1, func(w *world, d *daemon, _ *target, _ action) { w.setPaused(d, true) }},
	{2, func(w *world, d *daemon, _ *target, _ action) { w.setPaused(d, false) }},
	{1, func(_ *world, d *daemon, _ *target, _ action) { d.cut = true }},
	{2, func(_ *world, d *daemon, _ *target, _ action) { d.cut = false }},
	{1, func(w *world, _ *daemon, _ *target, a action) { w.mode = logMode(a.pool+a.host) % logModes }},
	{2, func(w *world, _ *daemon, _ *target, _ action) { w.mode = logUp }},
	{2, func(w *world, _ *daemon, _ *target, _ action) { w.deliver() }},
	{1, func(w *world, d *daemon, _ *target, _ action) { w.kill(d); w.start(d.slot) }},
	{1, func(w *world, d *daemon, _ *target, _ action) { w.remove(d) }},
	{2, func(w *world, _ *daemon, _ *target, a action) { w.edit(a) }},
	{1, func(w *world, d *daemon, _ *target, a action) { w.cancel(d, worldHosts[a.host]) }},
}

var opTable = func() []uint8 {
	var table []uint8
	for i, op := range ops {
		for range op.weight {
			table = append(table, uint8(i))
		}
	}
	return table
}()

// deliver lets the log carry out its oldest delayed append.
func (w *world) deliver() {
	if len(w.delayed) == 0 {
		return
	}
	r := w.delayed[0]
	w.delayed = w.delayed[1:]
	w.append(r)
}

// remove kills a daemon and takes it out of the membership.
func (w *world) remove(d *daemon) {
	w.kill(d)
	w.append(newRecord(membership.KindRemove, "d9", w.now, membership.Remove{ID: d.id}))
}

// cancel gives up the drain of a host, as a member may at any time.
func (w *world) cancel(d *daemon, host string) {
	if id := w.head().pools.Hosts[host].Drain; id != "" && !d.cut {
		w.append(newRecord(KindCancel, d.id, w.now, DrainRef{Drain: id}))
	}
}

// edit changes a host's pool or address in the catalogue.
func (w *world) edit(a action) {
	h := w.head().catalogue.Hosts[worldHosts[a.host]].Value
	h.Pool = worldPools[a.pool]
	if a.daemon == 0 {
		h.Address = fmt.Sprintf("127.0.0.1:%d", 21000+len(w.log))
	}
	key := catalogue.Key{Kind: catalogue.KindHost, Name: h.Name}
	w.append(editOf(w.head(), false, map[catalogue.Key]any{key: h}))
}

func (w *world) run(actions []action) error {
	for i, a := range actions {
		ops[a.op].do(w, w.daemons[a.daemon], w.hosts[worldHosts[a.host]], a)
		if err := w.violation(); err != nil {
			return fmt.Errorf("after action %d of %d: %w", i, len(actions), err)
		}
	}
	return w.settle()
}

func scheduleGen() *rapid.Generator[[]action] {
	one := rapid.Custom(func(t *rapid.T) action {
		bits := spread(rapid.Uint64().Draw(t, "action"))
		return action{
			op:     opTable[(bits>>32)%uint64(len(opTable))],
			daemon: uint8((bits >> 8) % worldDaemons),
			host:   uint8((bits >> 16) % uint64(len(worldHosts))),
			pool:   uint8((bits >> 24) % uint64(len(worldPools))),
		}
	})
	return rapid.SliceOfN(one, 40, 80)
}

// spread mixes the bits of x (the finaliser of splitmix64): rapid prefers small
// numbers, which would prefer the first operations.
func spread(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// checkSchedules runs n schedules from seed on, on several processors, and
// returns the first failure of each processor.
func checkSchedules(v variant, seed, n int) (started, moved int, failures []error) {
	const workers = 4
	gen := scheduleGen()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for first := range workers {
		wg.Go(func() {
			for i := seed + first; i < seed+n; i += workers {
				w := newWorld(v)
				err := w.run(gen.Example(i))
				mu.Lock()
				started, moved = started+w.started, moved+w.moved
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

// No schedule lets two pools use a host, breaks a budget, or leaves a drain
// that never ends.
func TestOneHostOnePoolUnderRandomSchedules(t *testing.T) {
	g := NewWithT(t)
	started, moved, failures := checkSchedules(variant{}, *scheduleSeed, *schedules)
	t.Logf("%d schedules from seed %d: %d requests started, %d changes of owner",
		*schedules, *scheduleSeed, started, moved)
	g.Expect(failures).To(BeEmpty())
	g.Expect(started).To(BeNumerically(">", *schedules), "requests started")
	g.Expect(moved).To(BeNumerically(">", *schedules), "changes of owner")
}

// rapid shrinks a schedule that fails to a short one.
func TestOneHostOnePoolShrunk(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := scheduleGen().Draw(rt, "schedule")
		if err := newWorld(variant{}).run(actions); err != nil {
			rt.Fatal(err)
		}
	})
}

// Each fault that is seeded into the model must be caught by the same check.
func TestSchedulesCatchSeededFaults(t *testing.T) {
	tests := []struct {
		name    string
		variant variant
	}{
		{"one acknowledgement is skipped", variant{skipAck: true}},
		{"requests in progress are not counted", variant{skipCount: true}},
		{"what runs on the host is not looked at", variant{skipUsage: true}},
		{"members are not asked again when one is gone", variant{skipRounds: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			_, _, failures := checkSchedules(tt.variant, *scheduleSeed, *schedules)
			g.Expect(failures).NotTo(BeEmpty(), "no schedule caught the fault")
			t.Logf("caught: %v", failures[0])
		})
	}
}
