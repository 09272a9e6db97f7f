package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newHosts(n, slots int) []dispatch.Target {
	var ts []dispatch.Target
	for i := range n {
		ts = append(ts, dispatch.Target{Host: fmt.Sprintf("w%02d", i), Slots: slots})
	}
	return ts
}

func newJob(entry, team string, c request.Class, deadline time.Duration) *dispatch.Job {
	return &dispatch.Job{Entry: entry, Team: team, Class: c, Deadline: epoch.Add(deadline)}
}

// buildHistory runs an entry often enough that its declared class is trusted.
func buildHistory(s *dispatch.Scheduler, entry, team string, c request.Class, runTime time.Duration) {
	for range 8 {
		j := newJob(entry, team, c, time.Hour)
		if err := s.Enqueue(epoch, j); err != nil {
			panic(err)
		}
		s.Next(epoch)
		s.Finish(epoch.Add(runTime), j, true)
	}
}

func decideAll(s *dispatch.Scheduler, now time.Time) []dispatch.Decision {
	var out []dispatch.Decision
	for {
		st, ok := s.Next(now)
		if !ok {
			return out
		}
		out = append(out, st)
	}
}

func TestEntryJobsStartByDeadline(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(newHosts(1, 2))
	buildHistory(s, "reserve", "a", request.ClassShort, time.Millisecond)
	first := newJob("reserve", "a", request.ClassShort, time.Second)
	g.Expect(s.Enqueue(epoch, newJob("reserve", "a", request.ClassShort, 3*time.Second))).To(BeNil())
	g.Expect(s.Enqueue(epoch, newJob("reserve", "a", request.ClassShort, 2*time.Second))).To(BeNil())
	g.Expect(s.Enqueue(epoch, first)).To(BeNil())
	starts := decideAll(s, epoch)
	g.Expect(starts).To(HaveLen(2))
	g.Expect(starts[0].Job).To(BeIdenticalTo(first))
}

func TestLongJobsWithinLongShare(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(newHosts(3, 8))
	for range 40 {
		g.Expect(s.Enqueue(epoch, newJob("settle", "b", request.ClassLong, time.Hour))).To(BeNil())
	}
	g.Expect(decideAll(s, epoch)).To(HaveLen(12))
	g.Expect(s.Load().Free).To(Equal(12))
}

func TestMisdeclaredLongJobsWithinLongShare(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(newHosts(3, 8))
	buildHistory(s, "misdeclared", "b", request.ClassShort, 20*time.Millisecond)
	buildHistory(s, "reserve", "a", request.ClassShort, 20*time.Millisecond)
	for range 12 {
		g.Expect(s.Enqueue(epoch, newJob("misdeclared", "b", request.ClassShort, time.Hour))).To(BeNil())
	}
	g.Expect(decideAll(s, epoch)).To(HaveLen(12))
	later := epoch.Add(dispatch.DefaultLongAfter)
	s.Tick(later)
	g.Expect(s.Enqueue(later, newJob("misdeclared", "b", request.ClassShort, time.Hour))).To(BeNil())
	g.Expect(decideAll(s, later)).To(BeEmpty(), "jobs that turned out long use up the long share")
	g.Expect(s.Enqueue(later, newJob("reserve", "a", request.ClassShort, time.Hour))).To(BeNil())
	g.Expect(decideAll(s, later)).To(HaveLen(1))
}

func TestMixedEntryWaitsWhenLongShareFull(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(newHosts(3, 8))
	for range 25 {
		buildHistory(s, "mixed", "b", request.ClassShort, 20*time.Millisecond)
	}
	buildHistory(s, "reserve", "a", request.ClassShort, 20*time.Millisecond)
	for range 12 {
		g.Expect(s.Enqueue(epoch, newJob("mixed", "b", request.ClassShort, time.Hour))).To(BeNil())
	}
	decideAll(s, epoch)
	later := epoch.Add(dispatch.DefaultLongAfter)
	s.Tick(later)
	mixed := newJob("mixed", "b", request.ClassShort, time.Hour)
	g.Expect(s.IsLong(mixed)).To(BeFalse(), "most of its runs were short")
	g.Expect(s.Enqueue(later, mixed)).To(BeNil())
	g.Expect(decideAll(s, later)).To(BeEmpty())
	g.Expect(s.Enqueue(later, newJob("reserve", "a", request.ClassShort, time.Hour))).To(BeNil())
	g.Expect(decideAll(s, later)).To(HaveLen(1))
}

func TestUnmeetableDeadlineRejected(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(newHosts(1, 2))
	buildHistory(s, "reserve", "a", request.ClassShort, 100*time.Millisecond)
	var rejected *verdict.Error
	accepted := 0
	for rejected == nil {
		rejected = s.Enqueue(epoch, newJob("reserve", "a", request.ClassShort, time.Second))
		accepted++
		decideAll(s, epoch)
	}
	g.Expect(accepted).To(BeNumerically("~", 20, 3), "2 slots do 20 jobs of 100 ms in a second")
	g.Expect(rejected.Verdict).To(Equal(verdict.NotRun))
	g.Expect(rejected.Reason).To(Equal(verdict.ReasonDeadline))
	g.Expect(rejected.RetryAfter).To(BeNumerically(">", 0))
}

func TestWaitingJobNotStartedTooLate(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(newHosts(1, 1))
	const runTime = 20 * time.Millisecond
	buildHistory(s, "reserve", "a", request.ClassShort, runTime)
	g.Expect(s.Enqueue(epoch, newJob("reserve", "a", request.ClassShort, time.Hour))).To(BeNil())
	running := decideAll(s, epoch)[0].Job
	g.Expect(s.Enqueue(epoch, newJob("reserve", "a", request.ClassShort, time.Minute))).To(BeNil())
	g.Expect(s.Enqueue(epoch, newJob("reserve", "a", request.ClassShort, 2*time.Minute))).To(BeNil())
	late := epoch.Add(2*time.Minute - 2*runTime)
	s.Finish(late, running, false)
	starts := decideAll(s, late)
	g.Expect(starts).To(HaveLen(2))
	for _, st := range starts {
		g.Expect(st.Rejection).NotTo(BeNil())
		g.Expect(st.Rejection.Verdict).To(Equal(verdict.NotRun))
	}
}
