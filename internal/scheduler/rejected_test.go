package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
)

// Guards against a task that goes back and forth between two workers that reject its
// start, since only the last one is avoided, while a third has room.
func TestTaskIsPlacedElsewhereAfterTwoWorkersRejectedStarts(t *testing.T) {
	g := NewWithT(t)
	p := newScriptedPool(g, "a", "b", "c")
	p.rejecting["a"], p.rejecting["b"] = true, true
	p.submit(firstJob, job.Step{Count: 1, Need: job.Resources{CPU: 1000}}, nil)
	p.advance(60 * time.Second)
	g.Expect(p.runsOn("c")).To(HaveLen(1), "c has been free for 60 s")
}

// Guards against a task that goes back and forth between two workers on which it
// fails, while a third has room.
func TestTaskIsPlacedElsewhereAfterItFailedOnTwoWorkers(t *testing.T) {
	g := NewWithT(t)
	p := newScriptedPool(g, "a", "b", "c")
	p.submit(firstJob, job.Step{Count: 1, Need: job.Resources{CPU: 1000}}, nil)
	for range 20 {
		p.advance(time.Second)
		p.endAllOn("a", job.EndFailed)
		p.endAllOn("b", job.EndFailed)
	}
	g.Expect(p.runsOn("c")).To(HaveLen(1), "c has been free for 20 s")
}

// Guards against a task that is not started on a worker that takes starts again, since
// every worker has rejected it once and another one is preferred.
func TestTaskIsTriedInTurnOnWorkersThatRejectedIt(t *testing.T) {
	g := NewWithT(t)
	p := newScriptedPool(g, "a", "b", "c")
	p.rejecting["a"], p.rejecting["b"], p.rejecting["c"] = true, true, true
	p.submit(firstJob, job.Step{Count: 1, Need: job.Resources{CPU: 1000}}, nil)
	p.advance(5 * time.Second)
	g.Expect(p.running).To(BeEmpty())
	p.rejecting["b"] = false
	p.advance(time.Second)
	g.Expect(p.runsOn("b")).To(HaveLen(1), "b has taken starts for 1 s")
}

// Guards against a task that is not started on the only worker of a pool after that
// worker has rejected it.
func TestTaskIsStartedOnOnlyWorkerAfterRejectedStarts(t *testing.T) {
	g := NewWithT(t)
	p := newScriptedPool(g, "a")
	p.rejecting["a"] = true
	p.submit(firstJob, job.Step{Count: 1, Need: job.Resources{CPU: 1000}}, nil)
	p.advance(5 * time.Second)
	p.rejecting["a"] = false
	p.advance(time.Second)
	g.Expect(p.runsOn("a")).To(HaveLen(1), "a has taken starts for 1 s")
}

// Guards against a worker that a task avoids for ever because it rejected one start:
// once the task has run elsewhere, the worker is as good as any other.
func TestWorkerThatRejectedStartIsUsedAgainAfterTaskRanElsewhere(t *testing.T) {
	g := NewWithT(t)
	p := newScriptedPool(g, "a", "b", "c")
	p.rejecting["a"] = true
	p.submit(firstJob, job.Step{Count: 1, Need: job.Resources{CPU: 1000}}, nil)
	p.advance(5 * time.Second)
	g.Expect(p.runsOn("b")).To(HaveLen(1))
	p.rejecting["a"], p.silent["b"] = false, true
	p.endAllOn("b", job.EndLeaseExpired)
	p.advance(lostAfter)
	g.Expect(p.runsOn("a")).To(HaveLen(1), "of the free workers a comes first")
}
