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

const sharedHostJob job.ID = "00000000000000bb"

// newHostCore returns a core with one worker, a, and a job of two tasks of which a worker takes one.
func newHostCore(now scheduler.Times) *scheduler.Core {
	c := scheduler.NewCore(scheduler.Options{
		Pool: simPool, Token: 2, Lease: simLease, MaxLease: simMaxLease, StopTimeout: simStopTimeout,
		DutyLease: simDutyLease, EarlierHolders: simDutyLease, StatusRetention: 2 * time.Minute, Logger: zerolog.Nop(),
	}, now.Now-time.Hour)
	listWorkers(c, now, "a")
	c.Submit(&joblog.Submission{
		Spec:  job.Spec{ID: sharedHostJob, Steps: []job.Step{{Count: 2, Need: job.Resources{CPU: 4000}}}},
		Terms: job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3},
	}, now)
	return c
}

// Guards against a task that runs twice (TWICE): a worker that is gone, but listed and idle, counted
// as the newer one on the host of a worker that had restarted, whose run ended with that.
func TestGoneIdleWorkerReplacesNoRestartedOne(t *testing.T) {
	g := NewWithT(t)
	now := scheduler.Times{Now: 2 * time.Hour, Wall: 1_700_000_000_000}
	c := newHostCore(now)
	c.UpdateWorkers([]worker.Listing{entryOf("h9", "z", simPool, 1)}, nil, now)
	c.PollSucceeded(c.Poll("z", now.Now, simDutyLease), worker.Report{StartedAt: 1, Clock: now.Now.Milliseconds()}, now)
	// z is idle from now on. The host gets worker a (same host).
	now.Now += 3 * time.Second
	z := entryOf("h9", "z", simPool, 1)
	z.Draining = true
	c.UpdateWorkers([]worker.Listing{z}, nil, now)
	l := entryOf("h9", "a", simPool, 1)
	c.UpdateWorkers([]worker.Listing{l}, nil, now)
	starts := planStarts(g, c, now)
	var onA *scheduler.PlannedStart
	for i := range starts {
		if starts[i].Worker == "a" {
			onA = &starts[i]
		}
	}
	g.Expect(onA).NotTo(BeNil())
	// Worker a was idle, and is polled before the start.
	c.PollSucceeded(c.Poll("a", now.Now, simDutyLease), worker.Report{StartedAt: 1, Clock: now.Now.Milliseconds()}, now)
	o, send := c.StartOrder(onA.Run, "a", now.Now, simDutyLease)
	g.Expect(send).To(Equal(scheduler.SendNow))
	now.Now += 600 * time.Millisecond
	c.StartAnswered(o, 0, errNoAnswer, now)
	// a has restarted: the list tells, the start may be carried out late by the next incarnation.
	listWorkers(c, now, "b", "c")
	l2 := entryOf("h9", "a", simPool, 2)
	c.UpdateWorkers([]worker.Listing{l2}, nil, now)
	c.PollFailed(c.Poll("a", now.Now, simDutyLease), errNoAnswer, now)
	for range 3 {
		now.Now += 300 * time.Millisecond
		for _, s := range planStarts(g, c, now) {
			g.Expect(s.Run.Task).NotTo(Equal(onA.Run.Task), "task started again as run %d on %s while run %d may be carried out late", s.Run.Number, s.Worker, onA.Run.Number)
		}
	}
}
