package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
)

// finish has the run of the task end as done, and waits until the worker has forgotten it.
func (c *restartCase) finish() {
	c.t.Helper()
	r := c.s.running[c.task]
	r.endsAt, r.endReason = c.now, job.EndDone
	c.await("the end is acknowledged", func() bool { return c.doneAcknowledged[c.task] })
}

// unlist removes the first worker's entry from the list, and waits until the holder has read it.
func (c *restartCase) unlist() {
	c.s.listed = false
	c.pass(2 * time.Second)
}

// relist brings the entry back, and waits until the holder has read it.
func (c *restartCase) relist() {
	c.s.listed = true
	c.pass(2 * time.Second)
}

// submitLongRunning submits a further job, whose task becomes that of the case.
func (c *restartCase) submitLongRunning() {
	id := job.ID("0000000000000002")
	step := job.Step{Count: 1, Need: job.Resources{CPU: 500, MemoryMB: 200}, LongRunning: true, MaxUnavailable: 1}
	c.task = job.TaskID{Job: id}
	c.submit(job.Spec{ID: id, Payload: "text of " + string(id), Steps: []job.Step{step}}, 3)
}

// Guards against a start without an answer that the next process carries out after the holder has
// reached it, where the worker's entry had been missing in the list for a short time before it
// restarted: the orders to the next process carry the token that the start has.
func TestNoLateStartIsCarriedOutByReachedProcessOfWorkerListedAgain(t *testing.T) {
	for name, missing := range map[string]bool{"always listed": false, "listed again": true} {
		t.Run(name, func(t *testing.T) {
			c := newRestartCase(t)
			start := c.holdCalls(1, isStart)
			c.submitOne(false)
			c.awaitConfirmed()
			c.finish()
			if missing {
				c.unlist()
				c.relist()
			}
			c.restart()
			c.awaitReached()
			start.carryOut(c)
			c.expectOneRun(1)
		})
	}
}

// takeLateLease has a poll without an answer carried out late by a process of the first worker
// that is not listed. The holder that sent it has no run there any more, and forgets the worker, for
// which forgotten waits.
func (c *restartCase) takeLateLease(forgotten func()) {
	c.t.Helper()
	c.submitOne(false)
	c.awaitConfirmed()
	poll := c.holdCalls(1, extendsLease)
	c.await("a poll", func() bool { return len(poll.calls) > 0 })
	c.finish()
	c.s.listed = false
	c.s.crash()
	forgotten()
	late := poll.calls[0].sentAt + simMaxOrderDelay - 100*time.Millisecond
	c.pass(late - c.now - time.Second)
	c.restartWorker(c.s)
	c.pass(late - c.now)
	c.g.Expect(c.s.listed).To(BeFalse())
	poll.carryOut(c)
}

// expectNoRunDuringLease lists the first worker, which has taken the longest lease, at a moment, has a
// task run there, cuts it off, and checks that no run starts elsewhere during that lease.
func (c *restartCase) expectNoRunDuringLease(listedAt time.Duration) {
	c.t.Helper()
	c.pass(listedAt - c.now)
	c.s.listed = true
	c.submitLongRunning()
	c.awaitRunOn(c.s)
	c.pass(200 * time.Millisecond)
	c.s.partitioned = true
	c.openOther()
	c.pass(12 * time.Second)
	c.expectOneRun(2)
}

// Guards against a successor that counts too short a lease: the next process of a worker, which is
// young, took the longest one from a late poll of the earlier holder, and is reached for the first
// time when the last such poll can no longer be carried out, but the lease that it gave still lasts.
func TestNoRunOfSuccessorStartsDuringLeaseOfProcessListedLate(t *testing.T) {
	for name, after := range map[string]time.Duration{"within that time": 0, "after it": simMaxOrderDelay + 100*time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			c := newRestartCase(t)
			var claimed time.Duration
			c.takeLateLease(func() {
				c.holder.dead = true
				c.claim()
				claimed = c.now
			})
			c.expectNoRunDuringLease(claimed + after)
		})
	}
}

// Guards against the same with one holder, which has forgotten the worker since its entry was
// missing, and finds the next process when the last order to the one before can no longer be
// carried out.
func TestNoRunStartsDuringLeaseOfForgottenWorkersNextProcess(t *testing.T) {
	for name, after := range map[string]time.Duration{"within that time": 0, "after it": simMaxOrderDelay + 100*time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			c := newRestartCase(t)
			var forgotten time.Duration
			c.takeLateLease(func() {
				c.pass(simListInterval + 100*time.Millisecond)
				forgotten = c.now
			})
			c.expectNoRunDuringLease(forgotten + after)
		})
	}
}

// Guards against a lease that is no longer counted once the worker's entry was missing for a short
// time: a late poll gave the longest one to a process before it was reached, and the holder knew.
func TestNoRunStartsDuringLeaseOfProcessListedAgain(t *testing.T) {
	for name, missing := range map[string]bool{"always listed": false, "listed again": true} {
		t.Run(name, func(t *testing.T) {
			c := newRestartCase(t)
			c.submitOne(false)
			c.awaitConfirmed()
			poll := c.holdCalls(1, extendsLease)
			c.await("a poll", func() bool { return len(poll.calls) > 0 })
			c.finish()
			c.restart()
			poll.carryOut(c)
			c.awaitReached()
			if missing {
				c.unlist()
			}
			c.expectNoRunDuringLease(c.now)
		})
	}
}
