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

// runWatch is what is known of the active runs of a job, other than those of tasks that
// last, or of one such task.
type runWatch struct {
	job *trackedJob
	// task is the task that lasts, and lasting is set if there is one.
	task    job.TaskID
	lasting bool
	// check is the number of the check that the next fields are from. active is set if a
	// run is active, and activeSince is when the first of them became so. run and at are
	// a run that is not active, and group is the most urgent group that waits.
	check       int64
	active      bool
	activeSince time.Duration
	run         *worker.Run
	at          *worker.State
	group       *pendingGroup
	// lastActive is when a run was last known to be active, or none was needed.
	lastActive time.Duration
	// waiting is set while none is active although one should be, since is since when, and
	// reason is why. foundAt is when a check last found so.
	waiting bool
	since   time.Duration
	foundAt time.Duration
	reason  NoRunReason
	// logged is set once a line tells of the wait. The last one came at loggedAt and gave
	// loggedReason.
	logged       bool
	loggedAt     time.Duration
	loggedReason NoRunReason
}

// noRuns tracks the jobs and tasks that have no active run.
type noRuns struct {
	// check is the number of the last check.
	check int64
	// tasks are the tasks that last.
	tasks map[job.TaskID]*runWatch
	// logged are the waits of which a line tells.
	logged map[*runWatch]bool
	// summaryAt is when the last summary was logged, and leftOut how many lines about
	// jobs were left out since.
	summaryAt time.Duration
	leftOut   int
}

// newNoRuns returns the state of a check that was never made.
func newNoRuns() noRuns {
	return noRuns{tasks: map[job.TaskID]*runWatch{}, logged: map[*runWatch]bool{}}
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
	// Queued counts the accepted jobs of which no worker is known to have started a task, and
	// Unstored those that the log may not hold yet.
	Queued, Unstored int
}

// noRunCheck is one search for jobs and tasks without a run.
type noRunCheck struct {
	now    time.Duration
	wall   int64
	holder HolderState
	rep    NoRunReport
	// due are the waits to be logged in this check, and leftOut how many more are due.
	due     []*runWatch
	leftOut int
	// crashJobs is how many jobs have tasks under which workers may have crashed.
	crashJobs int
}

// CheckRuns finds the jobs that have ready tasks and no active run, and the lasting
// tasks without an active run, and logs them. It changes no decision.
func (c *Core) CheckRuns(t Times, h HolderState) NoRunReport {
	k := &noRunCheck{now: t.Now, wall: t.Wall, holder: h, rep: NoRunReport{
		Reasons: map[NoRunReason]int{}, Workers: c.countWorkers(t.Now), ListAge: c.listAge(t.Now),
	}}
	c.noRuns.check++
	c.refreshWorkers(t.Now)
	c.findRuns()
	c.findQueued(t.Now)
	for j := range c.openJobs.all() {
		switch {
		case j.Phase.Final():
			continue
		case !j.stored:
			k.rep.Unstored++
		case j.Phase == job.Queued:
			k.rep.Queued++
		}
		if j.HasCrashes() {
			k.crashJobs++
		}
		if j.lasting {
			c.checkLasting(k, j)
		}
		c.checkJob(k, j)
	}
	c.forgetEnded(k)
	c.logNoRuns(k)
	return k.rep
}

// watch returns a watch for the present check. w is the watch kept from the last one.
func (c *Core) watch(w *runWatch) *runWatch {
	if w.check != c.noRuns.check {
		w.check = c.noRuns.check
		w.active, w.run, w.at, w.group = false, nil, nil, nil
	}
	return w
}

// watchOf returns the watch of a job, or of a task of it that lasts.
func (c *Core) watchOf(j *trackedJob, t job.TaskID) *runWatch {
	if !j.lasting || !j.Step(t).LongRunning {
		j.watch.job = j
		return c.watch(&j.watch)
	}
	w := c.noRuns.tasks[t]
	if w == nil {
		w = &runWatch{job: j, task: t, lasting: true}
		c.noRuns.tasks[t] = w
	}
	return c.watch(w)
}

// findRuns finds the runs at all workers.
func (c *Core) findRuns() {
	for _, ws := range c.workers {
		for _, r := range ws.Runs {
			j := c.jobs[r.ID.Task.Job]
			if j == nil || j.Redundant(r.ID) {
				continue
			}
			w := c.watchOf(j, r.ID.Task)
			switch {
			case r.State != worker.RunConfirmed || r.Stopping || !reachable(ws):
				w.run, w.at = r, ws
			case !w.active || r.StateSince < w.activeSince:
				w.active, w.activeSince = true, r.StateSince
			}
		}
	}
}

