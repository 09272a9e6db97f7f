package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
)

// gangTaskCPU is what a task of the gang needs: a worker has room for one.
const gangTaskCPU = 3 * scriptCapacity / 4

// submitGang submits a job of one gang.
func (p *scriptedPool) submitGang(id job.ID, count int) {
	p.c.Submit(&joblog.Submission{
		Spec: job.Spec{ID: id, Steps: []job.Step{{
			Count: count, Need: job.Resources{CPU: gangTaskCPU}, Estimate: time.Second, Gang: true,
		}}},
		Terms:      job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3},
		AcceptedAt: p.now.Wall,
	}, p.now)
}

// awaitGang reports whether a gang runs within d. A member without the others ends
// after a second.
func (p *scriptedPool) awaitGang(count int, d time.Duration) bool {
	for end := p.now.Now + d; p.now.Now < end; {
		p.advance(time.Second)
		if len(p.running) == count {
			return true
		}
		for _, id := range p.workers {
			p.endAllOn(id, job.EndGangTimeout)
		}
	}
	return false
}

// Guards against a gang that is placed without end on a worker that rejects starts,
// since the placement of a gang does not look at the workers that its tasks avoid.
func TestGangIsPlacedElsewhereAfterRejectedStarts(t *testing.T) {
	g := NewWithT(t)
	p := newScriptedPool(g, "a", "b", "c")
	p.rejecting["a"] = true
	p.submitGang(firstJob, 2)
	g.Expect(p.awaitGang(2, 60*time.Second)).To(BeTrue(), "b and c are free")
}

// Guards against a gang that goes back and forth between two workers of which each
// rejects another of its tasks.
func TestGangIsPlacedElsewhereAfterTwoWorkersRejectedStarts(t *testing.T) {
	g := NewWithT(t)
	p := newScriptedPool(g, "a", "b", "c", "d")
	p.rejecting["a"], p.rejecting["c"] = true, true
	p.submitGang(firstJob, 2)
	g.Expect(p.awaitGang(2, 60*time.Second)).To(BeTrue(), "b and d are free")
}

// Guards against a gang that is not started on a worker that takes starts again, when
// it fits nowhere else.
func TestGangIsStartedOnOnlyWorkersAfterRejectedStarts(t *testing.T) {
	g := NewWithT(t)
	p := newScriptedPool(g, "a", "b")
	p.rejecting["a"] = true
	p.submitGang(firstJob, 2)
	g.Expect(p.awaitGang(2, 5*time.Second)).To(BeFalse())
	p.rejecting["a"] = false
	g.Expect(p.awaitGang(2, 5*time.Second)).To(BeTrue(), "a has taken starts for 5 s")
}
