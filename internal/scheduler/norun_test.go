package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

// The messages of the lines about jobs without a run.
const (
	noRunMessage   = "job has no run"
	againMessage   = "job runs again"
	summaryMessage = "jobs have no run"
)

const noRunJob job.ID = "00000000000000aa"

// task returns a step of one task.
func task(cpu int) job.Step {
	return job.Step{Count: 1, Need: job.Resources{CPU: cpu}, Estimate: time.Minute}
}

// lasting returns a step of one task that lasts.
func lasting(cpu int) job.Step {
	return job.Step{Count: 1, Need: job.Resources{CPU: cpu}, LongRunning: true}
}

// earlierHolderRecords are what an earlier holder has logged: a job with a run.
func earlierHolderRecords(spec job.Spec) []joblog.ProgressRecord {
	j := job.New(spec, job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3})
	j.Place(job.TaskID{Job: spec.ID}, job.Location{Worker: job.Incarnation{ID: "a", StartedAt: 1}, Address: "a"})
	return []joblog.ProgressRecord{
		{ID: spec.ID, Progress: &j.Progress},
		{ID: spec.ID, Submission: &joblog.Submission{Spec: spec, Terms: j.Terms}},
	}
}

// noRunCases give a job no run, each for another reason.
var noRunCases = map[scheduler.NoRunReason]func(p *noRunPool){
	scheduler.NoRunTakeover: func(p *noRunPool) {
		p.submit(noRunJob, task(1000))
		p.holder.Phase = scheduler.PhaseLoading
	},
	scheduler.NoRunEnded: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.holder.Phase = scheduler.PhaseEnded
	},
	scheduler.NoRunFenced: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.c.PollFailed(p.c.Poll("a", p.now.Now, simDutyLease), &worker.RejectedError{Reason: worker.ReasonFenced}, p.now)
	},
	scheduler.NoRunLogSilent: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.holder.Phase, p.holder.AppendStarted, p.stuck = scheduler.PhaseAppending, p.now.Now, true
	},
	scheduler.NoRunNotPlanned: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.holder.PlannedAt, p.stuck = p.now.Now, true
	},
	scheduler.NoRunListUnread: func(p *noRunPool) {
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunNoneListed: func(p *noRunPool) {
		p.c.ReplaceWorkers(nil, p.now)
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunUnreachable: func(p *noRunPool) {
		p.add("a")
		p.silence("a")
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunUnreconciled: func(p *noRunPool) {
		p.c.UpdateWorkers([]worker.Listing{noRunListing("a")}, nil, p.now)
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunDraining: func(p *noRunPool) {
		p.add("a")
		l := noRunListing("a")
		l.Draining = true
		p.c.UpdateWorkers([]worker.Listing{l}, nil, p.now)
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunCordoned: func(p *noRunPool) {
		p.add("a")
		p.c.Cordon("a", "test", false)
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunEjected: func(p *noRunPool) {
		p.add("a", "b", "c", "d")
		l := noRunListing("a")
		l.Labels = []string{"fast"}
		p.c.UpdateWorkers([]worker.Listing{l}, nil, p.now)
		st := task(1000)
		st.Label = "fast"
		for n := range 3 {
			p.submit(job.ID(fmt.Sprintf("00000000000000b%d", n)), st)
			s := p.start()[0]
			p.report("a", worker.Report{Ended: []worker.RunEnd{{Number: int64(n + 1), Run: s.Run, Reason: job.EndFailed}}})
			p.c.Cancel(s.Run.Task.Job, p.now)
		}
		p.submit(noRunJob, st)
		p.commit()
	},
	scheduler.NoRunNoLabel: func(p *noRunPool) {
		p.add("a")
		st := task(1000)
		st.Label = "fast"
		p.submit(noRunJob, st)
		p.commit()
	},
	scheduler.NoRunNotApproved: func(p *noRunPool) {
		p.add("a")
		p.submitSpec(job.Spec{ID: noRunJob, Steps: []job.Step{task(1000)}}, &job.ApprovalSettings{})
		p.commit()
	},
	scheduler.NoRunNodeLimit: func(p *noRunPool) {
		p.add("a")
		st := lasting(1000)
		st.Count, st.MaxPerWorker = 2, 1
		p.submit(noRunJob, st)
		p.start()
		p.commit()
	},
	scheduler.NoRunNoResources: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(scriptCapacity+1))
		p.commit()
	},
	scheduler.NoRunNotLogged: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.plan()
		p.holder.Phase, p.holder.AppendStarted, p.stuck = scheduler.PhaseAppending, p.now.Now, true
	},
	scheduler.NoRunStartNoDuty: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.commit()
		p.holder.DutyRemaining = 0
	},
	scheduler.NoRunStartUnreachable: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.commit()
		p.silence("a")
	},
	scheduler.NoRunStartOldList: func(p *noRunPool) {
		p.add("a")
		p.now.Now += simLease
		p.answer("a")
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunStartEarlierLease: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.commit()
		scheduler.NameEarlierLease(p.c, "a")
	},
	scheduler.NoRunStartHeld: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		scheduler.MarkSuspect(p.c, "a", p.commit()[0].Run)
	},
	scheduler.NoRunStartNotSent: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.commit()
	},
	scheduler.NoRunStartUnanswered: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.send(p.commit()[0], errNoAnswer)
	},
	scheduler.NoRunStopping: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		s := p.commit()[0]
		p.send(s, errNoAnswer)
		p.send(s, &worker.RejectedError{Reason: worker.ReasonNoResources})
	},
	scheduler.NoRunLease: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		p.start()
		p.silence("a")
	},
	scheduler.NoRunEarlierLease: func(p *noRunPool) {
		p.c.Restore(earlierHolderRecords(job.Spec{ID: noRunJob, Steps: []job.Step{task(1000)}}), p.now)
	},
	scheduler.NoRunEarlierSteps: func(p *noRunPool) {
		p.add("a")
		st := lasting(1000)
		st.After = []int{0}
		p.submit(noRunJob, task(1000), st)
		p.start()
	},
	scheduler.NoRunNotReleased: func(p *noRunPool) {
		p.add("a")
		p.submitSpec(job.Spec{ID: noRunJob, Steps: []job.Step{task(1000)}, Repeat: 1, FirstDue: p.now.Wall}, nil)
	},
	scheduler.NoRunNotQueued: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		scheduler.DropFromQueue(p.c, noRunJob)
	},
	scheduler.NoRunUntracked: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		s := p.commit()[0]
		scheduler.DropFromWorker(p.c, s.Worker, s.Run)
	},
	scheduler.NoRunNoTask: func(p *noRunPool) {
		p.add("a")
		p.submit(noRunJob, task(1000))
		scheduler.DropTasks(p.c, noRunJob)
	},
}

