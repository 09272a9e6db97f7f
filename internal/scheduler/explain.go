package scheduler

import (
	"slices"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/placement"
	"greengagedeck/internal/worker"
)

const (
	// explainInterval is the least time between two checks why a step still
	// waits.
	explainInterval = time.Second
	// keptRunsInterval is the least time between two lines about the runs that
	// are kept on a worker that does not answer.
	keptRunsInterval = 2 * time.Second
)

// The messages of the lines that come for each run, and for the first one of a job.
const (
	msgJobStarted = "job started"
	msgRunPlaced  = "run placed"
	msgRunStarted = "run started"
	msgRunEnded   = "run ended"
)

// admits reports whether an info line with a message is to be built.
func (c *Core) admits(msg string) bool { return c.opt.Admits == nil || c.opt.Admits(msg) }

// waitReason is why a step's tasks were not placed when that was last checked.
type waitReason struct {
	reason placement.UnplacedReason
	at     time.Duration
	// maxFreeCPU is the most free processor time on a worker that could take them.
	maxFreeCPU int
}

// maxExplained bounds the groups for which one plan looks why they wait.
const maxExplained = 32

// recordWaits records which jobs that have changed since the last plan wait without a run,
// and logs for some of their groups why they wait.
func (c *Core) recordWaits(x *placement.Index, now time.Duration) {
	explained := 0
	for _, j := range c.waiting.unplanned {
		j.trackWaits(now)
		if len(j.queued) == 0 || j.settled {
			continue
		}
		if j.stalledSince == 0 && !j.HasActiveRuns() {
			j.stalledSince = now
		}
		for _, pg := range j.queued {
			if explained < maxExplained && pg.waits() {
				explained++
				c.explainWait(pg, x, now)
			}
		}
	}
}

// waits reports whether any task of the group has no run.
func (pg *pendingGroup) waits() bool {
	return slices.ContainsFunc(pg.group.Waiting, func(k int) bool {
		task := pg.job.Task(pg.task(k))
		return task != nil && len(task.Runs) == 0 && !task.Done
	})
}

// explainWait returns why a group waits. It looks again if the last look was
// explainInterval ago, and logs the reason when it differs from the last one.
func (c *Core) explainWait(pg *pendingGroup, x *placement.Index, now time.Duration) waitReason {
	j, step := pg.job, pg.group.Step
	last, seen := j.waitReasons[step]
	if seen && now < last.at+explainInterval {
		return last
	}
	req := c.approvedRequest(j, pg.group, now)
	reason, maxFreeCPU := c.unplacedReason(pg, req, x, now)
	if j.waitReasons == nil {
		j.waitReasons = map[int]waitReason{}
	}
	wait := waitReason{reason: reason, at: now, maxFreeCPU: maxFreeCPU}
	j.waitReasons[step] = wait
	if seen && last.reason == reason {
		return wait
	}
	j.nameCustomer(c.opt.Logger.Info().Str("job", string(j.Spec.ID))).Int("step", step).Int("tasks", len(pg.group.Waiting)).
		Str("limit", string(reason)).Int("workers", len(x.Nodes())).Int("listed", len(c.workers)).Int("most_free_cpu", maxFreeCPU).
		Int("needs_cpu", req.Resources.CPU).Int("needs_mb", req.Resources.MemoryMB).
		Int("priority", j.Terms.Priority).Dur("slack", pg.slack(now)).Dur("waited", now-j.arrived).Msg("tasks cannot be placed")
	return wait
}

// unplacedReason returns why no worker gets a group's tasks.
func (c *Core) unplacedReason(pg *pendingGroup, req placement.Request, x *placement.Index, now time.Duration) (reason placement.UnplacedReason, maxFreeCPU int) {
	if !c.grantAllowsGroup(pg) {
		return reasonCustomerLimit, 0
	}
	reason, maxFreeCPU, ok := c.index.summaryAt(now).Explain(req)
	if !ok {
		reason, maxFreeCPU = placement.Explain(x.Nodes(), req)
	}
	if reason == placement.ReasonNoResources && c.othersFirst(pg.job, now) {
		reason = reasonCustomerShare
	}
	return reason, maxFreeCPU
}

