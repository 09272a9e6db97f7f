package scheduler

import (
	"math"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/placement"
	"greengagedeck/internal/worker"
)

const (
	// failuresToEject is how many jobs in a row have to fail on a worker, with
	// no success between, for it to be ejected.
	failuresToEject = 3
	// minEjection and maxEjection bound how long an ejected worker gets no
	// tasks. The time doubles as long as the worker fails again.
	minEjection = 2 * time.Second
	maxEjection = 16 * time.Second
	// maxEjectedShare is the part of a pool's workers that may be ejected.
	// Where more of them fail, the cause is not the workers.
	maxEjectedShare = 1.0 / 3
	// overdueFactor, overdueDeviations and overdueSlack tell when a run is
	// overdue: it takes overdueSlack longer than the larger of overdueFactor
	// times its estimate and overdueDeviations standard deviations above the
	// usual duration of its entry.
	overdueFactor     = 2.5
	overdueDeviations = 4
	overdueSlack      = 300 * time.Millisecond
	// minStalledRuns and minStalledShare tell when a worker is stalled: at
	// least that many of its runs, and that part of the runs that had time to
	// end, are overdue, and the worker has listed them since.
	minStalledRuns  = 2
	minStalledShare = 0.75
	// durationRatioTasks is over how many tasks the duration ratio of an entry
	// is averaged.
	durationRatioTasks = 100
)

// durationRatio is how long the tasks of an entry take relative to their
// estimates.
type durationRatio struct {
	mean, variance float64
	samples        int
}

// add adds the ratio of actual to estimated duration of one task.
func (d *durationRatio) add(ratio float64) {
	d.samples = min(d.samples+1, durationRatioTasks)
	weight := 1 / float64(d.samples)
	deviation := ratio - d.mean
	d.mean += deviation * weight
	d.variance += (deviation*deviation*(1-weight) - d.variance) * weight
}

// overdueRatio returns how many times its estimate a task may take before it is
// overdue. With few samples the ratio is uncertain, so that a task has to take
// far longer.
func (d *durationRatio) overdueRatio() float64 {
	if d == nil || d.samples == 0 {
		return 2 * overdueFactor
	}
	uncertainty := 1 + 4/float64(d.samples)
	return max(overdueFactor, d.mean+overdueDeviations*math.Sqrt(d.variance)) * uncertainty
}

// recordDuration records how long a task of an entry ran.
func (c *Core) recordDuration(entry string, actual, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	ratio := actual.Seconds() / estimate.Seconds()
	c.demand.AddRatio(ratio)
	d := c.durationRatios[entry]
	if d == nil {
		d = &durationRatio{}
		c.durationRatios[entry] = d
	}
	d.add(ratio)
}

// workerHealth tracks the recent failures of a worker.
type workerHealth struct {
	// lastFailedJob is the job that failed last on the worker, and failures
	// counts the jobs that failed there in a row.
	lastFailedJob job.ID
	failures      int
	// ejectedUntil is when the ejection ends, and ejection how long it lasts.
	ejectedUntil time.Duration
	ejection     time.Duration
	// stalled is set while the worker's runs are overdue.
	stalled bool
}

// healthOf returns the health of a worker and creates it if needed.
func (c *Core) healthOf(id string) *workerHealth {
	h := c.health[id]
	if h == nil {
		h = &workerHealth{}
		c.health[id] = h
	}
	return h
}

// recordSuccess records a successful run on a worker.
func (c *Core) recordSuccess(id string) {
	h := c.health[id]
	if h == nil {
		return
	}
	if h.ejection > 0 {
		c.opt.Logger.Info().Str("worker", id).Msg("ejected worker completed a task, ejection reset")
	}
	*h = workerHealth{stalled: h.stalled}
	if !h.stalled {
		c.forgetHealth(id)
	}
}

// forgetHealth records that a worker is well.
func (c *Core) forgetHealth(id string) {
	delete(c.health, id)
	c.touch(id)
}

// recordFailure records the failure of a job on a worker. Several failures of
// one job count once, since the job itself may be the cause.
func (c *Core) recordFailure(id string, j job.ID, now time.Duration) {
	h := c.healthOf(id)
	if h.lastFailedJob == j && h.failures > 0 {
		return
	}
	h.lastFailedJob = j
	h.failures++
	if h.failures < failuresToEject {
		return
	}
	h.ejection = min(maxEjection, max(minEjection, 2*h.ejection))
	h.ejectedUntil = now + h.ejection
	// After that time a single failure ejects the worker again.
	h.failures = failuresToEject - 1
	c.opt.Logger.Warn().Str("worker", id).Str("job", string(j)).Dur("for", h.ejection).Msg("worker ejected after repeated task failures")
}

// ejected reports whether a worker should get no tasks.
func (c *Core) ejected(id string, now time.Duration) bool {
	h := c.health[id]
	return h != nil && (h.stalled || now < h.ejectedUntil)
}

// markEjected marks ejected workers. Where more than maxEjectedShare are ejected,
// they are only avoided.
func (c *Core) markEjected(now time.Duration) {
	var ejected []*placement.Node
	for id := range c.health {
		n := c.index.byID[id]
		if n == nil {
			continue
		}
		n.Avoid, n.Ejected = false, false
		if c.ejected(id, now) {
			ejected = append(ejected, n)
		}
	}
	avoid := float64(len(ejected)) > maxEjectedShare*float64(len(c.index.byID))
	for _, n := range ejected {
		n.Avoid, n.Ejected = avoid, !avoid
	}
}

