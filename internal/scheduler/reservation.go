package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/placement"
	"greengagedeck/internal/worker"
)

const (
	// reserveAfter is for how long a group must have waited for room, while groups after it
	// were placed, until room is reserved for it.
	reserveAfter = 500 * time.Millisecond
	// reservedShare is the part of the workers on which room may be reserved: it is unused
	// until enough runs have ended there.
	reservedShare = 8
	// maxReservationWait bounds how far ahead room is reserved.
	maxReservationWait = 10 * time.Minute
	// reservationMargin is how much later than expected the room may come until it is looked
	// for elsewhere.
	reservationMargin = 2 * time.Second
	// maxOvertaken bounds the groups that are tracked, and maxPassed those of one plan.
	maxOvertaken = 16
	maxPassed    = 8
)

// overtakenGroup is a group for which no worker has room while groups after it are placed.
// Its tasks are larger than most, and others take whatever becomes free.
type overtakenGroup struct {
	since time.Duration
	// left is how many tasks waited then.
	left int
	// workers are those on which room is reserved, one for each task, or nil, and expires
	// is when other workers are looked for.
	workers []string
	expires time.Duration
}

// passed records that no worker had room for a group in its turn. Excess jobs get what is
// left, so that no room is reserved for them.
func (w *waitingPlacer) passed(pg *pendingGroup) {
	if len(w.passedGroups) < maxPassed && !pg.job.excess {
		w.passedGroups = append(w.passedGroups, pg)
	}
}

// overtaken records that a group was placed whose turn came after those that were passed.
func (w *waitingPlacer) overtaken() {
	c := w.core
	if c.waiting.byCustomer {
		for _, pg := range w.passedGroups {
			if c.overtaken[pg.step()] == nil && len(c.overtaken) < maxOvertaken {
				c.overtaken[pg.step()] = &overtakenGroup{since: w.now, left: len(pg.group.Waiting)}
			}
		}
	}
	w.passedGroups = w.passedGroups[:0]
}

// useReservations starts tasks of a priority for which room is reserved, as far as it is
// there, and keeps the other reserved room from groups of this priority and of less urgent
// ones.
func (w *waitingPlacer) useReservations(priority int) {
	c := w.core
	for _, key := range c.overtakenSteps() {
		o, pg := c.overtaken[key], c.waitingGroup(key)
		if o.workers == nil || pg == nil || pg.job.Terms.Priority != priority {
			continue
		}
		w.batch.Work.Groups++
		if c.placeGroup(w.batch, pg, w.x, 1, w.now) == placed {
			delete(c.overtaken, key)
			continue
		}
		for _, id := range o.workers {
			if n := c.index.byID[id]; n != nil {
				w.x.Withhold(n, pg.need)
				// The next plan gives back what this one keeps.
				c.touch(id)
			}
		}
	}
}

// overtakenSteps returns the steps of the overtaken groups, the one that waits longest
// first.
func (c *Core) overtakenSteps() []worker.StepKey {
	if len(c.overtaken) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(c.overtaken), func(a, b worker.StepKey) int {
		return cmp.Or(cmp.Compare(c.overtaken[a].since, c.overtaken[b].since), compareSteps(a, b))
	})
}

// waitingGroup returns the group of a step that waits, or nil.
func (c *Core) waitingGroup(key worker.StepKey) *pendingGroup {
	j := c.jobs[key.Job]
	if j == nil {
		return nil
	}
	for _, pg := range j.queued {
		if pg.step() == key && len(pg.group.Waiting) > 0 {
			return pg
		}
	}
	return nil
}

// updateReservations reserves room for groups that were overtaken for long enough, and ends
// what is not needed any more. It must be called at the end of each plan.
func (c *Core) updateReservations(now time.Duration) {
	for _, key := range c.overtakenSteps() {
		o, pg := c.overtaken[key], c.waitingGroup(key)
		if pg == nil || len(pg.group.Waiting) < o.left || !c.grantAllowsGroup(pg) {
			delete(c.overtaken, key)
			continue
		}
		o.left = len(pg.group.Waiting)
		gone := slices.ContainsFunc(o.workers, func(id string) bool { return c.index.byID[id] == nil })
		if gone || now >= o.expires {
			o.workers = nil
		}
		if o.workers == nil && now >= o.since+reserveAfter && !c.reserveRoom(pg, o, now) {
			// Room is looked for again later.
			o.since = now
		}
	}
}

// reserveRoom reserves room for one task of a group, or for all of a gang. It reports
// whether there will be any.
func (c *Core) reserveRoom(pg *pendingGroup, o *overtakenGroup, now time.Duration) bool {
	reserved := map[string]bool{}
	for _, other := range c.overtaken {
		for _, id := range other.workers {
			reserved[id] = true
		}
	}
	members := pg.kind().members
	if len(reserved) > 0 && len(reserved)+members > len(c.index.byID)/reservedShare {
		return false
	}
	rooms := c.soonestRooms(pg, members, reserved, now)
	if len(rooms) < members {
		return false
	}
	for _, r := range rooms {
		o.workers = append(o.workers, r.worker)
	}
	wait := rooms[members-1].at - now
	o.expires = now + 2*wait + reservationMargin
	c.opt.Logger.Info().Str("job", string(pg.job.Spec.ID)).Int("step", pg.group.Step).Str("customer", string(pg.job.Terms.Customer)).
		Str("worker", o.workers[0]).Int("tasks", members).Dur("expected_in", wait).Msg("room is reserved for tasks that others overtake")
	return true
}

// futureRoom is when a worker has room for a task.
type futureRoom struct {
	at     time.Duration
	worker string
}

// soonestRooms returns where and when there is room for count tasks of a group at the
// earliest if nothing else is placed there. It leaves out some workers.
func (c *Core) soonestRooms(pg *pendingGroup, count int, without map[string]bool, now time.Duration) []futureRoom {
	req := c.approvedRequest(pg.job, pg.group, now)
	var out []futureRoom
	for id, n := range c.index.byID {
		if without[id] {
			continue
		}
		empty := *n
		empty.Free, empty.Isolated = c.workers[id].Capacity, false
		if req.Feasible(&empty) {
			out = append(out, c.roomsOn(c.workers[id], req, count, now)...)
		}
	}
	slices.SortFunc(out, func(a, b futureRoom) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.worker, b.worker)) })
	return out[:min(count, len(out))]
}

// roomsOn returns when a worker has room for up to count tasks.
func (c *Core) roomsOn(ws *worker.State, req placement.Request, count int, now time.Duration) []futureRoom {
	if req.MaxPerNode > 0 {
		count = min(count, req.MaxPerNode-req.TaskCount(ws.Incarnation.ID))
	}
	runs := sortedRuns(ws)
	slices.SortStableFunc(runs, func(a, b *worker.Run) int { return cmp.Compare(expectedEnd(a), expectedEnd(b)) })
	free, at := ws.FreeResources(), now
	var out []futureRoom
	for i := 0; ; i++ {
		for len(out) < count && req.Resources.FitsIn(free) {
			free = free.Sub(req.Resources)
			out = append(out, futureRoom{at, ws.Incarnation.ID})
		}
		if len(out) >= count || i == len(runs) || expectedEnd(runs[i]) > now+maxReservationWait {
			return out
		}
		free = free.Add(runs[i].Resources)
		at = max(at, expectedEnd(runs[i]))
	}
}

// expectedEnd returns when a run is expected to end.
func expectedEnd(r *worker.Run) time.Duration { return r.StateSince + r.ExpectedDuration }
