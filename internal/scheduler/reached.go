package scheduler

import "greengagedeck/internal/worker"

// workerReached records the first answer of an incarnation, or the first one since it was not
// known whether it is still the one that was known. clock is the reading of its clock.
func (c *Core) workerReached(ws *worker.State, clock int64, t Times) {
	l := ws.Listing
	l.Clock = clock
	if ws.FencedAt == 0 && c.leaseBounds().MayHoldStrayLease(worker.AgeOf(l, t.Wall)) {
		c.awaitStrayLease(ws, t)
	}
	ws.Fenced = true
	ws.FencedAt = t.Now
	c.touch(ws.Incarnation.ID)
	c.needsPlan = true
}

// awaitStrayLease has a young incarnation that was just reached count as holding the lease of an
// order that was meant for an earlier one. The next holder is to wait for it, too, if the worker
// is known to have restarted. Where only earlier holders may know that, as long as a lease may last
// that an order of theirs gave, the next one does not wait: most young incarnations are the first.
func (c *Core) awaitStrayLease(ws *worker.State, t Times) {
	_, logged := c.unreached.strayLeasesEnd[ws.Incarnation.ID]
	restarted := ws.RestartedAt > 0 || logged
	if !restarted && t.Now >= c.earlierOrdersEnd {
		return
	}
	ws.RecordStrayLease(t.Now)
	if restarted {
		c.unreached.strays[ws.Incarnation.ID] = true
	}
}
