// Package placement chooses workers for tasks. It does no I/O and keeps no
// state: the same nodes and the same request give the same choice.
package placement

import (
	"cmp"
	"slices"
	"time"

	"greengagedeck/internal/job"
)

// Node describes a worker that accepts tasks.
type Node struct {
	ID string
	// Free is the node's unused resources.
	Free   job.Resources
	Rack   string
	Labels []string
	// BusyUntil is when the last of the node's runs is expected to end, by the
	// same clock as Request.ExpectedEnd.
	BusyUntil time.Duration
	// Avoid marks a node to use only when no other fits, and Ejected one that only
	// tasks with AllowEjected use, and then only when no other fits.
	Avoid   bool
	Ejected bool
	// Serving is set if the node runs a serving task, one that answers requests
	// of its own users.
	Serving bool
	// Isolated marks a node that takes no further task for a while, and RecentStart
	// one on which a task has started just now. So has one until RecentStartUntil, by
	// the same clock as Request.Now.
	Isolated         bool
	RecentStart      bool
	RecentStartUntil time.Duration
	// BestEffortCPU is the CPU time that the node's best-effort tasks could
	// use, in thousandths of a core.
	BestEffortCPU int

	// bucket and slot are the node's position in an Index, and listed its position among
	// all nodes there.
	bucket, slot, listed int
}

// Request describes one task to place.
type Request struct {
	Resources job.Resources
	Label     string
	DataRack  string
	// Approved reports whether a node may run the task. If it is nil, every node
	// may.
	Approved func(node string) bool
	// TaskCount returns how many tasks of the step a node has, and MaxPerNode
	// limits that number, 0 for no limit.
	TaskCount  func(node string) int
	MaxPerNode int
	// Avoided tells, by ID, since when nodes are avoided. They are used only when
	// no other fits, the one that has been avoided the longest first.
	Avoided map[string]time.Duration
	// Now is the present, and ExpectedEnd when the task is expected to end.
	Now         time.Duration
	ExpectedEnd time.Duration
	// AllowEjected is set for a task that may fail any number of times.
	AllowEjected bool
	// Suspect is set for a task that may crash its node. It is placed where no
	// task has started just now, if it can, and isolates its node.
	Suspect bool
	// AvoidRecentStart is set for a task under which a node may have crashed. Like a
	// suspect, it is placed where no task has started just now, if it can.
	AvoidRecentStart bool
	// Serving is set for a task that answers requests of its own users.
	// BestEffort is set for a task that uses only resources that other tasks
	// leave free, DesiredCPU of them if it can.
	Serving    bool
	BestEffort bool
	DesiredCPU int
}

// busyTimeStep is the resolution at which nodes are compared by the busy time
// that a task adds to them.
const busyTimeStep = 200 * time.Millisecond

// Feasible reports whether a node meets every requirement of the task.
func (r Request) Feasible(n *Node) bool {
	return !n.Isolated && (!n.Ejected || r.AllowEjected) && r.Resources.FitsIn(n.Free) && r.hasLabel(n) && r.approved(n) && r.belowNodeLimit(n)
}

// approved reports whether a node may run the task.
func (r Request) approved(n *Node) bool { return r.Approved == nil || r.Approved(n.ID) }

// hasLabel reports whether a node has the required label, if there is one.
func (r Request) hasLabel(n *Node) bool { return r.Label == "" || slices.Contains(n.Labels, r.Label) }

// belowNodeLimit reports whether a node may run one more task of the step.
func (r Request) belowNodeLimit(n *Node) bool {
	return r.MaxPerNode == 0 || r.TaskCount(n.ID) < r.MaxPerNode
}

// UnplacedReason says why no node fits a task. It is written to the log.
type UnplacedReason string

// The reasons, in the order in which they are checked. Each considers only the
// nodes that the reasons before it do not exclude.
const (
	// ReasonNoNodes means that there is no node that accepts tasks.
	ReasonNoNodes UnplacedReason = "no worker accepts tasks"
	// ReasonNoLabel means that no node has the required label.
	ReasonNoLabel UnplacedReason = "no worker has the required label"
	// ReasonNotApproved means that no node with the label may run the task.
	ReasonNotApproved UnplacedReason = "no worker is approved for the step"
	// ReasonNodeLimit means that every node with the label already runs as many
	// tasks of the step as MaxPerNode allows.
	ReasonNodeLimit UnplacedReason = "every worker is at the step's limit of tasks per worker"
	// ReasonIsolated means that every node below that limit is ejected, or takes no
	// further task because one that may crash it has just started there.
	ReasonIsolated UnplacedReason = "every worker is ejected, or isolated for a task that may crash it"
	// ReasonNoResources means that no other node below that limit has enough free
	// resources.
	ReasonNoResources UnplacedReason = "no worker has enough free resources"
)

// Explain returns why none of the nodes fits. For ReasonNoResources it also
// returns the most free CPU time on any node that meets the other requirements.
func Explain(nodes []*Node, r Request) (reason UnplacedReason, maxFreeCPU int) {
	anyLabelled, anyApproved, anyBelowLimit, anyOpen := false, false, false, false
	for _, n := range nodes {
		if !r.hasLabel(n) {
			continue
		}
		anyLabelled = true
		if !r.approved(n) {
			continue
		}
		anyApproved = true
		if !r.belowNodeLimit(n) {
			continue
		}
		anyBelowLimit = true
		if n.Isolated || n.Ejected && !r.AllowEjected {
			continue
		}
		anyOpen = true
		maxFreeCPU = max(maxFreeCPU, n.Free.CPU)
	}
	switch {
	case len(nodes) == 0:
		return ReasonNoNodes, 0
	case !anyLabelled:
		return ReasonNoLabel, 0
	case !anyApproved:
		return ReasonNotApproved, 0
	case !anyBelowLimit:
		return ReasonNodeLimit, 0
	case !anyOpen:
		return ReasonIsolated, 0
	default:
		return ReasonNoResources, maxFreeCPU
	}
}

