package worker

import "time"

// LeaseBasis is what a holder goes by when it decides whether a worker's leases have expired.
type LeaseBasis struct {
	// Granted is set if an order of this holder named a lease to this incarnation.
	Granted bool
	// LeftAtReading is what was left of that lease by the worker's clock when the clock was
	// last read, and ReadingAge how long ago that was.
	LeftAtReading, ReadingAge time.Duration
	// Over is for how long that lease has counted as expired, and PriorOver for how long
	// those of earlier holders and incarnations. They are negative before.
	Over, PriorOver time.Duration
}

// LeaseBasis returns what is known about the worker's leases.
func (s *State) LeaseBasis(now time.Duration) LeaseBasis {
	b := LeaseBasis{ReadingAge: now - s.workerClockAt, PriorOver: now - s.priorLeaseExpiry}
	if s.leaseUntil != 0 {
		b.Granted = true
		b.LeftAtReading = time.Duration(s.leaseUntil-s.workerClock) * time.Millisecond
		b.Over = now - s.leaseExpiry()
	}
	return b
}
