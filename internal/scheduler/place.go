package scheduler

import (
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/placement"
)

// placeOutcome is what became of a group in a plan.
type placeOutcome uint8

const (
	// placed means that every task that was to be placed found a worker.
	placed placeOutcome = iota
	// noRoom means that no worker takes one of the tasks.
	noRoom
	// heldByGrant means that the grant of the customer does not allow one of the tasks, and
	// that all before it found a worker.
	heldByGrant
)

// waitingPlacer places the tasks that wait in one plan.
type waitingPlacer struct {
	core  *Core
	batch *Batch
	x     *placement.Index
	now   time.Duration
	order *turnOrder
	p     *preemptor
	// passedGroups are groups for which no worker had room in their turn, after which no
	// other was placed yet.
	passedGroups []*pendingGroup
}

// placeWaiting places the tasks that wait, and stops less urgent runs for those that no
// worker takes.
func (c *Core) placeWaiting(b *Batch, x *placement.Index, now time.Duration) {
	w := &waitingPlacer{core: c, batch: b, x: x, now: now, order: c.newTurnOrder(x, now), p: c.newPreemptor(now)}
	priority, first := 0, true
	for pg, atMost := range w.order.groups() {
		if p := pg.job.Terms.Priority; first || p != priority {
			priority, first = p, false
			w.useReservations(p)
		}
		if !w.place(pg, atMost) {
			break
		}
	}
	c.updateReservations(now)
}

// place places at most a number of tasks of a group. It reports whether anything can be
// done for other groups.
func (w *waitingPlacer) place(pg *pendingGroup, atMost int) bool {
	c, acc := w.core, w.core.accountOf(pg.job)
	w.batch.Work.Groups++
	before := len(pg.group.Waiting)
	outcome := c.placeGroup(w.batch, pg, w.x, atMost, w.now)
	if len(pg.group.Waiting) < before {
		w.overtaken()
	}
	switch outcome {
	case placed:
		return true
	case heldByGrant:
		// Neither a stopped run nor another worker would help.
		c.foundHeld(w.batch, pg, w.x, w.now)
		if !acc.allowsAny() {
			w.order.finish(acc.id)
		}
		return true
	case noRoom:
	}
	w.passed(pg)
	w.p.preempt(*pg, w.x.Nodes())
	if c.restWaits(*pg, w.x, w.p) {
		return false
	}
	if acc.approvals == 0 && !w.p.mayPreempt(*pg) && !w.x.MayFit(job.Resources{CPU: acc.leastCPU()}) {
		w.order.finish(acc.id)
	}
	return true
}

// placeGroup places at most a number of tasks of a group, or all of a gang.
func (c *Core) placeGroup(b *Batch, pg *pendingGroup, x *placement.Index, atMost int, now time.Duration) placeOutcome {
	if len(pg.group.Waiting) == 0 {
		return placed
	}
	if !c.grantAllowsGroup(pg) {
		return heldByGrant
	}
	if pg.job.Terms.Approval != nil {
		c.requestMissingApprovals(*pg, x.Nodes(), now)
	}
	if pg.gang {
		return c.placeGang(b, pg, x, now)
	}
	return c.placeTasks(b, pg, x, atMost, now)
}

// placeTasks places the tasks of a group one by one, at most a number of them and as many
// as the grant allows.
func (c *Core) placeTasks(b *Batch, pg *pendingGroup, x *placement.Index, atMost int, now time.Duration) placeOutcome {
	if !x.MayFit(pg.need) {
		return noRoom
	}
	wanted := min(atMost, len(pg.group.Waiting))
	count := c.accountOf(pg.job).allowed(pg.need, wanted)
	switch n := c.placeCount(b, pg, x, count, now); {
	case n < count:
		return noRoom
	case count < wanted:
		return heldByGrant
	default:
		return placed
	}
}

// placeCount places the first count tasks of a group and removes those that found a worker
// from it. It returns their number.
func (c *Core) placeCount(b *Batch, pg *pendingGroup, x *placement.Index, count int, now time.Duration) int {
	req := c.approvedRequest(pg.job, pg.group, now)
	req.ExpectedEnd = now + c.expectedDuration(pg.job.Spec.Steps[pg.group.Step])
	n := 0
	if len(pg.job.avoided) > 0 || pg.job.HasCrashes() {
		n = c.placeEach(b, pg, req, x, count, now)
	} else {
		nodes := x.ChooseGroup(req, count)
		n = len(nodes)
		for i, node := range nodes {
			c.placeTask(b, pg, pg.group.Waiting[i], node, now)
		}
	}
	pg.group.Waiting = pg.group.Waiting[n:]
	return n
}

// placeEach places the first count tasks of a job with tasks that avoid workers, or under
// which workers have crashed, until one finds no worker. It returns how many it placed.
func (c *Core) placeEach(b *Batch, pg *pendingGroup, req placement.Request, x *placement.Index, count int, now time.Duration) int {
	for i, k := range pg.group.Waiting[:count] {
		req.Avoided = pg.job.avoided[pg.task(k)]
		req.Suspect = pg.job.Suspect(pg.task(k))
		req.AvoidRecentStart = pg.job.CrashCount(pg.task(k)) > 0
		n := x.Choose(req)
		if n == nil {
			return i
		}
		x.Reserve(req, n)
		c.placeTask(b, pg, k, n, now)
	}
	return count
}

// placeTask adds a run of a group's task with index k on a node.
func (c *Core) placeTask(b *Batch, pg *pendingGroup, k int, n *placement.Node, now time.Duration) {
	ws := c.workers[n.ID]
	c.addPlannedRun(b, pg.job, pg.job.Place(pg.task(k), locationOf(ws)), ws, now)
}

// placeGang places all tasks of a gang or none.
func (c *Core) placeGang(b *Batch, pg *pendingGroup, x *placement.Index, now time.Duration) placeOutcome {
	req := c.approvedRequest(pg.job, pg.group, now)
	s := pg.job.Spec.Steps[pg.group.Step]
	req.ExpectedEnd = now + c.expectedDuration(s)
	req.Avoided = pg.job.avoidedByGang(pg.group)
	chosen := placement.ChooseGang(x.Nodes(), req, s.Count, s.SameRack)
	if chosen == nil {
		return noRoom
	}
	at := make([]job.Location, 0, len(chosen))
	for _, n := range chosen {
		x.Reserve(req, n)
		at = append(at, locationOf(c.workers[n.ID]))
	}
	for i, r := range pg.job.PlaceGang(pg.group.Occurrence, pg.group.Step, at) {
		c.addPlannedRun(b, pg.job, r, c.workers[at[i].Worker.ID], now)
	}
	pg.group.Waiting = nil
	return placed
}
