package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

// longAfterShrink is how long after the list showed a shrink a start counts for
// certain.
const longAfterShrink = simCapacityGrace + crashTick

// shrinkTo has the list show a capacity of the only worker that has room for n
// tasks.
func (p *crashPool) shrinkTo(n int) {
	p.workers[0].listing.Capacity = job.Resources{CPU: 1000 * n}
	p.list()
}

// passQuietly lets time pass while the worker answers polls and the list is read,
// without a plan.
func (p *crashPool) passQuietly(d time.Duration) {
	for range int(d / crashTick) {
		p.wait(crashTick)
		p.list()
		p.pollWorkers()
	}
}

// orders returns the orders of the starts that are to be sent now.
func (p *crashPool) orders(starts []scheduler.PlannedStart) []scheduler.StartOrder {
	var out []scheduler.StartOrder
	for _, s := range starts {
		if o, send := p.core.StartOrder(s.Run, s.Worker, p.now.Now, time.Second); send == scheduler.SendNow {
			out = append(out, o)
		}
	}
	return out
}

// expectRunning lets a second pass and expects the worker to have n runs then.
func (p *crashPool) expectRunning(n int, why string) {
	for range int(time.Second / crashTick) {
		p.tick()
	}
	p.g.ExpectWithOffset(1, p.workers[0].runs).To(HaveLen(n), why)
}

// Guards against a start that was planned before the holder knew of the shrink and
// is sent long after it.
func TestStartPlannedBeforeShrinkIsSentLongAfterIt(t *testing.T) {
	p := newCorePool(t, 4)
	p.pollWorkers()
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(4))
	p.shrinkTo(1)
	p.passQuietly(longAfterShrink)
	p.g.Expect(len(p.orders(starts))).To(BeNumerically("<=", 1), "starts sent to a worker with room for one task")
}

// Guards against a start that is sent with a capacity of long ago, when the list of
// workers could not be read.
func TestStartWaitsForCurrentList(t *testing.T) {
	p := newCorePool(t, 4)
	p.pollWorkers()
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(4))
	for range int(simContactTime / crashTick) {
		p.wait(crashTick)
		p.pollWorkers()
	}
	p.g.Expect(p.orders(starts)).To(BeEmpty(), "the list was not read for long")
	p.shrinkTo(1)
	p.g.Expect(len(p.orders(starts))).To(BeNumerically("<=", 1), "starts sent to a worker with room for one task")
}