// findQueued finds the waiting groups.
func (c *Core) findQueued(now time.Duration) {
	for pg := range c.queue(now) {
		if pg.longRunning {
			for _, k := range pg.group.Waiting {
				c.watchOf(pg.job, pg.task(k)).group = pg
			}
			continue
		}
		if w := c.watchOf(pg.job, pg.task(0)); w.group == nil {
			w.group = pg
		}
	}
}

// checkJob checks the tasks of a job that do not last.
func (c *Core) checkJob(k *noRunCheck, j *trackedJob) {
	j.watch.job = j
	w := c.watch(&j.watch)
	switch {
	case w.active:
		c.noteActive(k, w, w.activeSince)
	case w.run != nil || w.group != nil:
		c.noteWaiting(k, w, "")
	default:
		if reason := strayReason(k, j); reason != "" {
			c.noteWaiting(k, w, reason)
		} else {
			c.noteActive(k, w, k.now)
		}
	}
}

// strayReason returns why a job has no run at a worker and no task in the queue, or ""
// if that is as it should be.
func strayReason(k *noRunCheck, j *trackedJob) NoRunReason {
	due, repeats := j.NextDue()
	switch {
	case repeats && due <= k.wall:
		return NoRunNotReleased
	case repeats && len(j.Occurrences) == 0, j.lasting:
		return ""
	case j.HasActiveRuns():
		return NoRunUntracked
	case len(j.WaitingGroups()) > 0:
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
	w := c.watchOf(j, t)
	switch {
	case w.active:
		c.noteActive(k, w, w.activeSince)
	case w.run != nil || w.group != nil:
		c.noteWaiting(k, w, "")
	default:
		c.noteWaiting(k, w, strayTaskReason(j, t))
	}
}

// strayTaskReason returns why a lasting task has no run at a worker and is not in the
// queue.
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

// noteActive records that a job or task has an active run since a moment, or needs
// none.
func (c *Core) noteActive(k *noRunCheck, w *runWatch, since time.Duration) {
	w.lastActive = k.now
	if w.waiting {
		c.endWait(w, max(w.since, since))
	}
}

// noteWaiting records that a job or task has no active run. stray is why, or "" if a run
// that is not active, or a waiting group, tells.
func (c *Core) noteWaiting(k *noRunCheck, w *runWatch, stray NoRunReason) {
	since := max(w.job.arrived, w.job.knownFrom, w.lastActive)
	if w.waiting && since > w.foundAt {
		// It had a run since the last check.
		c.endWait(w, since)
	}
	reason := c.waitReasonOf(k, w, stray)
	if w.waiting && w.reason == NoRunEarlierSteps && reason != w.reason {
		// Its turn has come since the last check.
		since, w.lastActive = k.now, k.now
	}
	w.waiting, w.since, w.foundAt, w.reason = true, since, k.now, reason
	c.countWait(k, w)
}

// waitReasonOf returns why a job or task has no active run.
func (c *Core) waitReasonOf(k *noRunCheck, w *runWatch, stray NoRunReason) NoRunReason {
	if reason := c.poolReason(k.holder); reason != "" {
		return reason
	}
	switch {
	case w.run != nil:
		return c.inactiveReason(w.at, w.run, k.holder, k.now)
	case w.group != nil:
		return c.queuedReason(*w.group, k.holder, k.rep.Workers, k.now)
	default:
		return stray
	}
}

// endWait ends a wait: a run is active since a moment, or none is needed.
func (c *Core) endWait(w *runWatch, at time.Duration) {
	if w.logged {
		c.logRunsAgain(w, at)
		delete(c.noRuns.logged, w)
	}
	w.waiting, w.logged = false, false
}

// forgetEnded ends the waits of jobs that have ended or were withdrawn.
func (c *Core) forgetEnded(k *noRunCheck) {
	for w := range c.noRuns.logged {
		if c.gone(w.job) {
			c.endWait(w, k.now)
		}
	}
	for t, w := range c.noRuns.tasks {
		if c.gone(w.job) {
			delete(c.noRuns.tasks, t)
		}
	}
}

// gone reports whether a job has ended or was withdrawn.
func (c *Core) gone(j *trackedJob) bool { return j.Phase.Final() || c.jobs[j.Spec.ID] != j }

// recordActive records that a run that has ended was active until then, as far as is
// known.
func (c *Core) recordActive(j *trackedJob, ws *worker.State, r *worker.Run, now time.Duration) {
	if r.State != worker.RunConfirmed {
		return
	}
	if !reachable(ws) {
		now = ws.LastAnswer
	}
	w := c.watchOf(j, r.ID.Task)
	w.lastActive = max(now, w.lastActive)
}