// overdueAt returns when a run becomes overdue, or false if it never does.
func (c *Core) overdueAt(r *worker.Run) (time.Duration, bool) {
	j := c.jobs[r.ID.Task.Job]
	if j == nil || r.State != worker.RunConfirmed || j.Task(r.ID.Task) == nil {
		return 0, false
	}
	s := j.Step(r.ID.Task)
	if s.LongRunning || s.BestEffort || s.Gang || s.Estimate == 0 {
		return 0, false
	}
	limit := time.Duration(c.durationRatios[j.Terms.Entry].overdueRatio()*float64(s.Estimate)) + overdueSlack
	return r.StateSince + limit, true
}

// overdue reports whether a run takes much longer than expected, as far as is known:
// its worker may not have been heard since it ended.
func (c *Core) overdue(r *worker.Run, now time.Duration) bool {
	at, ok := c.overdueAt(r)
	return ok && now > at
}

// earliestOverdue returns a moment before which a run is certainly not overdue.
func earliestOverdue(r *worker.Run) time.Duration {
	return r.StateSince + time.Duration(overdueFactor*float64(r.Estimate)) + overdueSlack
}

// stalled reports whether a run takes much longer than expected and its worker has
// listed it since.
func (c *Core) stalled(r *worker.Run) bool {
	if r.LastReported <= earliestOverdue(r) {
		return false
	}
	at, ok := c.overdueAt(r)
	return ok && r.LastReported > at
}

// untilOverdue returns for how long a poll may wait to show soon which of a worker's
// runs are stalled: until the next one is overdue, and not at all if one is that no
// poll has been sent for.
func (c *Core) untilOverdue(ws *worker.State, now time.Duration) time.Duration {
	wait := pollWait
	for _, r := range ws.Runs {
		if earliestOverdue(r) >= now+wait {
			continue
		}
		if at, ok := c.overdueAt(r); ok && r.LastReported <= at {
			wait = min(wait, max(0, at-now))
		}
	}
	return wait
}

// detectStalls finds the workers that are stalled and has their overdue tasks
// started elsewhere.
func (c *Core) detectStalls(now time.Duration) {
	for id, ws := range c.workers {
		overdue, measurable := 0, 0
		for _, r := range ws.Runs {
			switch {
			case c.stalled(r):
				overdue++
				measurable++
			case r.State == worker.RunConfirmed && now-r.StateSince > overdueSlack:
				measurable++
			}
		}
		stalled := overdue >= minStalledRuns && float64(overdue) >= minStalledShare*float64(measurable)
		h := c.health[id]
		if stalled == (h != nil && h.stalled) {
			continue
		}
		c.healthOf(id).stalled = stalled
		c.needsPlan = true
		c.opt.Logger.Info().Str("worker", id).Bool("stalled", stalled).Int("late", overdue).Int("runs", measurable).Msg("worker stall state changed")
		if stalled {
			c.restartStalled(ws)
		}
	}
}

// restartStalled stops the runs that stand still on a stalled worker, so that their
// tasks start elsewhere. Runs of speculative steps go on beside their copies.
func (c *Core) restartStalled(ws *worker.State) {
	for _, r := range sortedRuns(ws) {
		if c.stalled(r) && !c.jobs[r.ID.Task.Job].Step(r.ID.Task).Speculative {
			c.requestStop(ws, r, "its worker is stalled")
		}
	}
}

// placeCopies starts a second run of speculative tasks whose only run is
// overdue.
func (c *Core) placeCopies(b *Batch, x *placement.Index, now time.Duration) {
	for j := range c.openJobs.all() {
		if j.Phase.Final() || !j.speculative {
			continue
		}
		for _, r := range j.ActiveRuns() {
			c.placeCopy(b, j, r, x, now)
		}
	}
}

// placeCopy starts a second run beside r if r is overdue and another worker
// takes it. A task under which workers may have crashed gets none: until the lease
// of a silent worker expires, a crash under r is not counted.
func (c *Core) placeCopy(b *Batch, j *trackedJob, r job.RunID, x *placement.Index, now time.Duration) {
	s := j.Step(r.Task)
	task := j.Task(r.Task)
	if !s.Speculative || s.Gang || len(task.Runs) != 1 || j.CrashCount(r.Task) > 0 || !c.grantAllows(j, s) {
		return
	}
	original := task.Runs[0].At.Worker.ID
	ws := c.workers[original]
	if ws == nil || ws.Runs[r] == nil || !c.overdue(ws.Runs[r], now) {
		return
	}
	req := c.approvedRequest(j, job.TaskGroup{Occurrence: r.Task.Occurrence, Step: r.Task.Step}, now)
	req.Avoided = j.avoided[r.Task].with(original, now)
	req.ExpectedEnd = now + c.expectedDuration(s)
	n := x.Choose(req)
	if n == nil || n.ID == original {
		return
	}
	x.Reserve(req, n)
	target := c.workers[n.ID]
	run := j.Place(r.Task, locationOf(target))
	c.opt.Logger.Debug().Stringer("task", r.Task).Int("run", run.Number).Str("worker", n.ID).Str("beside", original).Msg("placing a copy of an overdue run")
	c.addPlannedRun(b, j, run, target, now)
}
