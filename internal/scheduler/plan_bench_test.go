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

const (
	fullWorkers = 80
	fullJobs    = 500
)

// fullPool returns a pool whose workers are full while hundreds of jobs wait,
// which is when a holder has most to do, and a function that makes a plan.
func fullPool(tb testing.TB) (plan func()) {
	tb.Helper()
	now := time.Hour
	t := scheduler.Times{Now: now, Wall: 1_700_000_000_000}
	c := scheduler.NewCore(scheduler.Options{
		Pool: simPool, Token: 1, Lease: simLease, MaxLease: simMaxLease, StopTime: simStopTime,
		DutyLease: simDutyLease, StatusTime: 2 * time.Minute, Logger: zerolog.Nop(),
	}, now-time.Minute)
	var list []worker.Listing
	for i := range fullWorkers {
		list = append(list, worker.Listing{
			Incarnation: job.Incarnation{ID: fmt.Sprintf("i-%d", i), StartedAt: 1},
			Address:     fmt.Sprintf("10.0.0.%d:1", i),
			Pool:        simPool,
			Rack:        "r",
			Labels:      []string{"a", "r"},
			Capacity:    job.Resources{CPU: 32000, MemoryMB: 64000},
		})
	}
	c.List(list, nil, t)
	for _, l := range list {
		look := c.Look(l.Incarnation.ID, now, time.Second)
		c.Looked(look, worker.Report{Born: 1}, t)
	}
	for i := range fullJobs {
		c.Submit(&joblog.Submission{
			Spec:       fullSpec(i),
			Terms:      job.Terms{Entry: "e", Priority: i % 2, MaxAttempts: 3, StretchFactor: 2, Slack: time.Second},
			AcceptedAt: t.Wall,
		}, t)
	}
	return func() {
		t.Now += 10 * time.Millisecond
		batch, err := c.Plan(t)
		if err != nil {
			tb.Fatal(err)
		}
		c.Committed(batch, t)
		for _, s := range scheduler.BatchStarts(batch) {
			start, _ := c.StartOrder(s.Run, s.Worker, t.Now, time.Second)
			c.Started(start, 0, nil, t)
		}
	}
}

func fullSpec(i int) job.Spec {
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

// TestPlanOfAFullPoolStaysCheap bounds what a plan allocates while everything
// waits, as a count a waiting job and a worker: the processor time of a holder
// is shared with the callers that it serves.
func TestPlanOfAFullPoolStaysCheap(t *testing.T) {
	g := NewWithT(t)
	plan := fullPool(t)
	for range 100 {
		plan()
	}
	g.Expect(testing.AllocsPerRun(20, plan)).To(BeNumerically("<", 4*fullJobs+20*fullWorkers))
}

func BenchmarkPlanFullPool(b *testing.B) {
	plan := fullPool(b)
	plan()
	b.ReportAllocs()
	for b.Loop() {
		plan()
	}
}
