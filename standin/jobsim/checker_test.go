package jobsim

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
)

var testTask = job.TaskID{Job: "00000000000000aa"}

// Guards against a soak that passes although a deadly task is started without end.
func TestCheckerLimitsStartsAfterCrashes(t *testing.T) {
	g := NewWithT(t)
	c := NewRunChecker()
	c.MarkDeadly(testTask)
	for range crashBudget + startBudget - 1 {
		c.start(testTask, "w0")
		c.workerCrashed(crash{worker: "w0"}, []job.TaskID{testTask})
	}
	g.Expect(c.Violations()).To(BeEmpty())
	c.start(testTask, "w0")
	g.Expect(c.Violations()).To(ConsistOf(ContainSubstring("BUDGET")))
}

// Guards against a soak that passes although innocent jobs are given up, or deadly
// ones without the crashes that allow it.
func TestCheckerRejectsFailedJobsWithoutCrashes(t *testing.T) {
	g := NewWithT(t)
	c := NewRunChecker()
	c.ShownFailed("00000000000000bb")
	g.Expect(c.InnocentFailed()).To(ConsistOf(ContainSubstring("at most 0 workers")))
	c = NewRunChecker()
	c.MarkDeadly(testTask)
	c.workerCrashed(crash{worker: "w0"}, []job.TaskID{testTask})
	c.ShownFailed(testTask.Job)
	g.Expect(c.Violations()).To(ConsistOf(ContainSubstring("after 1 crashes")))
}

// Guards against a soak that passes although a job is given up because of crashes that
// tasks of other jobs caused, and against one that judges crashes which it has injected.
func TestCheckerJudgesFailedInnocentJobsByTheirCrashes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes []crash
		listed  bool
	}{
		{"none", nil, true},
		{"one injected", []crash{{"w0", true}}, true},
		{"two by other tasks", []crash{{"w0", false}, {"w1", false}}, true},
		{"the last by another task", []crash{{"w0", true}, {"w1", false}}, true},
		{"one worker twice", []crash{{"w0", true}, {"w0", true}}, true},
		{"two workers, the last injected", []crash{{"w0", false}, {"w1", true}}, false},
	} {
		g := NewWithT(t)
		c := NewRunChecker()
		for _, cr := range tc.crashes {
			c.workerCrashed(cr, []job.TaskID{testTask})
		}
		c.ShownFailed(testTask.Job)
		g.Expect(c.InnocentFailed()).To(HaveLen(map[bool]int{true: 1}[tc.listed]), tc.name)
	}
}

// Guards against a soak that passes although a job that was given up starts again.
func TestCheckerRejectsStartsOfFailedJobs(t *testing.T) {
	g := NewWithT(t)
	c := NewRunChecker()
	c.shownFailed[testTask.Job] = time.Now()
	c.start(testTask, "w0")
	g.Expect(c.Violations()).To(BeEmpty())
	c.end(testTask, "w0")
	c.shownFailed[testTask.Job] = time.Now().Add(-failedStartGrace - time.Millisecond)
	c.start(testTask, "w0")
	g.Expect(c.Violations()).To(ConsistOf(ContainSubstring("was shown as failed")))
}

// Guards against a soak that passes although a worker is filled beyond the capacity
// that it has had for long, and against one that judges a shrink too soon.
func TestCheckerJudgesShrunkCapacityAfterGrace(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c := NewRunChecker()
	c.Submitted(testTask.Job, []job.Resources{{CPU: 5000, MemoryMB: 100}})
	half := job.Resources{CPU: fullCapacity.CPU / 2, MemoryMB: fullCapacity.MemoryMB / 2}
	w := &Worker{checker: c, capacities: []capacityChange{{capacity: fullCapacity}, {now.Add(-capacityGrace + time.Second), half}}}
	g.Expect(w.countedCapacity(now)).To(Equal(fullCapacity))
	w.checkCapacity(testTask)
	g.Expect(c.Violations()).To(BeEmpty())
	g.Expect(c.JudgedShrunk()).To(BeZero())
	w.capacities[1].at = now.Add(-capacityGrace - time.Millisecond)
	g.Expect(w.countedCapacity(now)).To(Equal(half))
	w.checkCapacity(testTask)
	g.Expect(c.Violations()).To(ConsistOf(ContainSubstring("LIMIT")))
	g.Expect(c.JudgedShrunk()).To(Equal(1))
}

// Guards against a soak that passes although jobs stand.
func TestCheckerFindsStandingJobs(t *testing.T) {
	g := NewWithT(t)
	c := NewRunChecker()
	need := job.Resources{CPU: 1000, MemoryMB: 64}
	w := &Worker{pool: "p", up: true, checker: c, running: map[job.TaskID]*run{}, capacities: []capacityChange{{capacity: fullCapacity}}}
	l := NewLivenessChecker(c, []*Worker{w})
	c.Submitted(testTask.Job, []job.Resources{need, need})
	l.Accepted(testTask.Job, "p", []StepShape{{1, need, nil}, {1, need, []int{0}}})
	start := time.Now()
	lookFor := func(from, length time.Duration) {
		l.look(start.Add(from))
		l.look(start.Add(from + length))
	}
	lookFor(0, maxStanding)
	g.Expect(l.Violations()).To(BeEmpty())
	lookFor(0, maxStanding+time.Millisecond)
	g.Expect(l.Violations()).To(ConsistOf(ContainSubstring("stands for 3.001s")))

	l.Accepted(testTask.Job, "p", []StepShape{{1, need, nil}, {1, need, []int{0}}})
	c.start(testTask, "w")
	lookFor(0, time.Minute)
	g.Expect(l.Violations()).To(BeEmpty(), "a task runs")
	c.end(testTask, "w")
	c.succeed(testTask)
	w.capacities = []capacityChange{{capacity: need}}
	lookFor(0, time.Minute)
	g.Expect(l.Violations()).To(BeEmpty(), "there is room for one task only")
	w.capacities = []capacityChange{{capacity: fullCapacity}}
	w.up = false
	lookFor(0, time.Minute)
	g.Expect(l.Violations()).To(BeEmpty(), "no worker is up")
	w.up = true
	lookFor(0, time.Minute)
	g.Expect(l.Violations()).To(HaveLen(1), "the second step is ready")
	l.Accepted(testTask.Job, "p", []StepShape{{1, need, nil}})
	lookFor(0, time.Minute)
	g.Expect(l.Violations()).To(BeEmpty(), "all tasks have ended")
}
