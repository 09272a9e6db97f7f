package fleetview

import (
	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
)

// NoCustomer is the name under which operators see work of no customer.
const NoCustomer = "-"

// nameOf returns the name under which operators see a customer.
func nameOf(id customer.ID) string {
	if id == "" {
		return NoCustomer
	}
	return string(id)
}

// Resources is an amount of capacity. CPU is in thousandths of a core.
type Resources struct {
	CPU      int `json:"cpu"`
	MemoryMB int `json:"memory_mb"`
	GPU      int `json:"gpu"`
}

// add adds an amount.
func (r *Resources) add(o job.Resources) { *r = Resources(job.Resources(*r).Add(o)) }

// Load is what a customer runs and waits for, in one pool or in several.
type Load struct {
	// JobsRunning counts the jobs with a run that may be active, and JobsWaiting those
	// without one whose tasks wait. TasksRunning and TasksWaiting count tasks likewise.
	JobsRunning  int `json:"jobs_running"`
	JobsWaiting  int `json:"jobs_waiting"`
	TasksRunning int `json:"tasks_running"`
	TasksWaiting int `json:"tasks_waiting"`
	// Runs counts all runs that reserve resources, with copies and those being stopped.
	Runs int `json:"runs"`
	// Used is what the runs reserve, and Wanted what the waiting tasks need in addition.
	Used   Resources `json:"used"`
	Wanted Resources `json:"wanted"`
	// OldestWaitMs is for how long the tasks have waited that have waited longest.
	OldestWaitMs int64 `json:"oldest_wait_ms"`
	// Waits counts the waiting tasks by reason.
	Waits map[scheduler.NoRunReason]int `json:"waits"`
}

// add adds what a customer runs and waits for in a pool.
func (l *Load) add(s scheduler.CustomerStatus) {
	l.JobsRunning += s.JobsRunning
	l.JobsWaiting += s.JobsWaiting
	l.TasksRunning += s.TasksRunning
	l.TasksWaiting += s.TasksWaiting
	l.Runs += s.Runs
	l.Used.add(s.Used)
	l.Wanted.add(s.Wanted)
	l.OldestWaitMs = max(l.OldestWaitMs, s.OldestWait.Milliseconds())
	if l.Waits == nil {
		l.Waits = map[scheduler.NoRunReason]int{}
	}
	for reason, n := range s.Waits {
		l.Waits[reason] += n
	}
}