// logKeptRuns logs that the runs of a worker that does not answer count as
// possibly active until its lease has expired, so that their tasks wait.
func (c *Core) logKeptRuns(ws *worker.State, now time.Duration) {
	if now < ws.LastAnswer+keptRunsInterval || now < ws.KeptRunsLoggedAt+keptRunsInterval {
		return
	}
	ws.KeptRunsLoggedAt = now
	unanswered := 0
	for _, r := range ws.Runs {
		if r.StartUnanswered {
			unanswered++
		}
	}
	c.opt.Logger.Info().Str("worker", ws.Incarnation.ID).Bool("listed", ws.Listed).Int("runs", len(ws.Runs)).Int("unanswered_starts", unanswered).
		Dur("silent", now-ws.LastAnswer).Dur("lease_remaining", ws.LeaseRemaining(now)).Dur("prior_lease_remaining", ws.PriorLeaseRemaining(now)).
		Msg("runs of a worker that does not answer are kept until its lease expires")
}

// logLeaseExpired logs that a run counts as lost since its worker's leases have expired, and
// what that was decided by.
func (c *Core) logLeaseExpired(ws *worker.State, r *worker.Run, now time.Duration) {
	basis := ws.LeaseBasis(now)
	e := c.opt.Logger.Warn().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", ws.Incarnation.ID).
		Dur("silent", now-ws.LastAnswer).Dur("reading_age", basis.ReadingAge).Dur("prior_lease_over", basis.PriorOver)
	if basis.Granted {
		e.Dur("lease_at_reading", basis.LeftAtReading).Dur("lease_over", basis.Over)
	}
	e.Msg("lease of an unreachable worker expired, run counts as lost")
}

// logPlaced logs that a run is in the log and its start will be sent.
func (c *Core) logPlaced(j *trackedJob, r *worker.Run, ws *worker.State, now time.Duration) {
	if !c.admits(msgRunPlaced) {
		return
	}
	e := c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", ws.Incarnation.ID).
		Int("free_cpu", ws.FreeResources().CPU).Dur("since_answer", now-ws.LastAnswer).Dur("after", now-j.arrived)
	if wait, ok := j.waitReasons[r.ID.Task.Step]; ok {
		e.Str("had_waited_for", string(wait.reason))
	}
	if j.Checkpoint(r.ID.Task) != "" {
		e.Bool("checkpoint", true)
	}
	e.Msg(msgRunPlaced)
}

// logStarted logs that a worker has answered the start of a run.
func (c *Core) logStarted(r *worker.Run, workerID string, now time.Duration) {
	if !c.admits(msgRunStarted) {
		return
	}
	c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", workerID).Dur("order", now-r.StartSentAt).Msg(msgRunStarted)
}

// logEnd logs the end of a run.
func (c *Core) logEnd(j *trackedJob, ws *worker.State, r *worker.Run, reason job.EndReason, now time.Duration) {
	if !c.admits(msgRunEnded) {
		return
	}
	e := c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", ws.Incarnation.ID).
		Str("how", string(reason)).Dur("ran", now-r.StateSince).Bool("confirmed", r.State == worker.RunConfirmed)
	if unseen, ok := c.unseen.byRun[r.ID]; ok {
		e.Str("ended_for", string(unseen.reason))
	}
	if r.StopReason != "" {
		e.Str("stopped_for", r.StopReason)
	}
	if t := j.Task(r.ID.Task); t != nil && t.Failures > 0 {
		e.Int("failures", t.Failures).Int("most_failures", j.Terms.MaxAttempts)
	}
	if crashes := j.CrashCount(r.ID.Task); crashes > 0 {
		e.Int("crashed_workers", crashes)
	}
	e.Msg(msgRunEnded)
}
