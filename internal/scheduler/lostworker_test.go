package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

const (
	// lostWorkerRetry is the time between two sends of a start without an answer.
	lostWorkerRetry = 50 * time.Millisecond
	// lostWorkerDeadline bounds how long a task waits for a worker that is gone:
	// its lease, and the time until the next plan.
	lostWorkerDeadline = simLease + time.Second
)

// errNoAnswer and errNotConnected are the errors of a call that was sent and not
// answered, and of one that did not reach the worker.
var (
	errNoAnswer     = verdict.NewMayHaveRun(verdict.ReasonDeadline, "no answer")
	errNotConnected = verdict.NewNotRun(verdict.ReasonConnect, "connection refused")
)

// newLostWorkerCore returns a core with an idle worker a and a long-running job of
// one task.
func newLostWorkerCore(now scheduler.Times) *scheduler.Core {
	c := scheduler.NewCore(scheduler.Options{
		Pool: simPool, Token: 2, Lease: simLease, MaxLease: simMaxLease, StopTimeout: simStopTimeout,
		DutyLease: simDutyLease, EarlierHolders: simDutyLease, StatusRetention: 2 * time.Minute, Logger: zerolog.Nop(),
	}, now.Now-time.Hour)
	listWorkers(c, now, "a")
	c.Submit(&joblog.Submission{
		Spec:  job.Spec{ID: longRunningJob, Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}, LongRunning: true}}},
		Terms: job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3},
	}, now)
	return c
}

// listWorkers adds workers that are listed and answer.
func listWorkers(c *scheduler.Core, now scheduler.Times, ids ...string) {
	for _, id := range ids {
		c.UpdateWorkers([]worker.Listing{{
			Incarnation: job.Incarnation{ID: id, StartedAt: 1}, Address: id, Pool: simPool, Capacity: job.Resources{CPU: 4000},
		}}, nil, now)
		c.PollSucceeded(c.Poll(id, now.Now, time.Second), worker.Report{StartedAt: 1, Clock: now.Now.Milliseconds()}, now)
	}
}

// planStarts makes a plan and returns the starts that it orders.
func planStarts(g *WithT, c *scheduler.Core, now scheduler.Times) []scheduler.PlannedStart {
	b, err := c.Plan(now)
	g.Expect(err).NotTo(HaveOccurred())
	c.Committed(b, now)
	return scheduler.BatchStarts(b)
}

// A start without an answer must not keep the lease of a lost worker alive: its
// repetitions renewed it for ever, and the tasks of the worker never ran again.
func TestUnansweredStartDoesNotRenewLeaseOfLostWorker(t *testing.T) {
	g := NewWithT(t)
	now := scheduler.Times{Now: 2 * time.Hour, Wall: 1_700_000_000_000}
	c := newLostWorkerCore(now)
	starts := planStarts(g, c, now)
	g.Expect(starts).To(HaveLen(1))
	listWorkers(c, now, "b")

	answer := errNoAnswer
	for lost := now.Now; now.Now < lost+lostWorkerDeadline; now.Now += lostWorkerRetry {
		if o, send := c.StartOrder(starts[0].Run, "a", now.Now, simDutyLease); send == scheduler.SendNow {
			c.StartAnswered(o, 0, answer, now)
			answer = errNotConnected
		}
		c.PollFailed(c.Poll("a", now.Now, simDutyLease), errNotConnected, now)
		if next := planStarts(g, c, now); len(next) > 0 {
			g.Expect(next).To(ConsistOf(scheduler.PlannedStart{Run: job.RunID{Task: starts[0].Run.Task, Number: 2}, Worker: "b"}))
			return
		}
	}
	t.Fatalf("task not started on worker b within %v", lostWorkerDeadline)
}

// A start that was never sent must not wait for the lease of a lost worker: its task
// can run elsewhere at once.
func TestUnsentStartOnLostWorkerMovesAtOnce(t *testing.T) {
	g := NewWithT(t)
	now := scheduler.Times{Now: 2 * time.Hour, Wall: 1_700_000_000_000}
	c := newLostWorkerCore(now)
	starts := planStarts(g, c, now)
	g.Expect(starts).To(HaveLen(1))
	listWorkers(c, now, "b")
	c.PollFailed(c.Poll("a", now.Now, simDutyLease), errNotConnected, now)
	next := planStarts(g, c, now)
	g.Expect(next).To(ConsistOf(scheduler.PlannedStart{Run: job.RunID{Task: starts[0].Run.Task, Number: 2}, Worker: "b"}))
	_, send := c.StartOrder(starts[0].Run, "a", now.Now, simDutyLease)
	g.Expect(send).To(Equal(scheduler.SendNever))
}
