// Package clock provides a monotonic clock that includes the time for which the
// host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock provides monotonic time and wall-clock time.
type Clock interface {
	// Now returns the time since an arbitrary start. It never steps and
	// includes the time for which the host was suspended, so it is suitable
	// for leases.
	Now() time.Duration
	// Wall returns the wall-clock time. It may step in either direction.
	Wall() time.Time
}

// System is the host's clock.
type System struct{}

// Now implements Clock. It reads CLOCK_BOOTTIME.
func (System) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel has provided this clock since 2.6.39; without it leases
		// cannot be kept.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// Wall implements Clock.
func (System) Wall() time.Time { return time.Now() }
