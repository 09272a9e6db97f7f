package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

const (
	// idleWorkers is how many workers a pool of these tests has, all of which have
	// been idle, and so not polled, for idleTime.
	idleWorkers = 8
	idleTime    = 10 * time.Second
)

// newIdlePool returns a pool of idle workers with a job of one task, which is not
// planned yet.
func newIdlePool(t *testing.T) *crashPool {
	p := newCrashPool(t)
	for i := 1; i < idleWorkers; i++ {
		id := fmt.Sprintf("w-%d", i)
		p.addWorker(id, id)
	}
	p.list()
	p.pollWorkers()
	p.wait(idleTime)
	p.list()
	return p
}

// startUnanswered plans, polls workers that have runs and sends the starts, none of
// which is answered. It returns the worker of the start that was sent, or nil.
func (p *crashPool) startUnanswered() *crashWorker {
	var sent *crashWorker
	for _, s := range p.plan() {
		o, send := p.startOrder(s)
		if send != scheduler.SendNow {
			continue
		}
		sent = p.worker(s.Worker)
		p.core.StartAnswered(o, 0, verdict.NewMayHaveRun(verdict.ReasonConnectionLost, "no answer"), p.now)
	}
	return sent
}

// reassign has another worker answer at the address of one that is gone.
func (p *crashPool) reassign(w *crashWorker) {
	p.core.PollFailed(p.core.Poll(w.listing.Incarnation.ID, p.now.Now, time.Second), worker.ErrWorkerReplaced, p.now)
}

// Guards against jobs that are given up because many idle workers were gone before
// the starts of one of their tasks were sent to them, one after the other.
func TestStartsOnWorkersThatWereGoneFailNoJob(t *testing.T) {
	p := newIdlePool(t)
	for _, w := range p.workers {
		w.crash()
	}
	sent := 0
	for range idleWorkers {
		p.wait(5 * time.Millisecond)
		w := p.startUnanswered()
		if w != nil {
			sent++
		}
		for _, gone := range p.workers {
			if _, poll := p.core.NextPoll(gone.listing.Incarnation.ID, 0); poll {
				p.reassign(gone)
			}
		}
	}
	p.g.Expect(sent).To(BeZero(), "starts to workers that had not just answered")
	phase, _ := p.core.Lookup(crashJob)
	p.g.Expect(phase).NotTo(Equal(job.Failed))
}

// Guards against a task that is started without end since it crashes idle workers
// before they answer its start.
func TestDeadlyTaskGoesOnAfterUnansweredStartsOnIdleWorkers(t *testing.T) {
	p := newIdlePool(t)
	starts := 0
	for range idleWorkers {
		w := p.startUnanswered()
		if w == nil {
			break
		}
		starts++
		w.crash()
		p.wait(5 * time.Millisecond)
		p.reassign(w)
	}
	p.g.Expect(starts).To(BeNumerically("<=", maxDeadlyStarts))
	phase, _ := p.core.Lookup(crashJob)
	p.g.Expect(phase).To(Equal(job.Failed))
}

// Guards against a task that waits for the long poll of its worker before it starts.
func TestPollBeforeVerifiedStartDoesNotWait(t *testing.T) {
	p := newIdlePool(t)
	w := p.startUnanswered()
	p.g.Expect(w).NotTo(BeNil())
	w.crash()
	p.reassign(w)
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(1))
	_, send := p.core.StartOrder(starts[0].Run, starts[0].Worker, p.now.Now, time.Second)
	p.g.Expect(send).To(Equal(scheduler.SendLater))
	poll := p.core.Poll(starts[0].Worker, p.now.Now, time.Second)
	p.g.Expect(poll.Request.Wait).To(BeZero())
}

// Guards against a job that is given up although no worker has ever started its task:
// each start was rejected since another worker answers at the address.
func TestStartsRejectedByReplacedWorkersFailNoJob(t *testing.T) {
	p := newCrashPool(t)
	for round := range crashRounds {
		p.wait(crashTick)
		p.list()
		p.pollWorkers()
		starts := p.plan()
		if phase, _ := p.core.Lookup(crashJob); phase.Final() {
			t.Fatalf("job %v after %d starts that were rejected, none was carried out", phase, round)
		}
		p.g.Expect(starts).To(HaveLen(1))
		o, send := p.core.StartOrder(starts[0].Run, starts[0].Worker, p.now.Now, time.Second)
		p.g.Expect(send).To(Equal(scheduler.SendNow))
		p.core.StartAnswered(o, 0, worker.ErrWorkerReplaced, p.now)
		p.workers = nil
		p.addWorker(fmt.Sprint("a", round), "a")
	}
	phase, _ := p.core.Lookup(crashJob)
	p.g.Expect(phase).To(Equal(job.Queued), "no task has started")
}
