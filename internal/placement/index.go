package placement

import (
	"container/heap"

	"greengagedeck/internal/job"
)

// indexBuckets is the number of ranges of free CPU time into which an Index
// divides its nodes.
const indexBuckets = 64

// Index finds nodes for many tasks in a row. It chooses the same nodes as Choose,
// but looks only at those with enough free CPU time. While nodes are in an Index
// they must be reserved through it.
type Index struct {
	nodes   []*Node
	buckets [indexBuckets][]*Node
	// maxCPU is the most free CPU time of any node since the buckets were last laid out.
	maxCPU int
	// highest is the last bucket that may hold a node.
	highest int
	// freeCPU is the sum of the free CPU time of all nodes.
	freeCPU int
}

// NewIndex returns an Index of nodes.
func NewIndex(nodes []*Node) *Index {
	x := &Index{nodes: nodes}
	for i, n := range nodes {
		n.listed = i
	}
	x.layOut()
	return x
}

// layOut lays out the buckets anew.
func (x *Index) layOut() {
	x.buckets = [indexBuckets][]*Node{}
	x.maxCPU, x.highest, x.freeCPU = 0, 0, 0
	for _, n := range x.nodes {
		x.maxCPU = max(x.maxCPU, n.Free.CPU)
	}
	for _, n := range x.nodes {
		x.insert(n)
	}
}

// Add adds a node.
func (x *Index) Add(n *Node) {
	n.listed = len(x.nodes)
	x.nodes = append(x.nodes, n)
	x.place(n)
}

// Remove removes a node.
func (x *Index) Remove(n *Node) {
	x.remove(n)
	last := x.nodes[len(x.nodes)-1]
	x.nodes[n.listed] = last
	last.listed = n.listed
	x.nodes = x.nodes[:len(x.nodes)-1]
}

// Update replaces the description of a node.
func (x *Index) Update(n *Node, to Node) {
	x.remove(n)
	to.listed = n.listed
	*n = to
	x.place(n)
}

// place puts a node into its bucket.
func (x *Index) place(n *Node) {
	if n.Free.CPU > x.maxCPU {
		x.layOut()
		return
	}
	x.insert(n)
}

// Nodes returns all nodes of the index.
func (x *Index) Nodes() []*Node { return x.nodes }

// FreeCPU returns the free CPU time of all nodes together.
func (x *Index) FreeCPU() int { return x.freeCPU }

// bucketOf returns the bucket of nodes with the given free CPU time.
func (x *Index) bucketOf(cpu int) int {
	return max(0, min(indexBuckets-1, cpu*indexBuckets/(x.maxCPU+1)))
}

func (x *Index) insert(n *Node) {
	x.freeCPU += max(0, n.Free.CPU)
	n.bucket = x.bucketOf(n.Free.CPU)
	x.highest = max(x.highest, n.bucket)
	n.slot = len(x.buckets[n.bucket])
	x.buckets[n.bucket] = append(x.buckets[n.bucket], n)
}

func (x *Index) remove(n *Node) {
	x.freeCPU -= max(0, n.Free.CPU)
	b := x.buckets[n.bucket]
	last := b[len(b)-1]
	b[n.slot] = last
	last.slot = n.slot
	x.buckets[n.bucket] = b[:len(b)-1]
}

// Reserve updates a node of the index as if the task ran on it.
func (x *Index) Reserve(r Request, n *Node) {
	x.remove(n)
	r.Reserve(n)
	x.insert(n)
}

// Withhold takes an amount from a node's free resources, as far as they are there, so that
// no further task gets it.
func (x *Index) Withhold(n *Node, r job.Resources) {
	x.remove(n)
	n.Free = job.Resources{
		CPU: n.Free.CPU - min(r.CPU, max(0, n.Free.CPU)), MemoryMB: n.Free.MemoryMB - min(r.MemoryMB, max(0, n.Free.MemoryMB)), GPU: n.Free.GPU - min(r.GPU, max(0, n.Free.GPU)),
	}
	x.insert(n)
}

// MayFit reports whether some node may have enough free resources. It is cheaper
// than a search for one: in a full pool most tasks fit nowhere.
func (x *Index) MayFit(need job.Resources) bool {
	for x.highest > 0 && len(x.buckets[x.highest]) == 0 {
		x.highest--
	}
	return need.CPU <= x.maxCPU && x.bucketOf(need.CPU) <= x.highest && len(x.nodes) > 0
}

// eachFeasible calls f for every node that meets the requirements of the task.
func (x *Index) eachFeasible(r Request, f func(*Node)) {
	if r.Resources.CPU > x.maxCPU {
		return
	}
	for b := x.bucketOf(r.Resources.CPU); b < indexBuckets; b++ {
		for _, n := range x.buckets[b] {
			if r.Feasible(n) {
				f(n)
			}
		}
	}
}

// Choose returns the node that Choose would return for all nodes of the index.
func (x *Index) Choose(r Request) *Node {
	var best *Node
	x.eachFeasible(r, func(n *Node) {
		if best == nil || r.compare(n, best) < 0 {
			best = n
		}
	})
	return best
}

// ChooseGroup chooses and reserves a node for each of count equal tasks, one
// after the other. It returns fewer when the others fit on no node.
func (x *Index) ChooseGroup(r Request, count int) []*Node {
	var placed map[string]int
	if countBefore := r.TaskCount; r.MaxPerNode > 0 {
		placed = map[string]int{}
		r.TaskCount = func(id string) int { return countBefore(id) + placed[id] }
	}
	c := candidates{request: r}
	x.eachFeasible(r, func(n *Node) { c.nodes = append(c.nodes, n) })
	heap.Init(&c)
	var out []*Node
	for len(out) < count && len(c.nodes) > 0 {
		n := c.nodes[0]
		x.Reserve(r, n)
		if placed != nil {
			placed[n.ID]++
		}
		out = append(out, n)
		c.updateBest()
	}
	return out
}

// candidates is a heap of the nodes that fit a request, the best one first.
type candidates struct {
	request Request
	nodes   []*Node
}

var _ heap.Interface = (*candidates)(nil)

func (c *candidates) Len() int           { return len(c.nodes) }
func (c *candidates) Less(i, j int) bool { return c.request.compare(c.nodes[i], c.nodes[j]) < 0 }
func (c *candidates) Swap(i, j int)      { c.nodes[i], c.nodes[j] = c.nodes[j], c.nodes[i] }
func (c *candidates) Push(n any)         { c.nodes = append(c.nodes, n.(*Node)) }

func (c *candidates) Pop() any {
	last := len(c.nodes) - 1
	n := c.nodes[last]
	c.nodes = c.nodes[:last]
	return n
}

// updateBest restores the order after a reservation on the best node, and drops
// that node if no further task fits on it.
func (c *candidates) updateBest() {
	if c.request.Feasible(c.nodes[0]) {
		heap.Fix(c, 0)
		return
	}
	heap.Pop(c)
}
