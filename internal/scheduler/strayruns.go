package scheduler

import (
	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// runAt is a run at a worker.
type runAt struct {
	run    job.RunID
	worker string
}

// strayRuns are the runs that workers have although they count as ended: a worker that has
// restarted carried out a start that was meant for its earlier incarnation. Their tasks are not
// started again until they have ended.
type strayRuns map[runAt]bool

// add records a stray run.
func (s strayRuns) add(ws *worker.State, r *worker.Run) {
	s[runAt{r.ID, ws.Incarnation.ID}] = true
}

// awaitsStrayRun reports whether a start of a task has to wait for the end of a stray run of it.
func (c *Core) awaitsStrayRun(t job.TaskID) bool {
	awaits := false
	for stray := range c.strayRuns {
		ws := c.workers[stray.worker]
		if ws == nil || ws.Runs[stray.run] == nil {
			delete(c.strayRuns, stray)
			continue
		}
		awaits = awaits || stray.run.Task == t
	}
	return awaits
}
