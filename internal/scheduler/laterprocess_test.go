package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

// lateStart is how long after it was sent a start without an answer may be carried out.
const lateStart = 15 * time.Second

// A stop keeps a start that is still under way from having an effect at the incarnation that
// answered it. A worker that has restarted once may do so again: the incarnation after that knows
// neither the stop nor the token, and carries the start out (TWICE).
func TestStoppedStartWithoutAnswerIsNotCarriedOutByLaterIncarnation(t *testing.T) {
	p := newCrashPool(t)
	p.addWorker("b", "b")
	p.list()
	p.pollWorkers()
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(1))
	o, send := p.startOrder(starts[0])
	p.g.Expect(send).To(Equal(scheduler.SendNow))
	sent := p.now.Now
	w := p.worker(o.Worker)
	w.crash()
	p.core.StartAnswered(o, 0, verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"), p.now)
	p.wait(crashTick)
	p.restart(w)
	w.listing.Draining = true // the other worker is the only one that takes the task
	for p.now.Now < sent+lateStart {
		p.wait(crashTick)
		p.list()
		p.pollWorkers()
		for _, s := range p.core.StopOrders() {
			p.core.StopAnswered(s, p.clock(p.worker(s.Worker)), nil, p.now)
		}
		for _, s := range p.plan() {
			t.Fatalf("run %d planned on %s %v after the start of run %d on %s was sent, which a later process there may carry out", s.Run.Number, s.Worker, p.now.Now-sent, o.Order.Run.Number, o.Worker)
		}
	}
}

// An end that the next incarnation has not told of yet must not be acknowledged to it: it forgets
// the end, and its task runs again although it is done. A poll names the last end of the
// incarnation that it is meant for, and a start may have reached the next one before.
func TestPollBesideAStartAcknowledgesNoEnd(t *testing.T) {
	p := newCorePool(t, 2)
	p.pollWorkers()
	w := p.workers[0]
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(2))
	one, send := p.startOrder(starts[0])
	p.g.Expect(send).To(Equal(scheduler.SendNow))
	p.core.StartAnswered(one, p.clock(w), nil, p.now)
	p.wait(crashTick)
	poll := p.core.Poll("a", p.now.Now, time.Second)
	p.core.PollSucceeded(poll, worker.Report{
		StartedAt: 1, Clock: p.clock(w), Ended: []worker.RunEnd{{Number: 1, Run: one.Order.Run, Reason: job.EndDone}},
	}, p.now)
	p.plan() // the log holds the end
	_, send = p.startOrder(starts[1])
	p.g.Expect(send).To(Equal(scheduler.SendNow))
	p.g.Expect(p.core.Poll("a", p.now.Now, time.Second).Request.Acknowledged).To(BeZero(), "the start may have reached the next incarnation and ended there")
}

// Guards against ends that are never acknowledged: a poll that lists the run lets the next one
// acknowledge them.
func TestEndsAreAcknowledgedOnceAPollHasListedTheStarts(t *testing.T) {
	p := newCorePool(t, 2)
	p.pollWorkers()
	w := p.workers[0]
	starts := p.plan()
	for _, s := range starts {
		o, send := p.startOrder(s)
		p.g.Expect(send).To(Equal(scheduler.SendNow))
		p.core.StartAnswered(o, p.clock(w), nil, p.now)
	}
	end := []worker.RunEnd{{Number: 1, Run: starts[0].Run, Reason: job.EndDone}}
	var acknowledged []int64
	for range 3 {
		p.wait(crashTick)
		poll := p.core.Poll("a", p.now.Now, time.Second)
		acknowledged = append(acknowledged, poll.Request.Acknowledged)
		rep := worker.Report{StartedAt: 1, Clock: p.clock(w), Ended: end, Running: []worker.RunStatus{{Run: starts[1].Run}}}
		p.core.PollSucceeded(poll, rep, p.now)
		p.plan()
	}
	p.g.Expect(acknowledged).To(Equal([]int64{0, 1, 0}))
}

// A run that a worker lists and no holder knows of any more is stopped. Until that has ended, its
// task must not start elsewhere (TWICE).
func TestTaskAwaitsEndOfItsUnknownRun(t *testing.T) {
	p := newCrashPool(t)
	p.addWorker("b", "b")
	p.list()
	unknown := job.RunID{Task: job.TaskID{Job: crashJob}, Number: 7}
	p.worker("a").runs = []job.RunID{unknown}
	p.worker("a").listing.Draining = true // the other worker is the only one that takes the task
	p.list()
	p.pollWorkers()
	p.g.Expect(p.core.StopOrders()).To(HaveLen(1))
	starts := p.plan()
	p.g.Expect(p.orders(starts)).To(BeEmpty(), "the task is active on worker a")
	p.worker("a").runs = nil
	p.wait(2 * simStopTimeout)
	p.list()
	p.pollWorkers()
	p.g.Expect(p.orders(append(starts, p.plan()...))).To(HaveLen(1))
}
