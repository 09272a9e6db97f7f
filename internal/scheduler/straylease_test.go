package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

// strayMaxLease is a lease that workers allow and that is longer than holders grant.
const strayMaxLease = 10 * time.Second

// lease returns the lease that a worker takes from an order.
func (p *crashPool) lease(w *crashWorker, until int64) time.Duration {
	return min(time.Duration(until-p.clock(w))*time.Millisecond, p.maxLease)
}

// Guards against a task that runs twice (TWICE): a worker that has restarted under its ID takes
// its longest lease from a poll that names the end by the clock of before, and the holder did
// not count that lease.
func TestHolderAwaitsLeaseThatPollGaveToRestartedWorker(t *testing.T) {
	p := newCrashPool(t)
	p.maxLease = strayMaxLease
	p.takeOver()
	w := p.awaitStart()
	p.g.Expect(w).NotTo(BeNil())
	p.wait(time.Second)
	p.pollWorkers()
	p.wait(time.Minute)
	// The worker restarts between two polls, and the next one reaches it.
	w.runs = nil
	p.restart(w)
	w.listing.Incarnation.StartedAt--
	poll := p.core.Poll("a", p.now.Now, time.Second)
	p.g.Expect(poll.Request.LeaseUntil).NotTo(BeZero())
	until := p.now.Now + p.lease(w, poll.Request.LeaseUntil)
	w.listing.Incarnation.StartedAt++
	p.core.PollSucceeded(poll, worker.Report{StartedAt: w.listing.Incarnation.StartedAt, Clock: p.clock(w)}, p.now)
	p.g.Expect(p.awaitStart()).To(Equal(w), "the task starts there anew")
	p.expectNoPlanBefore(t, until)
}

// expectNoPlanBefore has the worker a be cut off, while another one has room, and fails if a task is planned
// before a moment.
func (p *crashPool) expectNoPlanBefore(t *testing.T, until time.Duration) {
	t.Helper()
	p.addWorker("b", "b")
	for p.now.Now < until {
		p.now.Now += crashTick
		p.now.Wall += crashTick.Milliseconds()
		p.list()
		p.core.PollFailed(p.core.Poll("a", p.now.Now, time.Second), verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"), p.now)
		p.poll(p.worker("b"))
		if s := p.plan(); len(s) > 0 {
			t.Fatalf("planned on %s %v before the lease of the run on a ends", s[0].Worker, until-p.now.Now)
		}
	}
}

// Guards against the same where the list shows the restart before the answer to the poll comes.
func TestHolderAwaitsLeaseOfWorkerThatTheListShowsRestartedFirst(t *testing.T) {
	p := newCrashPool(t)
	p.maxLease = strayMaxLease
	p.takeOver()
	w := p.awaitStart()
	p.g.Expect(w).NotTo(BeNil())
	p.wait(time.Second)
	p.pollWorkers()
	p.wait(time.Minute)
	w.runs = nil
	poll := p.core.Poll("a", p.now.Now, time.Second)
	p.g.Expect(poll.Request.LeaseUntil).NotTo(BeZero())
	p.restart(w)
	until := p.now.Now + p.lease(w, poll.Request.LeaseUntil)
	p.list() // the list shows the restart
	p.core.PollSucceeded(poll, worker.Report{StartedAt: w.listing.Incarnation.StartedAt, Clock: p.clock(w)}, p.now)
	p.g.Expect(p.awaitStart()).To(Equal(w), "the task starts there anew")
	p.expectNoPlanBefore(t, until)
}
