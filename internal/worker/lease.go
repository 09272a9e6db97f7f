package worker

import "time"

const (
	// maxClockDrift is the fraction by which a worker's clock may run slower
	// than the holder's.
	maxClockDrift = 0.02
	// expiryMargin is added to the end of a lease before the lease counts as
	// expired.
	expiryMargin = 50 * time.Millisecond
	// maxReadingAge is the age of the last reading of a worker's clock up to which it serves
	// to name the end of a lease: each second of it may shorten the lease by maxClockDrift.
	maxReadingAge = 30 * time.Second
)

// LeaseBounds are the longest leases that can occur, by the clocks of workers.
type LeaseBounds struct {
	// Allowed is the longest one that a worker allows, and Granted the longest one
	// that a holder grants.
	Allowed, Granted time.Duration
	// KillTime is how long a worker takes at most to end its runs once its lease has
	// expired.
	KillTime time.Duration
}

// LongestRun returns how long, by the holder's clock, runs can be active whose lease lasts for
// a time by their worker's clock: that clock may be slow, and ending the runs takes time.
func (b LeaseBounds) LongestRun(lease time.Duration) time.Duration {
	return longestByHolder(lease + expiryMargin + b.KillTime)
}

// longestByHolder returns the longest time by the holder's clock in which a worker's clock
// advances by d.
func longestByHolder(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
}

// shortestByWorker returns the shortest time by a worker's clock in which the holder's clock
// advances by d.
func shortestByWorker(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - maxClockDrift))
}

// ExtendLease returns the end of a lease of at most the given length from now on, in
// milliseconds of the worker's clock, and records that an order names it. A
// lease is never shortened.
//
// The worker's clock is taken to have been slow since its last reading, so that no lease lasts
// longer than the next holder of the pool assumes, however old the reading is.
func (s *State) ExtendLease(now, length time.Duration) int64 {
	end := s.workerClock + (shortestByWorker(now-s.workerClockAt) + length).Milliseconds()
	s.leaseUntil = max(s.leaseUntil, end)
	return s.leaseUntil
}

// ClockReading is a reading of a worker's clock, in milliseconds, and when it was taken at the
// latest, by the holder's clock.
type ClockReading struct {
	Clock int64
	At    time.Duration
}

// LastReading returns the last reading of the worker's clock.
func (s *State) LastReading() ClockReading {
	return ClockReading{Clock: s.workerClock, At: s.workerClockAt}
}

// readingAge returns the age of the last reading of the worker's clock.
func (s *State) readingAge(now time.Duration) time.Duration { return now - s.workerClockAt }

// LeasePollSent records that a poll is sent that extends the lease, and LeasePollEnded that it
// has ended, with or without an answer.
func (s *State) LeasePollSent() { s.leasePollInFlight = true }

// LeasePollEnded is the counterpart of LeasePollSent.
func (s *State) LeasePollEnded() { s.leasePollInFlight = false }

// LeasePollInFlight reports whether a poll is in flight that extends the lease.
func (s *State) LeasePollInFlight() bool { return s.leasePollInFlight }

// LeaseRemaining returns the least time that is left of the lease by the
// worker's clock.
func (s *State) LeaseRemaining(now time.Duration) time.Duration {
	return time.Duration(s.leaseUntil-s.workerClock)*time.Millisecond - (now - s.workerClockAt)
}

// PriorLeaseRemaining returns how long runs whose lease an earlier holder may have
// granted can still be active.
func (s *State) PriorLeaseRemaining(now time.Duration) time.Duration {
	return max(0, s.priorLeaseExpiry-now)
}

// OnlyEarlierLeases reports whether the worker has not been reached and may hold no
// lease that lasts longer than those of earlier holders.
func (s *State) OnlyEarlierLeases() bool {
	return !s.Fenced && s.leaseUntil == 0 && s.priorLeaseExpiry == s.earlierLeasesEnd
}

// LeaseExpired reports whether every lease that this incarnation may hold has
// expired and the runs under it have been ended, so that no run ordered before is active there.
func (s *State) LeaseExpired(now time.Duration) bool {
	return now >= s.priorLeaseExpiry && now > s.leaseExpiry()
}

// leaseExpiry returns when the runs have ended whose leases orders of this holder named to this
// incarnation, or 0 if none named one.
func (s *State) leaseExpiry() time.Duration {
	if s.leaseUntil == 0 {
		return 0
	}
	return s.workerClockAt + s.bounds.LongestRun(time.Duration(s.leaseUntil-s.workerClock)*time.Millisecond)
}
