package placement

import (
	"testing"

	. "github.com/onsi/gomega"
)

// suspectRequest returns the request of a task that may crash its node.
func suspectRequest() Request {
	r := request(100)
	r.Suspect = true
	return r
}

// Guards against a task that is placed beside one that may crash their node.
func TestIsolatedNodeTakesNoTask(t *testing.T) {
	g := NewWithT(t)
	a, b := node("a", 1000), node("b", 2000)
	g.Expect(Choose([]*Node{a, b}, request(100)).ID).To(Equal("a"))
	a.Isolated = true
	for _, r := range []Request{request(100), suspectRequest()} {
		g.Expect(Choose([]*Node{a, b}, r).ID).To(Equal("b"))
		g.Expect(NewIndex([]*Node{a, b}).Choose(r).ID).To(Equal("b"))
		g.Expect(Choose([]*Node{a}, r)).To(BeNil())
		g.Expect(NewIndex([]*Node{a}).ChooseGroup(r, 1)).To(BeEmpty())
		reason, _ := Explain([]*Node{a}, r)
		g.Expect(reason).To(Equal(ReasonIsolated))
	}
}

// Guards against a plan that places another task on the node of a suspect.
func TestSuspectIsolatesItsNode(t *testing.T) {
	g := NewWithT(t)
	n := node("a", 1000)
	suspectRequest().Reserve(n)
	g.Expect(Choose([]*Node{n}, request(100))).To(BeNil())
	nodes := []*Node{node("a", 1000), node("b", 1000)}
	g.Expect(nodeIDs(NewIndex(nodes).ChooseGroup(suspectRequest(), 3))).To(ConsistOf("a", "b"))
	g.Expect(ChooseGang([]*Node{node("a", 1000)}, suspectRequest(), 2, false)).To(BeNil())
}

// Guards against a suspect that is placed beside a task that has just started: it
// would not be known which of them crashed the node.
func TestSuspectPrefersNodeWithoutRecentStart(t *testing.T) {
	g := NewWithT(t)
	a, b := node("a", 1000), node("b", 2000)
	request(100).Reserve(a)
	g.Expect(a.RecentStart).To(BeTrue())
	g.Expect(Choose([]*Node{a, b}, request(100)).ID).To(Equal("a"))
	g.Expect(Choose([]*Node{a, b}, suspectRequest()).ID).To(Equal("b"))
	g.Expect(Choose([]*Node{a}, suspectRequest()).ID).To(Equal("a"))
}
