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
func (c *Core) freeNodes(now time.Duration) []*placement.Node {
	nodes := c.nodes(now)
	c.markEjected(nodes, now)
	promised := c.places
	c.places = map[job.TaskID]string{}
	for _, t := range sortedTasks(promised) {
		i := slices.IndexFunc(nodes, func(n *placement.Node) bool { return n.ID == promised[t] })
		if i >= 0 && c.needsPlace(t, nodes[i].ID, now) {
			c.reserve(t, nodes[i:i+1], now)
		}
	}
	return nodes
}

// sortedTasks returns the tasks with a promised place in order.
func sortedTasks(places map[job.TaskID]string) []job.TaskID {
	return slices.SortedFunc(maps.Keys(places), compareTasks)
}

// reserve promises a task a place on one of the nodes and takes it from that
// node. It reports whether any node has one.
func (c *Core) reserve(t job.TaskID, nodes []*placement.Node, now time.Duration) bool {
	j := c.jobs[t.Job]
	req := c.placementRequest(j, job.TaskGroup{Occurrence: t.Occurrence, Step: t.Step})
	req.Avoided = j.avoided[t]
	req.ExpectedEnd = now + c.expectedDuration(j.Step(t))
	n := placement.Choose(nodes, req)
	if n == nil {
		return false
	}
	req.Reserve(n)
	c.places[t] = n.ID
	return true
}

// needsPlace reports whether a task still needs the place promised to it on a
// worker.
func (c *Core) needsPlace(t job.TaskID, workerID string, now time.Duration) bool {
	if !c.hasToStart(t) {
		return false
	}
	j := c.jobs[t.Job]
	stopping := len(j.Task(t).Runs) > 0
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
