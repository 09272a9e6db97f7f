package scheduler

import (
	"maps"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// avoidedWorkers are the workers that rejected or failed a task, or crashed under it,
// since it last ran elsewhere, each with the time when it last did. The task is placed there only
// when it fits on no other worker.
type avoidedWorkers map[string]time.Duration

// with returns the workers and one more, which is avoided from now on.
func (a avoidedWorkers) with(workerID string, now time.Duration) avoidedWorkers {
	out := make(avoidedWorkers, len(a)+1)
	maps.Copy(out, a)
	out[workerID] = now
	return out
}

// avoidWorker has a task avoid a worker. It forgets workers that are gone, so that
// a task avoids no more workers than there are.
func (c *Core) avoidWorker(j *trackedJob, t job.TaskID, workerID string, now time.Duration) {
	if j.avoided == nil {
		j.avoided = map[job.TaskID]avoidedWorkers{}
	}
	a := j.avoided[t]
	if a == nil {
		a = avoidedWorkers{}
		j.avoided[t] = a
	}
	a[workerID] = now
	if len(a) > len(c.workers) {
		maps.DeleteFunc(a, func(id string, _ time.Duration) bool { return c.workers[id] == nil })
	}
}

// updateAvoided updates the workers that a task avoids after one of its runs has
// ended on a worker.
func (c *Core) updateAvoided(j *trackedJob, workerID string, r *worker.Run, reason job.EndReason, now time.Duration) {
	switch {
	case reason == job.EndFailed || reason == job.EndCrashSuspected || reason == job.EndCrashedWorker:
		c.avoidWorker(j, r.ID.Task, workerID, now)
	case reason == job.EndDone:
		delete(j.avoided, r.ID.Task)
	case r.State == worker.RunConfirmed && endsWork(reason):
		j.forgetAvoided(r.ID.Task, workerID)
	}
}

// endsWork reports whether a run that started and ended for this reason was doing
// its work. A member of a gang may have waited for the others, which have to avoid
// the same workers.
func endsWork(reason job.EndReason) bool {
	switch reason {
	case job.EndStopped, job.EndLeaseExpired, job.EndWorkerLost:
		return true
	default:
		return false
	}
}

// forgetAvoided has a task that ran on a worker avoid no other one any more. The
// worker itself may have rejected the task when its start was sent again.
func (j *trackedJob) forgetAvoided(t job.TaskID, workerID string) {
	a := j.avoided[t]
	maps.DeleteFunc(a, func(id string, _ time.Duration) bool { return id != workerID })
	if len(a) == 0 {
		delete(j.avoided, t)
	}
}

// stopAvoiding has a task avoid a worker no more.
func (j *trackedJob) stopAvoiding(t job.TaskID, workerID string) {
	delete(j.avoided[t], workerID)
	if len(j.avoided[t]) == 0 {
		delete(j.avoided, t)
	}
}

// avoidedByGang returns the workers that any task of a gang avoids.
func (j *trackedJob) avoidedByGang(g job.TaskGroup) avoidedWorkers {
	var out avoidedWorkers
	for t, a := range j.avoided {
		if t.Step == g.Step && t.Occurrence == g.Occurrence {
			out = out.merge(a)
		}
	}
	return out
}

// merge returns the workers of both, each with the later time.
func (a avoidedWorkers) merge(b avoidedWorkers) avoidedWorkers {
	out := make(avoidedWorkers, len(a)+len(b))
	maps.Copy(out, a)
	for id, since := range b {
		out[id] = max(out[id], since)
	}
	return out
}
