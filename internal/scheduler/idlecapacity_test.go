package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

// Guards against a start on an idle worker that has restarted with less capacity than the list
// shows yet (LIMIT, review/12): idle workers are not polled.
func TestStartOnIdleWorkerAwaitsAnAnswerOfItsIncarnation(t *testing.T) {
	p := newCorePool(t, 1)
	p.pollWorkers()
	w := p.workers[0]
	old := w.listing
	p.wait(time.Second)
	w.crash()
	p.restart(w)
	w.listing.Capacity = job.Resources{CPU: 10}
	next := w.listing
	w.listing = old
	p.list()
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(1), "the list shows the former capacity")
	_, send := p.core.StartOrder(starts[0].Run, starts[0].Worker, p.now.Now, time.Second)
	p.g.Expect(send).To(Equal(scheduler.SendLater))
	w.listing = next
	p.pollWorkers()
	_, send = p.core.StartOrder(starts[0].Run, starts[0].Worker, p.now.Now, time.Second)
	p.g.Expect(send).NotTo(Equal(scheduler.SendNow), "the restart is known and the capacity is not")
	p.list()
	p.pollWorkers()
	p.g.Expect(p.orders(p.plan())).To(BeEmpty(), "the task does not fit")
}

// Guards against a start that is held for ever: an answer of the same incarnation lets it be sent.
func TestStartOnIdleWorkerIsSentOnceItsIncarnationAnswers(t *testing.T) {
	p := newCorePool(t, 1)
	p.pollWorkers()
	p.wait(time.Second)
	p.list()
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(1))
	_, send := p.core.StartOrder(starts[0].Run, starts[0].Worker, p.now.Now, time.Second)
	p.g.Expect(send).To(Equal(scheduler.SendLater))
	at, due := p.core.NextPoll(starts[0].Worker, 0)
	p.g.Expect(due).To(BeTrue())
	p.g.Expect(at).To(BeNumerically("<=", p.now.Now))
	poll := p.core.Poll(starts[0].Worker, p.now.Now, time.Second)
	p.g.Expect(poll.Request.Wait).To(BeZero(), "the worker answers at once")
	p.core.PollSucceeded(poll, worker.Report{StartedAt: p.workers[0].listing.Incarnation.StartedAt, Clock: p.clock(p.workers[0])}, p.now)
	_, send = p.core.StartOrder(starts[0].Run, starts[0].Worker, p.now.Now, time.Second)
	p.g.Expect(send).To(Equal(scheduler.SendNow))
}
