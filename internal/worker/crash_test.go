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
