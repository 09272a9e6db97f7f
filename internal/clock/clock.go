// Package clock reads time that goes on while the host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time in two ways.
type Clock interface {
	// Now returns the time since an arbitrary start. It never steps and
	// counts the time for which the host was suspended, so it is fit for
	// leases.
	Now() time.Duration
	// Wall returns the time of day. It may step in either direction.
	Wall() time.Time
}

// Boot is the host's own clock.
type Boot struct{}

// Now implements Clock by CLOCK_BOOTTIME.
func (Boot) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has had this clock since 2.6.39; without it no lease
		// could be kept.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// Wall implements Clock.
func (Boot) Wall() time.Time { return time.Now() }
