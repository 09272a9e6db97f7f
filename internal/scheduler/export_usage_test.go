package scheduler

import (
	"fmt"
	"time"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
)

// usageSum is the sum over the runs of one customer.
type usageSum struct {
	owner customer.ID
	used  job.Resources
	runs  int
}

// addUsage adds a run to the sum of its customer.
func addUsage(sums []usageSum, owner customer.ID, r job.Resources) []usageSum {
	for i := range sums {
		if sums[i].owner == owner {
			sums[i].used = sums[i].used.Add(r)
			sums[i].runs++
			return sums
		}
	}
	return append(sums, usageSum{owner, r, 1})
}

// CheckUsage compares what is counted of customers with a sum over all runs of all workers.
// It returns the first difference, or "".
func CheckUsage(c *Core) string {
	var buffer [16]usageSum
	sums := buffer[:0]
	var lasting job.Resources
	for id, ws := range c.workers {
		var sum job.Resources
		for _, r := range ws.Runs {
			owner := r.Customer
			if j := c.jobs[r.ID.Task.Job]; j != nil {
				owner = j.Terms.Customer
			}
			sums = addUsage(sums, owner, r.Resources)
			sum = sum.Add(r.Resources)
			if r.ExpectedDuration >= longRunningDuration {
				lasting = lasting.Add(r.Resources)
			}
		}
		if sum != ws.Used {
			return fmt.Sprintf("worker %s: %+v counted, its runs use %+v", id, ws.Used, sum)
		}
	}
	counted := 0
	for _, acc := range c.accounts.byID {
		if acc.runs > 0 || acc.used != (job.Resources{}) {
			counted++
		}
	}
	for _, s := range sums {
		if acc := c.accounts.byID[s.owner]; acc == nil || acc.used != s.used || acc.runs != s.runs {
			return fmt.Sprintf("customer %q: %d runs use %+v, counted %+v", s.owner, s.runs, s.used, acc)
		}
	}
	if counted != len(sums) || lasting != c.accounts.lasting {
		return fmt.Sprintf("%d customers counted, want %d, long-running %+v, want %+v", counted, len(sums), c.accounts.lasting, lasting)
	}
	return ""
}

// CountWaiting returns how many tasks of a customer wait.
func CountWaiting(c *Core, id customer.ID) int {
	c.waiting.update()
	return c.accounts.of(id).waiting
}

// SetObjective changes the time in which a job should be done.
func SetObjective(c *Core, id job.ID, objective time.Duration) {
	c.jobs[id].objective = objective
	c.waiting.jobChanged(c.jobs[id])
}
