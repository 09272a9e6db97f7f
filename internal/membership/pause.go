package membership

import "time"

// pauseDetector detects that this process did not run for a while. Other
// daemons may have taken over its duties during the pause, so its state must be
// current before it starts anything.
type pauseDetector struct {
	threshold time.Duration
	lastTick  time.Time
	// detectedAt is when the last pause was detected, the zero time once the
	// state is known to be current again.
	detectedAt time.Time
}

// tick records that the process runs at now and returns the length of the pause
// that has just ended, 0 for none.
func (p *pauseDetector) tick(now time.Time) time.Duration {
	gap := p.gap(now)
	p.lastTick = now
	if gap <= p.threshold {
		return 0
	}
	p.detectedAt = now
	return gap
}

// gap returns the time since the last tick. The monotonic clock stops
// while a virtual machine is suspended, and the wall clock may be stepped, so
// the larger of the two differences is used.
func (p *pauseDetector) gap(now time.Time) time.Duration {
	if p.lastTick.IsZero() {
		return 0
	}
	return max(now.Sub(p.lastTick), now.Round(0).Sub(p.lastTick.Round(0)))
}

// paused reports whether the process was paused and its state is not yet known
// to be current. It includes a pause that no tick has detected yet.
func (p *pauseDetector) paused(now time.Time) bool {
	return !p.detectedAt.IsZero() || p.gap(now) > p.threshold
}

// endIfCurrent ends the pause if the state is known to have been current after the
// pause was detected, and reports whether it did.
func (p *pauseDetector) endIfCurrent(current time.Time) bool {
	if p.detectedAt.IsZero() || !current.After(p.detectedAt) {
		return false
	}
	p.detectedAt = time.Time{}
	return true
}
