package scheduler

import (
	"time"

	"greengagedeck/internal/worker"
)

// repeatsStart reports whether this holder is to send the start of a run that an earlier holder
// planned and that its worker does not list. A worker that restarts forgets the fencing token, so
// that it may carry out an order of that holder yet: with the same run ordered there, a second one
// of its task can't start. first is set if the answer is the first one that shows all runs.
func (c *Core) repeatsStart(ws *worker.State, r *worker.Run, first bool, now time.Duration) bool {
	if r.RepeatsStart {
		return !r.Stopping
	}
	if !first || !c.mayRepeatStart(ws, r, now) {
		return false
	}
	r.RepeatsStart = true
	r.Verified = c.jobs[r.ID.Task.Job].CrashCount(r.ID.Task) > 0
	c.repeatedStarts = append(c.repeatedStarts, plannedStart{run: r.ID, worker: ws.Incarnation})
	c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", ws.Incarnation.ID).
		Msg("start of an earlier holder is sent again")
	return true
}

// mayRepeatStart reports whether the start of a run may be sent again: the worker is still the
// process for which the run was planned, so that the run has not ended, and takes tasks of its
// step.
func (c *Core) mayRepeatStart(ws *worker.State, r *worker.Run, now time.Duration) bool {
	j := c.jobs[r.ID.Task.Job]
	switch {
	case !r.AwaitsEarlierHolders() || r.Stopping || j == nil || j.Redundant(r.ID):
		return false
	case r.PlannedFor != ws.Incarnation.StartedAt || now >= ws.EarlierOrdersEnd():
		return false
	case ws.CordonReason != "" || unwantedAt(ws, r, j.Step(r.ID.Task)) != "":
		return false
	default:
		return j.Terms.Approval == nil || c.approvalsOf(r.Key).approved(ws.Incarnation, now)
	}
}

// endMissing ends a run that is not at its worker, or holds it back while an earlier holder may
// have it started by a later process of the worker.
func (c *Core) endMissing(ws *worker.State, r *worker.Run, reason unseenReason, t Times) {
	if !c.mayBeStartedByEarlierHolder(ws, r, t.Now) {
		c.endUnseen(ws, r, reason, t)
		return
	}
	if r.PlannedFor != 0 {
		c.stopIncompleteGang(c.jobs[r.ID.Task.Job], r)
		c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", ws.Incarnation.ID).Str("reason", string(reason)).
			Dur("for", ws.EarlierHoldersEnd()-t.Now).Msg("run held back while earlier holders may send its start")
	}
	ws.HoldBack(r, t.Now)
}

// mayBeStartedByEarlierHolder reports whether an earlier holder may send the start of a run whose
// task would be placed again.
func (c *Core) mayBeStartedByEarlierHolder(ws *worker.State, r *worker.Run, now time.Duration) bool {
	j := c.jobs[r.ID.Task.Job]
	return r.Adopted && now < ws.EarlierHoldersEnd() && j != nil && !j.Redundant(r.ID)
}

// untilEarlierHoldersEnd returns for how long a poll may wait so that runs which are held back end
// soon after earlier holders can't send their starts any more.
func untilEarlierHoldersEnd(ws *worker.State, now time.Duration) time.Duration {
	for _, r := range ws.Runs {
		if r.AwaitsEarlierHolders() {
			return min(pollWait, max(0, ws.EarlierHoldersEnd()-now))
		}
	}
	return pollWait
}
