package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

// newFullPool sets up a pool whose workers are full while many jobs wait, which is
// when a holder has the most work, and returns a function that makes a plan.
func newFullPool(tb testing.TB, workers, jobs int) (plan func()) {
	tb.Helper()
	_, plan = newFullPoolCore(tb, workers, jobs)
	return plan
}

// newFullPoolCore does what newFullPool does and returns the Core too.
func newFullPoolCore(tb testing.TB, workers, jobs int) (c *scheduler.Core, plan func()) {
	tb.Helper()
	now := time.Hour
	t := scheduler.Times{Now: now, Wall: 1_700_000_000_000}
	c = scheduler.NewCore(scheduler.Options{
		Pool: simPool, Token: 1, Lease: simLease, MaxLease: simMaxLease, StopTimeout: simStopTimeout,
		DutyLease: simDutyLease, StatusRetention: 2 * time.Minute, Logger: zerolog.Nop(),
	}, now-time.Minute)
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
		c.Submit(&joblog.Submission{
			Spec:       fullPoolSpec(i),
			Terms:      job.Terms{Entry: "e", Priority: i % 2, MaxAttempts: 3, StretchFactor: 2, Slack: time.Second},
			AcceptedAt: t.Wall,
		}, t)
	}
	return c, func() {
		t.Now += 10 * time.Millisecond
		batch, err := c.Plan(t)
		if err != nil {
			tb.Fatal(err)
		}
		c.Committed(batch, t)
		for _, s := range scheduler.BatchStarts(batch) {
			start, _ := c.StartOrder(s.Run, s.Worker, t.Now, time.Second)
			c.StartAnswered(start, 0, nil, t)
		}
	}
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
			c, plan := newFullPoolCore(b, size.workers, size.jobs)
			plan()
			t := scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000}
			b.ReportAllocs()
			for b.Loop() {
				t.Now += scheduler.NoRunInterval
				c.CheckRuns(t, scheduler.HolderState{Phase: scheduler.PhaseWaiting, PlannedAt: t.Now, DutyRemaining: time.Second})
			}
		})
	}
}