// Guards against a start that got no answer and is sent again long after the worker
// has shrunk.
func TestStartWithoutAnswerIsSentAgainLongAfterShrink(t *testing.T) {
	p := newCorePool(t, 4)
	p.pollWorkers()
	starts := p.plan()
	sent := p.orders(starts)
	p.g.Expect(sent).To(HaveLen(4))
	for _, o := range sent {
		p.core.StartAnswered(o, 0, verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"), p.now)
	}
	p.shrinkTo(1)
	p.passQuietly(longAfterShrink)
	p.g.Expect(len(p.orders(starts))).To(BeNumerically("<=", 1), "starts sent again to a worker with room for one task")
}

// Guards against a plan that was made with the old capacity and is logged so late
// that the worker has shrunk long before its starts.
func TestPlanMadeWithOldCapacityIsCarriedOutAfterShrink(t *testing.T) {
	p := newCorePool(t, 4)
	p.pollWorkers()
	b, err := p.core.Plan(p.now)
	p.g.Expect(err).NotTo(HaveOccurred())
	starts := scheduler.BatchStarts(b)
	p.g.Expect(starts).To(HaveLen(4))
	p.shrinkTo(1)
	p.passQuietly(longAfterShrink)
	p.core.Committed(b, p.now)
	p.g.Expect(len(p.orders(starts))).To(BeNumerically("<=", 1), "starts sent to a worker with room for one task")
}

// Guards against a new holder that starts a run beside ones which it adopted and
// which take more than the worker now has.
func TestAdoptedRunsOverShrunkCapacityAreNotCounted(t *testing.T) {
	p := newCorePool(t, 8)
	p.expectRunning(4, "what the worker has room for")
	p.workers[0].listing.Capacity = job.Resources{CPU: 2000}
	p.takeOver()
	p.expectRunning(4, "more than there is room for")
	p.workers[0].runs = p.workers[0].runs[:2]
	p.expectRunning(2, "as much as there is room for")
	p.workers[0].runs = p.workers[0].runs[:1]
	p.expectRunning(2, "one run has ended, so that another starts")
}

// Guards against an order that an earlier holder logged and never sent, and that
// its successor sends to a worker which has shrunk.
func TestStartOfEarlierHolderIsSentToShrunkWorker(t *testing.T) {
	p := newCorePool(t, 4)
	p.pollWorkers()
	p.g.Expect(p.plan()).To(HaveLen(4))
	p.workers[0].listing.Capacity = job.Resources{CPU: 2000}
	p.takeOver()
	p.expectRunning(0, "earlier holders may send all four starts")
	p.wait(simDutyLease)
	p.expectRunning(2, "what the worker has room for")
}

// Guards against capacity that stays unused after it has grown again.
func TestCapacityThatGrewAgainIsNotUsed(t *testing.T) {
	p := newCorePool(t, 8)
	p.shrinkTo(2)
	p.expectRunning(2, "what the worker has room for")
	p.shrinkTo(4)
	p.expectRunning(4, "the worker has grown")
}

// Guards against a start on a shrunk worker whose runs are being stopped but have
// not ended.
func TestRunsBeingStoppedAreNotCountedAfterShrink(t *testing.T) {
	p := newCorePool(t, 4)
	p.expectRunning(4, "what the worker has room for")
	p.shrinkTo(2)
	p.core.Cancel(crashJob, p.now)
	for _, s := range p.core.StopOrders() {
		p.core.StopAnswered(s, p.clock(p.workers[0]), nil, p.now)
	}
	next := *p.sub
	next.Spec.ID = "00000000000000ee"
	p.core.ApplyIntake([]joblog.IntakeRecord{{ID: next.Spec.ID, Submission: &next}}, p.now)
	p.expectRunning(4, "no run has ended")
	p.workers[0].runs = p.workers[0].runs[:1]
	p.expectRunning(2, "one run is being stopped and one was started")
}

// Guards against figures that do not add up in the report of a pool in which a
// worker has more runs than it has room for.
func TestReportOfWorkerThatShrankUnderItsRuns(t *testing.T) {
	p := newCorePool(t, 8)
	p.expectRunning(4, "what the worker has room for")
	p.shrinkTo(1)
	p.expectRunning(4, "the runs go on")
	rep := p.core.Report(p.now.Now, time.Second)
	p.g.Expect(rep.Used).To(Equal(job.Resources{CPU: 4000}))
	p.g.Expect(rep.Waiting).To(Equal(job.Resources{CPU: 4000}))
	p.g.Expect(rep.HostsNeeded).To(BeZero(), "the job has active runs")
	p.g.Expect(rep.Workers).To(HaveLen(1))
	p.g.Expect(rep.Workers[0].Used).To(Equal(job.Resources{CPU: 4000}))
	p.g.Expect(rep.Workers[0].Capacity).To(Equal(job.Resources{CPU: 1000}))
	p.g.Expect(rep.Workers[0].Schedulable).To(BeTrue())
}

// Guards against a start that is sent to a worker which has left the list: its capacity
// may have shrunk since its last entry.
func TestStartIsNotSentToWorkerThatLeftTheList(t *testing.T) {
	p := newCorePool(t, 4)
	p.pollWorkers()
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(4))
	sent := p.orders(starts[:1])
	p.g.Expect(sent).To(HaveLen(1))
	p.core.StartAnswered(sent[0], 0, verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"), p.now)
	p.gone, p.workers = p.workers, nil
	p.list()
	p.pollWorkers()
	p.g.Expect(p.orders(starts)).To(BeEmpty(), "starts sent for the first time or again")
	p.g.Expect(p.core.StopOrders()).To(HaveLen(1), "the run whose start got no answer is stopped")
	p.g.Expect(p.core.Report(p.now.Now, time.Second).Waiting).To(Equal(job.Resources{CPU: 3000}), "the others have ended")
}

// Guards against starts over a capacity that the list shows in the last entry before a
// restart, when a poll has shown the restart before that entry is read.
func TestCapacityOfEntryBeforeRestartIsIgnored(t *testing.T) {
	p := newCorePool(t, 4)
	p.pollWorkers()
	w := p.workers[0]
	entry := w.listing
	entry.Capacity = job.Resources{CPU: 1000}
	p.restart(w)
	for range 2 {
		rep := worker.Report{StartedAt: w.listing.Incarnation.StartedAt, Clock: p.clock(w)}
		p.core.PollSucceeded(p.core.Poll("a", p.now.Now, time.Second), rep, p.now)
	}
	starts := p.plan()
	p.core.ReplaceWorkers([]worker.Listing{entry}, p.now)
	starts = append(starts, p.plan()...)
	p.g.Expect(len(p.orders(starts))).To(BeNumerically("<=", 1), "starts sent to a worker with room for one task")
	w.listing.Capacity = entry.Capacity
	p.list()
	starts = append(starts, p.plan()...)
	p.g.Expect(p.orders(starts)).To(HaveLen(1), "starts sent once the list shows the worker's next incarnation")
}
