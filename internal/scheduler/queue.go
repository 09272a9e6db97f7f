package scheduler

import (
	"cmp"
	"slices"
	"time"

	"greengagedeck/internal/job"
)

// waiting is a group of tasks to start.
type waiting struct {
	it    *item
	group job.TaskGroup
	// slack is how long the job can still wait and be done in time.
	slack time.Duration
}

// queue returns the groups that wait, the most urgent first.
func (c *Core) queue(now time.Duration) []waiting {
	var out []waiting
	for _, it := range c.open {
		for _, g := range it.WaitingGroups() {
			out = append(out, waiting{it: it, group: g, slack: it.slack(now)})
		}
	}
	slices.SortStableFunc(out, func(a, b waiting) int {
		return cmp.Or(
			cmp.Compare(a.it.Terms.Priority, b.it.Terms.Priority),
			cmp.Compare(a.class(), b.class()),
			cmp.Compare(a.slack, b.slack),
		)
	})
	return out
}

// Classes of waiting tasks within a priority, the first first.
const (
	classLong = iota
	classInTime
	classLate
)

// class puts tasks that last first, since every moment without them counts, and
// jobs that cannot be done in time any more last.
func (w waiting) class() int {
	switch {
	case w.it.Spec.Steps[w.group.Step].LongRunning:
		return classLong
	case w.slack >= 0:
		return classInTime
	default:
		return classLate
	}
}

// slack returns how long the job can still wait and be done in time, as far as
// estimates tell.
func (it *item) slack(now time.Duration) time.Duration {
	return it.arrived + it.objective() - it.RemainingCriticalPath() - now
}

// objective returns the time in which the job should be done.
func (it *item) objective() time.Duration {
	return it.Terms.Slack + time.Duration(it.Terms.StretchFactor*float64(it.whole()))
}

// whole returns the longest chain of estimated work of the whole job.
func (it *item) whole() time.Duration {
	longest := make([]time.Duration, len(it.Spec.Steps))
	var whole time.Duration
	for i, s := range it.Spec.Steps {
		for _, a := range s.After {
			longest[i] = max(longest[i], longest[a])
		}
		longest[i] += s.Estimate
		whole = max(whole, longest[i])
	}
	return whole
}
