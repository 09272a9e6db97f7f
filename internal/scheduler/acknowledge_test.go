package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

// Guards against a run that is lost: a poll that reached the next incarnation of a worker
// acknowledged its first ends, since those of the one before have the same numbers.
func TestEndsAreAcknowledgedOnce(t *testing.T) {
	g := NewWithT(t)
	now := scheduler.Times{Now: 2 * time.Hour, Wall: 1_700_000_000_000}
	core := newLostWorkerCore(now)
	started := planStarts(g, core, now)
	g.Expect(started).To(HaveLen(1))
	o, _ := core.StartOrder(started[0].Run, "a", now.Now, simDutyLease)
	core.StartAnswered(o, now.Now.Milliseconds(), nil, now)
	poll := func(ends ...worker.RunEnd) int64 {
		now.Now += time.Second
		p := core.Poll("a", now.Now, simDutyLease)
		core.PollSucceeded(p, worker.Report{StartedAt: 1, Clock: now.Now.Milliseconds(), Ended: ends}, now)
		return p.Request.Acknowledged
	}
	g.Expect(poll(worker.RunEnd{Number: 1, Run: started[0].Run, Reason: job.EndFailed})).To(BeZero())
	planStarts(g, core, now)
	g.Expect(poll()).To(BeEquivalentTo(1))
	g.Expect(poll()).To(BeZero(), "the worker has answered the poll that acknowledged the end")
}

// Guards against ends that a worker lists for ever: a poll that was repeated without its
// acknowledgement counted as one that had it.
func TestEndsAreAcknowledgedAgainAfterPollWithoutAcknowledgement(t *testing.T) {
	g := NewWithT(t)
	now := scheduler.Times{Now: 2 * time.Hour, Wall: 1_700_000_000_000}
	core := newLostWorkerCore(now)
	started := planStarts(g, core, now)
	o, _ := core.StartOrder(started[0].Run, "a", now.Now, simDutyLease)
	core.StartAnswered(o, now.Now.Milliseconds(), nil, now)
	poll := func(unacknowledged bool, ends ...worker.RunEnd) int64 {
		now.Now += time.Second
		p := core.Poll("a", now.Now, simDutyLease)
		core.PollSucceeded(p, worker.Report{StartedAt: 1, Clock: now.Now.Milliseconds(), Ended: ends, Unacknowledged: unacknowledged}, now)
		return p.Request.Acknowledged
	}
	end := worker.RunEnd{Number: 1, Run: started[0].Run, Reason: job.EndFailed}
	g.Expect(poll(false, end)).To(BeZero())
	planStarts(g, core, now)
	g.Expect(poll(true, end)).To(BeEquivalentTo(1))
	g.Expect(poll(false)).To(BeEquivalentTo(1))
	g.Expect(poll(false)).To(BeZero())
}
