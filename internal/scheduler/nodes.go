package scheduler

import (
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/placement"
	"greengagedeck/internal/worker"
)

// workerIndex is what plans need to know of the workers. It is kept from one plan to the
// next, and only what has changed of a worker that was touched is computed again.
type workerIndex struct {
	// touched are the workers that may have changed.
	touched map[string]bool
	// nodes are the workers that accept new tasks, and byID the same by worker ID.
	nodes *placement.Index
	byID  map[string]*placement.Node
	// capacity is the sum of the capacities of the nodes, which capacities holds by worker ID.
	capacity   job.Resources
	capacities map[string]job.Resources
	// isolated are the nodes that are isolated, which ends without a change.
	isolated map[string]bool
	// silent are the workers that do not answer and have or may have runs, and draining
	// those that drain.
	silent, draining map[string]bool
	// unlogged are the workers with ends that the log may not hold yet.
	unlogged map[string]bool
	// summary is that of the nodes at the moment summarizedAt.
	summary      placement.Summary
	summarizedAt time.Duration
	// refreshed counts the workers that were computed again since the last plan.
	refreshed int
}

func newWorkerIndex() workerIndex {
	return workerIndex{
		touched:  map[string]bool{},
		nodes:    placement.NewIndex(nil),
		byID:     map[string]*placement.Node{},
		isolated: map[string]bool{},
		silent:   map[string]bool{},
		draining: map[string]bool{},
		unlogged: map[string]bool{},

		capacities: map[string]job.Resources{},
	}
}

// summaryAt returns a summary of the nodes that is no older than the present.
func (x *workerIndex) summaryAt(now time.Duration) placement.Summary {
	if x.summarizedAt != now {
		x.summary, x.summarizedAt = placement.Summarize(x.nodes.Nodes()), now
	}
	return x.summary
}

// setMember adds a worker to a set or removes it.
func setMember(set map[string]bool, id string, member bool) {
	if member {
		set[id] = true
	} else {
		delete(set, id)
	}
}

// addWorker begins to track a worker.
func (c *Core) addWorker(ws *worker.State) {
	id := ws.Incarnation.ID
	c.workers[id] = ws
	ws.OnChange(c.index.touched)
	ws.ObserveRuns(runCounter{c})
	c.touch(id)
}

// removeWorker ends the tracking of a worker. Runs that it still has do not count any more.
func (c *Core) removeWorker(id string) {
	if ws := c.workers[id]; ws != nil {
		ws.ObserveRuns(nil)
	}
	delete(c.workers, id)
	c.touch(id)
}

// touch records that a worker may have changed. Whatever sets a field of a worker's state
// that refresh reads must be followed by it; methods of the state touch it themselves.
func (c *Core) touch(id string) { c.index.touched[id] = true }

// refreshWorkers brings the index up to date.
func (c *Core) refreshWorkers(now time.Duration) {
	x := &c.index
	for id := range x.isolated {
		x.touched[id] = true
	}
	for id := range x.touched {
		c.refresh(id, now)
	}
	clear(x.touched)
}

// refresh brings the index up to date with one worker.
func (c *Core) refresh(id string, now time.Duration) {
	x := &c.index
	x.refreshed++
	ws := c.workers[id]
	setMember(x.silent, id, ws != nil && len(ws.Runs) > 0 && !reachable(ws))
	setMember(x.draining, id, ws != nil && ws.Draining)
	accepts := ws != nil && c.acceptsTasks(ws)
	setMember(x.isolated, id, accepts && ws.Isolated(now))
	x.setCapacity(id, ws, accepts)
	n := x.byID[id]
	switch {
	case !accepts && n != nil:
		x.nodes.Remove(n)
		delete(x.byID, id)
	case !accepts:
	case n != nil:
		x.nodes.Update(n, c.node(ws, now))
	default:
		n = &placement.Node{}
		*n = c.node(ws, now)
		x.nodes.Add(n)
		x.byID[id] = n
	}
}

// setCapacity brings the sum of the nodes' capacities up to date with one worker.
func (x *workerIndex) setCapacity(id string, ws *worker.State, accepts bool) {
	x.capacity = x.capacity.Sub(x.capacities[id])
	if !accepts {
		delete(x.capacities, id)
		return
	}
	x.capacities[id] = ws.Capacity
	x.capacity = x.capacity.Add(ws.Capacity)
}

// acceptsTasks reports whether a worker takes new tasks.
func (c *Core) acceptsTasks(ws *worker.State) bool {
	return ws.Listed && !ws.Draining && ws.CordonReason == "" && reachable(ws) && ws.Reconciled
}

// node describes a worker to the placement.
func (c *Core) node(ws *worker.State, now time.Duration) placement.Node {
	return placement.Node{
		ID:               ws.Incarnation.ID,
		Free:             ws.FreeResources(),
		Rack:             ws.Rack,
		Labels:           ws.Labels,
		BusyUntil:        ws.BusyUntil(0),
		Serving:          ws.ServingRuns > 0,
		BestEffortCPU:    ws.BestEffortCPU,
		Isolated:         ws.Isolated(now),
		RecentStartUntil: ws.RecentStartUntil(),
	}
}
