package pool

import (
	"context"
	"fmt"
	"time"
)

// idleTracker records, by drain and round, since when this daemon's gate has
// allowed it to acknowledge the drain.
type idleTracker struct {
	since map[string]time.Time
}

// ackableDrains returns the IDs of the drains that this daemon may acknowledge now.
//
// The gate guarantees that this daemon no longer uses the host. A move must also
// wait for requests of daemons that were killed: they continue on the host and no
// gate counts them. So the daemon waits for a report of the host that shows no
// running request and was taken later than the gate became idle, by more than
// MaxClockSkew. Any request of a killed daemon that was a member in this round had
// started by then.
func (c *Controller) ackableDrains(ctx context.Context, s *State, now time.Time) map[string]bool {
	since := map[string]time.Time{}
	ackable := map[string]bool{}
	for id, d := range s.Drains {
		if !d.awaitsAck(c.opts.Gate.Self()) || !c.opts.Gate.MayAcknowledge(d.Host, id) {
			continue
		}
		key := fmt.Sprintf("%s/%d", id, d.Round)
		since[key] = now
		if first, ok := c.idle.since[key]; ok {
			since[key] = first
		}
		ackable[id] = d.Purpose != PurposeMove || c.hostReportedIdle(ctx, d.Host, since[key])
	}
	c.idle.since = since
	return ackable
}

// hostReportedIdle reports whether the host reported no running request at a time
// after since.
func (c *Controller) hostReportedIdle(ctx context.Context, host string, since time.Time) bool {
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
	return u.BusySlots == 0 && u.ReportedAt.After(since.Add(c.opts.MaxClockSkew))
}
