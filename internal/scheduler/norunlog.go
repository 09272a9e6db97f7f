package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/internal/worker"
)

// reportNoRuns logs the jobs and tasks that have had no active run for noRunAfter, the
// most unusual first, and returns how many there are.
func (c *Core) reportNoRuns(k *noRunCheck) NoRunReport {
	rep := NoRunReport{Reasons: map[NoRunReason]int{}, Workers: k.workers, ListAge: c.listAge(k.now)}
	var due []*noRun
	for _, n := range c.noRuns.known {
		if k.now-n.since < noRunAfter {
			continue
		}
		rep.Reasons[n.reason]++
		if n.reason != NoRunEarlierSteps {
			rep.Longest = max(rep.Longest, k.now-n.since)
		}
		if n.loggedAt == 0 || n.reason != n.loggedReason || k.now >= n.loggedAt+noRunRepeat {
			due = append(due, n)
		}
	}
	slices.SortFunc(due, compareNoRuns)
	shown := min(len(due), maxNoRunLines)
	for _, n := range due[:shown] {
		c.logNoRun(k, n)
	}
	c.noRuns.leftOut += len(due) - shown
	c.logNoRunSummary(k, rep)
	return rep
}

// compareNoRuns orders what has no run: first what does not wait in a full pool, then
// what was not logged for the longest time, then what has waited longest.
func compareNoRuns(a, b *noRun) int {
	return cmp.Or(
		compareBool(a.reason.usual(), b.reason.usual()),
		cmp.Compare(a.loggedAt, b.loggedAt),
		cmp.Compare(a.since, b.since),
		compareTasks(a.key.task, b.key.task),
	)
}

// listAge returns how long ago the list of workers was read, or 0 if it never was.
func (c *Core) listAge(now time.Duration) time.Duration {
	if c.listReadAt == 0 {
		return 0
	}
	return now - c.listReadAt
}

// noRunEvent returns a line about jobs without a run.
func (c *Core) noRunEvent(reason NoRunReason) *zerolog.Event {
	if reason.usual() {
		return c.opt.Logger.Info()
	}
	return c.opt.Logger.Warn()
}

// logNoRun logs that a job or task has no active run, why, and what decides it.
func (c *Core) logNoRun(k *noRunCheck, n *noRun) {
	n.loggedAt, n.loggedReason = k.now, n.reason
	e := n.key.name(c.noRunEvent(n.reason)).Str("reason", string(n.reason)).Dur("no_run_for", k.now-n.since).Int64("token", c.opt.Token)
	switch {
	case n.run != nil:
		logInactiveRun(e, n.at, n.run, k.now)
	case n.group != nil:
		c.logQueuedGroup(e, *n.group, k.now)
	}
	logHolderState(e, k.holder, k.now)
	if c.listReadAt > 0 {
		e.Dur("list_age", c.listAge(k.now))
	}
	logWorkerCounts(e, k.workers)
	e.Msg("job has no run")
}

// name adds the job, and the task if the key names one.
func (k noRunKey) name(e *zerolog.Event) *zerolog.Event {
	e.Str("job", string(k.task.Job))
	if !k.whole {
		e.Stringer("task", k.task)
	}
	return e
}

// logInactiveRun adds a run that is not active, and its worker.
func logInactiveRun(e *zerolog.Event, ws *worker.State, r *worker.Run, now time.Duration) {
	e.Int("step", r.ID.Task.Step).Int("run", r.ID.Number).Str("worker", ws.Incarnation.ID).
		Dur("planned_or_sent", now-r.StateSince).Dur("silent", now-ws.LastAnswer).Int("unanswered_calls", ws.UnansweredCalls)
	if r.StartSentAt > 0 {
		e.Dur("start_sent", now-r.StartSentAt)
	}
	if r.UnansweredSince > 0 {
		e.Dur("unanswered_for", now-r.UnansweredSince)
	}
	if r.StopReason != "" {
		e.Str("stopped_for", r.StopReason)
	}
	if !reachable(ws) {
		e.Dur("lease_remaining", ws.LeaseRemaining(now)).Dur("prior_lease_remaining", ws.PriorLeaseRemaining(now))
	}
}

// logQueuedGroup adds a group of tasks that wait, and why no worker took them when that
// was last checked.
func (c *Core) logQueuedGroup(e *zerolog.Event, pg pendingGroup, now time.Duration) {
	s := pg.job.Spec.Steps[pg.group.Step]
	e.Int("step", pg.group.Step).Int("tasks", len(pg.group.Waiting)).Int("needs_cpu", s.ReservedResources().CPU).Int("priority", pg.job.Terms.Priority)
	if wait, ok := pg.job.waitReasons[pg.group.Step]; ok {
		e.Str("limit", string(wait.reason)).Dur("limit_age", now-wait.at).Int("most_free_cpu", wait.maxFreeCPU)
	}
}

// logHolderState adds what a runner knows of its own work.
func logHolderState(e *zerolog.Event, h HolderState, now time.Duration) {
	e.Stringer("phase", h.Phase).Dur("duty_remaining", h.DutyRemaining).Dur("plan_age", now-h.PlannedAt)
	if h.AppendStarted > 0 {
		e.Dur("append_in_flight", now-h.AppendStarted)
	}
	if h.AppendAnswered > 0 {
		e.Dur("append_age", now-h.AppendAnswered)
	}
}

// logWorkerCounts adds the workers by state.
func logWorkerCounts(e *zerolog.Event, n WorkerCounts) {
	e.Int("listed", n.Listed()).Int("accepting", n.Accepting).Int("unreachable", n.Unreachable).Int("unreconciled", n.Unreconciled).
		Int("ejected", n.Ejected).Int("cordoned", n.Cordoned).Int("draining", n.Draining).Int("unlisted", n.Unlisted).Int("awaiting_lease", n.AwaitingLease)
}

// logRunsAgain logs that a job or task that was reported has a run again since a
// moment, or needs none any more.
func (c *Core) logRunsAgain(n *noRun, at time.Duration) {
	if n.loggedAt == 0 {
		return
	}
	n.key.name(c.opt.Logger.Info()).Str("reason", string(n.loggedReason)).Dur("no_run_for", at-n.since).Int64("token", c.opt.Token).
		Stringer("job_phase", n.job.Phase).Msg("job runs again")
}

// logNoRunSummary logs how many jobs have no run, by reason, if not each of them was
// logged.
func (c *Core) logNoRunSummary(k *noRunCheck, rep NoRunReport) {
	if c.noRuns.leftOut == 0 || k.now < c.noRuns.summaryAt+noRunRepeat {
		return
	}
	total := 0
	e := c.opt.Logger.Info()
	for _, reason := range noRunReasons {
		if n := rep.Reasons[reason]; n > 0 {
			e.Int(string(reason), n)
			total += n
		}
	}
	e.Int("jobs", total).Int("lines_left_out", c.noRuns.leftOut).Dur("longest", rep.Longest).Int64("token", c.opt.Token)
	logHolderState(e, k.holder, k.now)
	logWorkerCounts(e, k.workers)
	e.Msg("jobs have no run")
	c.noRuns.summaryAt, c.noRuns.leftOut = k.now, 0
}
