package scheduler

import "greengagedeck/internal/job"

// MaxNoRunLines, NoRunAfter, NoRunInterval and NoRunRepeat bound the lines about jobs
// without a run.
const (
	MaxNoRunLines = maxNoRunLines
	NoRunAfter    = noRunAfter
	NoRunInterval = noRunInterval
	NoRunRepeat   = noRunRepeat
)

// AllNoRunReasons returns every reason.
func AllNoRunReasons() []NoRunReason { return noRunReasons }

// NameEarlierLease has the core take its record of earlier leases to name a worker.
func NameEarlierLease(c *Core, workerID string) { c.unreached.recorded[workerID] = true }

// MarkSuspect makes a run one of a task under which a worker has crashed.
func MarkSuspect(c *Core, workerID string, r job.RunID) {
	ws := c.workers[workerID]
	ws.Runs[r].Suspect = true
	ws.SuspectRuns++
}

// DropFromQueue drops a job from the queue, which no event does.
func DropFromQueue(c *Core, id job.ID) { c.waiting.remove(c.jobs[id]) }

// DropFromWorker has a worker forget a run whose end is not recorded, which no event
// does.
func DropFromWorker(c *Core, workerID string, r job.RunID) { c.workers[workerID].RemoveRun(r) }

// DropTasks removes the tasks of a job, which no event does.
func DropTasks(c *Core, id job.ID) {
	c.jobs[id].Occurrences = nil
	c.waiting.remove(c.jobs[id])
}
