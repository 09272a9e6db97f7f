package scheduler_test

import (
	"testing"
	"time"
)

// takeStartUnseen has the next process of the first worker carry out the start of the task, which got
// no answer, and cuts that process off from the holders and the platform before any of them sees
// it: the list keeps the entry of the process before.
func (c *restartCase) takeStartUnseen() {
	c.t.Helper()
	start := c.holdCalls(100, isStart)
	c.submitOne(true)
	c.await("a start", func() bool { return len(start.calls) > 0 })
	entry := c.s.listing()
	c.s.oldEntry = &entry
	c.s.crash()
	c.s.partitioned = true
	c.pass(300 * time.Millisecond)
	c.restartWorker(c.s)
	c.s.oldEntry = &entry
	c.s.partitioned = false
	start.carryOut(c)
	c.s.partitioned = true
}

// Guards against a holder that counts the lease which it granted to the process that it knows,
// where one that it never sees has carried out the start and took the longest lease.
func TestNoRunStartsDuringLeaseThatStartGaveToProcessNeverSeen(t *testing.T) {
	c := newRestartCase(t)
	c.takeStartUnseen()
	c.openOther()
	c.pass(12 * time.Second)
	c.expectOneRun(2)
}

// Guards against the same by a successor, which waits for the longest lease that holders grant.
func TestNoRunOfSuccessorStartsDuringLeaseThatStartGaveToProcessNeverSeen(t *testing.T) {
	c := newRestartCase(t)
	c.pass(time.Minute) // the process that the successor knows of is not young
	c.takeStartUnseen()
	c.holder.dead = true
	c.claim()
	c.openOther()
	c.pass(12 * time.Second)
	c.expectOneRun(2)
}
