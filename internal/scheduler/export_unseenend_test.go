package scheduler

import (
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/internal/job"
)

// The bounds of what is remembered of runs that counted as ended.
const (
	MaxUnseenEnds   = maxUnseenEnds
	UnseenEndWindow = unseenEndWindow
)

// LogTo has a core log to another logger.
func LogTo(c *Core, l zerolog.Logger) { c.opt.Logger = l }

// LateReports makes a plan and returns how many runs that had counted as ended were reported
// as active since the last one, and how many as ended.
func LateReports(c *Core, t Times) (outlived, lateEnds int64) {
	counts := c.Decide(t).unseen
	return counts.outlived, counts.lateEnds
}

// RememberedUnseenEnds has runs count as ended one after the other, with a gap after each, and
// returns how many are remembered.
func RememberedUnseenEnds(runs []job.RunID, gap time.Duration) int {
	u := unseenEnds{}
	for k, r := range runs {
		u.add(unseenEnd{run: r, reason: unseenLeaseExpired, at: time.Duration(k) * (gap + 1)})
	}
	return len(u.byRun)
}

// LogEarlierLeases logs how long a core waits for the leases of earlier holders.
func LogEarlierLeases(c *Core, now time.Duration) { c.logEarlierLeases(now) }
