package worker

import "time"

const (
	// staleTargetTime is how long after the start of an incarnation orders may still be sent
	// that are meant for an earlier one: until a call gets no answer, or one that tells.
	staleTargetTime = 2500 * time.Millisecond
	// wallStep is how far the time of day may be off between two hosts, or have been set since.
	wallStep = 5 * time.Second
)

// Age is what is known of the time since an incarnation started: by its own clock, which begins
// at its start, and by the time of day, which may be set back. Each is 0 if it is not known.
type Age struct{ Clock, Wall time.Duration }

// AgeOf returns the age of the incarnation that a listing describes, going by the reading of its
// clock there, at a time of day in milliseconds since 1970.
func AgeOf(l Listing, wall int64) Age {
	a := Age{Clock: time.Duration(l.Clock) * time.Millisecond}
	if l.Incarnation.StartedAt != 0 {
		a.Wall = time.Duration(wall-l.Incarnation.StartedAt) * time.Millisecond
	}
	return a
}

// MayHoldStrayLease reports whether an incarnation may hold a lease of an order that was meant
// for an earlier one. Such a lease is named by the clock of that one, so that it lasts for as
// long as the worker allows, and the order may be carried out late.
func (b LeaseBounds) MayHoldStrayLease(a Age) bool {
	last := staleTargetTime + maxOrderDelay + b.LongestRun(b.Allowed)
	return a.Clock != 0 && a.Clock < last || a.Wall != 0 && a.Wall < last+wallStep
}

// AwaitEarlierLeases records when the last run has ended whose lease an order of an earlier
// holder may have named, unless that is known to be later.
func (s *State) AwaitEarlierLeases(end time.Duration) {
	s.earlierLeasesEnd = max(s.earlierLeasesEnd, end)
	s.priorLeaseExpiry = max(s.priorLeaseExpiry, end)
}

// RecordStrayLease records that this incarnation may hold a lease of an order that was meant for
// an earlier one and carried out until now, and so the longest lease that it allows.
func (s *State) RecordStrayLease(now time.Duration) {
	s.strayLeaseEnd = now + s.bounds.LongestRun(s.bounds.Allowed)
	s.priorLeaseExpiry = max(s.priorLeaseExpiry, s.strayLeaseEnd)
}

// StrayLeaseRemaining returns for how long runs may be active under such a lease.
func (s *State) StrayLeaseRemaining(now time.Duration) time.Duration {
	return max(0, s.strayLeaseEnd-now)
}

// MaxOrderDelay is how long after it was sent an unanswered order may still be carried out by
// another incarnation of its worker.
const MaxOrderDelay = maxOrderDelay
