package scheduler

import (
	"fmt"
	"strings"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// The causes for which a task waits, as WaitCause tells them.
const (
	CauseUntracked     = "a logged run that no worker is tracked to have"
	CauseLeaseExtended = "resent starts extend the lease of a silent worker"
	CauseLateStart     = "an unanswered start may still be carried out"
	CauseEarlierLease  = "a lease of an earlier holder or incarnation may last"
	CauseOwnLease      = "the lease of a silent worker lasts"
	CauseHeld          = "a run at a worker that answers"
	CauseStarting      = "a new run has just been placed"
	CauseEjected       = "a worker with room is ejected"
	CauseNotPlaced     = "not placed"
)

// startingTime is how long a run may take from its placement to its start, and
// expiryDelay how long a plan after the end of a wait may take.
const (
	startingTime = time.Second
	expiryDelay  = 500 * time.Millisecond
)

// lateStartWait is how long after it was sent a start without an answer may still
// be carried out, by another incarnation of the worker too.
const lateStartWait = 15 * time.Second

// WaitCause returns why a task has no new run, what the holder knows about it, and
// until when it has to wait for the task's last run to have ended for certain. That
// time is 0 if no run is in the way:
//
//   - An earlier holder may have granted a lease of MaxLease until DutyLease after
//     the takeover.
//   - A start without an answer may be carried out lateStartWait after it was sent,
//     and then has a lease of MaxLease.
func WaitCause(c *Core, t job.TaskID, now time.Duration) (cause, detail string, until time.Duration) {
	j := c.jobs[t.Job]
	if j == nil || j.Task(t) == nil {
		return "unknown job", "", 0
	}
	for _, r := range j.Task(t).Runs {
		return c.heldBy(r, t, now)
	}
	var ejected []string
	for id := range c.workers {
		if c.ejected(id, now) {
			ejected = append(ejected, fmt.Sprintf("%s for %v more", id, c.health[id].ejectedUntil-now))
		}
	}
	detail = fmt.Sprintf("reason %+v, ejected %s", j.waitReasons[t.Step], strings.Join(ejected, ", "))
	if len(ejected) > 0 {
		return CauseEjected, detail, 0
	}
	return CauseNotPlaced, detail, 0
}

// heldBy tells for which cause a logged run of a task is not given up.
func (c *Core) heldBy(r job.Run, t job.TaskID, now time.Duration) (cause, detail string, until time.Duration) {
	ws := c.workers[r.At.Worker.ID]
	if ws == nil {
		return CauseUntracked, r.At.Worker.ID, 0
	}
	run := ws.Runs[job.RunID{Task: t, Number: r.Number}]
	if run == nil {
		return CauseUntracked, r.At.Worker.ID, 0
	}
	resent := false
	for _, other := range ws.Runs {
		resent = resent || other.StartUnanswered && other.StartSentAt > 0 && now-other.StartSentAt < time.Second
	}
	detail = fmt.Sprintf("run %d at %s state %d stopping %t unanswered %t sent %v ago, worker: unanswered calls %d fenced %t listed %t lease left %v runs %d",
		r.Number, r.At.Worker.ID, run.State, run.Stopping, run.StartUnanswered, now-run.StartSentAt, ws.UnansweredCalls, ws.Fenced, ws.Listed, ws.LeaseRemaining(now), len(ws.Runs))
	switch {
	case reachable(ws) && run.State != worker.RunConfirmed && now-run.StateSince < startingTime:
		return CauseStarting, detail, now + startingTime
	case reachable(ws):
		return CauseHeld, detail, 0
	case resent && ws.Fenced:
		return CauseLeaseExtended, detail, 0
	case ws.LeaseRemaining(now) > 0:
		return CauseOwnLease, detail, 0
	case run.StartUnanswered:
		return CauseLateStart, detail, run.StartSentAt + lateStartWait + c.leaseBounds().Allowed + expiryDelay
	default:
		return CauseEarlierLease, detail, c.earlierLeasesEnd + expiryDelay
	}
}

// LateLeaseEnd returns until when a start that was sent at a moment and got no answer may
// give all runs at its worker a lease, also at the worker's next incarnation.
func LateLeaseEnd(c *Core, sent time.Duration) time.Duration {
	return sent + lateStartWait + c.leaseBounds().Allowed + expiryDelay
}

// WorkerOf returns the worker of a task's first run, or "" if it has none.
func WorkerOf(c *Core, t job.TaskID) string {
	j := c.jobs[t.Job]
	if j == nil || j.Task(t) == nil {
		return ""
	}
	for _, r := range j.Task(t).Runs {
		return r.At.Worker.ID
	}
	return ""
}

// TaskDone reports whether the holder knows that a task is done.
func TaskDone(c *Core, t job.TaskID) bool {
	j := c.jobs[t.Job]
	return j != nil && j.Task(t) != nil && j.Task(t).Done
}
