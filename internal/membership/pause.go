package membership

import "time"

// pauseWatch notices that this process did not run for a while. While it was
// paused, others may have taken over what it held, so it must catch up before
// it starts anything.
type pauseWatch struct {
	threshold time.Duration
	last      time.Time
	// noticed is when the last pause was noticed; the zero time once it has
	// been caught up with.
	noticed time.Time
}

// tick takes in that the process runs at now and returns the length of the
// pause that ended, 0 for none.
func (p *pauseWatch) tick(now time.Time) time.Duration {
	gap := p.gap(now)
	p.last = now
	if gap <= p.threshold {
		return 0
	}
	p.noticed = now
	return gap
}

// gap returns the time since the last tick. The monotonic clock stands still
// while a virtual machine is suspended and the wall clock may be stepped, so
// the larger of the two counts.
func (p *pauseWatch) gap(now time.Time) time.Duration {
	if p.last.IsZero() {
		return 0
	}
	return max(now.Sub(p.last), now.Round(0).Sub(p.last.Round(0)))
}

// paused reports whether a pause has not been caught up with, also one that no
// tick has noticed yet.
func (p *pauseWatch) paused(now time.Time) bool {
	return !p.noticed.IsZero() || p.gap(now) > p.threshold
}

// caughtUp ends the pause if the state is known to have been current at a
// moment after it was noticed.
func (p *pauseWatch) caughtUp(current time.Time) bool {
	if p.noticed.IsZero() || !current.After(p.noticed) {
		return false
	}
	p.noticed = time.Time{}
	return true
}