// The log must say of every job that has no run why, and since when.
func TestJobWithoutRunIsLoggedWithReason(t *testing.T) {
	for _, reason := range scheduler.AllNoRunReasons() {
		t.Run(string(reason), func(t *testing.T) {
			g := NewWithT(t)
			p := newNoRunPool(g)
			g.Expect(noRunCases).To(HaveKey(reason), "a case for each reason")
			noRunCases[reason](p)
			p.pass(scheduler.NoRunAfter + scheduler.NoRunInterval)
			g.Expect(p.reasons(noRunMessage)).To(Equal([]string{string(reason)}))
			g.Expect(p.rep.Reasons).To(Equal(map[scheduler.NoRunReason]int{reason: 1}))
			line := p.lines(noRunMessage)[0]
			g.Expect(line).To(HaveKeyWithValue("job", string(noRunJob)))
			g.Expect(line).To(HaveKeyWithValue("token", 7.0))
			g.Expect(line["no_run_for"]).To(BeNumerically("~", scheduler.NoRunAfter.Milliseconds(), 2*scheduler.NoRunInterval.Milliseconds()))
			for _, field := range []string{"plan_age", "duty_remaining", "listed", "accepting", "unreachable", "unreconciled", "ejected", "cordoned", "draining", "awaiting_lease"} {
				g.Expect(line).To(HaveKey(field))
			}
		})
	}
}

