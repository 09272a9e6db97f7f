package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/fairshare"
	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// Guards against customers that come out of turn, and groups that are left out or come twice
// when classes and customers change. Load: up to 40 random submissions, cancels, starts and
// ends of four customers with different shares, some jobs excess.
func TestTurnsFollowPriorityClassShareAndUrgency(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		times := Times{Now: time.Hour, Wall: 1_700_000_000_000}
		c := NewCore(Options{Pool: "p", StatusRetention: time.Minute, Logger: zerolog.Nop()}, times.Now)
		c.UpdateWorkers([]worker.Listing{{Incarnation: job.Incarnation{ID: "w", StartedAt: 1}, Address: "w", Pool: "p", Capacity: job.Resources{CPU: 1000}}}, nil, times)
		c.PollSucceeded(c.Poll("w", times.Now, time.Second), worker.Report{StartedAt: 1}, times)
		c.refreshWorkers(times.Now)
		var rows []customer.Row
		for i, id := range []customer.ID{"a", "b", "c"} {
			rows = append(rows, customer.Row{Customer: customer.Customer{ID: id, Weight: float64(i + 1)}})
			c.accounts.of(id).used.CPU, c.accounts.of(id).runs = rapid.IntRange(1, 9).Draw(rt, "used")*100+i, 1
		}
		c.accounts.of("").runs = 1
		directory := customer.NewDirectory(rows)
		for i := range rapid.IntRange(1, 40).Draw(rt, "events") {
			times.Now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "pause_ms")) * time.Millisecond
			if rapid.IntRange(0, 5).Draw(rt, "reload") == 0 {
				c.SetCustomers(nil)
			}
			c.SetCustomers(directory)
			s := drawSubmission(rt, i, times)
			c.Submit(s, times)
			j := c.jobs[s.Spec.ID]
			j.excess = !j.lasting && rapid.Bool().Draw(rt, "excess")
			if rapid.Bool().Draw(rt, "change") {
				changeRuns(rt, c, c.jobs[job.ID(s.Spec.ID)])
			}
			if got, want := describe(collectTurns(c, times.Now)), describe(inTurns(c, times.Now)); !slices.Equal(got, want) {
				rt.Fatalf("order %v, want %v", got, want)
			}
		}
	})
}

// inTurns returns the waiting groups of all open jobs in the order of turns that place
// nothing: by priority and class, and then the first group of the customer that is next.
func inTurns(c *Core, now time.Duration) []pendingGroup {
	type turnClass struct{ priority, class int }
	waiting := map[turnClass]map[customer.ID][]pendingGroup{}
	for j := range c.openJobs.all() {
		for _, pg := range j.pendingGroups() {
			k := turnClass{j.Terms.Priority, pg.class(now)}
			if waiting[k] == nil {
				waiting[k] = map[customer.ID][]pendingGroup{}
			}
			waiting[k][j.Terms.Customer] = append(waiting[k][j.Terms.Customer], pg)
		}
	}
	classes := slices.SortedFunc(maps.Keys(waiting), func(a, b turnClass) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.class, b.class))
	})
	var out []pendingGroup
	for _, k := range classes {
		out = append(out, mergeTurns(c, waiting[k])...)
	}
	return out
}

// mergeTurns merges the groups of one class. Customers that use no more than their part of the
// pool go by the urgency of their next group, the others by how much more they use.
func mergeTurns(c *Core, byCustomer map[customer.ID][]pendingGroup) []pendingGroup {
	excess := func(pg pendingGroup) float64 {
		acc := c.accountOf(pg.job)
		return max(0, fairshare.Share(acc.used, c.index.capacity)/c.accounts.weights.Of(acc.id)-c.accounts.fairShare())
	}
	for _, list := range byCustomer {
		slices.SortStableFunc(list, func(a, b pendingGroup) int {
			switch {
			case a.job.excess != b.job.excess:
				return compareBool(a.job.excess, b.job.excess)
			case a.less(&b):
				return -1
			default:
				return 1
			}
		})
	}
	var out []pendingGroup
	for len(byCustomer) > 0 {
		next := slices.MinFunc(slices.Collect(maps.Keys(byCustomer)), func(x, y customer.ID) int {
			a, b := byCustomer[x][0], byCustomer[y][0]
			return cmp.Or(cmp.Compare(excess(a), excess(b)), cmp.Compare(a.latestStart, b.latestStart), cmp.Compare(a.sequence, b.sequence))
		})
		out = append(out, byCustomer[next][0])
		if byCustomer[next] = byCustomer[next][1:]; len(byCustomer[next]) == 0 {
			delete(byCustomer, next)
		}
	}
	return out
}