// Summary is what Explain needs to know of the nodes for a task that any node may run, if
// it has the resources.
type Summary struct {
	nodes int
	// open tells whether any node takes tasks, and maxFreeCPU the most free CPU time of one
	// that does. The second of each is for tasks that may use ejected nodes.
	open       [2]bool
	maxFreeCPU [2]int
}

// Summarize returns the summary of nodes.
func Summarize(nodes []*Node) Summary {
	s := Summary{nodes: len(nodes)}
	for _, n := range nodes {
		if n.Isolated {
			continue
		}
		s.add(1, n)
		if !n.Ejected {
			s.add(0, n)
		}
	}
	return s
}

func (s *Summary) add(i int, n *Node) {
	s.open[i] = true
	s.maxFreeCPU[i] = max(s.maxFreeCPU[i], n.Free.CPU)
}

// Explain returns what Explain returns for the nodes. ok is false if the summary does not
// tell.
func (s Summary) Explain(r Request) (reason UnplacedReason, maxFreeCPU int, ok bool) {
	i := 0
	if r.AllowEjected {
		i = 1
	}
	switch {
	case r.Label != "" || r.Approved != nil || r.MaxPerNode > 0:
		return "", 0, false
	case s.nodes == 0:
		return ReasonNoNodes, 0, true
	case !s.open[i]:
		return ReasonIsolated, 0, true
	default:
		return ReasonNoResources, s.maxFreeCPU[i], true
	}
}

// Choose returns the best node for a task, or nil when none fits. It prefers
// nodes on the rack of the task's data, among those the ones whose busy time the
// task extends least, and among those the one with the least free CPU time.
// Tasks that end at about the same time thus share nodes, and whole workers
// become free.
func Choose(nodes []*Node, r Request) *Node {
	var best *Node
	for _, n := range nodes {
		if !r.Feasible(n) {
			continue
		}
		if best == nil || r.compare(n, best) < 0 {
			best = n
		}
	}
	return best
}

// compare orders two nodes that both fit, the better one first.
func (r Request) compare(a, b *Node) int {
	if c := r.compareAvoided(a, b); c != 0 {
		return c
	}
	if r.BestEffort {
		return cmp.Or(
			cmp.Compare(r.penalty(a), r.penalty(b)),
			cmp.Compare(b.spareCPU(), a.spareCPU()),
			cmp.Compare(a.ID, b.ID),
		)
	}
	return cmp.Or(
		cmp.Compare(r.penalty(a), r.penalty(b)),
		cmp.Compare(r.addedBusySteps(a), r.addedBusySteps(b)),
		cmp.Compare(a.Free.CPU, b.Free.CPU),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareAvoided orders two nodes by whether and since when they are avoided. Nodes
// that are bad for every task come after those that only this one avoids, and for a
// task that may crash its node those with a recent start come in between.
func (r Request) compareAvoided(a, b *Node) int {
	switch {
	case a.bad() != b.bad():
		if a.bad() {
			return 1
		}
		return -1
	case r.avoidsStartOn(a) != r.avoidsStartOn(b):
		if r.avoidsStartOn(a) {
			return 1
		}
		return -1
	case len(r.Avoided) == 0:
		return 0
	default:
		return cmp.Compare(r.Avoided[a.ID], r.Avoided[b.ID])
	}
}

// bad reports whether a node is to be used only when no other fits.
func (n *Node) bad() bool { return n.Avoid || n.Ejected }

// avoidsStartOn reports whether the task is not to start beside those that a node has
// just started.
func (r Request) avoidsStartOn(n *Node) bool {
	return (r.Suspect || r.AvoidRecentStart) && (n.RecentStart || r.Now < n.RecentStartUntil)
}

// addedBusySteps returns by how many steps of busyTimeStep the task extends the
// time for which a node is busy.
func (r Request) addedBusySteps(n *Node) int {
	return int(max(0, r.ExpectedEnd-max(r.Now, n.BusyUntil)) / busyTimeStep)
}

// spareCPU returns the CPU time that one more best-effort task could use.
func (n *Node) spareCPU() int { return n.Free.CPU - n.BestEffortCPU }

// Reserve updates a node as if the task ran on it.
func (r Request) Reserve(n *Node) {
	n.Free = n.Free.Sub(r.Resources)
	n.Serving = n.Serving || r.Serving
	n.Isolated = n.Isolated || r.Suspect
	n.RecentStart = true
	if r.BestEffort {
		n.BestEffortCPU += r.DesiredCPU
	}
	n.BusyUntil = max(n.BusyUntil, r.ExpectedEnd)
}

// penalty returns the sum of the weights of the reasons against a node. Each
// weight exceeds the sum of all smaller ones, so that the worst reason decides.
func (r Request) penalty(n *Node) int {
	p := 0
	// Best-effort tasks slow down serving tasks on the same node.
	if r.BestEffort && n.Serving || r.Serving && n.BestEffortCPU > 0 {
		p += 2
	}
	if r.DataRack != "" && r.DataRack != n.Rack {
		p++
	}
	return p
}
