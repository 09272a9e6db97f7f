package fleetview

import (
	"bytes"
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/scheduler"
)

// fakeClock is a clock that a test sets.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }
func (c *fakeClock) Wall() time.Time    { return time.UnixMilli(c.now.Milliseconds()) }

// watchRig is a watch of a daemon that holds the pools of a fleet.
type watchRig struct {
	*Watch
	fleet *fakeFleet
	clock fakeClock
	scope tally.TestScope
	log   bytes.Buffer
}

func newWatchRig(weights func() map[customer.ID]float64, pools ...string) *watchRig {
	r := &watchRig{fleet: newFakeFleet(pools...), scope: tally.NewTestScope("", nil), clock: fakeClock{time.Hour}}
	held := func() []string {
		var out []string
		for pool := range r.fleet.runners {
			out = append(out, pool)
		}
		return out
	}
	r.Watch = NewWatch(WatchOptions{Pools: held, Local: r.fleet.local, Weights: weights, Clock: &r.clock, Logger: zerolog.New(&r.log), Scope: r.scope})
	return r
}

// values returns the values of a gauge by pool and customer.
func (r *watchRig) values(name string) map[gaugeKey]float64 {
	out := map[gaugeKey]float64{}
	for _, s := range r.scope.Snapshot().Gauges() {
		if s.Name() == "customer."+name {
			out[gaugeKey{s.Tags()["pool"], s.Tags()["customer"]}] = s.Value()
		}
	}
	return out
}

// Guards against metrics that grow with the number of customers, and against work that is
// in none of them.
func TestMetricsOfManyCustomersAreBounded(t *testing.T) {
	g := NewWithT(t)
	all, statuses := numbered(250)
	weights := map[customer.ID]float64{}
	for _, c := range all {
		weights[c.ID] = c.Weight
	}
	r := newWatchRig(func() map[customer.ID]float64 { return weights }, "a", "b")
	r.fleet.runners["a"].customers, r.fleet.runners["b"].customers = statuses, statuses[:9]
	r.look()
	total := 0.0
	tagged := map[string]bool{}
	for key, v := range r.values("tasks_running") {
		total += v
		tagged[key.tag] = true
	}
	want := 0
	for _, s := range append(statuses, statuses[:9]...) {
		want += s.TasksRunning
	}
	g.Expect(total).To(BeEquivalentTo(want))
	g.Expect(tagged).To(HaveLen(maxTagged + 1))
	for tag := range tagged {
		g.Expect(tag == otherTag || weights[customer.ID(tag)] >= 44).To(BeTrue(), "%s has one of the largest weights", tag)
	}
	g.Expect(r.values("tasks_waiting")).To(HaveLen(maxTagged + 2))

	delete(r.fleet.runners, "a")
	r.look()
	for key, v := range r.values("jobs_waiting") {
		g.Expect(v > 0).To(Equal(key.pool == "b"), "a pool that is not held any more counts nothing")
	}
}

// Guards against tags that come and go with the load of each moment, and whose number
// grows without bound over the life of a process.
func TestTaggedCustomersChangeAtMostOnceAMinute(t *testing.T) {
	g := NewWithT(t)
	r := newWatchRig(nil, "p")
	r.fleet.runners["p"].customers = []scheduler.CustomerStatus{status("first", 1, 1)}
	for minute := range 40 {
		r.look()
		before := maps.Clone(r.tags.chosen)
		var busy []scheduler.CustomerStatus
		for i := range maxTagged {
			busy = append(busy, status(customer.ID(fmt.Sprintf("c-%d-%d", minute, i)), 1, 1))
		}
		r.fleet.runners["p"].customers = busy
		r.clock.now += retagInterval - time.Second
		r.look()
		g.Expect(r.tags.chosen).To(Equal(before))
		r.clock.now += time.Second
	}
	g.Expect(r.values("tasks_running")).To(HaveLen(maxEverTagged + 1))
}

// Guards against metrics and lines where the configuration has no customers.
func TestNoCustomersNoMetrics(t *testing.T) {
	g := NewWithT(t)
	r := newWatchRig(func() map[customer.ID]float64 { return nil }, "p")
	r.fleet.runners["p"].customers = []scheduler.CustomerStatus{status("", 3, 30)}
	r.look()
	r.opt.Weights = nil
	r.look()
	g.Expect(r.scope.Snapshot().Gauges()).To(BeEmpty())
	g.Expect(r.log.String()).To(BeEmpty())
}

// Guards against waits that the log does not tell of, and against a line for every
// customer at every look.
func TestLongWaitsAreLogged(t *testing.T) {
	g := NewWithT(t)
	_, statuses := numbered(100)
	r := newWatchRig(nil, "p")
	r.fleet.runners["p"].customers = append(statuses, status("labada", 1, 7))
	for range 6 {
		r.look()
		r.clock.now += watchInterval
	}
	lines := bytes.Split(bytes.TrimSpace(r.log.Bytes()), []byte("\n"))
	g.Expect(lines).To(HaveLen(maxWaitLines))
	g.Expect(string(lines[0])).To(And(ContainSubstring(`"customer":"labada"`), ContainSubstring(`"no-resources":7`), ContainSubstring(`"pool":"p"`)))
}
