package placement

import (
	"cmp"
	"slices"
	"sort"
)

// ChooseGang returns a node for each of count equal tasks, or nil when they do
// not all fit. It uses no more of the nodes that are avoided than are needed, those
// that have been avoided the longest first. With sameRack set it uses a single rack
// if one of the nodes used fits all tasks.
func ChooseGang(nodes []*Node, r Request, count int, sameRack bool) []*Node {
	chosen := chooseGang(nodes, r, count, sameRack)
	usual, avoided := r.splitAvoided(nodes)
	if chosen == nil || len(avoided) == 0 {
		return chosen
	}
	needed := sort.Search(len(avoided), func(n int) bool {
		return chooseForAll(slices.Concat(usual, avoided[:n]), r, count) != nil
	})
	return chooseGang(slices.Concat(usual, avoided[:needed]), r, count, sameRack)
}

// splitAvoided returns the nodes that are not avoided, and the others in the order in
// which they are to be used.
func (r Request) splitAvoided(nodes []*Node) (usual, avoided []*Node) {
	for _, n := range nodes {
		if r.avoids(n) {
			avoided = append(avoided, n)
		} else {
			usual = append(usual, n)
		}
	}
	slices.SortFunc(avoided, func(a, b *Node) int {
		return cmp.Or(r.compareAvoided(a, b), cmp.Compare(a.ID, b.ID))
	})
	return usual, avoided
}

// avoids reports whether a node is to be used only when no other fits.
func (r Request) avoids(n *Node) bool { return n.bad() || r.Avoided[n.ID] > 0 }

// chooseGang returns a node for each of count equal tasks, or nil when they do not
// all fit, on a single rack if sameRack is set and one fits all of them.
func chooseGang(nodes []*Node, r Request, count int, sameRack bool) []*Node {
	if sameRack {
		for _, rack := range racks(nodes, r.DataRack) {
			inRack := slices.DeleteFunc(slices.Clone(nodes), func(n *Node) bool { return n.Rack != rack })
			if chosen := chooseForAll(inRack, r, count); chosen != nil {
				return chosen
			}
		}
	}
	return chooseForAll(nodes, r, count)
}

// racks returns the racks of the nodes in sorted order, the preferred one first.
func racks(nodes []*Node, preferred string) []string {
	var out []string
	for _, n := range nodes {
		if !slices.Contains(out, n.Rack) {
			out = append(out, n.Rack)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(rackRank(a, preferred), rackRank(b, preferred)), cmp.Compare(a, b))
	})
	return out
}

func rackRank(rack, preferred string) int {
	if rack == preferred {
		return 0
	}
	return 1
}

// chooseForAll chooses a node for one task after the other. It reserves resources
// on copies of the nodes, so that the nodes themselves stay unchanged.
func chooseForAll(nodes []*Node, r Request, count int) []*Node {
	copies := make([]Node, len(nodes))
	scratch := make([]*Node, len(nodes))
	byID := make(map[string]*Node, len(nodes))
	for i, n := range nodes {
		copies[i] = *n
		scratch[i] = &copies[i]
		byID[n.ID] = n
	}
	placed := map[string]int{}
	countBefore := r.TaskCount
	r.TaskCount = func(id string) int { return countBefore(id) + placed[id] }
	out := make([]*Node, 0, count)
	for range count {
		n := Choose(scratch, r)
		if n == nil {
			return nil
		}
		r.Reserve(n)
		placed[n.ID]++
		out = append(out, byID[n.ID])
	}
	return out
}
