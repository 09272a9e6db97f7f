package placement

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"greengagedeck/internal/job"
)

// drawNodes returns random nodes, and equal copies of them.
func drawNodes(rt *rapid.T) (nodes, copies []*Node) {
	for i := range rapid.IntRange(0, 12).Draw(rt, "nodes") {
		n := Node{
			ID:            fmt.Sprint(i),
			Free:          job.Resources{CPU: rapid.IntRange(-500, 4000).Draw(rt, "cpu"), MemoryMB: rapid.IntRange(0, 400).Draw(rt, "memory")},
			Rack:          rapid.SampledFrom([]string{"r1", "r2"}).Draw(rt, "rack"),
			BusyUntil:     busyTimeStep * time.Duration(rapid.IntRange(0, 3).Draw(rt, "busy_steps")),
			Serving:       rapid.Bool().Draw(rt, "serving"),
			Avoid:         rapid.Bool().Draw(rt, "avoid"),
			BestEffortCPU: rapid.IntRange(0, 2).Draw(rt, "best_effort"),
			Isolated:      rapid.IntRange(0, 3).Draw(rt, "isolated") == 0,
			RecentStart:   rapid.Bool().Draw(rt, "recent_start"),
		}
		second := n
		nodes = append(nodes, &n)
		copies = append(copies, &second)
	}
	return nodes, copies
}

// drawAvoided returns some of the nodes as ones that a task avoids.
func drawAvoided(rt *rapid.T, nodes []*Node) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, n := range nodes {
		if since := rapid.IntRange(0, 3).Draw(rt, "avoided_since"); since > 0 {
			out[n.ID] = time.Duration(since)
		}
	}
	return out
}

// An Index chooses for every group of tasks the same nodes as repeated calls of
// Choose.
func TestIndexChoosesLikeChoose(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes, copies := drawNodes(rt)
		x := NewIndex(nodes)
		counts := map[string]int{}
		for range rapid.IntRange(1, 10).Draw(rt, "groups") {
			r := request(rapid.IntRange(0, 2000).Draw(rt, "request"))
			r.BestEffort = rapid.Bool().Draw(rt, "best_effort")
			r.Serving = rapid.Bool().Draw(rt, "serving")
			r.Suspect = rapid.Bool().Draw(rt, "suspect")
			r.Avoided = drawAvoided(rt, nodes)
			r.MaxPerNode = rapid.IntRange(0, 2).Draw(rt, "max_per_node")
			r.ExpectedEnd = busyTimeStep * time.Duration(rapid.IntRange(0, 4).Draw(rt, "end_steps"))
			r.DataRack = rapid.SampledFrom([]string{"", "r1"}).Draw(rt, "data_rack")
			// The index counts the tasks of a group itself, so the counts must not
			// change until it has chosen.
			before := maps.Clone(counts)
			r.TaskCount = func(id string) int { return before[id] }
			count := rapid.IntRange(1, 6).Draw(rt, "tasks")
			if one, want := x.Choose(r), Choose(copies, r); (one == nil) != (want == nil) || one != nil && one.ID != want.ID {
				rt.Fatalf("index chose %v, Choose %v", one, want)
			}
			mayFit := x.MayFit(r.Resources)
			got := x.ChooseGroup(r, count)
			if len(got) > 0 && !mayFit {
				rt.Fatalf("%+v fits, but MayFit reports false", r.Resources)
			}
			r.TaskCount = func(id string) int { return counts[id] }
			for i := range count {
				want := Choose(copies, r)
				if want == nil {
					if len(got) != i {
						rt.Fatalf("index chose %d nodes, want %d", len(got), i)
					}
					break
				}
				if i >= len(got) || got[i].ID != want.ID {
					rt.Fatalf("task %d: index chose %v, want %s", i, got, want.ID)
				}
				r.Reserve(want)
				counts[want.ID]++
			}
		}
	})
}

// A summary of nodes must explain why a task waits as a look at all nodes does, wherever
// it explains it at all.
func TestSummaryExplainsLikeExplain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes, _ := drawNodes(rt)
		for _, n := range nodes {
			n.Ejected = rapid.Bool().Draw(rt, "ejected")
		}
		r := request(rapid.IntRange(0, 2000).Draw(rt, "request"))
		r.AllowEjected = rapid.Bool().Draw(rt, "allow_ejected")
		r.MaxPerNode = rapid.IntRange(0, 1).Draw(rt, "max_per_node")
		r.TaskCount = func(string) int { return 0 }
		reason, free, ok := Summarize(nodes).Explain(r)
		if ok != (r.MaxPerNode == 0) {
			rt.Fatalf("explained: %v", ok)
		}
		if wantReason, wantFree := Explain(nodes, r); ok && (reason != wantReason || free != wantFree) {
			rt.Fatalf("%s with %d free, want %s with %d", reason, free, wantReason, wantFree)
		}
	})
}

// Nodes that are added, changed and removed one by one must be found like those of a new
// index.
func TestChangedIndexChoosesLikeNewOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes, _ := drawNodes(rt)
		x := NewIndex(nil)
		kept := map[string]*Node{}
		for step := range rapid.IntRange(1, 30).Draw(rt, "steps") {
			if len(nodes) == 0 {
				return
			}
			drawn := *rapid.SampledFrom(nodes).Draw(rt, "node")
			drawn.Free.CPU += 700 * step
			switch n := kept[drawn.ID]; {
			case n == nil:
				kept[drawn.ID] = &drawn
				x.Add(&drawn)
			case rapid.IntRange(0, 3).Draw(rt, "remove") == 0:
				x.Remove(n)
				delete(kept, drawn.ID)
			default:
				x.Update(n, drawn)
			}
			var list []*Node
			for _, n := range kept {
				list = append(list, n)
			}
			r := request(rapid.IntRange(0, 9000).Draw(rt, "request"))
			got, want := x.Choose(r), Choose(list, r)
			if got != want || len(x.Nodes()) != len(kept) || want != nil && !x.MayFit(r.Resources) {
				rt.Fatalf("index of %d chose %v, want %v of %d", len(x.Nodes()), got, want, len(kept))
			}
		}
	})
}
