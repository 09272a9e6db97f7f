package worker

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
)

// newCrashState returns a worker with a run that was started and confirmed at a
// moment.
func newCrashState(started time.Duration) (*State, *Run) {
	s := newTestState()
	r := newTestRun(1)
	r.State, r.StateSince, r.StartSentAt, r.Suspect = RunConfirmed, started, started, true
	s.AddRun(r)
	s.LastAnswer = started
	return s, r
}

// A crash long after the start must not be put down to the task: with polls that wait
// for a second the last answer of a worker was that of the start.
func TestSuspectIsPolledUntilItIsCleared(t *testing.T) {
	g := NewWithT(t)
	s, r := newCrashState(time.Second)
	g.Expect(s.IsolatedFor(time.Second)).To(Equal(crashWindow))
	g.Expect(s.IsolatedFor(time.Second + crashWindow)).To(Equal(minSurvivalWait))
	r.LastReported = time.Second + crashWindow
	g.Expect(s.Survived(r)).To(BeTrue())
	s.Acquit(r)
	g.Expect(s.SuspectRuns).To(BeZero())
	s.RemoveRun(r.ID)
	g.Expect(s.SuspectRuns).To(BeZero())
}

// Guards against a further start beside a suspect that no poll has cleared: if that task
// crashes the worker, the suspect is blamed too.
func TestWorkerIsIsolatedUntilPollClearsSuspect(t *testing.T) {
	g := NewWithT(t)
	s, r := newCrashState(time.Second)
	after := time.Second + crashWindow
	g.Expect(s.Isolated(after)).To(BeTrue(), "the last answer is that of the start")
	g.Expect(s.IsolatedFor(after)).To(Equal(minSurvivalWait))
	r.LastReported = after
	g.Expect(s.Isolated(after)).To(BeFalse())
	g.Expect(s.IsolatedFor(after)).To(BeZero())
}

// Only runs that may have started just before the crash are blamed, and only one that
// is alone for certain.
func TestMarkCrashBlamesRecentRuns(t *testing.T) {
	g := NewWithT(t)
	s, old := newCrashState(time.Second)
	recent := newTestRun(2)
	recent.State, recent.StateSince, recent.StartSentAt = RunConfirmed, 2*time.Second, 2*time.Second
	s.AddRun(recent)
	s.LastAnswer = 2 * time.Second
	s.MarkCrash(true)
	g.Expect(old.CrashReason).To(BeEmpty())
	g.Expect(recent.CrashReason).To(Equal(job.EndCrashedWorker))
	s.MarkCrash(false)
	g.Expect(recent.CrashReason).To(Equal(job.EndCrashPossible))
}

// Guards against a job that is given up for a start that got no answer since another
// task had crashed the worker before: the worker had answered before both were sent.
func TestUnansweredStartBesideAnotherIsNoCertainCrash(t *testing.T) {
	g := NewWithT(t)
	s, other := newCrashState(time.Second)
	unanswered := newTestRun(2)
	unanswered.State, unanswered.StartSentAt, unanswered.Verified, unanswered.SentWhileUp = RunOrdered, time.Second, true, true
	s.AddRun(unanswered)
	s.MarkCrash(true)
	g.Expect(unanswered.CrashReason).To(Equal(job.EndCrashPossible))
	g.Expect(other.CrashReason).To(Equal(job.EndCrashSuspected))
}

// Guards against a job that is given up after one crash under its task: another cause had
// crashed the worker just before a start arrived, at which the task was alone there.
func TestUnansweredStartIsNeverTheOnlyPossibleCause(t *testing.T) {
	g := NewWithT(t)
	s, r := newCrashState(time.Second)
	s.MarkCrash(true)
	g.Expect(r.CrashReason).To(Equal(job.EndCrashedWorker), "with an answer")
	r.State, r.Verified, r.SentWhileUp = RunOrdered, true, true
	s.MarkCrash(true)
	g.Expect(r.CrashReason).To(Equal(job.EndCrashSuspected), "without an answer")
}

// A run that an earlier holder had just started must be blamed for a crash, also if
// this holder's first poll still found it there.
func TestMarkCrashBlamesAdoptedRunThatFirstAnswerListed(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		lastAnswer time.Duration
		reason     job.EndReason
	}{
		{time.Second, job.EndCrashedWorker},
		{time.Second + crashWindow - time.Millisecond, job.EndCrashedWorker},
		{time.Second + crashWindow, ""},
	} {
		s := newTestState()
		r := newTestRun(1)
		r.State, r.Adopted, r.LastReported = RunConfirmed, true, time.Second
		s.AddRun(r)
		s.FencedAt, s.LastAnswer = time.Second, c.lastAnswer
		s.MarkCrash(true)
		g.Expect(r.CrashReason).To(Equal(c.reason), "last answer at %v", c.lastAnswer)
	}
}

// A suspect must not be started beside a run that may still crash the worker: its start
// would get no answer and count against it.
func TestSuspectAwaitsAnswerAfterOtherStarts(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	suspect, other := newTestRun(1), newTestRun(2)
	suspect.Suspect, suspect.StateSince = true, time.Second
	other.State, other.StartSentAt = RunConfirmed, time.Second
	s.AddRun(suspect)
	s.AddRun(other)
	for _, c := range []struct {
		lastAnswer time.Duration
		awaits     bool
	}{
		{time.Second - time.Millisecond, true},
		{time.Second, true},
		{time.Second + crashWindow - time.Millisecond, true},
		{time.Second + crashWindow, false},
	} {
		s.LastAnswer = c.lastAnswer
		g.Expect(s.AwaitsAnswer(suspect)).To(Equal(c.awaits), "last answer at %v", c.lastAnswer)
	}
	s.LastAnswer = time.Second
	s.RemoveRun(other.ID)
	g.Expect(s.AwaitsAnswer(suspect)).To(BeFalse(), "alone on the worker")
}
