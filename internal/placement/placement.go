// Package placement chooses workers for tasks. It is pure: the same pool and
// the same request give the same choice.
package placement

import (
	"cmp"
	"slices"
	"time"

	"greengagedeck/internal/job"
)

// Node is a worker that may take tasks.
type Node struct {
	ID string
	// Free is the room that is left.
	Free   job.Resources
	Rack   string
	Labels []string
	// BusyUntil is when the last of its runs is expected to end, on the clock
	// of Request.Ends.
	BusyUntil time.Duration
	// Avoid is set for workers to use only when no other fits.
	Avoid bool
	// Serves is set where a task runs that serves its own users.
	Serves bool
	// FillCPU is what the tasks that fill the worker could use of its
	// processors, in thousandths of a core.
	FillCPU int
}

// Request asks for room for one task.
type Request struct {
	Room     job.Resources
	Label    string
	DataRack string
	// Taken is how many tasks of the step a worker has, and Most how many it
	// may have, 0 for any number.
	Taken func(node string) int
	Most  int
	// Shun names a worker to use only when no other fits, or is empty.
	Shun string
	// Ends is when the task is expected to end.
	Ends time.Duration
	// Serves is set for a task that serves its own users, and Fills for one
	// that uses what others leave, SoftCPU of it if it can.
	Serves  bool
	Fills   bool
	SoftCPU int
}

// extensionStep is the resolution at which it matters how much longer a task
// keeps a worker busy.
const extensionStep = 200 * time.Millisecond

// allows reports whether a node may take the task at all.
func (r Request) allows(n *Node) bool {
	return r.Room.FitsIn(n.Free) && r.labelled(n) && r.spreads(n)
}

// labelled reports whether a node has the label.
func (r Request) labelled(n *Node) bool { return r.Label == "" || slices.Contains(n.Labels, r.Label) }

// spreads reports whether a node may have one more task of the step.
func (r Request) spreads(n *Node) bool { return r.Most == 0 || r.Taken(n.ID) < r.Most }

// Obstacle says why a task finds no node.
type Obstacle string

// The obstacles, the first that holds for every node that is left.
const (
	// NoNodes means that no node takes tasks.
	NoNodes Obstacle = "no worker takes tasks"
	// NoLabel means that no node has the label.
	NoLabel Obstacle = "no worker has the label"
	// TooMany means that every such node has as many tasks of the step as it
	// may.
	TooMany Obstacle = "every worker has as many tasks of the step as it may"
	// NoRoom means that none of the others has room.
	NoRoom Obstacle = "no worker has the room"
)

// Explain returns why none of the nodes fits, and the most processor time that
// is left on one that could take the task otherwise.
func Explain(nodes []*Node, r Request) (why Obstacle, cpu int) {
	labelled, open := false, false
	for _, n := range nodes {
		if !r.labelled(n) {
			continue
		}
		labelled = true
		if !r.spreads(n) {
			continue
		}
		open = true
		cpu = max(cpu, n.Free.CPU)
	}
	switch {
	case len(nodes) == 0:
		return NoNodes, 0
	case !labelled:
		return NoLabel, 0
	case !open:
		return TooMany, 0
	default:
		return NoRoom, cpu
	}
}

// Choose returns the node for a task, or nil when none fits: one on the rack of
// its data if there is one, of those one that the task keeps busy for the least
// time beyond what it is anyway, and of those the one with the least processor
// time left. Tasks that end together so come to lie together, and whole workers
// fall free.
func Choose(nodes []*Node, r Request) *Node {
	var best *Node
	for _, n := range nodes {
		if !r.allows(n) {
			continue
		}
		if best == nil || r.compare(n, best) < 0 {
			best = n
		}
	}
	return best
}

// compare orders two nodes that both fit, better ones first.
func (r Request) compare(a, b *Node) int {
	if r.Fills {
		return cmp.Or(
			cmp.Compare(r.penalty(a), r.penalty(b)),
			cmp.Compare(b.left(), a.left()),
			cmp.Compare(a.ID, b.ID),
		)
	}
	return cmp.Or(
		cmp.Compare(r.penalty(a), r.penalty(b)),
		cmp.Compare(r.extension(a), r.extension(b)),
		cmp.Compare(a.Free.CPU, b.Free.CPU),
		cmp.Compare(a.ID, b.ID),
	)
}

// extension returns for how many steps a task keeps a node busy beyond what it
// is anyway.
func (r Request) extension(n *Node) int {
	return int(max(0, r.Ends-n.BusyUntil) / extensionStep)
}

// left returns the processor time that a further task could use as a filler.
func (n *Node) left() int { return n.Free.CPU - n.FillCPU }

// Take notes that a node gets the task.
func (r Request) Take(n *Node) {
	n.Free = n.Free.Sub(r.Room)
	n.Serves = n.Serves || r.Serves
	if r.Fills {
		n.FillCPU += r.SoftCPU
	}
	n.BusyUntil = max(n.BusyUntil, r.Ends)
}

// penalty counts what speaks against a node, the worst first.
func (r Request) penalty(n *Node) int {
	p := 0
	if n.Avoid {
		p += 8
	}
	if r.Shun == n.ID {
		p += 4
	}
	// Tasks that fill disturb those that serve.
	if r.Fills && n.Serves || r.Serves && n.FillCPU > 0 {
		p += 2
	}
	if r.DataRack != "" && r.DataRack != n.Rack {
		p++
	}
	return p
}

// ChooseGang returns nodes for all of count equal tasks, or nil when they do
// not all fit. With sameRack set it takes one rack if one has room for all.
func ChooseGang(nodes []*Node, r Request, count int, sameRack bool) []*Node {
	if sameRack {
		for _, rack := range racks(nodes, r.DataRack) {
			on := slices.DeleteFunc(slices.Clone(nodes), func(n *Node) bool { return n.Rack != rack })
			if got := chooseAll(on, r, count); got != nil {
				return got
			}
		}
	}
	return chooseAll(nodes, r, count)
}

// racks returns the racks of the nodes, the preferred one first.
func racks(nodes []*Node, first string) []string {
	var out []string
	for _, n := range nodes {
		if !slices.Contains(out, n.Rack) {
			out = append(out, n.Rack)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(rankOf(a, first), rankOf(b, first)), cmp.Compare(a, b))
	})
	return out
}

func rankOf(rack, first string) int {
	if rack == first {
		return 0
	}
	return 1
}

// chooseAll takes nodes one after the other from copies, so that a gang that
// does not fit leaves no trace.
func chooseAll(nodes []*Node, r Request, count int) []*Node {
	copies := make([]Node, len(nodes))
	scratch := make([]*Node, len(nodes))
	byID := make(map[string]*Node, len(nodes))
	for i, n := range nodes {
		copies[i] = *n
		scratch[i] = &copies[i]
		byID[n.ID] = n
	}
	placed := map[string]int{}
	taken := r.Taken
	r.Taken = func(id string) int { return taken(id) + placed[id] }
	out := make([]*Node, 0, count)
	for range count {
		n := Choose(scratch, r)
		if n == nil {
			return nil
		}
		r.Take(n)
		placed[n.ID]++
		out = append(out, byID[n.ID])
	}
	return out
}
