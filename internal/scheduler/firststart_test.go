package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

// firstStart plans the first start of the pool's task and returns its order.
func (p *crashPool) firstStart() scheduler.StartOrder {
	p.pollWorkers()
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(1))
	o, send := p.startOrder(starts[0])
	p.g.Expect(send).To(Equal(scheduler.SendNow))
	return o
}

// lapse lets the leases of a worker that is down expire.
func (p *crashPool) lapse() {
	for range int(2 * simMaxLease / crashTick) {
		p.wait(crashTick)
		p.pollWorkers()
		p.plan()
	}
}

// queued returns how many jobs count as queued.
func (p *crashPool) queued() int { return p.core.QueuedJobs("e", job.Selector{}) }

// Guards against jobs that are not counted as pending since a run of them was planned, although
// no worker has started it (MIXED, review/13), and against jobs that are shown as queued
// although a worker has.
func TestJobIsQueuedUntilAWorkerHasStartedATask(t *testing.T) {
	for name, c := range map[string]struct {
		start func(*crashPool)
		want  job.Phase
	}{
		"planned":         {func(p *crashPool) { p.pollWorkers(); p.plan() }, job.Queued},
		"ordered":         {func(p *crashPool) { p.firstStart() }, job.Queued},
		"dropped unsent":  {func(p *crashPool) { p.pollWorkers(); p.plan(); p.workers[0].crash(); p.lapse() }, job.Queued},
		"rejected":        {func(p *crashPool) { p.answer(&worker.RejectedError{Reason: worker.ReasonNoResources, Clock: 2}) }, job.Queued},
		"not sent":        {func(p *crashPool) { p.answer(verdict.NewNotRun(verdict.ReasonConnect, "refused")) }, job.Queued},
		"unanswered":      {func(p *crashPool) { p.answer(verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer")) }, job.Queued},
		"worker replaced": {func(p *crashPool) { p.answer(worker.ErrWorkerReplaced) }, job.Queued},
		"worker crashed before": {func(p *crashPool) {
			o := p.firstStart()
			p.workers[0].crash()
			p.core.StartAnswered(o, 0, verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"), p.now)
			p.lapse()
		}, job.Queued},
		"worker crashed after": {func(p *crashPool) { p.answer(nil); p.workers[0].crash(); p.lapse() }, job.Running},
		"answered":             {func(p *crashPool) { p.answer(nil) }, job.Running},
		"listed by a poll": {func(p *crashPool) {
			o := p.firstStart()
			p.core.StartAnswered(o, 0, verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"), p.now)
			p.workers[0].runs = []job.RunID{o.Order.Run}
			p.wait(crashTick)
			p.pollWorkers()
		}, job.Running},
		"listed as ended": {func(p *crashPool) {
			o := p.firstStart()
			poll := p.core.Poll(o.Worker, p.now.Now, time.Second)
			end := worker.RunEnd{Number: 1, Run: o.Order.Run, Reason: job.EndFailed}
			p.core.PollSucceeded(poll, worker.Report{StartedAt: 1, Clock: p.clock(p.workers[0]), Ended: []worker.RunEnd{end}}, p.now)
		}, job.Running},
	} {
		t.Run(name, func(t *testing.T) {
			p := newCrashPool(t)
			c.start(p)
			p.expectPhase(c.want)
		})
	}
}

// answer has the first start answered.
func (p *crashPool) answer(err error) {
	o := p.firstStart()
	if err == nil {
		p.workers[0].runs = []job.RunID{o.Order.Run}
	}
	p.core.StartAnswered(o, p.clock(p.workers[0]), err, p.now)
}

// expectPhase expects a phase of the job, and that it is counted by it.
func (p *crashPool) expectPhase(want job.Phase) {
	phase, _ := p.core.Lookup(crashJob)
	p.g.ExpectWithOffset(1, phase).To(Equal(want))
	p.g.ExpectWithOffset(1, p.queued() == 1).To(Equal(want == job.Queued))
}

// Guards against a count of pending jobs that is wrong after a takeover: whether a task has
// started is taken from the log, once a record tells, or from the worker that has the run.
func TestTakeoverKnowsWhichJobsHaveStarted(t *testing.T) {
	p := newCrashPool(t)
	p.firstStart()
	p.takeOver()
	p.expectPhase(job.Queued)
	p.pollWorkers()
	p.expectPhase(job.Queued)

	p = newCrashPool(t)
	p.answer(nil)
	p.takeOver()
	p.pollWorkers()
	p.expectPhase(job.Running)

	p = newCrashPool(t)
	p.answer(nil)
	p.workers[0].crash()
	p.lapse()
	p.takeOver()
	p.expectPhase(job.Running)
}

// Guards against jobs that count as started since a holder of an earlier release has logged a
// plan for them, as it did for those in review/13.
func TestPhaseLoggedByAnEarlierReleaseIsCorrected(t *testing.T) {
	for name, c := range map[string]struct {
		tell func(*job.Progress)
		want job.Phase
	}{
		"planned only": {func(*job.Progress) {}, job.Queued},
		"a task done":  {func(p *job.Progress) { p.Occurrences[0].Steps[0].Tasks[0].Done = true }, job.Running},
		"a failure":    {func(p *job.Progress) { p.Occurrences[0].Steps[0].Tasks[0].Failures = 1 }, job.Running},
		"a checkpoint": {func(p *job.Progress) { p.Occurrences[0].Steps[0].Tasks[0].Checkpoint = "c" }, job.Running},
		"an occurrence done": {func(p *job.Progress) {
			p.Occurrences, p.NextOccurrence = nil, 1
		}, job.Running},
		"its own record": {func(p *job.Progress) { p.Started = true }, job.Running},
	} {
		g := NewWithT(t)
		j := job.New(job.Spec{ID: crashJob, Steps: []job.Step{{Count: 1}}}, job.Terms{})
		j.Place(job.TaskID{Job: crashJob}, job.Location{})
		j.Phase = job.Running
		c.tell(&j.Progress)
		e, err := joblog.ProgressEntry(crashJob, &j.Progress)
		g.Expect(err).NotTo(HaveOccurred())
		p := newCrashPool(t)
		p.log[e.Key] = e.Value
		p.takeOver()
		phase, _ := p.core.Lookup(crashJob)
		g.Expect(phase).To(Equal(c.want), name)
	}
}
