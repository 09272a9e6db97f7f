package scheduler

import (
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/placement"
	"greengagedeck/internal/worker"
)

// freeNodes returns the workers that get new tasks, without the places on them
// that are promised. They are valid until the next call.
func (c *Core) freeNodes(now time.Duration) *placement.Index {
	c.refreshWorkers(now)
	c.markEjected(now)
	x := c.index.nodes
	promised := c.places
	c.places = map[job.TaskID]string{}
	for _, t := range sortedTasks(promised) {
		n := c.index.byID[promised[t]]
		if n != nil && c.needsPlace(t, n.ID, now) {
			c.reserve(t, x, n, now)
		}
	}
	return x
}

// sortedTasks returns the tasks with a promised place in order.
func sortedTasks(places map[job.TaskID]string) []job.TaskID {
	return slices.SortedFunc(maps.Keys(places), compareTasks)
}

// reserve promises a task a place on a node and takes it from there: on only, if that is
// not nil, else on any node. It reports whether there is one.
func (c *Core) reserve(t job.TaskID, x *placement.Index, only *placement.Node, now time.Duration) bool {
	j := c.jobs[t.Job]
	req := c.placementRequest(j, job.TaskGroup{Occurrence: t.Occurrence, Step: t.Step}, now)
	req.Avoided = j.avoided[t]
	req.ExpectedEnd = now + c.expectedDuration(j.Step(t))
	n := only
	if n == nil {
		n = x.Choose(req)
	}
	if n == nil || !req.Feasible(n) {
		return false
	}
	x.Reserve(req, n)
	// The next plan takes the place from the node again if the task still needs it.
	c.touch(n.ID)
	c.places[t] = n.ID
	return true
}

// needsPlace reports whether a task still needs the place promised to it on a
// worker. One that its customer's grant does not allow waits like any other.
func (c *Core) needsPlace(t job.TaskID, workerID string, now time.Duration) bool {
	if !c.hasToStart(t) {
		return false
	}
	j := c.jobs[t.Job]
	stopping := len(j.Task(t).Runs) > 0
	if !stopping && !c.grantAllows(j, j.Step(t)) {
		return false
	}
	return stopping || j.Terms.Approval == nil || c.approvalsOf(worker.StepKeyOf(t)).approved(c.workers[workerID].Incarnation, now)
}

// hasToStart reports whether a task of a step that has started has no run or
// only runs that are being stopped, and its job needs it.
func (c *Core) hasToStart(t job.TaskID) bool {
	j := c.jobs[t.Job]
	if j == nil || j.Redundant(job.RunID{Task: t}) {
		return false
	}
	return !slices.ContainsFunc(j.Task(t).Runs, func(r job.Run) bool {
		ws := c.workers[r.At.Worker.ID]
		if ws == nil {
			return true
		}
		run := ws.Runs[job.RunID{Task: t, Number: r.Number}]
		return run == nil || !run.Stopping
	})
}

// placeMoved starts the tasks that have been stopped in the places promised to
// them. It must follow a call of freeNodes.
func (c *Core) placeMoved(b *Batch, now time.Duration) {
	for _, t := range sortedTasks(c.places) {
		j := c.jobs[t.Job]
		if len(j.Task(t).Runs) > 0 {
			continue
		}
		ws := c.workers[c.places[t]]
		delete(c.places, t)
		if !c.grantAllows(j, j.Step(t)) {
			// Others of the customer have taken what the grant allows.
			continue
		}
		c.addPlannedRun(b, j, j.Place(t, locationOf(ws)), ws, now)
	}
}

// countTasks returns how many tasks of a step a worker has, may have or has
// promised a place.
func (c *Core) countTasks(workerID string, k worker.StepKey) int {
	n := c.workers[workerID].CountRuns(k)
	for t, id := range c.places {
		if id == workerID && worker.StepKeyOf(t) == k {
			n++
		}
	}
	return n
}
