package scheduler

import (
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// maxListAge is how old the list of workers may be for a start to be sent. A worker
// whose capacity has shrunk must not be filled by the one that it had before.
const maxListAge = 2500 * time.Millisecond

// UpdateWorkers applies a read of the platform's list of workers: its changed
// entries, of which there may be none, and the removal of workers that are no longer
// listed. Entries of other pools count as removed here.
func (c *Core) UpdateWorkers(listed []worker.Listing, removed []string, t Times) {
	c.listReadAt = t.Now
	for _, l := range listed {
		if l.Pool != c.opt.Pool {
			removed = append(removed, l.Incarnation.ID)
			continue
		}
		c.recordCapacity(l.Capacity)
		c.updateWorker(l, t)
	}
	for _, id := range removed {
		if ws := c.workers[id]; ws != nil && ws.Listed {
			ws.Listed = false
			c.touch(id)
			ws.MarkLapsed()
			c.countLapsed(ws, t)
			c.opt.Logger.Info().Str("worker", id).Int("runs", len(ws.Runs)).Msg("worker is no longer listed")
		}
		c.dropIdle(id, t.Now)
	}
	c.needsPlan = true
}

// ReplaceWorkers applies the whole list.
func (c *Core) ReplaceWorkers(listed []worker.Listing, t Times) {
	listedIDs := map[string]bool{}
	for _, l := range listed {
		listedIDs[l.Incarnation.ID] = true
	}
	var removed []string
	for id := range c.workers {
		if !listedIDs[id] {
			removed = append(removed, id)
		}
	}
	c.UpdateWorkers(listed, removed, t)
	c.liftStrayCordons()
}

// updateWorker applies one entry of the list.
func (c *Core) updateWorker(l worker.Listing, t Times) {
	ws := c.workers[l.Incarnation.ID]
	switch {
	case ws == nil:
		ws = c.newWorker(l, t.Now)
		ws.EntryStartedAt = l.Incarnation.StartedAt
		c.tokens.listedAgain(ws, t.Now)
		c.addWorker(ws)
		c.wakePoll(l.Incarnation.ID)
		c.applyCordon(ws)
		c.opt.Logger.Info().Str("worker", l.Incarnation.ID).Str("address", l.Address).Msg("worker listed")
		return
	case l.Incarnation.StartedAt != ws.Incarnation.StartedAt && ws.EntryLags(l):
		// The list lags behind what the worker itself reported. Until it has caught up,
		// the worker counts as not listed.
		return
	case l.Incarnation.StartedAt != ws.Incarnation.StartedAt:
		c.workerRestarted(ws, l, t)
		ws.Listed, ws.EntryStartedAt = true, l.Incarnation.StartedAt
		c.touch(l.Incarnation.ID)
		return
	}
	if l.Draining && !ws.Draining {
		c.opt.Logger.Info().Str("worker", l.Incarnation.ID).Dur("remaining", l.DrainRemaining).Int("runs", len(ws.Runs)).Msg("worker is draining")
	}
	ws.Listing = l
	ws.Listed, ws.EntryStartedAt = true, l.Incarnation.StartedAt
	c.touch(l.Incarnation.ID)
	if !reachable(ws) {
		c.wakePoll(l.Incarnation.ID)
	}
	c.applyCordon(ws)
}

// workerRestarted replaces a worker's incarnation. The runs of the old one have
// ended, which the first poll of the new incarnation confirms.
func (c *Core) workerRestarted(ws *worker.State, l worker.Listing, t Times) {
	c.noteRestarted(ws, l, t.Now)
	c.recordCrash(ws, t)
	c.tokens.restarted(ws)
	ws.ReplaceIncarnation(l, t.Now)
	c.wakePoll(l.Incarnation.ID)
	c.applyCordon(ws)
	c.needsPlan = true
}

// dropIdle removes a worker that is not listed and has no runs.
func (c *Core) dropIdle(id string, now time.Duration) {
	if ws := c.workers[id]; ws != nil && !ws.Listed && len(ws.Runs) == 0 {
		c.tokens.forget(ws, now)
		c.removeWorker(id)
		c.wakePoll(id)
		delete(c.health, id)
		delete(c.governors, id)
		c.Uncordon(id)
	}
}

// recordEnd records the end of a run on a worker.
func (c *Core) recordEnd(ws *worker.State, r *worker.Run, reason job.EndReason, checkpoint string, t Times) {
	ws.RemoveRun(r.ID)
	c.needsPlan = true
	j := c.jobs[r.ID.Task.Job]
	if j == nil {
		return
	}
	if checkpoint == "" && reason != job.EndDone {
		checkpoint = r.Checkpoint
	}
	if reason == job.EndWorkerLost && r.CrashReason != "" {
		reason = r.CrashReason
	}
	before := j.Phase
	if !j.EndRun(r.ID, reason, checkpoint, t.Wall) {
		return
	}
	c.logEnd(j, ws, r, reason, t.Now)
	c.recordActive(j, ws, r, t.Now)
	switch reason {
	case job.EndDone:
		c.recordSuccess(ws.Incarnation.ID)
		if r.State == worker.RunConfirmed {
			c.recordDuration(j.Terms.Entry, t.Now-r.StateSince, j.Step(r.ID.Task).Estimate)
		}
	case job.EndFailed:
		c.recordFailure(ws.Incarnation.ID, r.ID.Task.Job, t.Now)
	default:
	}
	c.updateAvoided(j, ws.Incarnation.ID, r, reason, t.Now)
	c.stopIncompleteGang(j, r)
	c.markDirty(j)
	c.recordJobEnd(j, before, t)
	if j.Phase.Final() || reason == job.EndDone && j.mayHaveOtherRuns(r.ID.Task) {
		c.stopRedundant(j)
	}
}

// recordJobEnd records that a job has ended if it had not in the phase before.
func (c *Core) recordJobEnd(j *trackedJob, before job.Phase, t Times) {
	if j.Phase == before || !j.Phase.Final() {
		return
	}
	c.jobDurations = append(c.jobDurations, t.Now-j.arrived)
	c.opt.Logger.Info().Str("job", string(j.Spec.ID)).Stringer("phase", j.Phase).Dur("after", t.Now-j.arrived).Dur("objective", j.objective).Msg("job ended")
}

// recordCrash records that an incarnation of a worker is known to have ended, before the
// ends of its runs are recorded.
func (c *Core) recordCrash(ws *worker.State, t Times) {
	ws.MarkCrash(true)
	c.noteCrash(ws, t.Now)
	c.countLapsed(ws, t)
}

// countLapsed counts the crash of a worker for the runs whose leases had expired
// before the crash was known. A task that a worker has survived meanwhile is not the
// cause.
func (c *Core) countLapsed(ws *worker.State, t Times) {
	for _, r := range ws.Lapsed {
		j := c.jobs[r.ID.Task.Job]
		if j == nil || r.CrashReason == "" || c.hasSurvivor(j, r.ID.Task) {
			continue
		}
		before := j.Phase
		j.CountCrash(r.ID.Task, ws.Incarnation.ID, r.CrashReason, t.Wall)
		c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", ws.Incarnation.ID).Str("how", string(r.CrashReason)).
			Int("crashed_workers", j.CrashCount(r.ID.Task)).Msg("worker of a lapsed run has crashed")
		c.markDirty(j)
		c.recordJobEnd(j, before, t)
		if j.Phase.Final() {
			c.stopRedundant(j)
		}
	}
	ws.Lapsed = nil
}

// hasSurvivor reports whether a worker has survived the start of a run of a task that
// is active there.
func (c *Core) hasSurvivor(j *trackedJob, t job.TaskID) bool {
	task := j.Task(t)
	return task != nil && slices.ContainsFunc(task.Runs, func(r job.Run) bool {
		ws := c.workers[r.At.Worker.ID]
		if ws == nil {
			return false
		}
		run := ws.Runs[job.RunID{Task: t, Number: r.Number}]
		return run != nil && run.State == worker.RunConfirmed && ws.Survived(run)
	})
}

// mayHaveOtherRuns reports whether further runs may do the same work as one of a
// task.
func (j *trackedJob) mayHaveOtherRuns(t job.TaskID) bool {
	s := &j.Spec.Steps[t.Step]
	return s.Speculative || s.Gang
}

// stopRedundant stops the runs of a job that are redundant.
func (c *Core) stopRedundant(j *trackedJob) {
	j.EachActiveRun(func(r job.RunID, at job.Location) {
		if !j.Redundant(r) {
			return
		}
		if ws := c.workers[at.Worker.ID]; ws != nil {
			c.requestStop(ws, ws.Runs[r], "no longer needed")
		}
	})
}

// stopIncompleteGang stops the other members of a gang after the run of one has ended
// that was not known to have started. They would wait for it until they time out.
func (c *Core) stopIncompleteGang(j *trackedJob, ended *worker.Run) {
	if !j.Step(ended.ID.Task).Gang || ended.State == worker.RunConfirmed {
		return
	}
	j.EachActiveRun(func(r job.RunID, at job.Location) {
		if worker.StepKeyOf(r.Task) != ended.Key || r.Number != ended.ID.Number {
			return
		}
		if ws := c.workers[at.Worker.ID]; ws != nil {
			c.requestStop(ws, ws.Runs[r], "a member of its gang was not started")
		}
	})
}

// requestStop marks a run to be stopped. One whose start was never sent has ended with
// that.
func (c *Core) requestStop(ws *worker.State, r *worker.Run, reason string) {
	if r == nil || r.Stopping {
		return
	}
	if ws.NeverSent(r) {
		c.discardRun(ws, r, reason)
		return
	}
	r.Stopping = true
	r.StopReason = reason
	c.stoppingWorkers[ws.Incarnation.ID] = true
	c.needsPlan = true
	c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", ws.Incarnation.ID).Str("reason", reason).Msg("stopping run")
}

// discardRun ends a run that is in the log and whose start was never sent, so that its
// task can be placed again at once.
func (c *Core) discardRun(ws *worker.State, r *worker.Run, reason string) {
	ws.RemoveRun(r.ID)
	c.needsPlan = true
	c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", ws.Incarnation.ID).Str("reason", reason).Msg("run dropped before its start was sent")
	j := c.jobs[r.ID.Task.Job]
	if j == nil || !j.DiscardRun(r.ID) {
		return
	}
	c.stopIncompleteGang(j, r)
	c.markDirty(j)
}

// expireLeases ends the runs of workers that do not answer, once every lease
// granted to them has expired.
func (c *Core) expireLeases(t Times) {
	c.refreshWorkers(t.Now)
	var expired []string
	for id := range c.index.silent {
		ws := c.workers[id]
		switch {
		case ws.LeaseExpired(t.Now):
			expired = append(expired, id)
		default:
			c.dropUnsent(ws)
			c.logKeptRuns(ws, t.Now)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		ws := c.workers[id]
		if ws.Listed {
			// Whether it has crashed shows when it answers again, restarts or leaves.
			ws.KeepLapsed()
		} else {
			ws.MarkCrash(false)
		}
		for _, r := range sortedRuns(ws) {
			if r.State == worker.RunPlanned {
				continue
			}
			c.logLeaseExpired(ws, r, t.Now)
			c.endUnseen(ws, r, unseenLeaseExpired, t)
		}
		c.dropIdle(id, t.Now)
	}
}

// dropUnsent ends the runs on a silent worker whose start was never sent, so that
// their tasks need not wait for its lease.
func (c *Core) dropUnsent(ws *worker.State) {
	if ws.UnansweredCalls == 0 {
		return
	}
	for _, r := range sortedRuns(ws) {
		if ws.NeverSent(r) {
			c.discardRun(ws, r, "its worker does not answer")
		}
	}
}

// reachable reports whether a worker answered its last call.
func reachable(ws *worker.State) bool {
	return ws.Address != "" && ws.UnansweredCalls == 0 && ws.Fenced
}

// sortedRuns returns the runs of a worker in the order of their IDs.
func sortedRuns(ws *worker.State) []*worker.Run {
	out := slices.Collect(maps.Values(ws.Runs))
	slices.SortFunc(out, func(x, y *worker.Run) int { return compareRuns(x.ID, y.ID) })
	return out
}

// compareRuns orders runs by task and run number.
func compareRuns(a, b job.RunID) int {
	if a.Task != b.Task {
		return compareTasks(a.Task, b.Task)
	}
	return a.Number - b.Number
}

// compareTasks orders tasks by job, occurrence, step and index.
func compareTasks(a, b job.TaskID) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Occurrence != b.Occurrence:
		return a.Occurrence - b.Occurrence
	case a.Step != b.Step:
		return a.Step - b.Step
	default:
		return a.Index - b.Index
	}
}
