package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// gangNodes returns two nodes on each of two racks, each with room for one task.
func gangNodes() []*Node {
	nodes := []*Node{node("a", 1000), node("b", 1000), node("c", 1000), node("d", 1000)}
	nodes[0].Rack, nodes[1].Rack = "r1", "r1"
	nodes[2].Rack, nodes[3].Rack = "r2", "r2"
	return nodes
}

// nodeIDs returns the IDs of nodes.
func nodeIDs(nodes []*Node) []string {
	var out []string
	for _, n := range nodes {
		out = append(out, n.ID)
	}
	return out
}

// Guards against a gang that is placed on nodes that it avoids because they are on a
// rack that fits all of it, while other nodes fit it too.
func TestGangUsesOtherNodesBeforeRackWithAvoidedOnes(t *testing.T) {
	g := NewWithT(t)
	r := request(1000)
	r.DataRack = "r1"
	r.Avoided = map[string]time.Duration{"a": time.Second}
	g.Expect(nodeIDs(ChooseGang(gangNodes(), r, 2, true))).To(ConsistOf("c", "d"))
	r.Avoided["c"] = time.Second
	g.Expect(nodeIDs(ChooseGang(gangNodes(), r, 2, true))).To(ConsistOf("b", "d"))
	r = request(1000)
	bad := gangNodes()
	bad[0].Avoid = true
	g.Expect(nodeIDs(ChooseGang(bad, r, 2, true))).To(ConsistOf("c", "d"))
}

// Guards against a gang that is placed on the same avoided nodes each time, while it
// has avoided others for longer.
func TestGangUsesNodesAvoidedTheLongestFirst(t *testing.T) {
	g := NewWithT(t)
	r := request(1000)
	r.Avoided = map[string]time.Duration{"a": 3 * time.Second, "b": 4 * time.Second, "c": time.Second, "d": 2 * time.Second}
	g.Expect(nodeIDs(ChooseGang(gangNodes(), r, 2, true))).To(ConsistOf("c", "d"))
	g.Expect(nodeIDs(ChooseGang(gangNodes(), r, 3, true))).To(ConsistOf("a", "c", "d"))
	g.Expect(ChooseGang(gangNodes(), r, 4, true)).To(HaveLen(4))
	g.Expect(ChooseGang(gangNodes(), r, 5, true)).To(BeNil())
}
