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

// Guards against crashes that never count because each start is sent some time after
// its worker's last answer, while other orders to it are in flight: it is then not
// known whether the worker was still up.
func TestDeadlyTaskGoesOnWhenStartsAreSentLate(t *testing.T) {
	p := newCrashPool(t)
	starts := 0
	for range crashRounds {
		o, w := p.awaitLateOrder()
		if w == nil {
			break
		}
		starts++
		w.crash()
		p.core.StartAnswered(o, 0, verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"), p.now)
		p.wait(simRestartTime)
		p.core.PollFailed(p.core.Poll(o.Worker, p.now.Now, time.Second), worker.ErrWorkerReplaced, p.now)
		p.unlist(w, w.listing.Address)
	}
	p.g.Expect(starts).To(BeNumerically("<=", maxDeadlyStarts), "starts of the deadly task")
	phase, _ := p.core.Lookup(crashJob)
	p.g.Expect(phase).To(Equal(job.Failed))
}

// awaitLateOrder returns the next start of the task and its worker, or nil if there is
// none. The start is looked at some time after the worker has answered.
func (p *crashPool) awaitLateOrder() (scheduler.StartOrder, *crashWorker) {
	for range int(crashPatience / crashTick) {
		p.wait(crashTick)
		p.list()
		p.pollWorkers()
		for _, s := range p.plan() {
			p.pollWorkers()
			p.wait(lateAnswer)
			o, send := p.startOrder(s)
			p.g.Expect(send).To(Equal(scheduler.SendNow))
			return o, p.worker(s.Worker)
		}
	}
	return scheduler.StartOrder{}, nil
}
