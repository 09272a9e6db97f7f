package job

import (
	"testing"

	. "github.com/onsi/gomega"
)

// crashTask ends a new run of a job's first task, which its worker has started, with each of the
// reasons in turn.
func crashTask(j *Job, reasons ...EndReason) {
	for _, reason := range reasons {
		if !j.Phase.Final() {
			r := j.Place(TaskID{Job: j.Spec.ID}, Location{})
			j.TaskStarted()
			j.EndRun(r, reason, "", 1)
		}
	}
}

// A job must not be given up for workers that crashed under tasks of other jobs, and
// must be given up once its own task has crashed too many.
func TestJobFailsOnceItsTaskHasCrashedTooManyWorkers(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		reasons []EndReason
		phase   Phase
	}{
		{[]EndReason{EndCrashedWorker}, Running},
		{[]EndReason{EndCrashSuspected, EndCrashedWorker}, Failed},
		{[]EndReason{EndCrashedWorker, EndCrashSuspected}, Running},
		{[]EndReason{EndCrashSuspected, EndCrashSuspected, EndCrashSuspected}, Failed},
		{[]EndReason{EndCrashPossible, EndCrashPossible, EndCrashPossible, EndCrashPossible}, Running},
		{[]EndReason{EndCrashPossible, EndCrashPossible, EndCrashPossible, EndCrashPossible, EndCrashPossible}, Failed},
		{[]EndReason{EndCrashPossible, EndCrashPossible, EndCrashPossible, EndCrashSuspected}, Failed},
		{[]EndReason{EndWorkerLost, EndWorkerLost, EndWorkerLost, EndWorkerLost, EndWorkerLost, EndWorkerLost}, Running},
	} {
		j := New(Spec{ID: "00000000000000aa", Steps: []Step{{Count: 1}}}, Terms{MaxAttempts: 3})
		crashTask(j, c.reasons...)
		g.Expect(j.Phase).To(Equal(c.phase), "%v", c.reasons)
	}
}

// crashOn ends a new run of a job's first task on a worker, which has started it.
func crashOn(j *Job, worker string, reason EndReason) {
	if !j.Phase.Final() {
		r := j.Place(TaskID{Job: j.Spec.ID}, Location{Worker: Incarnation{ID: worker}})
		j.TaskStarted()
		j.EndRun(r, reason, "", 1)
	}
}

// Guards against a job that is given up since one and the same worker crashed again and
// again, as a worker does whose host is at fault, and against starts without end there.
func TestCrashesOfOneWorkerFailJobOnlyAtUpperBound(t *testing.T) {
	g := NewWithT(t)
	type crash struct {
		worker string
		reason EndReason
	}
	certain, suspected, possible := EndCrashedWorker, EndCrashSuspected, EndCrashPossible
	for _, c := range []struct {
		crashes []crash
		phase   Phase
	}{
		{[]crash{{"a", certain}, {"a", certain}, {"a", certain}}, Running},
		{[]crash{{"a", suspected}, {"a", suspected}, {"a", suspected}}, Running},
		{[]crash{{"a", possible}, {"a", possible}, {"a", possible}, {"a", possible}}, Running},
		// One crash more may not have been counted, since the holder changed.
		{[]crash{{"a", certain}, {"a", certain}, {"a", certain}, {"a", certain}}, Failed},
		{[]crash{{"a", suspected}, {"a", suspected}, {"a", suspected}, {"a", suspected}}, Failed},
		{[]crash{{"a", possible}, {"a", possible}, {"a", possible}, {"a", suspected}}, Failed},
		{[]crash{{"a", possible}, {"a", possible}, {"a", possible}, {"a", possible}, {"a", EndStartUnverified}}, Failed},
		// A worker that may have crashed does not make the others different.
		{[]crash{{"b", possible}, {"a", certain}, {"a", certain}}, Running},
		{[]crash{{"b", possible}, {"a", certain}, {"a", certain}, {"a", certain}}, Failed},
		{[]crash{{"b", EndStartUnverified}, {"a", certain}, {"a", certain}}, Running},
		{[]crash{{"a", certain}, {"b", certain}}, Failed},
		{[]crash{{"a", certain}, {"a", certain}, {"b", suspected}}, Failed},
		{[]crash{{"a", possible}, {"a", possible}, {"b", possible}, {"a", suspected}}, Failed},
	} {
		j := New(Spec{ID: "00000000000000aa", Steps: []Step{{Count: 1}}}, Terms{MaxAttempts: 3})
		for _, e := range c.crashes {
			crashOn(j, e.worker, e.reason)
		}
		g.Expect(j.Phase).To(Equal(c.phase), "%v", c.crashes)
	}
}

