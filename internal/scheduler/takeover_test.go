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

const lastingJob job.ID = "00000000000000aa"

// takenOver returns a new holder's core. The log shows a job of two long-running
// tasks, of which one may be away, both on worker a, which is to be emptied;
// worker b has room for them.
func takenOver(t scheduler.Times) *scheduler.Core {
	spec := job.Spec{ID: lastingJob, Steps: []job.Step{{Count: 2, Need: job.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1}}}
	terms := job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3}
	from := job.Incarnation{ID: "a", StartedAt: 1}
	j := job.New(spec, terms)
	for k := range 2 {
		j.Place(job.TaskID{Job: lastingJob, Index: k}, job.Location{Worker: from, Address: "a"})
	}
	c := scheduler.NewCore(scheduler.Options{
		Pool: simPool, Token: 2, Lease: simLease, MaxLease: simMaxLease, StopTime: simStopTime,
		DutyLease: simDutyLease, StatusTime: 2 * time.Minute, Logger: zerolog.Nop(),
	}, t.Now)
	c.Restore([]joblog.ProgressRecord{
		{ID: lastingJob, Progress: &j.Progress},
		{ID: lastingJob, Submission: &joblog.Submission{Spec: spec, Terms: terms}},
		{Cordon: &joblog.Cordon{Worker: from, Reason: "maintenance", Evacuate: true}},
	}, t)
	var list []worker.Listing
	for _, id := range []string{"a", "b"} {
		list = append(list, worker.Listing{
			Incarnation: job.Incarnation{ID: id, StartedAt: 1}, Address: id, Pool: simPool, Capacity: job.Resources{CPU: 4000},
		})
	}
	c.List(list, nil, t)
	return c
}

// lookAt has worker a report the tasks of the given indexes at work, and worker b
// none.
func lookAt(c *scheduler.Core, t scheduler.Times, at ...int) {
	rep := worker.Report{Born: 1}
	for _, k := range at {
		id := job.RunID{Task: job.TaskID{Job: lastingJob, Index: k}, Number: 1}
		rep.Running = append(rep.Running, worker.Running{Run: id, Percent: worker.FullPace})
	}
	c.Looked(c.Look("a", t.Now, time.Second), rep, t)
	c.Looked(c.Look("b", t.Now, time.Second), worker.Report{Born: 1}, t)
}

// stops makes a plan and returns the stops that follow.
func stops(g *WithT, c *scheduler.Core, t scheduler.Times) []scheduler.Stop {
	b, err := c.Plan(t)
	g.Expect(err).NotTo(HaveOccurred())
	c.Committed(b, t)
	return c.Stops()
}

// The holder before may have stopped one of two tasks just before it lost the
// pool. The worker lists that task until the stop is over, so a first look tells
// too little to stop the other one.
func TestNoTaskIsMovedWhileAnEarlierStopMayBeUnderWay(t *testing.T) {
	g := NewWithT(t)
	now := scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000}
	c := takenOver(now)
	lookAt(c, now, 0, 1)
	g.Expect(stops(g, c, now)).To(BeEmpty())

	now.Now += simStopTime + time.Millisecond
	lookAt(c, now, 1)
	g.Expect(stops(g, c, now)).To(BeEmpty(), "task 0 is away")
}

func TestTaskIsMovedOnceNoEarlierStopCanBeUnderWay(t *testing.T) {
	g := NewWithT(t)
	now := scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000}
	c := takenOver(now)
	lookAt(c, now, 0, 1)
	now.Now += simStopTime + time.Millisecond
	lookAt(c, now, 0, 1)
	g.Expect(stops(g, c, now)).To(HaveLen(1), "one of two may be away")
}

// Of two tasks of which one may be away, one is on a worker that leaves in any case.
func TestTaskOnADrainingWorkerCountsFirst(t *testing.T) {
	g := NewWithT(t)
	now := scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000}
	c := takenOver(now)
	lookAt(c, now, 0)
	one := job.RunID{Task: job.TaskID{Job: lastingJob, Index: 1}, Number: 2}
	b, err := c.Plan(now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Committed(b, now)).To(ConsistOf(one), "task 1 was lost and goes to worker b")
	now.Now += time.Second
	lookAt(c, now, 0)
	c.Looked(c.Look("b", now.Now, time.Second), worker.Report{Born: 1, Running: []worker.Running{{Run: one, Percent: worker.FullPace}}}, now)
	room := worker.Listing{Incarnation: job.Incarnation{ID: "c", StartedAt: 1}, Address: "c", Pool: simPool, Capacity: job.Resources{CPU: 4000}}
	leaves := worker.Listing{Incarnation: job.Incarnation{ID: "b", StartedAt: 1}, Address: "b", Pool: simPool, Capacity: job.Resources{CPU: 4000}, Draining: true}
	c.List([]worker.Listing{room, leaves}, nil, now)
	c.Looked(c.Look("c", now.Now, time.Second), worker.Report{Born: 1}, now)
	got := stops(g, c, now)
	g.Expect(got).To(HaveLen(1))
	g.Expect(got[0].Run).To(Equal(one))
}
