package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/internal/worker"
)

// countWait adds a wait to the report if it has lasted for noRunAfter, and to the lines
// of this check if one is due.
func (c *Core) countWait(k *noRunCheck, w *runWatch) {
	waited := k.now - w.since
	if waited < noRunAfter {
		return
	}
	k.rep.Reasons[w.reason]++
	if w.reason != NoRunEarlierSteps {
		k.rep.Longest = max(k.rep.Longest, waited)
	}
	if w.logged && w.reason == w.loggedReason && k.now < w.loggedAt+noRunRepeat {
		return
	}
	i, _ := slices.BinarySearchFunc(k.due, w, compareWaits)
	if i < maxNoRunLines {
		k.due = slices.Insert(k.due, i, w)
	}
	if i == maxNoRunLines || len(k.due) > maxNoRunLines {
		k.due = k.due[:maxNoRunLines]
		k.leftOut++
	}
}

// compareWaits orders waits: first those that a full pool does not explain, then those
// that were not logged for the longest time, then those that have lasted longest.
func compareWaits(a, b *runWatch) int {
	return cmp.Or(
		compareBool(a.reason.usual(), b.reason.usual()),
		compareBool(a.logged, b.logged),
		cmp.Compare(a.loggedAt, b.loggedAt),
		cmp.Compare(a.since, b.since),
	)
}

// logNoRuns logs the waits that are due, and how many more there are.
func (c *Core) logNoRuns(k *noRunCheck) {
	for _, w := range k.due {
		w.logged, w.loggedAt, w.loggedReason = true, k.now, w.reason
		c.noRuns.logged[w] = true
		c.logNoRun(k, w)
	}
	c.noRuns.leftOut += k.leftOut
	c.logNoRunSummary(k)
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
func (c *Core) logNoRun(k *noRunCheck, w *runWatch) {
	e := w.name(c.noRunEvent(w.reason)).Str("reason", string(w.reason)).Dur("no_run_for", k.now-w.since).Int64("token", c.opt.Token)
	switch {
	case w.run != nil:
		logInactiveRun(e, w.at, w.run, k.now)
	case w.group != nil:
		logQueuedGroup(e, w.group, k.now)
	}
	logHolderState(e, k.holder, k.now)
	if c.listReadAt > 0 {
		e.Dur("list_age", c.listAge(k.now))
	}
	logWorkerCounts(e, k.rep.Workers)
	e.Int("crash_jobs", k.crashJobs)
	e.Msg("job has no run")
}

// name adds the job, and the task if it lasts.
func (w *runWatch) name(e *zerolog.Event) *zerolog.Event {
	w.job.nameCustomer(e.Str("job", string(w.job.Spec.ID)))
	if w.lasting {
		e.Stringer("task", w.task)
	}
	return e
}

// logInactiveRun adds a run that is not active, and its worker.
func logInactiveRun(e *zerolog.Event, ws *worker.State, r *worker.Run, now time.Duration) {
	e.Int("step", r.ID.Task.Step).Int("run", r.ID.Number).Str("worker", ws.Incarnation.ID).
		Dur("in_state", now-r.StateSince).Dur("silent", now-ws.LastAnswer).Int("unanswered_calls", ws.UnansweredCalls)
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
func logQueuedGroup(e *zerolog.Event, pg *pendingGroup, now time.Duration) {
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
		Int("ejected", n.Ejected).Int("isolated", n.Isolated).Int("cordoned", n.Cordoned).Int("draining", n.Draining).Int("unlisted", n.Unlisted).Int("awaiting_lease", n.AwaitingLease)
}

// logRunsAgain logs that a job or task that was reported has a run again since a
// moment, or needs none any more.
func (c *Core) logRunsAgain(w *runWatch, at time.Duration) {
	message := "job runs again"
	if c.gone(w.job) {
		message = "job needs no run any more"
	}
	w.name(c.opt.Logger.Info()).Str("reason", string(w.loggedReason)).Dur("no_run_for", at-w.since).Int64("token", c.opt.Token).
		Stringer("job_phase", w.job.Phase).Msg(message)
}

// logNoRunSummary logs how many jobs have no run, by reason, if not each of them was
// logged.
func (c *Core) logNoRunSummary(k *noRunCheck) {
	if c.noRuns.leftOut == 0 || k.now < c.noRuns.summaryAt+noRunRepeat {
		return
	}
	total := 0
	e := c.opt.Logger.Info()
	for _, reason := range noRunReasons {
		if n := k.rep.Reasons[reason]; n > 0 {
			e.Int(string(reason), n)
			total += n
		}
	}
	e.Int("jobs", total).Int("lines_left_out", c.noRuns.leftOut).Dur("longest", k.rep.Longest).Int64("token", c.opt.Token)
	logHolderState(e, k.holder, k.now)
	logWorkerCounts(e, k.rep.Workers)
	e.Int("crash_jobs", k.crashJobs)
	e.Msg("jobs have no run")
	c.noRuns.summaryAt, c.noRuns.leftOut = k.now, 0
}