// Guards against a deadly task that is started five times more after an update, since the
// counts that were logged before do not name the workers.
func TestCrashCountsOfUnknownWorkersCountForSeveral(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		logged CrashCount
		reason EndReason
		phase  Phase
	}{
		{CrashCount{Certain: 1}, EndCrashedWorker, Failed},
		{CrashCount{Certain: 2}, EndCrashSuspected, Failed},
		{CrashCount{Certain: 1, Possible: 2}, EndCrashPossible, Failed},
		{CrashCount{Possible: 1}, EndCrashedWorker, Running},
		{CrashCount{Unverified: true}, EndCrashedWorker, Running},
	} {
		j := New(Spec{ID: "00000000000000aa", Steps: []Step{{Count: 1}}}, Terms{MaxAttempts: 3})
		j.Crashes = []CrashCount{c.logged}
		crashOn(j, "a", c.reason)
		g.Expect(j.Phase).To(Equal(c.phase), "%+v", c.logged)
	}
}

// A task whose worker survives its start must not be given up for crashes that it had
// before: a task that lasts would collect them over its life.
func TestSurvivedStartClearsCrashes(t *testing.T) {
	g := NewWithT(t)
	j := New(Spec{ID: "00000000000000aa", Steps: []Step{{Count: 2, LongRunning: true}}}, Terms{MaxAttempts: 3})
	crashTask(j, EndCrashedWorker)
	task := TaskID{Job: j.Spec.ID}
	g.Expect(j.Suspect(task)).To(BeTrue())
	g.Expect(j.Survived(task)).To(BeTrue())
	g.Expect(j.Survived(task)).To(BeFalse())
	crashTask(j, EndCrashedWorker)
	g.Expect(j.Phase).To(Equal(Running))
	g.Expect(j.CrashCount(TaskID{Job: j.Spec.ID, Index: 1})).To(BeZero())
}

// A crash that is taken back must leave no count, and no other crash may be forgotten with
// it.
func TestTakeBackCrashRemovesOnlyThatCrash(t *testing.T) {
	g := NewWithT(t)
	j := New(Spec{ID: "00000000000000aa", Steps: []Step{{Count: 1}}}, Terms{MaxAttempts: 3})
	task := TaskID{Job: j.Spec.ID}
	crashOn(j, "a", EndCrashSuspected)
	g.Expect(j.TakeBackCrash(task, "b")).To(BeFalse(), "of another worker")
	g.Expect(j.TakeBackCrash(task, "a")).To(BeTrue())
	g.Expect(j.HasCrashes()).To(BeFalse())
	crashOn(j, "a", EndCrashSuspected)
	crashOn(j, "b", EndCrashPossible)
	g.Expect(j.TakeBackCrash(task, "a")).To(BeFalse(), "once another crash is counted")
	g.Expect(j.CrashCount(task)).To(Equal(2))
}

// Counts of tasks that are done must leave the record of a job.
func TestDoneTaskHasNoCrashes(t *testing.T) {
	g := NewWithT(t)
	j := New(Spec{ID: "00000000000000aa", Steps: []Step{{Count: 2, Speculative: true}}}, Terms{MaxAttempts: 3})
	task := TaskID{Job: j.Spec.ID}
	copied := j.Place(task, Location{})
	crashTask(j, EndCrashedWorker, EndDone)
	g.Expect(j.HasCrashes()).To(BeFalse())
	j.EndRun(copied, EndCrashedWorker, "", 1)
	g.Expect(j.HasCrashes()).To(BeFalse())
}

// A task under which several workers may have crashed must start alone: else it is
// blamed for crashes of the tasks beside it until its job fails.
func TestTaskIsSuspectAfterOneCertainOrTwoPossibleCrashes(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		reasons []EndReason
		suspect bool
	}{
		{[]EndReason{EndWorkerLost, EndWorkerLost}, false},
		{[]EndReason{EndCrashPossible}, false},
		{[]EndReason{EndCrashPossible, EndCrashPossible}, true},
		{[]EndReason{EndCrashSuspected}, true},
	} {
		j := New(Spec{ID: "00000000000000aa", Steps: []Step{{Count: 1}}}, Terms{MaxAttempts: 3})
		crashTask(j, c.reasons...)
		g.Expect(j.Suspect(TaskID{Job: j.Spec.ID})).To(Equal(c.suspect), "%v", c.reasons)
	}
}
