package worker

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// firstRestart is when the first of two restarts becomes known, and nextRestart
	// the second, while the wait that the first began goes on.
	firstRestart = 20 * time.Second
	nextRestart  = firstRestart + maxLease - time.Second
	// earlierLeasesEnd is when the leases of an earlier holder have expired.
	earlierLeasesEnd = maxLease + 2*time.Second
)

// restartTwice returns when the leases of a worker with the run count as expired after
// each of two restarts.
func restartTwice(r *Run) (afterFirst, afterNext time.Duration) {
	s := NewState(newTestState().Listing, 0, earlierLeasesEnd, maxLeases)
	s.AddRun(r)
	s.ReplaceIncarnation(s.Listing, firstRestart)
	afterFirst = s.priorLeaseExpiry
	s.ReplaceIncarnation(s.Listing, nextRestart)
	return afterFirst, s.priorLeaseExpiry
}

// Guards against restarts of a worker that renew the wait for its runs, and against a
// wait that ends while a run may have a lease at the next incarnation.
func TestRestartsExtendWaitOnlyForStartsUnaccountedFor(t *testing.T) {
	restartLease := firstRestart + longestRun
	for name, c := range map[string]struct {
		run                   func(*Run)
		afterFirst, afterNext time.Duration
	}{
		"confirmed by a poll": {
			func(r *Run) { r.State, r.StartSentAt, r.LastReported = RunConfirmed, time.Second, 2*time.Second },
			earlierLeasesEnd, earlierLeasesEnd,
		},
		"confirmed by the answer to its start only": {
			func(r *Run) { r.State, r.StartSentAt = RunConfirmed, 19*time.Second },
			restartLease, restartLease,
		},
		"confirmed by a poll, an earlier start unanswered": {
			func(r *Run) {
				r.State, r.StartSentAt, r.LastReported, r.StartUnanswered = RunConfirmed, time.Second, 2*time.Second, true
			},
			restartLease, restartLease,
		},
		"start in flight": {
			func(r *Run) { r.StartSentAt = 18 * time.Second },
			18*time.Second + maxOrderDelay + longestRun, 18*time.Second + maxOrderDelay + longestRun,
		},
		"never sent": {func(*Run) {}, earlierLeasesEnd, earlierLeasesEnd},
		"started by an earlier holder long ago": {
			func(r *Run) { r.Adopted = true },
			earlierLeasesEnd, earlierLeasesEnd,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newTestRun(1)
			c.run(r)
			afterFirst, afterNext := restartTwice(r)
			g.Expect(afterFirst).To(Equal(c.afterFirst), "after the first restart")
			g.Expect(afterNext).To(Equal(c.afterNext), "after the next restart")
		})
	}
}

// Guards against a run that counts as lost while a start which an earlier holder sent
// may give it a lease at the next incarnation.
func TestRestartAwaitsStartsOfEarlierHolder(t *testing.T) {
	g := NewWithT(t)
	s := NewState(newTestState().Listing, 0, earlierLeasesEnd, maxLeases)
	r := newTestRun(1)
	r.State, r.Adopted, r.LastReported = RunConfirmed, true, time.Second
	s.AddRun(r)
	lastStart := earlierLeasesEnd - longestRun + maxOrderDelay - time.Millisecond
	s.ReplaceIncarnation(s.Listing, lastStart)
	g.Expect(s.priorLeaseExpiry).To(Equal(lastStart + longestRun))
}

// Guards against runs that count as lost before the lease of the old incarnation has
// expired.
func TestRestartKeepsLeaseOfOldIncarnation(t *testing.T) {
	g := NewWithT(t)
	s := newTestState()
	s.ExtendLease(firstRestart, maxLease)
	s.ReplaceIncarnation(s.Listing, firstRestart)
	g.Expect(s.LeaseExpired(firstRestart + maxLease)).To(BeFalse())
	g.Expect(s.LeaseExpired(firstRestart + maxLease + time.Second)).To(BeTrue())
}
