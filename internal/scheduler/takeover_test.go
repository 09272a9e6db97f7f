package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

const longRunningJob job.ID = "00000000000000aa"

// newCoreAfterTakeover returns the core of a new holder. The log holds a job of two
// long-running tasks, of which one may be unavailable at a time. Both run on worker
// a, which is to be evacuated. Worker b has enough free resources for them.
func newCoreAfterTakeover(t scheduler.Times) *scheduler.Core {
	spec := job.Spec{ID: longRunningJob, Steps: []job.Step{{Count: 2, Need: job.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1}}}
	terms := job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3}
	from := job.Incarnation{ID: "a", StartedAt: 1}
	j := job.New(spec, terms)
	for k := range 2 {
		j.Place(job.TaskID{Job: longRunningJob, Index: k}, job.Location{Worker: from, Address: "a"})
	}
	c := scheduler.NewCore(scheduler.Options{
		Pool: simPool, Token: 2, Lease: simLease, MaxLease: simMaxLease, StopTimeout: simStopTimeout,
		DutyLease: simDutyLease, EarlierHolders: simDutyLease, StatusRetention: 2 * time.Minute, Logger: zerolog.Nop(),
	}, t.Now)
	c.Restore([]joblog.ProgressRecord{
		{ID: longRunningJob, Progress: &j.Progress},
		{ID: longRunningJob, Submission: &joblog.Submission{Spec: spec, Terms: terms}},
		{Cordon: &joblog.Cordon{Worker: from, Reason: "maintenance", Evacuate: true}},
	}, t)
	var list []worker.Listing
	for _, id := range []string{"a", "b"} {
		list = append(list, worker.Listing{
			Incarnation: job.Incarnation{ID: id, StartedAt: 1}, Address: id, Pool: simPool, Capacity: job.Resources{CPU: 4000},
		})
	}
	c.UpdateWorkers(list, nil, t)
	return c
}

// pollWorkers has worker a report the tasks of the given indexes as active, and
// worker b report none.
func pollWorkers(c *scheduler.Core, t scheduler.Times, active ...int) {
	rep := worker.Report{StartedAt: 1}
	for _, k := range active {
		id := job.RunID{Task: job.TaskID{Job: longRunningJob, Index: k}, Number: 1}
		rep.Running = append(rep.Running, worker.RunStatus{Run: id, ProgressPercent: worker.FullSpeed})
	}
	c.PollSucceeded(c.Poll("a", t.Now, time.Second), rep, t)
	c.PollSucceeded(c.Poll("b", t.Now, time.Second), worker.Report{StartedAt: 1}, t)
}

// planStops makes a plan and returns the stops that it orders.
func planStops(g *WithT, c *scheduler.Core, t scheduler.Times) []scheduler.StopOrder {
	b, err := c.Plan(t)
	g.Expect(err).NotTo(HaveOccurred())
	c.Committed(b, t)
	return c.StopOrders()
}

// The previous holder may have ordered the stop of one of the two tasks just before
// it lost the pool. The worker reports that task as running until the stop is
// complete, so the first poll does not show whether the other one may be stopped.
func TestEvacuationWaitsWhileEarlierStopMayBePending(t *testing.T) {
	g := NewWithT(t)
	now := scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000}
	c := newCoreAfterTakeover(now)
	pollWorkers(c, now, 0, 1)
	g.Expect(planStops(g, c, now)).To(BeEmpty())

	now.Now += simStopTimeout + time.Millisecond
	pollWorkers(c, now, 1)
	g.Expect(planStops(g, c, now)).To(BeEmpty(), "task 0 is unavailable")
}

func TestEvacuationStopsTaskAfterEarlierStopsEnded(t *testing.T) {
	g := NewWithT(t)
	now := scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000}
	c := newCoreAfterTakeover(now)
	pollWorkers(c, now, 0, 1)
	now.Now += simStopTimeout + time.Millisecond
	pollWorkers(c, now, 0, 1)
	g.Expect(planStops(g, c, now)).To(HaveLen(1), "one of two tasks may be unavailable")
}

// Of two tasks, one may be unavailable at a time. The one on the draining worker must
// be moved, since that worker shuts down in any case.
func TestDrainingWorkerIsEvacuatedFirst(t *testing.T) {
	g := NewWithT(t)
	now := scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000}
	c := newCoreAfterTakeover(now)
	pollWorkers(c, now, 0)
	moved := job.RunID{Task: job.TaskID{Job: longRunningJob, Index: 1}, Number: 2}
	b, err := c.Plan(now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Committed(b, now)).To(BeEmpty(), "the earlier holder may send the start of task 1 to worker a")
	now.Now += simDutyLease
	pollWorkers(c, now, 0)
	b, err = c.Plan(now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Committed(b, now)).To(ConsistOf(moved), "task 1 was lost and is started on worker b")
	now.Now += time.Second
	pollWorkers(c, now, 0)
	c.PollSucceeded(c.Poll("b", now.Now, time.Second), worker.Report{StartedAt: 1, Running: []worker.RunStatus{{Run: moved, ProgressPercent: worker.FullSpeed}}}, now)
	free := worker.Listing{Incarnation: job.Incarnation{ID: "c", StartedAt: 1}, Address: "c", Pool: simPool, Capacity: job.Resources{CPU: 4000}}
	draining := worker.Listing{Incarnation: job.Incarnation{ID: "b", StartedAt: 1}, Address: "b", Pool: simPool, Capacity: job.Resources{CPU: 4000}, Draining: true}
	c.UpdateWorkers([]worker.Listing{free, draining}, nil, now)
	c.PollSucceeded(c.Poll("c", now.Now, time.Second), worker.Report{StartedAt: 1}, now)
	ordered := planStops(g, c, now)
	g.Expect(ordered).To(HaveLen(1))
	g.Expect(ordered[0].Run).To(Equal(moved))
}
