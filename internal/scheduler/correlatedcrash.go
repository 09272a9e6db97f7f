package scheduler

import (
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

const (
	// crashLearnTime is how far apart this holder may learn of crashes that are one
	// event: workers that do not answer are polled each unansweredPollGap, and boot in
	// different times.
	crashLearnTime = 1500 * time.Millisecond
	// crashMomentTolerance is how much later than the first call that another worker left
	// unanswered a worker's last answer may be processed, if both crashed at one moment.
	crashMomentTolerance = 250 * time.Millisecond
	// minCorrelatedWorkers is the number of workers from which on crashes at one moment
	// may be correlated, and minCorrelatedPercent the share of the listed workers.
	minCorrelatedWorkers = 3
	minCorrelatedPercent = 66
	// correlatedPause is the least time between two correlated crashes: if the workers
	// crash together more often, their tasks may be the cause.
	correlatedPause = time.Minute
)

// crashMonitor finds correlated crashes: most workers of a pool crash at one moment, for
// example in a power loss, so that their tasks are not the cause. A job that had tasks on
// each of them may still be.
type crashMonitor struct {
	// recent are the latest crashes that belong to no correlated one.
	recent []*workerCrash
	// correlated are the crashes of the last correlated one, and foundAt is when it was
	// found.
	correlated []*workerCrash
	foundAt    time.Duration
	// found counts the correlated ones since the last plan.
	found int64
}

// workerCrash is the crash of a worker, after its last answer and before it was first
// noticed.
type workerCrash struct {
	worker, host  string
	after, before time.Duration
	learntAt      time.Duration
	runs          []suspectedRun
}

// suspectedRun is a run that may be the cause of a crash.
type suspectedRun struct {
	run *worker.Run
	// firstCrash is set if this is the only crash that makes the task a suspect.
	firstCrash bool
	// avoided is set if the task avoided the worker before.
	avoided bool
}

// noteCrash records that an incarnation of a worker is known to have ended, after its
// runs were marked. If the crash is correlated with others, no task is suspected for it
// but those of the jobs that may be the cause of all of them.
func (c *Core) noteCrash(ws *worker.State, now time.Duration) {
	if ws.Draining || ws.LastAnswer == 0 {
		// When a worker crashed that has not answered this holder is not known.
		return
	}
	crash := c.newWorkerCrash(ws, now)
	m := &c.crashes
	switch {
	case m.extends(crash):
		m.correlated = append(m.correlated, crash)
		c.acquitUnlikely()
	case m.foundAt > 0 && now < m.foundAt+correlatedPause:
	default:
		c.detectCorrelated(crash)
	}
}

// newWorkerCrash describes the crash of a worker.
func (c *Core) newWorkerCrash(ws *worker.State, now time.Duration) *workerCrash {
	crash := &workerCrash{worker: ws.Incarnation.ID, host: ws.Host, after: ws.LastAnswer, before: now, learntAt: now}
	if ws.UnansweredCalls > 0 {
		crash.before = ws.SilentSince
	}
	for _, r := range slices.Concat(ws.Lapsed, slices.Collect(maps.Values(ws.Runs))) {
		if r.CrashReason != "" {
			crash.runs = append(crash.runs, c.newSuspectedRun(r, crash.worker))
		}
	}
	return crash
}

// newSuspectedRun describes a run that may be the cause of the crash of its worker, before
// the crash is counted.
func (c *Core) newSuspectedRun(r *worker.Run, workerID string) suspectedRun {
	s := suspectedRun{run: r}
	j := c.jobs[r.ID.Task.Job]
	if j == nil {
		return s
	}
	certain := r.CrashReason == job.EndCrashSuspected || r.CrashReason == job.EndCrashedWorker
	s.firstCrash = certain && j.CrashCount(r.ID.Task) == 0
	_, s.avoided = j.avoided[r.ID.Task][workerID]
	return s
}

// extends reports whether a crash belongs to the last correlated one.
func (m *crashMonitor) extends(crash *workerCrash) bool {
	if m.foundAt == 0 || crash.learntAt > m.foundAt+crashLearnTime {
		return false
	}
	return !slices.ContainsFunc(m.correlated, func(other *workerCrash) bool { return !crash.sameMoment(other) })
}

// sameMoment reports whether two workers may have crashed at one moment: neither answered
// after the other had crashed.
func (w *workerCrash) sameMoment(other *workerCrash) bool {
	return w.after <= other.before+crashMomentTolerance && other.after <= w.before+crashMomentTolerance
}

// detectCorrelated records a crash and looks whether it is correlated with earlier ones.
func (c *Core) detectCorrelated(crash *workerCrash) {
	m, now := &c.crashes, crash.learntAt
	m.recent = slices.DeleteFunc(m.recent, func(w *workerCrash) bool { return now > w.learntAt+crashLearnTime })
	m.recent = append(m.recent, crash)
	var together []*workerCrash
	for _, w := range m.recent {
		if w.sameMoment(crash) {
			together = append(together, w)
		}
	}
	crashed := workersOf(together)
	listed := len(crashed) + c.countOthersListed(crashed, hostsOf(together))
	if len(crashed) < minCorrelatedWorkers || 100*len(crashed) < minCorrelatedPercent*listed {
		return
	}
	if countFirstCrashes(together) <= len(crashed) {
		// With a worker for each, the suspects are soon known to be harmless.
		return
	}
	m.correlated, m.foundAt, m.recent = together, now, nil
	m.found++
	acquitted, suspected := c.acquitUnlikely()
	c.opt.Logger.Warn().Int("crashed", len(crashed)).Int("listed", listed).Int("acquitted", acquitted).Strs("suspected_jobs", suspected).
		Msg("workers have crashed together")
}

// workersOf returns the IDs of the workers that crashed.
func workersOf(crashes []*workerCrash) map[string]bool {
	out := map[string]bool{}
	for _, w := range crashes {
		out[w.worker] = true
	}
	return out
}

// countFirstCrashes returns for how many runs the crashes are the first ones that make
// their task a suspect.
func countFirstCrashes(crashes []*workerCrash) int {
	n := 0
	for _, w := range crashes {
		for _, s := range w.runs {
			if s.firstCrash {
				n++
			}
		}
	}
	return n
}

// hostsOf returns the hosts of the workers that crashed, as far as they are known.
func hostsOf(crashes []*workerCrash) map[string]bool {
	out := map[string]bool{}
	for _, w := range crashes {
		if w.host != "" {
			out[w.host] = true
		}
	}
	return out
}

// countOthersListed returns how many workers are listed that have not crashed. One on
// the host of a worker that has was started after the crash.
func (c *Core) countOthersListed(crashed, hosts map[string]bool) int {
	n := 0
	for id, ws := range c.workers {
		if ws.Listed && !crashed[id] && !hosts[ws.Host] {
			n++
		}
	}
	return n
}

// acquitUnlikely acquits the tasks that are suspected for the last correlated crash, but
// those of jobs that were on every worker. It returns how many runs it acquitted, and
// those jobs.
func (c *Core) acquitUnlikely() (acquitted int, suspected []string) {
	likely := likelyCauses(c.crashes.correlated)
	for _, crash := range c.crashes.correlated {
		for i := range crash.runs {
			s := &crash.runs[i]
			if s.firstCrash && !likely[s.run.ID.Task.Job] {
				s.firstCrash = false
				c.acquitRun(crash.worker, s)
				acquitted++
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(likely)) {
		suspected = append(suspected, string(id))
	}
	return acquitted, suspected
}

// likelyCauses returns the jobs with a suspected run in every crash.
func likelyCauses(crashes []*workerCrash) map[job.ID]bool {
	var out map[job.ID]bool
	for _, crash := range crashes {
		jobs := map[job.ID]bool{}
		for _, s := range crash.runs {
			if id := s.run.ID.Task.Job; out == nil || out[id] {
				jobs[id] = true
			}
		}
		out = jobs
	}
	return out
}

// acquitRun takes back what is held against a run's task for the crash of a worker.
func (c *Core) acquitRun(workerID string, s *suspectedRun) {
	s.run.CrashReason = ""
	t := s.run.ID.Task
	j := c.jobs[t.Job]
	if j == nil || j.Phase.Final() || !j.TakeBackCrash(t, workerID) {
		return
	}
	if !s.avoided {
		j.stopAvoiding(t, workerID)
	}
	c.refreshSuspicion(j, t)
	c.markDirty(j)
}

// refreshSuspicion sets again for the active runs of a task what follows from its count.
func (c *Core) refreshSuspicion(j *trackedJob, t job.TaskID) {
	task := j.Task(t)
	if task == nil {
		return
	}
	for _, active := range task.Runs {
		ws := c.workers[active.At.Worker.ID]
		if ws == nil {
			continue
		}
		r := ws.Runs[job.RunID{Task: t, Number: active.Number}]
		if r == nil {
			continue
		}
		r.Verified = j.CrashCount(t) > 0
		if !j.Suspect(t) {
			ws.Acquit(r)
		}
	}
}
