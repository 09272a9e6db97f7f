package scheduler

import (
	"fmt"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/placement"
)

// CheckIndex compares what is kept of the workers between plans with what a look at all of
// them gives. It returns the first difference, or "".
func CheckIndex(c *Core, now time.Duration) string {
	c.refreshWorkers(now)
	nodes := 0
	var capacity job.Resources
	for id, ws := range c.workers {
		if c.index.silent[id] != (len(ws.Runs) > 0 && !reachable(ws)) {
			return fmt.Sprintf("silent %s: %v", id, c.index.silent[id])
		}
		if c.index.draining[id] != ws.Draining {
			return fmt.Sprintf("draining %s: %v", id, c.index.draining[id])
		}
		if ws.LastEndSeen > ws.LastEndLogged && !c.index.unlogged[id] {
			return fmt.Sprintf("ends of %s that are not logged are not known", id)
		}
		n := c.index.byID[id]
		if (n != nil) != c.acceptsTasks(ws) {
			return fmt.Sprintf("node %s: %v", id, n)
		}
		if n == nil {
			continue
		}
		nodes++
		capacity = capacity.Add(ws.Capacity)
		if got, want := describeNode(*n), describeNode(c.node(ws, now)); got != want {
			return fmt.Sprintf("node is %s, want %s", got, want)
		}
	}
	if c.index.capacity != capacity {
		return fmt.Sprintf("capacity %+v, want %+v", c.index.capacity, capacity)
	}
	if len(c.index.byID) != nodes || len(c.index.nodes.Nodes()) != nodes {
		return fmt.Sprintf("%d nodes, %d of them indexed, want %d", len(c.index.byID), len(c.index.nodes.Nodes()), nodes)
	}
	return ""
}

// describeNode describes what plans take from the state of a worker.
func describeNode(n placement.Node) string {
	return fmt.Sprint(n.ID, n.Free, n.Rack, n.Labels, n.BusyUntil, n.Serving, n.BestEffortCPU, n.Isolated, n.RecentStart, n.RecentStartUntil)
}
