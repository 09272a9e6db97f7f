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

// lateAnswer is how long an answer to a start takes over a slow link or to a busy
// host. It is longer than a deadly task takes to crash its worker.
const lateAnswer = 400 * time.Millisecond

// awaitOrder returns the order of the next start of the task, and its worker, or
// false if the task is not started.
func (p *crashPool) awaitOrder() (scheduler.StartOrder, *crashWorker, bool) {
	for range int(crashPatience / crashTick) {
		p.wait(crashTick)
		p.list()
		p.pollWorkers()
		for _, s := range p.plan() {
			o, send := p.startOrder(s)
			p.g.Expect(send).To(Equal(scheduler.SendNow))
			return o, p.worker(s.Worker), true
		}
	}
	return scheduler.StartOrder{}, nil, false
}

// crashAfterOrders lets time pass after each start as pass does, until its worker
// crashes and another one answers at its address. The task must be given up in time.
func (p *crashPool) crashAfterOrders(pass func(scheduler.StartOrder, *crashWorker)) {
	starts := 0
	for range crashRounds {
		o, w, ok := p.awaitOrder()
		if !ok {
			break
		}
		starts++
		pass(o, w)
		w.crash()
		p.wait(simRestartTime)
		p.core.PollFailed(p.core.Poll(o.Worker, p.now.Now, time.Second), worker.ErrWorkerReplaced, p.now)
		p.unlist(w, w.listing.Address)
	}
	p.g.Expect(starts).To(BeNumerically("<=", maxDeadlyStarts), "starts of the deadly task")
	phase, _ := p.core.Lookup(crashJob)
	p.g.Expect(phase).To(Equal(job.Failed))
}

// Guards against crashes that do not count because the answer to the start arrives
// long after the start was sent, as if the worker had survived until then.
func TestDeadlyTaskGoesOnAfterLateAnswersToStarts(t *testing.T) {
	p := newCrashPool(t)
	p.crashAfterOrders(func(o scheduler.StartOrder, w *crashWorker) {
		p.wait(lateAnswer)
		p.core.StartAnswered(o, p.clock(w), nil, p.now)
	})
}

// Guards against crashes that do not count because the worker still answered a poll
// while the start was on its way.
func TestDeadlyTaskGoesOnAfterStartsThatArriveLate(t *testing.T) {
	p := newCrashPool(t)
	p.crashAfterOrders(func(o scheduler.StartOrder, w *crashWorker) {
		p.wait(lateAnswer)
		p.poll(w)
		p.wait(crashTick)
		p.core.StartAnswered(o, 0, verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"), p.now)
	})
}

// Guards against a suspect that is started beside a run which its worker has only
// just confirmed: if that one crashes the worker, the suspect is blamed too.
func TestSuspectWaitsForRunThatWasConfirmedLate(t *testing.T) {
	g := NewWithT(t)
	s := worker.NewState(worker.Listing{Incarnation: job.Incarnation{ID: "a", StartedAt: 1}, Address: "a"}, 0, 0, worker.LeaseBounds{})
	other := &worker.Run{ID: job.RunID{Task: job.TaskID{Job: crashJob}, Number: 1}}
	suspect := &worker.Run{ID: job.RunID{Task: job.TaskID{Job: crashJob, Index: 1}, Number: 1}, State: worker.RunOrdered, Suspect: true}
	s.AddRun(other)
	s.AddRun(suspect)
	s.StartSent(other, time.Second)
	s.SetRunState(other, worker.RunConfirmed, time.Second+lateAnswer)
	s.RecordAnswer(1, time.Second+lateAnswer)
	g.Expect(s.AwaitsAnswer(suspect)).To(BeTrue())
}
