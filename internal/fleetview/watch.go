package fleetview

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/customer"
	"greengagedeck/internal/scheduler"
)

const (
	// watchInterval is the time between two looks at the pools that this daemon holds.
	watchInterval = 5 * time.Second
	// longWait is how long a customer's tasks have waited until a line tells of it.
	longWait = 5 * time.Second
	// waitLinesInterval is the least time between two looks that log such lines, and
	// maxWaitLines bounds their number in each pool.
	waitLinesInterval = 30 * time.Second
	maxWaitLines      = 8
)

// WatchOptions configure a Watch.
type WatchOptions struct {
	// Pools returns the pools that this daemon holds, and Local the runner of one.
	Pools func() []string
	Local func(pool string) (Runner, bool)
	// Weights returns the weights of the customers in force. If it is nil, the customers
	// with the most jobs have metrics of their own.
	Weights func() map[customer.ID]float64
	Clock   clock.Clock
	Logger  zerolog.Logger
	Scope   tally.Scope
}

// Watch reports what customers run and wait for in the pools that this daemon holds, as
// metrics and in the log. Without customers it does nothing.
type Watch struct {
	opt    WatchOptions
	scope  tally.Scope
	tags   tags
	gauges map[gaugeKey]customerGauges
	// loggedAt is when lines were last logged, if logged is set.
	loggedAt time.Duration
	logged   bool
}

// gaugeKey names the metrics of a customer in a pool.
type gaugeKey struct{ pool, tag string }

// customerGauges describe a customer in a pool, or all those without gauges of their own.
type customerGauges struct{ tasksRunning, tasksWaiting, jobsWaiting tally.Gauge }

// counts are the values of customerGauges.
type counts struct{ tasksRunning, tasksWaiting, jobsWaiting int }

// NewWatch returns a watch that does nothing until Run is called.
func NewWatch(o WatchOptions) *Watch {
	return &Watch{opt: o, scope: o.Scope.SubScope("customer"), gauges: map[gaugeKey]customerGauges{}}
}

// Run reports until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	for clock.Sleep(ctx, watchInterval) {
		w.look()
	}
}

// look reports once.
func (w *Watch) look() {
	var weights map[customer.ID]float64
	if w.opt.Weights != nil {
		if weights = w.opt.Weights(); len(weights) == 0 {
			w.update(nil)
			return
		}
	}
	pools := w.statuses()
	if weights == nil && !anyCustomer(pools) {
		w.update(nil)
		return
	}
	now := w.opt.Clock.Now()
	w.tags.choose(weights, jobsOf(pools), now)
	w.update(w.count(pools))
	if !w.logged || now >= w.loggedAt+waitLinesInterval {
		w.logged, w.loggedAt = true, now
		w.logWaits(pools)
	}
}

// statuses returns the customers of the pools that this daemon holds.
func (w *Watch) statuses() map[string][]scheduler.CustomerStatus {
	out := map[string][]scheduler.CustomerStatus{}
	for _, pool := range w.opt.Pools() {
		if r, ok := w.opt.Local(pool); ok {
			out[pool] = r.Customers()
		}
	}
	return out
}

// anyCustomer reports whether any work is that of a customer.
func anyCustomer(pools map[string][]scheduler.CustomerStatus) bool {
	for _, statuses := range pools {
		if slices.ContainsFunc(statuses, func(s scheduler.CustomerStatus) bool { return s.Customer != "" }) {
			return true
		}
	}
	return false
}

// jobsOf returns the number of open jobs of each customer.
func jobsOf(pools map[string][]scheduler.CustomerStatus) map[customer.ID]int {
	out := map[customer.ID]int{}
	for _, statuses := range pools {
		for _, s := range statuses {
			out[s.Customer] += s.JobsRunning + s.JobsWaiting
		}
	}
	return out
}

// count returns the values of all gauges.
func (w *Watch) count(pools map[string][]scheduler.CustomerStatus) map[gaugeKey]counts {
	out := map[gaugeKey]counts{}
	for pool, statuses := range pools {
		for _, s := range statuses {
			key := gaugeKey{pool, w.tags.of(s.Customer)}
			n := out[key]
			n.tasksRunning += s.TasksRunning
			n.tasksWaiting += s.TasksWaiting
			n.jobsWaiting += s.JobsWaiting
			out[key] = n
		}
	}
	return out
}

// update sets all gauges. Those without a value are 0.
func (w *Watch) update(values map[gaugeKey]counts) {
	for key := range values {
		if _, ok := w.gauges[key]; !ok {
			scope := w.scope.Tagged(map[string]string{"pool": key.pool, "customer": key.tag})
			w.gauges[key] = customerGauges{scope.Gauge("tasks_running"), scope.Gauge("tasks_waiting"), scope.Gauge("jobs_waiting")}
		}
	}
	for key, g := range w.gauges {
		n := values[key]
		g.tasksRunning.Update(float64(n.tasksRunning))
		g.tasksWaiting.Update(float64(n.tasksWaiting))
		g.jobsWaiting.Update(float64(n.jobsWaiting))
	}
}

// logWaits logs for each pool which customers have waited longest.
func (w *Watch) logWaits(pools map[string][]scheduler.CustomerStatus) {
	for pool, statuses := range pools {
		waiting := slices.DeleteFunc(slices.Clone(statuses), func(s scheduler.CustomerStatus) bool {
			return s.Customer == "" || s.OldestWait < longWait
		})
		slices.SortFunc(waiting, func(a, b scheduler.CustomerStatus) int { return cmp.Compare(b.OldestWait, a.OldestWait) })
		for _, s := range waiting[:min(len(waiting), maxWaitLines)] {
			w.logWait(pool, s, len(waiting))
		}
	}
}

// logWait logs what a customer runs and waits for in a pool.
func (w *Watch) logWait(pool string, s scheduler.CustomerStatus, customers int) {
	e := w.opt.Logger.Info().Str("pool", pool).Str("customer", string(s.Customer)).Dur("longest", s.OldestWait).
		Int("tasks_waiting", s.TasksWaiting).Int("tasks_running", s.TasksRunning).Int("jobs_waiting", s.JobsWaiting).
		Int("used_cpu", s.Used.CPU).Int("wanted_cpu", s.Wanted.CPU).Float64("weight", s.Weight).Float64("share", s.Share)
	if s.Grant != nil {
		e.Int("grant_cpu", s.Grant.CPU)
	}
	for reason, n := range s.Waits {
		e.Int(string(reason), n)
	}
	e.Int("customers_waiting", customers).Msg("customer's tasks wait")
}
