package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
)

const (
	stallEstimate = 400 * time.Millisecond
	// stallTasks is how many tasks a job of a stallPool has. One worker has room for
	// them.
	stallTasks = 3
	// stallSilence is for how long a worker does not answer. Its runs are overdue
	// by then, and their lease lasts.
	stallSilence = 3 * time.Second
	// stalledRestart is how long after their start the tasks of a worker on which
	// they stand still may take to start elsewhere.
	stalledRestart = 3 * time.Second
)

// stallPool is a pool whose tasks are known to take as long as estimated.
func stallPool(g *WithT) *scriptedPool {
	p := newScriptedPool(g, "a", "b")
	for i := range 4 {
		p.runTasks(job.ID([]string{"00000000000000b0", "00000000000000b1", "00000000000000b2", "00000000000000b3"}[i]))
		for r := range p.running {
			p.end(r, job.EndDone)
		}
		p.advance(scriptTick)
	}
	return p
}

// runTasks submits a job and waits until its tasks run.
func (p *scriptedPool) runTasks(id job.ID) {
	need := job.Resources{CPU: scriptCapacity / stallTasks}
	p.c.Submit(&joblog.Submission{
		Spec:  job.Spec{ID: id, Steps: []job.Step{{Count: stallTasks, Need: need, Estimate: stallEstimate}}},
		Terms: job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3},
	}, p.now)
	p.advance(2 * scriptTick)
	p.g.Expect(p.running).To(HaveLen(stallTasks))
}

// Guards against runs that are done and are stopped, on a worker that is well and was
// not heard since they ended.
func TestRunsThatEndUnheardAreNotStopped(t *testing.T) {
	g := NewWithT(t)
	p := stallPool(g)
	p.runTasks("00000000000000aa")
	p.silent["a"], p.silent["b"] = true, true
	for r := range p.running {
		p.end(r, job.EndDone)
	}
	for range int(stallSilence / scriptTick) {
		p.advance(scriptTick)
		g.Expect(scheduler.StoppingRuns(p.c, "a")+scheduler.StoppingRuns(p.c, "b")).To(BeZero(), "runs to be stopped after %v", p.now.Now)
	}
	p.silent["a"], p.silent["b"] = false, false
	p.advance(2 * scriptTick)
	phase, _ := p.c.Lookup("00000000000000aa")
	g.Expect(phase).To(Equal(job.Completed))
}

// Guards against tasks that stand still on a worker and are not started elsewhere.
func TestTasksThatStandStillStartElsewhere(t *testing.T) {
	g := NewWithT(t)
	p := stallPool(g)
	p.runTasks("00000000000000aa")
	at := map[job.RunID]string{}
	for r, id := range p.running {
		at[r] = id
	}
	p.advance(stalledRestart)
	for r := range p.running {
		g.Expect(at).NotTo(HaveKey(r), "a run that stands still")
	}
	g.Expect(p.running).To(HaveLen(stallTasks))
}
