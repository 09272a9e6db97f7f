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

func hosts(n, slots int) []dispatch.Target {
	var ts []dispatch.Target
	for i := range n {
		ts = append(ts, dispatch.Target{Host: fmt.Sprintf("w%02d", i), Slots: slots})
	}
	return ts
}

func job(entry, team string, c request.Class, deadline time.Duration) *dispatch.Job {
	return &dispatch.Job{Entry: entry, Team: team, Class: c, Deadline: epoch.Add(deadline)}
}

// prove lets an entry run often enough that its class is believed.
func prove(s *dispatch.Scheduler, entry, team string, c request.Class, size time.Duration) {
	for range 8 {
		j := job(entry, team, c, time.Hour)
		if err := s.Offer(epoch, j); err != nil {
			panic(err)
		}
		s.Next(epoch)
		s.Finish(epoch.Add(size), j, true)
	}
}

func drain(s *dispatch.Scheduler, now time.Time) []dispatch.Start {
	var out []dispatch.Start
	for {
		st, ok := s.Next(now)
		if !ok {
			return out
		}
		out = append(out, st)
	}
}

func TestJobsOfAnEntryStartInOrderOfDeadline(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(hosts(1, 2))
	prove(s, "reserve", "a", request.ClassShort, time.Millisecond)
	first := job("reserve", "a", request.ClassShort, time.Second)
	g.Expect(s.Offer(epoch, job("reserve", "a", request.ClassShort, 3*time.Second))).To(BeNil())
	g.Expect(s.Offer(epoch, job("reserve", "a", request.ClassShort, 2*time.Second))).To(BeNil())
	g.Expect(s.Offer(epoch, first)).To(BeNil())
	starts := drain(s, epoch)
	g.Expect(starts).To(HaveLen(2))
	g.Expect(starts[0].Job).To(BeIdenticalTo(first))
}

func TestLongWorkHoldsNoMoreThanItsShare(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(hosts(3, 8))
	for range 40 {
		g.Expect(s.Offer(epoch, job("settle", "b", request.ClassLong, time.Hour))).To(BeNil())
	}
	g.Expect(drain(s, epoch)).To(HaveLen(12))
	g.Expect(s.Load().Free).To(Equal(12))
}

func TestLongWorkDeclaredShortIsHeldToTheLongShare(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(hosts(3, 8))
	prove(s, "lies", "b", request.ClassShort, 20*time.Millisecond)
	prove(s, "reserve", "a", request.ClassShort, 20*time.Millisecond)
	for range 12 {
		g.Expect(s.Offer(epoch, job("lies", "b", request.ClassShort, time.Hour))).To(BeNil())
	}
	g.Expect(drain(s, epoch)).To(HaveLen(12))
	later := epoch.Add(dispatch.DefaultLongAfter)
	s.Tick(later)
	g.Expect(s.Offer(later, job("lies", "b", request.ClassShort, time.Hour))).To(BeNil())
	g.Expect(drain(s, later)).To(BeEmpty(), "the long share is used up by runs that turned out long")
	g.Expect(s.Offer(later, job("reserve", "a", request.ClassShort, time.Hour))).To(BeNil())
	g.Expect(drain(s, later)).To(HaveLen(1))
}

func TestEntryWithSomeLongRunsWaitsWhileTheLongShareIsFull(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(hosts(3, 8))
	for range 25 {
		prove(s, "mixed", "b", request.ClassShort, 20*time.Millisecond)
	}
	prove(s, "reserve", "a", request.ClassShort, 20*time.Millisecond)
	for range 12 {
		g.Expect(s.Offer(epoch, job("mixed", "b", request.ClassShort, time.Hour))).To(BeNil())
	}
	drain(s, epoch)
	later := epoch.Add(dispatch.DefaultLongAfter)
	s.Tick(later)
	mixed := job("mixed", "b", request.ClassShort, time.Hour)
	g.Expect(s.Long(mixed)).To(BeFalse(), "most of its runs were short")
	g.Expect(s.Offer(later, mixed)).To(BeNil())
	g.Expect(drain(s, later)).To(BeEmpty())
	g.Expect(s.Offer(later, job("reserve", "a", request.ClassShort, time.Hour))).To(BeNil())
	g.Expect(drain(s, later)).To(HaveLen(1))
}

func TestWorkThatCannotMeetItsDeadlineIsRefusedBeforeItRuns(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(hosts(1, 2))
	prove(s, "reserve", "a", request.ClassShort, 100*time.Millisecond)
	var refused *verdict.Error
	accepted := 0
	for refused == nil {
		refused = s.Offer(epoch, job("reserve", "a", request.ClassShort, time.Second))
		accepted++
		drain(s, epoch)
	}
	g.Expect(accepted).To(BeNumerically("~", 20, 3), "2 slots do 20 jobs of 100 ms in a second")
	g.Expect(refused.Verdict).To(Equal(verdict.NotRun))
	g.Expect(refused.Reason).To(Equal(verdict.ReasonDeadline))
	g.Expect(refused.RetryAfter).To(BeNumerically(">", 0))
}

func TestWorkThatHadToWaitDoesNotStartInItsLastMoment(t *testing.T) {
	g := NewWithT(t)
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(hosts(1, 1))
	const size = 20 * time.Millisecond
	prove(s, "reserve", "a", request.ClassShort, size)
	g.Expect(s.Offer(epoch, job("reserve", "a", request.ClassShort, time.Hour))).To(BeNil())
	running := drain(s, epoch)[0].Job
	g.Expect(s.Offer(epoch, job("reserve", "a", request.ClassShort, time.Minute))).To(BeNil())
	g.Expect(s.Offer(epoch, job("reserve", "a", request.ClassShort, 2*time.Minute))).To(BeNil())
	late := epoch.Add(2*time.Minute - 2*size)
	s.Finish(late, running, false)
	starts := drain(s, late)
	g.Expect(starts).To(HaveLen(2))
	for _, st := range starts {
		g.Expect(st.Refusal).NotTo(BeNil())
		g.Expect(st.Refusal.Verdict).To(Equal(verdict.NotRun))
	}
}
