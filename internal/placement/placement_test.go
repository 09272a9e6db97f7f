package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"greengagedeck/internal/job"
)

func node(id string, cpu int) *Node {
	return &Node{ID: id, Free: job.Resources{CPU: cpu, MemoryMB: 1000}, Rack: "r-" + id}
}

func request(cpu int) Request {
	return Request{Resources: job.Resources{CPU: cpu, MemoryMB: 100}, TaskCount: func(string) int { return 0 }}
}

func TestChoosePacksTightly(t *testing.T) {
	g := NewWithT(t)
	nodes := []*Node{node("a", 4000), node("b", 1500), node("c", 900)}
	g.Expect(Choose(nodes, request(1000)).ID).To(Equal("b"))
	g.Expect(Choose(nodes, request(5000))).To(BeNil())
}

func TestChooseGroupsTasksByEndTime(t *testing.T) {
	g := NewWithT(t)
	busy, idle := node("a", 2000), node("b", 1000)
	busy.BusyUntil = 10 * time.Second
	r := request(500)
	r.ExpectedEnd = 8 * time.Second
	g.Expect(Choose([]*Node{busy, idle}, r).ID).To(Equal("a"))
}

func TestPreferencesAreSoftAndRequirementsHard(t *testing.T) {
	g := NewWithT(t)
	nodes := []*Node{node("a", 1000), node("b", 1000)}
	r := request(500)
	r.DataRack = "r-b"
	g.Expect(Choose(nodes, r).ID).To(Equal("b"))
	r.Avoided = map[string]time.Duration{"b": time.Second}
	g.Expect(Choose(nodes, r).ID).To(Equal("a"))
	nodes[0].Avoid = true
	g.Expect(Choose(nodes, r).ID).To(Equal("b"))
	r.Label = "gpu"
	g.Expect(Choose(nodes, r)).To(BeNil())
	nodes[0].Labels = []string{"gpu"}
	g.Expect(Choose(nodes, r).ID).To(Equal("a"))
	r.MaxPerNode = 2
	r.TaskCount = func(string) int { return 2 }
	g.Expect(Choose(nodes, r)).To(BeNil())
}

// Guards against a task that returns to the same few nodes that it avoids: the one
// that it has avoided the longest comes first, whatever else speaks for the others.
func TestAvoidedNodesAreUsedLastAndInTurn(t *testing.T) {
	g := NewWithT(t)
	nodes := []*Node{node("a", 1000), node("b", 1000), node("c", 1000)}
	r := request(500)
	r.DataRack = "r-a"
	r.Avoided = map[string]time.Duration{"a": 2 * time.Second, "b": time.Second}
	g.Expect(Choose(nodes, r).ID).To(Equal("c"))
	r.Reserve(nodes[2])
	r.Reserve(nodes[2])
	g.Expect(Choose(nodes, r).ID).To(Equal("b"))
	r.Avoided["b"] = 3 * time.Second
	g.Expect(Choose(nodes, r).ID).To(Equal("a"))
}

func TestBestEffortTasksAvoidServingNodes(t *testing.T) {
	g := NewWithT(t)
	serving, free := node("a", 4000), node("b", 1000)
	serving.Serving = true
	r := request(0)
	r.BestEffort, r.DesiredCPU = true, 500
	g.Expect(Choose([]*Node{serving, free}, r).ID).To(Equal("b"))
	r.Reserve(free)
	g.Expect(free.BestEffortCPU).To(Equal(500))
	g.Expect(free.Free.CPU).To(Equal(1000))
}

func TestGangPrefersOneRackAndIsPlacedWhole(t *testing.T) {
	g := NewWithT(t)
	nodes := []*Node{node("a", 1000), node("b", 1000), node("c", 1000)}
	nodes[1].Rack, nodes[2].Rack = "r", "r"
	got := ChooseGang(nodes, request(1000), 2, true)
	g.Expect(got).To(HaveLen(2))
	g.Expect(got[0].Rack).To(Equal(got[1].Rack))
	g.Expect(ChooseGang(nodes, request(1000), 3, true)).To(HaveLen(3))
	g.Expect(ChooseGang(nodes, request(1000), 4, false)).To(BeNil())
	for _, n := range nodes {
		g.Expect(n.Free.CPU).To(Equal(1000), "ChooseGang must not change the nodes")
	}
}

func TestExplainReturnsBindingReason(t *testing.T) {
	g := NewWithT(t)
	r := request(1000)
	explain := func(nodes ...*Node) UnplacedReason {
		reason, _ := Explain(nodes, r)
		return reason
	}
	g.Expect(explain()).To(Equal(ReasonNoNodes))
	g.Expect(explain(node("a", 10))).To(Equal(ReasonNoResources))
	r.MaxPerNode, r.TaskCount = 1, func(string) int { return 1 }
	g.Expect(explain(node("a", 10))).To(Equal(ReasonNodeLimit))
	r.Label = "x"
	g.Expect(explain(node("a", 10))).To(Equal(ReasonNoLabel))
}

// No sequence of placements may use more than a node's resources, and Choose may
// return nil only when no node fits.
func TestChooseNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var nodes []*Node
		for i := range rapid.IntRange(1, 6).Draw(rt, "nodes") {
			nodes = append(nodes, node(fmt.Sprint(i), rapid.IntRange(0, 4000).Draw(rt, "cpu")))
		}
		for range rapid.IntRange(1, 40).Draw(rt, "tasks") {
			r := request(rapid.IntRange(0, 2000).Draw(rt, "request"))
			n := Choose(nodes, r)
			for _, other := range nodes {
				if n == nil && r.Feasible(other) {
					rt.Fatalf("no node chosen, but %s fits", other.ID)
				}
			}
			if n == nil {
				continue
			}
			r.Reserve(n)
			if n.Free.CPU < 0 || n.Free.MemoryMB < 0 {
				rt.Fatalf("%s is overcommitted: %+v", n.ID, n.Free)
			}
		}
	})
}
