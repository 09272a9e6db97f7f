package scheduler

import "greengagedeck/internal/worker"

// workerReached records the first answer of an incarnation, or the first one since it was not
// known whether it is still the one that was known. clock is the reading of its clock.
func (c *Core) workerReached(ws *worker.State, clock int64, t Times) {
	l := ws.Listing
	l.Clock = clock
	if ws.FencedAt == 0 && c.strayOrders(ws) && c.leaseBounds().MayHoldStrayLease(worker.AgeOf(l, t.Wall)) {
		ws.RecordStrayLease(t.Now)
		c.unreached.strays[ws.Incarnation.ID] = true
	}
	ws.Fenced = true
	ws.FencedAt = t.Now
	c.touch(ws.Incarnation.ID)
	c.needsPlan = true
}

// strayOrders reports whether a worker may have carried out orders that were meant for an
// earlier incarnation: this holder knows that it has restarted, or the previous one has logged it.
func (c *Core) strayOrders(ws *worker.State) bool {
	_, logged := c.unreached.strayLeasesEnd[ws.Incarnation.ID]
	return ws.RestartedAt > 0 || logged
}
