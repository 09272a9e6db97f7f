package scheduler

import (
	"maps"
	"slices"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// List takes in changed entries of the platform's list of workers, and the IDs
// that it no longer names. Entries of other pools name no worker of this one.
func (c *Core) List(listed []worker.Listing, removed []string, t Times) {
	for _, l := range listed {
		if l.Pool != c.opt.Pool {
			removed = append(removed, l.Incarnation.ID)
			continue
		}
		c.list(l, t)
	}
	for _, id := range removed {
		if b := c.workers[id]; b != nil && b.Listed {
			b.Listed = false
			c.opt.Logger.Info().Str("worker", id).Int("runs", len(b.Runs)).Msg("worker left the list")
			c.dropIdle(id)
		}
	}
	c.changed = true
}

// Replace takes in the whole list.
func (c *Core) Replace(listed []worker.Listing, t Times) {
	named := map[string]bool{}
	for _, l := range listed {
		named[l.Incarnation.ID] = true
	}
	var removed []string
	for id := range c.workers {
		if !named[id] {
			removed = append(removed, id)
		}
	}
	c.List(listed, removed, t)
}

func (c *Core) list(l worker.Listing, t Times) {
	b := c.workers[l.Incarnation.ID]
	switch {
	case b == nil:
		b = worker.NewBook(l, t.Now, c.blind)
		c.workers[l.Incarnation.ID] = b
		c.applyClosed(b)
		c.opt.Logger.Info().Str("worker", l.Incarnation.ID).Str("address", l.Address).Msg("worker listed")
		return
	case l.Incarnation.StartedAt < b.Incarnation.StartedAt:
		// The list lags behind what the worker said itself.
		return
	case l.Incarnation.StartedAt > b.Incarnation.StartedAt:
		c.reborn(b, l, t)
		return
	}
	if l.Draining && !b.Draining {
		c.opt.Logger.Info().Str("worker", l.Incarnation.ID).Dur("remaining", l.Remaining).Int("runs", len(b.Runs)).Msg("worker drains")
	}
	b.Listing = l
	b.Listed = true
	c.applyClosed(b)
}

// reborn notes that a worker has started anew. What ran there has ended, which
// the first look at the new incarnation confirms.
func (c *Core) reborn(b *worker.Book, l worker.Listing, t Times) {
	c.opt.Logger.Info().Str("worker", l.Incarnation.ID).Int64("born", l.Incarnation.StartedAt).Int("runs", len(b.Runs)).Msg("worker restarted")
	b.Reborn(l, t.Now, c.longestLease())
	c.applyClosed(b)
	c.changed = true
}

// dropIdle forgets a worker that no list names and that has no runs.
func (c *Core) dropIdle(id string) {
	if b := c.workers[id]; b != nil && !b.Listed && len(b.Runs) == 0 {
		delete(c.workers, id)
		delete(c.health, id)
		delete(c.governors, id)
		c.Open(id)
	}
}

// over notes the end of a run at a worker.
func (c *Core) over(b *worker.Book, r *worker.Run, how job.EndReason, checkpoint string, t Times) {
	b.Remove(r.ID)
	c.changed = true
	it := c.jobs[r.ID.Task.Job]
	if it == nil {
		return
	}
	if checkpoint == "" && how != job.EndDone {
		checkpoint = r.Checkpoint
	}
	before := it.Phase
	if !it.EndRun(r.ID, how, checkpoint, t.Wall) {
		return
	}
	c.logEnd(it, b, r, how, t.Now)
	switch how {
	case job.EndDone:
		c.succeeded(b.Incarnation.ID)
		if r.State == worker.Confirmed {
			c.took(it.Terms.Entry, t.Now-r.Since, it.Step(r.ID.Task).Estimate)
		}
	case job.EndFailed:
		c.failedOn(b.Incarnation.ID, r.ID.Task.Job, t.Now)
	default:
	}
	if how == job.EndFailed {
		it.avoid(r.ID.Task, b.Incarnation.ID)
	}
	c.touch(it)
	if it.Phase != before && it.Phase.Final() {
		c.jobTimes = append(c.jobTimes, t.Now-it.arrived)
		c.opt.Logger.Info().Str("job", string(it.Spec.ID)).Stringer("phase", it.Phase).Dur("after", t.Now-it.arrived).Dur("objective", it.objective()).Msg("job ended")
	}
	c.stopNeedless(it)
}

func (it *item) avoid(t job.TaskID, workerID string) {
	if it.shun == nil {
		it.shun = map[job.TaskID]string{}
	}
	it.shun[t] = workerID
}

// stopNeedless marks the runs of a job that serve no purpose any more.
func (c *Core) stopNeedless(it *item) {
	it.EachActiveRun(func(r job.RunID, at job.Location) {
		if !it.Redundant(r) {
			return
		}
		if b := c.workers[at.Worker.ID]; b != nil {
			c.stop(b, b.Runs[r], "no longer needed")
		}
	})
}

// stop marks a run to be stopped.
func (c *Core) stop(b *worker.Book, r *worker.Run, reason string) {
	if r == nil || r.Stopping {
		return
	}
	r.Stopping = true
	r.StopReason = reason
	c.changed = true
	c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", b.Incarnation.ID).Str("reason", reason).Msg("run to be stopped")
}

// expire ends the runs of workers that do not answer, once no lease can be left.
func (c *Core) expire(t Times) {
	for _, id := range slices.Sorted(maps.Keys(c.workers)) {
		b := c.workers[id]
		if len(b.Runs) == 0 || reachable(b) || !b.Expired(t.Now) {
			continue
		}
		for _, r := range sortedRuns(b) {
			if r.State == worker.Planned {
				continue
			}
			c.opt.Logger.Warn().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", id).Dur("silent", t.Now-b.Answered).Msg("lease over, run given up")
			c.over(b, r, job.EndWorkerLost, "", t)
		}
		c.dropIdle(id)
	}
}

// reachable reports whether a worker answered its last call.
func reachable(b *worker.Book) bool { return b.Address != "" && b.Misses == 0 && b.Fenced }

func sortedRuns(b *worker.Book) []*worker.Run {
	out := slices.Collect(maps.Values(b.Runs))
	slices.SortFunc(out, func(x, y *worker.Run) int { return compareRuns(x.ID, y.ID) })
	return out
}

func compareRuns(a, b job.RunID) int {
	if a.Task != b.Task {
		return compareTasks(a.Task, b.Task)
	}
	return a.Number - b.Number
}

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
