package pool

import (
	"context"
	"fmt"
	"time"
)

// idleWatch remembers since when this daemon has been able to promise, for a
// drain and round, that it uses the host no more.
type idleWatch struct {
	since map[string]time.Time
}

// drained returns the IDs of the drains that this daemon may acknowledge now.
//
// The gate proves that this daemon uses the host no more. A move must also wait
// for requests of daemons that were killed: those run on at the host and no
// gate counts them. So it waits for a report of the host, taken after the gate
// was idle by more than the clocks may differ, in which nothing runs. Whatever
// a killed daemon of this round's members started had begun by then.
func (c *Controller) drained(ctx context.Context, s *State, now time.Time) map[string]bool {
	since := map[string]time.Time{}
	drained := map[string]bool{}
	for id, d := range s.Drains {
		if !d.waitsFor(c.opts.Gate.Self()) || !c.opts.Gate.Drained(d.Host, id) {
			continue
		}
		key := fmt.Sprintf("%s/%d", id, d.Round)
		since[key] = now
		if first, ok := c.idle.since[key]; ok {
			since[key] = first
		}
		drained[id] = d.Purpose != PurposeMove || c.hostIdle(ctx, d.Host, since[key])
	}
	c.idle.since = since
	return drained
}

// hostIdle reports whether nothing ran on host at some time after since.
func (c *Controller) hostIdle(ctx context.Context, host string, since time.Time) bool {
	if c.opts.Usage == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.UsageTimeout)
	defer cancel()
	u, err := c.opts.Usage.Usage(ctx, host)
	if err != nil {
		c.metrics.usageErrors.Inc(1)
		return false
	}
	return u.BusySlots == 0 && u.ReportedAt.After(since.Add(c.opts.ClockError))
}
