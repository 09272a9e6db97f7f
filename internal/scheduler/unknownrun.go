package scheduler

import "greengagedeck/internal/job"

// unknownRuns are runs that workers have listed and that were not in the log, with the workers'
// IDs. An entry is void once the worker's state no longer has the run.
type unknownRuns map[job.RunID]string

// active reports whether an unknown run of the same task as a run may be active, so that the task
// would run twice.
func (u unknownRuns) active(c *Core, r job.RunID) bool {
	found := false
	for id, workerID := range u {
		ws := c.workers[workerID]
		if ws == nil || ws.Runs[id] == nil {
			delete(u, id)
			continue
		}
		found = found || id.Task == r.Task && id != r
	}
	return found
}
