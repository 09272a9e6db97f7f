package worker

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"greengagedeck/internal/job"
)

const (
	maxLease = 6 * time.Second
	killTime = 200 * time.Millisecond
)

// maxLeases are those of a holder that grants what workers allow, and longestRun how long a
// run can be active under one.
var (
	maxLeases  = LeaseBounds{Allowed: maxLease, Granted: maxLease, KillTime: killTime}
	longestRun = maxLeases.LongestRun(maxLease)
)

func newTestRun(number int) *Run {
	id := job.RunID{Task: job.TaskID{Job: "00000000000000aa"}, Number: number}
	return NewRun(id, job.Step{Count: 1, Need: job.Resources{CPU: 500, MemoryMB: 10}}, RunOrdered, 0, time.Second)
}

func newTestState() *State {
	return NewState(Listing{Incarnation: job.Incarnation{ID: "w", StartedAt: 1}, Capacity: job.Resources{CPU: 4000, MemoryMB: 100}, Clock: 10_000}, 0, 0, maxLeases)
}

func TestRunsHoldResourcesUntilRemoved(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	r := newTestRun(1)
	s.AddRun(r)
	g.Expect(s.FreeResources()).To(Equal(job.Resources{CPU: 3500, MemoryMB: 90}))
	g.Expect(s.CountRuns(r.Key)).To(Equal(1))
	s.RemoveRun(r.ID)
	s.RemoveRun(r.ID)
	g.Expect(s.FreeResources()).To(Equal(s.Capacity))
}

// TestLeaseExpiresOnlyByWorkersClock checks that a lease counts as
// expired only once it has expired by the worker's clock, for any drift up to
// maxClockDrift, and the worker has had the time to end its runs.
//
// Guards against a task that runs twice (TWICE): its worker ended the run of an expired lease
// later than its holder had the next one started elsewhere.
func TestLeaseExpiresOnlyByWorkersClock(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newTestState()
		drift := rapid.Float64Range(-maxClockDrift, maxClockDrift).Draw(rt, "drift")
		worker := func(now time.Duration) int64 {
			return 10_000 + int64(float64(now.Milliseconds())*(1+drift))
		}
		now := time.Duration(0)
		var until int64
		for range rapid.IntRange(1, 20).Draw(rt, "orders") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(rt, "pause_ms")) * time.Millisecond
			if rapid.Bool().Draw(rt, "answered") {
				s.RecordAnswer(worker(now), now)
			}
			end := s.ExtendLease(now, time.Duration(rapid.IntRange(1, 5000).Draw(rt, "length_ms"))*time.Millisecond)
			if end < until {
				rt.Fatalf("lease shortened from %d to %d", until, end)
			}
			until = end
		}
		for step := now; step < now+20*time.Second; step += 50 * time.Millisecond {
			if s.LeaseExpired(step) && worker(step-killTime) < until {
				rt.Fatalf("expired at %v, though the worker's clock read %d of %d when it may have begun to end its runs", step, worker(step-killTime), until)
			}
		}
		if !s.LeaseExpired(now + time.Minute) {
			rt.Fatal("lease never expires")
		}
	})
}

// Guards against a task that runs twice after a takeover (TWICE): the earlier holder named the
// end of a lease by an old reading of a slow clock, so that it lasted longer than the next
// holder waited.
func TestNoLeaseOutlastsWhatTheNextHolderAwaits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newTestState()
		rate := rapid.Float64Range(1-maxClockDrift, 1).Draw(rt, "rate")
		clock := func(now time.Duration) int64 { return 10_000 + int64(float64(now.Milliseconds())*rate) }
		read := time.Duration(rapid.IntRange(0, 60_000).Draw(rt, "read_ms")) * time.Millisecond
		s.RecordAnswer(clock(read), read)
		granted := read + time.Duration(rapid.IntRange(0, 600_000).Draw(rt, "age_ms"))*time.Millisecond
		until := s.ExtendLease(granted, maxLease)
		if ended := granted + longestRun; clock(ended-killTime) < until {
			rt.Fatalf("the lease ends at %d, and the clock reads %d when its runs have to be ended", until, clock(ended-killTime))
		}
	})
}

func TestPriorLeaseAwaited(t *testing.T) {
	g := NewWithT(t)
	s := NewState(Listing{Clock: 10_000}, 0, maxLease, maxLeases)
	g.Expect(s.LeaseExpired(maxLease - time.Millisecond)).To(BeFalse())
	g.Expect(s.LeaseExpired(maxLease + time.Second)).To(BeTrue())
}

func TestClockJumpClearsFenced(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		clock  int64
		fenced bool
	}{{11_000, true}, {12_400, true}, {13_000, false}, {9_000, false}, {0, true}} {
		s := newTestState()
		s.Fenced = true
		s.RecordOrderAnswer(c.clock, time.Second)
		g.Expect(s.Fenced).To(Equal(c.fenced), "clock %d", c.clock)
	}
}

// Guards against a task that runs again after its success was acknowledged (TWICE): the worker
// restarted twice within 1.5 s, so that its clock seemed not to have jumped, and a poll
// with the number of an end of the incarnation before made it forget an end.
func TestClockThatWentBackClearsFenced(t *testing.T) {
	g := NewWithT(t)
	const read = time.Second
	for _, c := range []struct {
		clock  int64
		sentAt time.Duration
		fenced bool
	}{{11_010, read, true}, {11_000, read, true}, {10_100, read, false}, {10_100, read - time.Millisecond, true}, {0, read, true}} {
		s := newTestState()
		s.RecordAnswer(11_000, read)
		s.Fenced = true
		s.RecordStartAnswer(c.clock, c.sentAt, read+10*time.Millisecond)
		g.Expect(s.Fenced).To(Equal(c.fenced), "clock %d, sent at %v", c.clock, c.sentAt)
	}
}

func TestUnansweredStartCarriedToNextIncarnation(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	confirmed, unanswered := newTestRun(1), newTestRun(2)
	confirmed.State, confirmed.StartSentAt = RunConfirmed, time.Second
	unanswered.State, unanswered.StartSentAt, unanswered.StartUnanswered = RunOrdered, time.Second, true
	s.AddRun(confirmed)
	s.AddRun(unanswered)
	s.Fenced = true
	s.ReplaceIncarnation(Listing{Incarnation: job.Incarnation{ID: "w", StartedAt: 2}, Clock: 50}, 2*time.Second)
	g.Expect(s.Fenced).To(BeFalse())
	g.Expect(s.Runs).To(HaveLen(2))
	g.Expect(confirmed.StartUnanswered).To(BeFalse())
	g.Expect(unanswered.StartUnanswered).To(BeTrue())
	// The order may still arrive, and the run that it starts then has a lease.
	g.Expect(s.LeaseExpired(time.Second + maxOrderDelay + maxLease - time.Millisecond)).To(BeFalse())
}