// What runs, or has nothing to run yet, must not be logged.
func TestJobWithRunOrNothingDueIsNotLogged(t *testing.T) {
	g := NewWithT(t)
	p := newNoRunPool(g)
	p.add("a")
	p.submit(noRunJob, task(1000), lasting(1000))
	p.submitSpec(job.Spec{ID: "00000000000000bb", Steps: []job.Step{task(1000)}, Repeat: 1, FirstDue: p.now.Wall + time.Hour.Milliseconds()}, nil)
	p.start()
	p.pass(10 * scheduler.NoRunRepeat)
	g.Expect(p.lines(noRunMessage)).To(BeEmpty())
	g.Expect(p.rep.Reasons).To(BeEmpty())
	g.Expect(p.rep.Workers.Accepting).To(Equal(1))
}

// A scheduled job waits from its due time on, not from its submission on.
func TestScheduledJobWaitsFromItsDueTime(t *testing.T) {
	g := NewWithT(t)
	p := newNoRunPool(g)
	due := 10 * time.Second
	p.submitSpec(job.Spec{ID: noRunJob, Steps: []job.Step{task(1000)}, Repeat: 1, FirstDue: p.now.Wall + due.Milliseconds()}, nil)
	p.pass(due)
	g.Expect(p.lines(noRunMessage)).To(BeEmpty())
	p.commit()
	p.pass(scheduler.NoRunAfter + scheduler.NoRunInterval)
	g.Expect(p.lines(noRunMessage)).To(HaveLen(1))
	g.Expect(p.lines(noRunMessage)[0]["no_run_for"]).To(BeNumerically("<=", (scheduler.NoRunAfter + scheduler.NoRunInterval).Milliseconds()))
}

// A line comes at once when the reason changes, else at most every NoRunRepeat, and the
// last one says how long the job had no run.
func TestLinesAboutJobWithoutRun(t *testing.T) {
	g := NewWithT(t)
	p := newNoRunPool(g)
	p.submit(noRunJob, task(1000))
	p.commit()
	p.pass(scheduler.NoRunAfter + 2*scheduler.NoRunRepeat)
	unread := string(scheduler.NoRunListUnread)
	g.Expect(p.reasons(noRunMessage)).To(Equal([]string{unread, unread, unread}))

	p.c.UpdateWorkers([]worker.Listing{noRunListing("a")}, nil, p.now)
	p.commit()
	p.pass(scheduler.NoRunInterval)
	unreconciled := string(scheduler.NoRunUnreconciled)
	g.Expect(p.reasons(noRunMessage)).To(Equal([]string{unread, unread, unread, unreconciled}))

	p.answer("a")
	p.start()
	p.pass(scheduler.NoRunInterval)
	again := p.lines(againMessage)
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0]).To(HaveKeyWithValue("reason", unreconciled))
	g.Expect(again[0]["no_run_for"]).To(BeNumerically("~", (scheduler.NoRunAfter + 2*scheduler.NoRunRepeat + scheduler.NoRunInterval).Milliseconds()))
	p.pass(scheduler.NoRunRepeat)
	g.Expect(p.lines(againMessage)).To(HaveLen(1))
	g.Expect(p.lines(noRunMessage)).To(HaveLen(4))
}

// A job whose run began and ended between two checks has had a run.
func TestRunBetweenTwoChecksCounts(t *testing.T) {
	g := NewWithT(t)
	p := newNoRunPool(g)
	p.add("a")
	st := task(1000)
	p.submit(noRunJob, st, job.Step{Count: 1, After: []int{0}, Need: job.Resources{CPU: scriptCapacity + 1}})
	p.pass(scheduler.NoRunAfter)
	g.Expect(p.lines(noRunMessage)).To(HaveLen(1))
	s := p.start()[0]
	p.report("a", worker.Report{Ended: []worker.RunEnd{{Number: 1, Run: s.Run, Reason: job.EndDone}}})
	p.commit()
	p.pass(scheduler.NoRunInterval)
	g.Expect(p.lines(againMessage)).To(HaveLen(1))
	g.Expect(p.rep.Reasons).To(BeEmpty(), "it has had no run for less than NoRunAfter")
	p.pass(scheduler.NoRunAfter)
	g.Expect(p.rep.Reasons).To(HaveKeyWithValue(scheduler.NoRunNoResources, 1))
}

