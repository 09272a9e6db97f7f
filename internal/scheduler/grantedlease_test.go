package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/scheduler"
)

const (
	// longWorkerLease is a lease that workers allow and that is longer than holders
	// grant.
	longWorkerLease = 30 * time.Second
	// longestTakeoverWait is how long a task may wait after a takeover for a worker
	// that is gone.
	longestTakeoverWait = 9 * time.Second
)

// Guards against a task of a worker that is gone for good which waits after a takeover
// for as long as workers allow leases to last, far longer than holders need them.
func TestTakeoverWaitsNoLongerThanHoldersGrantLeases(t *testing.T) {
	p := newCrashPool(t)
	p.maxLease = longWorkerLease
	p.takeOver()
	w := p.awaitStart()
	p.g.Expect(w).NotTo(BeNil())
	w.crash()
	p.unlist(w, "b")
	p.takeOver()
	for range int(longestTakeoverWait / crashTick) {
		if p.tick() != nil {
			return
		}
	}
	t.Fatalf("the task has not run for %v after the takeover", longestTakeoverWait)
}

// longestWaitForEndedHolder is how long a task may wait after a takeover for a worker
// that is gone if the earlier holder has ended.
const longestWaitForEndedHolder = 6600 * time.Millisecond

// Guards against a task of a worker that is gone for good which waits (LOST) after a
// takeover for what the last holder might still do, though its process has ended.
func TestTakeoverFromEndedHolderWaitsForNoDutyLease(t *testing.T) {
	p := newCrashPool(t)
	w := p.awaitStart()
	p.g.Expect(w).NotTo(BeNil())
	w.crash()
	p.unlist(w, "b")
	p.earlierHolders = 0
	p.takeOver()
	for range int(longestWaitForEndedHolder / crashTick) {
		if p.tick() != nil {
			return
		}
	}
	t.Fatalf("the task has not run for %v after the takeover", longestWaitForEndedHolder)
}

// Guards against a holder that grants a lease for which the next one does not wait:
// the task would run twice.
func TestLeaseGrantedByHolderEndsBeforeNextHolderStartsTask(t *testing.T) {
	p := newCrashPool(t)
	p.maxLease = longWorkerLease
	p.takeOver()
	w := p.awaitStart()
	p.g.Expect(w).NotTo(BeNil())
	p.poll(w)
	last := p.core.Poll("a", p.now.Now, time.Millisecond)
	granted := time.Duration(last.Request.LeaseUntil-p.clock(w)) * time.Millisecond
	p.g.Expect(granted).To(BeNumerically(">", simLease), "a lease that outlasts a time without holder")
	p.takeOver()
	p.g.Expect(scheduler.EarlierLeasesEnd(p.core) - p.now.Now - simDutyLease).To(BeNumerically(">", granted))
}
