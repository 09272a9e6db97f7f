package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

// The messages of the lines about jobs without a run.
const (
	noRunMessage   = "job has no run"
	againMessage   = "job runs again"
	summaryMessage = "jobs have no run"
)

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
	p.now.Now += scheduler.NoRunInterval / 2
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

// Guards against a wait that seems to end when a run is given up that was last known to
// be active when the wait began.
func TestWaitGoesOnWhenLostRunIsGivenUp(t *testing.T) {
	g := NewWithT(t)
	p := newNoRunPool(g)
	p.add("a")
	p.submit(noRunJob, task(1000))
	s := p.start()[0]
	p.now.Now += scheduler.NoRunInterval / 2
	p.answer("a", s.Run)
	p.silence("a")
	p.pass(2 * simMaxLease)
	p.commit()
	g.Expect(p.lines("run ended")).To(HaveLen(1))
	p.pass(scheduler.NoRunRepeat)
	g.Expect(p.lines(againMessage)).To(BeEmpty())
	last := p.lines(noRunMessage)[len(p.lines(noRunMessage))-1]
	g.Expect(last).To(HaveKeyWithValue("reason", string(scheduler.NoRunUnreachable)))
	g.Expect(last["no_run_for"]).To(BeNumerically(">", (2 * simMaxLease).Milliseconds()))
}
