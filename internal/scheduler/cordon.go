package scheduler

import (
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/worker"
)

// cordon marks a worker that takes no new tasks, so that its host can be moved
// or maintained.
type cordon struct {
	joblog.Cordon
	// logged is set once the log holds the cordon: the next holder then keeps
	// it.
	logged bool
	// lifted is set when the worker takes tasks again and the log still holds
	// the cordon.
	lifted bool
	// dirty is set while the last change is in no batch.
	dirty bool
}

// Cordon makes a worker take no new tasks. With evacuate set its long-running
// tasks are moved to other workers, at no time more of a step than its
// MaxUnavailable allows.
func (c *Core) Cordon(id, reason string, evacuate bool) {
	ws := c.workers[id]
	if ws == nil {
		return
	}
	cn := c.cordons[id]
	if cn != nil && !cn.lifted && cn.Worker == ws.Incarnation && cn.Evacuate == evacuate {
		return
	}
	c.cordons[id] = &cordon{
		Cordon: joblog.Cordon{Worker: ws.Incarnation, Reason: reason, Evacuate: evacuate},
		dirty:  true,
	}
	ws.CordonReason = reason
	c.touch(id)
	c.wakePoll(id)
	c.needsPlan = true
	c.opt.Logger.Info().Str("worker", id).Str("reason", reason).Bool("evacuate", evacuate).Int("runs", len(ws.Runs)).Msg("worker cordoned")
}

// Uncordon makes a cordoned worker take tasks again.
func (c *Core) Uncordon(id string) {
	cn := c.cordons[id]
	if cn == nil || cn.lifted {
		return
	}
	cn.lifted = true
	cn.dirty = true
	if ws := c.workers[id]; ws != nil {
		ws.CordonReason = ""
		c.touch(id)
	}
	c.needsPlan = true
	c.opt.Logger.Info().Str("worker", id).Str("reason", cn.Reason).Msg("worker uncordoned")
}

// restoreCordon restores a cordon from the log.
func (c *Core) restoreCordon(logged joblog.Cordon) {
	c.cordons[logged.Worker.ID] = &cordon{Cordon: logged, logged: true}
}

// liftStrayCordons lifts the cordons of workers that are gone. They may have gone while
// the pool changed hands.
func (c *Core) liftStrayCordons() {
	for id := range c.cordons {
		if c.workers[id] == nil {
			c.Uncordon(id)
		}
	}
}

// applyCordon marks a worker that became known after it was cordoned.
func (c *Core) applyCordon(ws *worker.State) {
	cn := c.cordons[ws.Incarnation.ID]
	switch {
	case cn == nil || cn.lifted:
	case cn.Worker == ws.Incarnation:
		ws.CordonReason = cn.Reason
		c.touch(ws.Incarnation.ID)
	default:
		// The cordon was meant for an earlier incarnation.
		c.Uncordon(ws.Incarnation.ID)
	}
}

// encodeCordons adds the changed cordons to a batch.
func (c *Core) encodeCordons(b *Batch) error {
	for id, cn := range c.cordons {
		if !cn.dirty {
			continue
		}
		cn.dirty = false
		if cn.lifted {
			delete(c.cordons, id)
			b.Progress = append(b.Progress, joblog.DeleteCordon(id))
			continue
		}
		e, err := joblog.CordonEntry(cn.Cordon)
		if err != nil {
			return err
		}
		b.Progress = append(b.Progress, e)
		b.cordons = append(b.cordons, cn)
	}
	return nil
}

// mayMakeUnavailable reports whether one more task of a long-running step may be
// stopped within the step's MaxUnavailable. A task counts as unavailable from the order that stops it until it
// is active again, and while it is unavailable for any other reason.
func (c *Core) mayMakeUnavailable(j *trackedJob, t job.TaskID) bool {
	unavailable := 0
	self := j.Task(t)
	for k := range j.Step(t).Count {
		other := job.TaskID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: k}
		task := j.Task(other)
		if task != self && !c.hasActiveRun(task, other) {
			unavailable++
		}
	}
	return unavailable < j.Step(t).MaxUnavailable
}

// hasActiveRun reports whether a task has a run that works at full speed.
func (c *Core) hasActiveRun(task *job.Task, id job.TaskID) bool {
	for _, r := range task.Runs {
		ws := c.workers[r.At.Worker.ID]
		if ws == nil || !reachable(ws) {
			continue
		}
		run := ws.Runs[job.RunID{Task: id, Number: r.Number}]
		if run != nil && run.State == worker.RunConfirmed && !run.Stopping && run.ProgressPercent == worker.FullSpeed && c.noEarlierStop(ws, run) {
			return true
		}
	}
	return false
}

// noEarlierStop reports whether no earlier holder is stopping a run: a stop
// that was sent just before the worker was fenced leaves the run there for a
// while.
func (c *Core) noEarlierStop(ws *worker.State, r *worker.Run) bool {
	return r.StartSentAt > 0 || r.LastReported >= ws.FencedAt+c.opt.StopTimeout
}
