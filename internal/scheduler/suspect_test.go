package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/scheduler"
)

const (
	// copyEstimate is the estimate of a speculative task in these tests, and
	// copyTime how long a run of it has to be silent at most to get a copy.
	copyEstimate = 100 * time.Millisecond
	copyTime     = 2 * time.Second
)

// newCopyPool returns a pool of two workers with a job of one speculative task.
func newCopyPool(t *testing.T) *crashPool {
	p := newCrashPool(t)
	p.sub.Spec.Steps[0].Speculative = true
	p.sub.Spec.Steps[0].Estimate = copyEstimate
	p.addWorker("b", "b")
	p.takeOver()
	return p
}

// crashUnseen crashes the worker, which then restarts, and replaces the holder
// before it learns of that. The next one cannot tell whether the task had started.
func (p *crashPool) crashUnseen(w *crashWorker) {
	w.crash()
	p.wait(simRestartTime)
	p.restart(w)
	p.takeOver()
}

// ticks lets d pass and returns how many ticks had a start.
func (p *crashPool) ticks(d time.Duration) int {
	starts := 0
	for range int(d / crashTick) {
		if p.tick() != nil {
			starts++
		}
	}
	return starts
}

// Guards against a copy of a deadly task that crashes one more worker before the
// crash under the run beside it is counted.
func TestTaskWithPossibleCrashGetsNoCopyWhileItsWorkerIsSilent(t *testing.T) {
	p := newCopyPool(t)
	w := p.awaitStart()
	p.crashUnseen(w)
	w = p.awaitStart()
	p.g.Expect(w).NotTo(BeNil(), "the task is started again")
	w.crash()
	p.g.Expect(p.ticks(copyTime)).To(BeZero(), "copies beside the silent run")
}

// Guards the test above against a pool that makes no copies at all.
func TestTaskWithoutCrashGetsCopyWhileItsWorkerIsSilent(t *testing.T) {
	p := newCopyPool(t)
	p.awaitStart().crash()
	p.g.Expect(p.ticks(copyTime)).To(Equal(1), "copies beside the silent run")
}

// Guards against an innocent job that is given up because its task always starts
// together with a deadly one, whose crash keeps its start from being answered.
func TestTasksWithTwoPossibleCrashesStartApart(t *testing.T) {
	p := newCorePool(t, 2)
	// The earlier holder has ended, so that it sends no more starts.
	p.earlierHolders = 0
	for range 2 {
		p.crashUnseen(p.awaitStart())
	}
	p.pollWorkers()
	p.pollWorkers()
	p.g.Expect(p.plan()).To(HaveLen(1), "starts in one plan")
}

// Guards against a task that is given up since one worker keeps crashing, though
// others would run it.
func TestTaskIsStartedElsewhereAfterCrashOfItsWorker(t *testing.T) {
	p := newCrashPool(t)
	w := p.awaitStart()
	p.g.Expect(w).NotTo(BeNil())
	p.addWorker("z", "z")
	p.list()
	w.crash()
	p.wait(simRestartTime)
	p.restart(w)
	p.list()
	p.g.Expect(p.awaitStart()).To(BeIdenticalTo(p.worker("z")))
}

// Guards against a job that is given up since the only worker with room crashes again and
// again, whether or not the holder is replaced after each crash.
func TestFewerCrashesOfOneWorkerThanUpperBoundFailNoJob(t *testing.T) {
	const crashes = 3
	for _, takeovers := range []bool{false, true} {
		p := newCrashPool(t)
		for range crashes {
			w := p.awaitStart()
			p.g.Expect(w).NotTo(BeNil(), "the task is started again")
			w.crash()
			p.wait(simRestartTime)
			p.restart(w)
			p.poll(w)
			p.poll(w)
			if takeovers {
				p.plan()
				p.takeOver()
			}
		}
		p.g.Expect(p.awaitStart()).NotTo(BeNil(), "after %d crashes, takeovers=%t", crashes, takeovers)
	}
}

// Guards against a job that is given up for starts that were sent to workers which had
// crashed before: such a start says nothing about its task.
func TestStartOfSuspectWaitsForAnswerOfItsWorker(t *testing.T) {
	p := newCrashPool(t)
	// The earlier holder has ended, so that it sends no more starts.
	p.earlierHolders = 0
	for range 2 {
		p.crashUnseen(p.awaitStart())
	}
	p.pollWorkers()
	p.pollWorkers()
	p.wait(crashTick)
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(1))
	run, w := starts[0].Run, p.worker(starts[0].Worker)
	p.wait(crashTick)
	_, send := p.core.StartOrder(run, "a", p.now.Now, time.Second)
	p.g.Expect(send).To(Equal(scheduler.SendLater), "before an answer")
	_, due := p.core.NextPoll("a", 0)
	p.g.Expect(due).To(BeTrue(), "the worker is polled")
	p.g.Expect(p.core.Poll("a", p.now.Now, time.Second).Request.Wait).To(BeZero(), "and answers at once")
	w.crash()
	p.poll(w)
	p.plan()
	_, send = p.core.StartOrder(run, "a", p.now.Now, time.Second)
	p.g.Expect(send).To(Equal(scheduler.SendNever), "once the worker is silent")
	p.restart(w)
	p.list()
	p.g.Expect(p.awaitStart()).NotTo(BeNil(), "the job goes on")
}
