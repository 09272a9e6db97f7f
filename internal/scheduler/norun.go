package scheduler

import (
	"slices"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

const (
	// noRunAfter is for how long a job, or a task that lasts, has no active run until
	// that is reported.
	noRunAfter = time.Second
	// noRunInterval is the time between two checks for jobs without a run.
	noRunInterval = 500 * time.Millisecond
	// noRunRepeat is the least time between two lines about a job, and between two
	// summaries, while nothing changes.
	noRunRepeat = 2 * time.Second
	// maxNoRunLines bounds the lines about jobs of one check. The other jobs are counted
	// in a summary.
	maxNoRunLines = 8
)

// noRunKey names what has no active run: a task that lasts, or a job with other
// tasks, for which whole is set and only the task's job counts.
type noRunKey struct {
	task  job.TaskID
	whole bool
}

// jobKey returns the key of a job.
func jobKey(id job.ID) noRunKey { return noRunKey{job.TaskID{Job: id}, true} }

// noRun is what is known of a job or task that has no active run.
type noRun struct {
	key   noRunKey
	job   *trackedJob
	since time.Duration
	// reason is why, by the last check, and loggedReason by the last line about it.
	reason, loggedReason NoRunReason
	// loggedAt is when the last line about it was logged, or 0.
	loggedAt time.Duration
	// group is the waiting group, if the task waits. run and at are the run that is not
	// active, if there is one.
	group *pendingGroup
	run   *worker.Run
	at    *worker.State
	// found is set while a check goes on if the check has found it.
	found bool
}

// noRuns tracks the jobs and tasks that have no active run.
type noRuns struct {
	known map[noRunKey]*noRun
	// lastActive is when a task that lasts was last known to have an active run.
	lastActive map[job.TaskID]time.Duration
	// summaryAt is when the last summary was logged, and leftOut how many lines about
	// jobs were left out since.
	summaryAt time.Duration
	leftOut   int
}

// newNoRuns returns the state of a check that was never made.
func newNoRuns() noRuns {
	return noRuns{known: map[noRunKey]*noRun{}, lastActive: map[job.TaskID]time.Duration{}}
}

// NoRunReport is the result of a check for jobs and lasting tasks without a run.
type NoRunReport struct {
	// Reasons counts those that have had no active run for a while, by reason.
	Reasons map[NoRunReason]int
	// Longest is the longest time for which one of them has had none although its turn has
	// come.
	Longest time.Duration
	Workers WorkerCounts
	// ListAge is how long ago the list of workers was read, or 0 if it never was.
	ListAge time.Duration
}

// noRunCheck is one search for jobs and tasks without a run.
type noRunCheck struct {
	now     time.Duration
	wall    int64
	holder  HolderState
	workers WorkerCounts
	// active holds when an active run of a job or lasting task became active, inactive a
	// run of it that is not active, and queued a group of it that waits.
	active   map[noRunKey]time.Duration
	inactive map[noRunKey]inactiveRun
	queued   map[noRunKey]pendingGroup
}

// inactiveRun is a run that is not active, and its worker.
type inactiveRun struct {
	run *worker.Run
	at  *worker.State
}

// CheckRuns finds the jobs that have ready tasks and no active run, and the lasting
// tasks without an active run, and logs them. It changes no decision.
func (c *Core) CheckRuns(t Times, h HolderState) NoRunReport {
	k := noRunCheck{
		now: t.Now, wall: t.Wall, holder: h, workers: c.countWorkers(t.Now),
		active: map[noRunKey]time.Duration{}, inactive: map[noRunKey]inactiveRun{}, queued: map[noRunKey]pendingGroup{},
	}
	c.findRuns(&k)
	c.findQueued(&k)
	for _, n := range c.noRuns.known {
		n.found = false
	}
	for _, j := range c.openJobs {
		if j.Phase.Final() {
			continue
		}
		if j.lasting {
			c.checkLasting(&k, j)
		}
		c.checkJob(&k, j)
	}
	c.dropRunning(&k)
	return c.reportNoRuns(&k)
}

// findRuns sorts the runs at all workers into active ones and others.
func (c *Core) findRuns(k *noRunCheck) {
	for _, ws := range c.workers {
		for _, r := range ws.Runs {
			j := c.jobs[r.ID.Task.Job]
			if j == nil || j.Task(r.ID.Task) == nil {
				continue
			}
			key := jobKey(r.ID.Task.Job)
			if j.Step(r.ID.Task).LongRunning {
				key = noRunKey{task: r.ID.Task}
			}
			if r.State != worker.RunConfirmed || r.Stopping || !reachable(ws) {
				k.inactive[key] = inactiveRun{r, ws}
				continue
			}
			if since, ok := k.active[key]; !ok || r.StateSince < since {
				k.active[key] = r.StateSince
			}
		}
	}
}

// findQueued finds the most urgent waiting group of each job, and those of lasting
// tasks.
func (c *Core) findQueued(k *noRunCheck) {
	for _, pg := range c.queue(k.now) {
		if pg.longRunning {
			for _, i := range pg.group.Waiting {
				k.queued[noRunKey{task: pg.task(i)}] = pg
			}
			continue
		}
		key := jobKey(pg.job.Spec.ID)
		if _, ok := k.queued[key]; !ok {
			k.queued[key] = pg
		}
	}
}

// checkJob checks the tasks of a job that do not last.
func (c *Core) checkJob(k *noRunCheck, j *trackedJob) {
	key := jobKey(j.Spec.ID)
	if _, ok := k.active[key]; ok {
		j.lastActive = k.now
		return
	}
	since := max(j.arrived, j.knownFrom, j.lastActive)
	_, inactive := k.inactive[key]
	_, queued := k.queued[key]
	if inactive || queued {
		c.recordNoRun(k, key, j, since, "")
		return
	}
	if reason := strayReason(k, j); reason != "" {
		c.recordNoRun(k, key, j, since, reason)
		return
	}
	j.lastActive = k.now
}

// strayReason returns why a job has neither an active run nor one that is not active
// nor a task in the queue, or "" if that is as it should be.
func strayReason(k *noRunCheck, j *trackedJob) NoRunReason {
	if due, ok := j.NextDue(); ok {
		if due <= k.wall {
			return NoRunNotReleased
		}
		if len(j.Occurrences) == 0 {
			return ""
		}
	}
	switch {
	case j.HasActiveRuns():
		if j.lasting {
			return ""
		}
		return NoRunUntracked
	case len(j.WaitingGroups()) > 0:
		if j.lasting {
			return ""
		}
		return NoRunNotQueued
	default:
		return NoRunNoTask
	}
}

// checkLasting checks the lasting tasks of a job.
func (c *Core) checkLasting(k *noRunCheck, j *trackedJob) {
	for _, o := range j.Occurrences {
		for s := range j.Spec.Steps {
			if !j.Spec.Steps[s].LongRunning {
				continue
			}
			for i := range o.Steps[s].Tasks {
				c.checkLastingTask(k, j, job.TaskID{Job: j.Spec.ID, Occurrence: o.Number, Step: s, Index: i})
			}
		}
	}
}

// checkLastingTask checks one lasting task.
func (c *Core) checkLastingTask(k *noRunCheck, j *trackedJob, t job.TaskID) {
	key := noRunKey{task: t}
	if _, ok := k.active[key]; ok {
		c.noRuns.lastActive[t] = k.now
		return
	}
	since := max(j.arrived, j.knownFrom, c.noRuns.lastActive[t])
	_, inactive := k.inactive[key]
	_, queued := k.queued[key]
	reason := NoRunReason("")
	if !inactive && !queued {
		reason = strayTaskReason(j, t)
	}
	c.recordNoRun(k, key, j, since, reason)
}

// strayTaskReason returns why a lasting task has no run and is not in the queue.
func strayTaskReason(j *trackedJob, t job.TaskID) NoRunReason {
	if len(j.Task(t).Runs) > 0 {
		return NoRunUntracked
	}
	ready := slices.ContainsFunc(j.WaitingGroups(), func(g job.TaskGroup) bool { return g.Step == t.Step && g.Occurrence == t.Occurrence })
	if ready {
		return NoRunNotQueued
	}
	return NoRunEarlierSteps
}

// recordNoRun records that a job or task has had no active run since a moment. reason
// is why, or "" if the run that is not active, or the waiting group, tells.
func (c *Core) recordNoRun(k *noRunCheck, key noRunKey, j *trackedJob, since time.Duration, reason NoRunReason) {
	n := c.noRuns.known[key]
	if n != nil && since > n.since {
		// It had a run since the last check.
		c.logRunsAgain(n, since)
		n = nil
	}
	if n == nil {
		n = &noRun{key: key, job: j, since: since}
		c.noRuns.known[key] = n
	}
	n.found = true
	n.group, n.run, n.at = nil, nil, nil
	if run, ok := k.inactive[key]; ok {
		n.run, n.at = run.run, run.at
		reason = c.inactiveReason(run.at, run.run, k.holder, k.now)
	} else if pg, ok := k.queued[key]; ok {
		n.group = &pg
		reason = c.queuedReason(pg, k.holder, k.workers, k.now)
	}
	if whole := c.poolReason(k.holder); whole != "" {
		reason = whole
	}
	if n.reason == NoRunEarlierSteps && reason != n.reason {
		// Its turn has come since the last check.
		n.since = k.now
	}
	n.reason = reason
}

// recordActive records that a run that has ended was active until then, as far as is
// known.
func (c *Core) recordActive(j *trackedJob, ws *worker.State, r *worker.Run, now time.Duration) {
	if r.State != worker.RunConfirmed {
		return
	}
	if !reachable(ws) {
		now = ws.LastAnswer
	}
	if j.Step(r.ID.Task).LongRunning {
		c.noRuns.lastActive[r.ID.Task] = max(now, c.noRuns.lastActive[r.ID.Task])
		return
	}
	j.lastActive = max(now, j.lastActive)
}

// dropRunning forgets the jobs and tasks that this check has not found.
func (c *Core) dropRunning(k *noRunCheck) {
	for key, n := range c.noRuns.known {
		if n.found {
			continue
		}
		delete(c.noRuns.known, key)
		until := k.now
		if since, ok := k.active[key]; ok {
			until = max(since, n.since)
		}
		c.logRunsAgain(n, until)
	}
	for t := range c.noRuns.lastActive {
		if c.jobs[t.Job] == nil {
			delete(c.noRuns.lastActive, t)
		}
	}
}
