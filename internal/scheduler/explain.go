package scheduler

import (
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

// waitReason is why a step's tasks were not placed when that was last checked.
type waitReason struct {
	reason placement.UnplacedReason
	at     time.Duration
	// maxFreeCPU is the most free processor time on a worker that could take them.
	maxFreeCPU int
}

// recordWait records that a group cannot be placed, and logs the reason when it
// differs from the last one.
func (c *Core) recordWait(pg pendingGroup, nodes []*placement.Node, now time.Duration) {
	if pg.job.stalledSince == 0 && !pg.job.HasActiveRuns() {
		pg.job.stalledSince = now
	}
	pg.job.unplacedVersion = pg.job.version
	last, seen := pg.job.waitReasons[pg.group.Step]
	if seen && now < last.at+explainInterval {
		return
	}
	req := c.approvedRequest(pg.job, pg.group, now)
	reason, maxFreeCPU := placement.Explain(nodes, req)
	if pg.job.waitReasons == nil {
		pg.job.waitReasons = map[int]waitReason{}
	}
	pg.job.waitReasons[pg.group.Step] = waitReason{reason: reason, at: now, maxFreeCPU: maxFreeCPU}
	if seen && last.reason == reason {
		return
	}
	c.opt.Logger.Info().Str("job", string(pg.job.Spec.ID)).Int("step", pg.group.Step).Int("tasks", len(pg.group.Waiting)).
		Str("limit", string(reason)).Int("workers", len(nodes)).Int("listed", len(c.workers)).Int("most_free_cpu", maxFreeCPU).
		Int("needs_cpu", req.Resources.CPU).Int("needs_mb", req.Resources.MemoryMB).
		Int("priority", pg.job.Terms.Priority).Dur("slack", pg.slack(now)).Dur("waited", now-pg.job.arrived).Msg("tasks cannot be placed")
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

// logPlaced logs that a run is in the log and its start will be sent.
func (c *Core) logPlaced(j *trackedJob, r *worker.Run, ws *worker.State, now time.Duration) {
	e := c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", ws.Incarnation.ID).
		Int("free_cpu", ws.FreeResources().CPU).Dur("since_answer", now-ws.LastAnswer).Dur("after", now-j.arrived)
	if wait, ok := j.waitReasons[r.ID.Task.Step]; ok {
		e.Str("had_waited_for", string(wait.reason))
	}
	if j.Checkpoint(r.ID.Task) != "" {
		e.Bool("checkpoint", true)
	}
	e.Msg("run placed")
}

// logEnd logs the end of a run.
func (c *Core) logEnd(j *trackedJob, ws *worker.State, r *worker.Run, reason job.EndReason, now time.Duration) {
	e := c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", ws.Incarnation.ID).
		Str("how", string(reason)).Dur("ran", now-r.StateSince).Bool("confirmed", r.State == worker.RunConfirmed)
	if r.StopReason != "" {
		e.Str("stopped_for", r.StopReason)
	}
	if t := j.Task(r.ID.Task); t != nil && t.Failures > 0 {
		e.Int("failures", t.Failures).Int("most_failures", j.Terms.MaxAttempts)
	}
	if crashes := j.CrashCount(r.ID.Task); crashes > 0 {
		e.Int("crashed_workers", crashes)
	}
	e.Msg("run ended")
}
