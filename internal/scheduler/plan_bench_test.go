package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

// newFullPool sets up a pool whose workers are full while many jobs wait, which is
// when a holder has the most work, and returns a function that makes a plan.
func newFullPool(tb testing.TB, workers, jobs int) (plan func()) {
	tb.Helper()
	p := newFullPoolCore(tb, workers, jobs)
	return func() { p.plan() }
}

// fullPool is a pool whose workers are full while many jobs wait.
type fullPool struct {
	tb   testing.TB
	core *scheduler.Core
	now  scheduler.Times
	// running are the runs that were started, oldest first.
	running []scheduler.PlannedStart
	// ends counts the ends of each worker.
	ends map[string]int64
}

// newFullPoolCore returns a pool that was not planned yet. If there are customers, each
// submits as many of the jobs.
func newFullPoolCore(tb testing.TB, workers, jobs int, customers ...customer.Customer) *fullPool {
	tb.Helper()
	now := time.Hour
	t := scheduler.Times{Now: now, Wall: 1_700_000_000_000}
	c := scheduler.NewCore(scheduler.Options{
		Pool: simPool, Token: 1, Lease: simLease, MaxLease: simMaxLease, StopTimeout: simStopTimeout,
		DutyLease: simDutyLease, StatusRetention: 2 * time.Minute, Logger: zerolog.Nop(),
	}, now-time.Minute)
	if len(customers) > 0 {
		c.SetCustomers(newDirectory(customers...))
	}
	var list []worker.Listing
	for i := range workers {
		list = append(list, worker.Listing{
			Incarnation: job.Incarnation{ID: fmt.Sprintf("i-%d", i), StartedAt: 1},
			Address:     fmt.Sprintf("10.0.0.%d:1", i),
			Pool:        simPool,
			Rack:        "r",
			Labels:      []string{"a", "r"},
			Capacity:    job.Resources{CPU: 32000, MemoryMB: 64000},
		})
	}
	c.UpdateWorkers(list, nil, t)
	for _, l := range list {
		poll := c.Poll(l.Incarnation.ID, now, time.Second)
		c.PollSucceeded(poll, worker.Report{StartedAt: 1}, t)
	}
	for i := range jobs {
		terms := job.Terms{Entry: "e", Priority: i % 2, MaxAttempts: 3, StretchFactor: 2, Slack: time.Second}
		if len(customers) > 0 {
			terms.Customer = customers[i/2%len(customers)].ID
		}
		c.Submit(&joblog.Submission{Spec: fullPoolSpec(i), Terms: terms, AcceptedAt: t.Wall}, t)
	}
	return &fullPool{tb: tb, core: c, now: t, ends: map[string]int64{}}
}

// plan makes a plan and has its runs started.
func (p *fullPool) plan() *scheduler.Batch {
	p.now.Now += 10 * time.Millisecond
	batch, err := p.core.Plan(p.now)
	if err != nil {
		p.tb.Fatal(err)
	}
	p.core.Committed(batch, p.now)
	for _, s := range scheduler.BatchStarts(batch) {
		start, _ := p.core.StartOrder(s.Run, s.Worker, p.now.Now, time.Second)
		p.core.StartAnswered(start, 0, nil, p.now)
		p.running = append(p.running, s)
	}
	return batch
}

// end has the oldest runs end, n of them.
func (p *fullPool) end(n int) {
	for _, s := range p.running[:n] {
		p.ends[s.Worker]++
		poll := p.core.Poll(s.Worker, p.now.Now, time.Second)
		p.core.PollSucceeded(poll, worker.Report{StartedAt: 1, Partial: true, Ended: []worker.RunEnd{
			{Number: p.ends[s.Worker], Run: s.Run, Reason: job.EndDone},
		}}, p.now)
	}
	p.running = p.running[n:]
}

func fullPoolSpec(i int) job.Spec {
	spec := job.Spec{ID: job.ID(fmt.Sprintf("%016x", i)), Payload: "t"}
	for s := range 2 {
		st := job.Step{
			Count:    8,
			Need:     job.Resources{CPU: 3100, MemoryMB: 2000},
			Estimate: 5400 * time.Millisecond,
		}
		if s > 0 {
			st.After = []int{0}
		}
		spec.Steps = append(spec.Steps, st)
	}
	return spec
}

// TestPlanAllocationsOfFullPool bounds the number of allocations of a plan while
// all jobs wait: the holder's daemon uses the same processor for orders and
// callers. Jobs that wait unchanged cost none.
func TestPlanAllocationsOfFullPool(t *testing.T) {
	g := NewWithT(t)
	for _, jobs := range []int{500, 4000} {
		const workers = 80
		plan := newFullPool(t, workers, jobs)
		for range 100 {
			plan()
		}
		g.Expect(testing.AllocsPerRun(20, plan)).To(BeNumerically("<", 2*workers), "%d jobs", jobs)
	}
}

