package jobsim

import (
	"fmt"
	"slices"
	"time"

	"greengagedeck/internal/job"
)

const (
	// crashBudget is how many workers may crash under a deadly task before its
	// starts count, and startBudget the number of the first start after them that
	// is a violation. It is one whoever gave the order, which is stricter than a
	// limit for daemons in touch with the store and the workers.
	crashBudget = 3
	startBudget = 3
	// crashesToGiveUp is how many workers have to have crashed while a task ran
	// there for its job to be shown as failed.
	crashesToGiveUp = 2
	// failedStartGrace is how long after a job was shown as failed a start of its
	// tasks may still be on its way.
	failedStartGrace = time.Second
)

// crash is the end of a worker with a task on it.
type crash struct {
	worker string
	// injected is set if no task was the cause, but a fault of the soak.
	injected bool
}

// MarkDeadly makes a task crash each worker that starts it.
func (c *RunChecker) MarkDeadly(t job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadly[t.Job] = t
}

// Deadly reports whether a job has a deadly task.
func (c *RunChecker) Deadly(id job.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.deadly[id]
	return ok
}

func (c *RunChecker) isDeadly(t job.TaskID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadly[t.Job] == t
}

// workerCrashed records that a worker crashed with tasks on it.
func (c *RunChecker) workerCrashed(cr crash, tasks []job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range tasks {
		c.crashes[t] = append(c.crashes[t], cr)
		if c.running[t].worker == cr.worker {
			delete(c.running, t)
		}
	}
}

// checkCrashBudget counts the start of a deadly task. It must be called with mu
// held.
func (c *RunChecker) checkCrashBudget(t job.TaskID, worker string) {
	if c.deadly[t.Job] != t || len(c.crashes[t]) < crashBudget {
		return
	}
	c.excessStarts[t]++
	if c.excessStarts[t] >= startBudget {
		c.addViolation("BUDGET: start %d of %s, on %s, after %d workers crashed under it", c.excessStarts[t], t, worker, crashBudget)
	}
}

// checkStartAfterFailure checks that a job that is shown as failed starts no
// more. It must be called with mu held.
func (c *RunChecker) checkStartAfterFailure(t job.TaskID, worker string) {
	shown, ok := c.shownFailed[t.Job]
	if ok && time.Since(shown) > failedStartGrace {
		c.addViolation("%s starts on %s %v after its job was shown as failed", t, worker, time.Since(shown))
	}
}

// ShownFailed records that a job was shown as failed. Only a task under which
// workers crashed allows that: no task of the simulation fails otherwise.
func (c *RunChecker) ShownFailed(id job.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.shownFailed[id]; ok {
		return
	}
	c.shownFailed[id] = time.Now()
	if _, deadly := c.deadly[id]; !deadly {
		if !c.crashesLookLikeOwn(id) {
			c.innocentFailed = append(c.innocentFailed, fmt.Sprintf("job %s, at most %d workers crashed under one of its tasks", id, c.mostCrashes(id)))
		}
		return
	}
	if crashes := c.mostCrashes(id); crashes < crashesToGiveUp {
		c.addViolation("job %s is shown as failed after %d crashes", id, crashes)
	}
}

// crashesLookLikeOwn reports whether nobody can tell that a job has no deadly task:
// crashesToGiveUp different workers crashed under one of its tasks, and the last of these
// crashes was injected. A holder can keep a task away from those of other jobs that
// crash their worker, but not from injected crashes. It must be called with mu held.
func (c *RunChecker) crashesLookLikeOwn(id job.ID) bool {
	for t, crashes := range c.crashes {
		if t.Job == id && differentWorkers(crashes) >= crashesToGiveUp && crashes[len(crashes)-1].injected {
			return true
		}
	}
	return false
}

// differentWorkers returns how many workers crashed at least once.
func differentWorkers(crashes []crash) int {
	workers := map[string]bool{}
	for _, cr := range crashes {
		workers[cr.worker] = true
	}
	return len(workers)
}

// InnocentFailed describes the jobs without a deadly task that were shown as failed
// and whose crashes do not look like their own.
func (c *RunChecker) InnocentFailed() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.innocentFailed)
}

// mostCrashes returns the highest number of crashes under a task of a job. It
// must be called with mu held.
func (c *RunChecker) mostCrashes(id job.ID) int {
	most := 0
	for t, crashes := range c.crashes {
		if t.Job == id {
			most = max(most, len(crashes))
		}
	}
	return most
}

// Summary tells how much of what the checker looks for has occurred.
func (c *RunChecker) Summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var crashes []int
	for _, t := range c.deadly {
		crashes = append(crashes, len(c.crashes[t]))
	}
	slices.Sort(crashes)
	return fmt.Sprintf("crashes under each of %d deadly tasks: %v; %d starts judged by a shrunk capacity", len(c.deadly), crashes, c.judgedShrunk)
}
