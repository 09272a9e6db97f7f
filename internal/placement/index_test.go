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
