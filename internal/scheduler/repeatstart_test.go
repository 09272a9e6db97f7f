package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
)

// newPoolWithUnsentStart returns a pool whose holder has just followed one that logged the start
// of its task and did not send it. The worker has answered.
func newPoolWithUnsentStart(t *testing.T) (*crashPool, scheduler.PlannedStart) {
	p := newCrashPool(t)
	p.pollWorkers()
	first := p.plan()
	p.earlierHolders = simRestartTime + simDutyLease
	p.g.Expect(first).To(HaveLen(1))
	p.takeOver()
	p.pollWorkers()
	return p, first[0]
}

// restartWorker has the pool's worker restart and answer again.
func (p *crashPool) restartWorker() {
	p.workers[0].crash()
	p.wait(simRestartTime)
	p.restart(p.workers[0])
	p.list()
	p.pollWorkers()
	p.pollWorkers()
}

// Guards against a second run of a task whose first one is started by an order of an earlier
// holder, after the worker has restarted: the same run is ordered, by each of two successors.
func TestUnsentStartOfEarlierHolderIsRepeated(t *testing.T) {
	p, first := newPoolWithUnsentStart(t)
	p.g.Expect(p.plan()).To(ConsistOf(first))
	p.takeOver()
	p.pollWorkers()
	starts := p.plan()
	p.g.Expect(starts).To(ConsistOf(first), "after a second takeover")
	p.g.Expect(p.orders(starts)).To(HaveLen(1), "orders sent")
	p.g.Expect(p.plan()).To(BeEmpty(), "it is repeated once")
}

// Guards against a run that is not started by a worker which restarted before the start was
// repeated, or started twice.
func TestRepeatedStartFollowsRestartBeforeIt(t *testing.T) {
	p, first := newPoolWithUnsentStart(t)
	starts := p.plan()
	p.g.Expect(starts).To(ConsistOf(first))
	p.restartWorker()
	p.g.Expect(p.plan()).To(BeEmpty())
	p.g.Expect(p.orders(starts)).To(HaveLen(1), "no process has started the run")
}

// Guards against a run that may have ended and is started again under its number, and against
// another one while earlier holders may have it started.
func TestRepeatedStartIsNotSentToNextProcess(t *testing.T) {
	p, first := newPoolWithUnsentStart(t)
	starts := p.plan()
	orders := p.orders(starts)
	p.g.Expect(orders).To(HaveLen(1))
	p.core.StartAnswered(orders[0], p.clock(p.workers[0]), nil, p.now)
	p.restartWorker()
	p.g.Expect(p.plan()).To(BeEmpty(), "earlier holders may send the start")
	_, send := p.core.StartOrder(first.Run, first.Worker, p.now.Now, time.Second)
	p.g.Expect(send).To(Equal(scheduler.SendNever))
	p.wait(p.earlierHolders)
	p.list()
	p.pollWorkers()
	p.pollWorkers()
	next := p.plan()
	p.g.Expect(next).To(HaveLen(1))
	p.g.Expect(next[0].Run.Number).To(Equal(first.Run.Number + 1))
}

// Guards against a task that is placed elsewhere while the start of its run, which the worker has
// not carried out for this holder, may still be sent by an earlier one.
func TestTaskWaitsForEarlierHoldersWhenRepeatedStartIsNotCarriedOut(t *testing.T) {
	p, first := newPoolWithUnsentStart(t)
	p.addWorker("b", "b")
	p.list()
	orders := p.orders(p.plan())
	p.g.Expect(orders).To(HaveLen(1))
	p.core.StartAnswered(orders[0], 0, verdict.NewNotRun(verdict.ReasonConnect, "connection refused"), p.now)
	p.pollWorkers()
	p.pollWorkers()
	p.g.Expect(p.plan()).To(BeEmpty(), "earlier holders may send the start")
	p.wait(p.earlierHolders)
	p.list()
	p.pollWorkers()
	p.pollWorkers()
	next := p.plan()
	p.g.Expect(next).To(HaveLen(1))
	p.g.Expect(next[0].Run.Number).To(Equal(first.Run.Number + 1))
}