// However many jobs wait, the lines are bounded, unusual reasons come first, and the
// summary counts the rest.
func TestLinesAboutJobsWithoutRunAreBounded(t *testing.T) {
	g := NewWithT(t)
	p := newNoRunPool(g)
	p.add("a")
	const jobs = 500
	for n := range jobs {
		p.submit(job.ID(fmt.Sprintf("%016x", 1000+n)), task(scriptCapacity+1))
	}
	p.submit(noRunJob, task(1000))
	p.commit()
	checks := 0
	for ; checks < 20; checks++ {
		p.pass(scheduler.NoRunInterval)
	}
	lines := p.lines(noRunMessage)
	g.Expect(len(lines)).To(BeNumerically("<=", checks*scheduler.MaxNoRunLines))
	g.Expect(lines[0]).To(HaveKeyWithValue("job", string(noRunJob)), "its start is not sent, which is unusual")
	named := map[any]bool{}
	for _, l := range lines {
		named[l["job"]] = true
	}
	g.Expect(len(named)).To(BeNumerically(">", len(lines)/2), "the lines take turns")
	summaries := p.lines(summaryMessage)
	g.Expect(len(summaries)).To(BeNumerically("<=", 1+int(time.Duration(checks)*scheduler.NoRunInterval/scheduler.NoRunRepeat)))
	g.Expect(summaries).NotTo(BeEmpty())
	g.Expect(summaries[0]).To(HaveKeyWithValue(string(scheduler.NoRunNoResources), float64(jobs)))
	g.Expect(summaries[0]).To(HaveKeyWithValue("jobs", jobs+1.0))
	g.Expect(summaries[0]["lines_left_out"]).To(BeNumerically(">=", jobs+1-scheduler.MaxNoRunLines))
	g.Expect(p.rep.Longest).To(Equal(time.Duration(checks) * scheduler.NoRunInterval))
}

// A lasting task without a run is logged though others of its job run.
func TestLastingTaskWithoutRunIsLogged(t *testing.T) {
	g := NewWithT(t)
	p := newNoRunPool(g)
	p.add("a", "b")
	st := lasting(3000)
	st.Count = 2
	p.submit(noRunJob, st, task(500))
	p.start()
	p.pass(scheduler.NoRunRepeat)
	g.Expect(p.lines(noRunMessage)).To(BeEmpty())
	p.silence("b")
	p.pass(scheduler.NoRunAfter)
	g.Expect(p.reasons(noRunMessage)).To(Equal([]string{string(scheduler.NoRunLease)}))
	line := p.lines(noRunMessage)[0]
	g.Expect(line["task"]).To(HavePrefix(string(noRunJob) + ".0.0."))
	g.Expect(line).To(HaveKeyWithValue("worker", "b"))
	g.Expect(line).To(HaveKey("lease_remaining"))
}

// A job that is cancelled while it waits must not be told of for ever.
func TestCancelledJobNeedsNoRun(t *testing.T) {
	g := NewWithT(t)
	p := newNoRunPool(g)
	p.submit(noRunJob, task(1000))
	p.commit()
	p.pass(scheduler.NoRunAfter)
	g.Expect(p.lines(noRunMessage)).To(HaveLen(1))
	p.c.Cancel(noRunJob, p.now)
	p.commit()
	p.pass(2 * scheduler.NoRunRepeat)
	g.Expect(p.lines(noRunMessage)).To(HaveLen(1))
	g.Expect(p.lines("job needs no run any more")).To(HaveLen(1))
	g.Expect(p.rep.Reasons).To(BeEmpty())
}
