package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
)

// crashUnderSuspects starts all tasks of the pool's job on one worker, which then
// crashes and restarts. The next plan starts the tasks again, as suspects.
func (p *crashPool) crashUnderSuspects(tasks int) *crashWorker {
	w := p.awaitStart()
	p.g.Expect(w).NotTo(BeNil())
	p.g.Expect(w.runs).To(HaveLen(tasks))
	w.crash()
	p.wait(simRestartTime)
	p.restart(w)
	p.list()
	return w
}

// Guards against suspects that are started on the same worker, so that it is not known
// which of them crashes it.
func TestSuspectsStartOnDifferentWorkers(t *testing.T) {
	p := newCorePool(t, 2)
	p.addWorker("b", "b")
	a := p.crashUnderSuspects(2)
	p.g.Expect(p.awaitStart()).NotTo(BeNil())
	p.g.Expect(a.runs).To(HaveLen(1))
	p.g.Expect(p.worker("b").runs).To(HaveLen(1))
}

// Guards against a task that is started beside a suspect before the worker has
// survived the suspect's start.
func TestNoTaskStartsBesideSuspectThatHasJustStarted(t *testing.T) {
	p := newCorePool(t, 2)
	a := p.crashUnderSuspects(2)
	p.g.Expect(p.awaitStart()).To(Equal(a))
	p.g.Expect(a.runs).To(HaveLen(1))
	p.tick()
	p.g.Expect(a.runs).To(HaveLen(1), "%v after the start of the suspect", crashTick)
	p.tick()
	p.g.Expect(a.runs).To(HaveLen(2), "%v after the start of the suspect", 2*crashTick)
}

// Guards against a suspect that is started beside a task that has just started on
// another worker.
func TestSuspectStartsWhereNoTaskHasJustStarted(t *testing.T) {
	p := newCorePool(t, 1)
	p.addWorker("b", "b")
	p.list()
	a := p.crashUnderSuspects(1)
	p.g.Expect(a.listing.Incarnation.ID).To(Equal("a"))
	p.poll(p.worker("b"))
	p.core.Submit(&joblog.Submission{
		Spec:  job.Spec{ID: secondJob, Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}, Estimate: time.Minute}}},
		Terms: job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 9},
	}, p.now)
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(1), "the suspect has its run until a is polled")
	p.g.Expect(starts[0].Worker).To(Equal("b"))
	p.poll(a)
	starts = p.plan()
	p.g.Expect(starts).To(HaveLen(1))
	p.g.Expect(starts[0].Run.Task.Job).To(Equal(crashJob))
	p.g.Expect(starts[0].Worker).To(Equal("a"))
}