// Guards against late first starts at a turn of demand: the work of a plan must follow what
// has changed since the last one, not the size of the pool and of its queue.
func TestPlanCostsWhatHasChanged(t *testing.T) {
	const ended = 20
	for _, size := range []struct{ workers, jobs int }{{80, 500}, {600, 2000}, {1000, 8000}} {
		t.Run(fmt.Sprintf("workers=%d", size.workers), func(t *testing.T) {
			g := NewWithT(t)
			p := newFullPoolCore(t, size.workers, size.jobs)
			p.plan()
			p.plan()
			idle := p.plan()
			g.Expect(idle.Work.Workers).To(BeZero())
			g.Expect(idle.Work.Groups).To(BeNumerically("<=", maxIdleGroups))
			g.Expect(testing.AllocsPerRun(20, func() { p.plan() })).To(BeNumerically("<=", maxIdleAllocs))
			for range 10 {
				p.end(ended)
				busy := p.plan()
				placed := len(scheduler.BatchStarts(busy))
				g.Expect(placed).To(BeNumerically(">", 0))
				g.Expect(busy.Work.Workers).To(BeNumerically("<=", 2*ended+2*placed))
				g.Expect(busy.Work.Groups).To(BeNumerically("<=", maxIdleGroups+placed))
			}
			runs := 0
			allocs := testing.AllocsPerRun(10, func() {
				p.end(ended)
				runs = len(scheduler.BatchStarts(p.plan()))
			})
			g.Expect(allocs/float64(max(1, runs))).To(BeNumerically("<=", maxRunAllocs), "for each of %d runs", runs)
		})
	}
}

// Guards against plans of a full pool whose cost follows the number of customers or of
// waiting jobs. Load: 1,000 workers, 8,000 waiting jobs of two priorities and 250 customers,
// of whom every second one waits for a grant, with 20 runs that end before each plan.
func TestPlanWithCustomersCostsWhatItPlaces(t *testing.T) {
	const customers, priorities, ended = 250, 2, 20
	g := NewWithT(t)
	all := equalCustomers(customers, 1)
	for i := range all {
		all[i].Limit.CPU = i % 2 * 1000
	}
	p := newFullPoolCore(t, 1000, 8000, all...)
	for range 3 {
		b := p.plan()
		g.Expect(b.Work.Groups).To(BeNumerically("<=", len(scheduler.BatchStarts(b))+customers*priorities))
	}
	g.Expect(len(p.running)).To(BeNumerically(">", 9000), "the pool is full")
	g.Expect(testing.AllocsPerRun(20, func() { p.plan() })).To(BeNumerically("<=", maxIdleAllocs))
	for range 10 {
		p.end(ended)
		b := p.plan()
		placed := len(scheduler.BatchStarts(b))
		g.Expect(placed).To(BeNumerically(">", 0))
		g.Expect(b.Work.Groups).To(BeNumerically("<=", placed+customers*priorities))
		g.Expect(b.Work.Workers).To(BeNumerically("<=", 2*ended+2*placed))
	}
}

const (
	// maxIdleGroups bounds the groups that a plan considers although nothing has changed:
	// those for which runs may be preempted.
	maxIdleGroups = 160
	// maxIdleAllocs bounds the allocations of a plan for which nothing has changed, and
	// maxRunAllocs those for a run that ends and another that is placed and started.
	maxIdleAllocs = 40
	maxRunAllocs  = 150
)

// BenchmarkPlanFullPoolOfCustomers measures a plan of a full pool with 250 customers.
func BenchmarkPlanFullPoolOfCustomers(b *testing.B) {
	p := newFullPoolCore(b, 1000, 8000, equalCustomers(250, 1)...)
	p.plan()
	b.ReportAllocs()
	for b.Loop() {
		p.plan()
	}
}

func BenchmarkPlanFullPool(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{80, 500}, {600, 2000}, {1000, 8000}} {
		b.Run(fmt.Sprintf("workers=%d/jobs=%d", size.workers, size.jobs), func(b *testing.B) {
			plan := newFullPool(b, size.workers, size.jobs)
			plan()
			b.ReportAllocs()
			for b.Loop() {
				plan()
			}
		})
	}
}

// BenchmarkCheckRunsFullPool measures a check for jobs without a run, of which there
// are two a second.
func BenchmarkCheckRunsFullPool(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{80, 500}, {600, 2000}, {1000, 8000}} {
		b.Run(fmt.Sprintf("workers=%d/jobs=%d", size.workers, size.jobs), func(b *testing.B) {
			p := newFullPoolCore(b, size.workers, size.jobs)
			p.plan()
			t := scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000}
			b.ReportAllocs()
			for b.Loop() {
				t.Now += scheduler.NoRunInterval
				p.core.CheckRuns(t, scheduler.HolderState{Phase: scheduler.PhaseWaiting, PlannedAt: t.Now, DutyRemaining: time.Second})
			}
		})
	}
}
