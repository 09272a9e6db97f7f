package scheduler

import (
	"cmp"
	"slices"
	"time"

	"greengagedeck/internal/job"
)

// pendingGroup is a group of tasks to start.
type pendingGroup struct {
	job   *trackedJob
	group job.TaskGroup
	// slack is how much longer the job can wait and still finish in time.
	slack time.Duration
}

// queue returns the groups that wait, the most urgent first.
func (c *Core) queue(now time.Duration) []pendingGroup {
	var out []pendingGroup
	for _, j := range c.openJobs {
		for _, g := range j.WaitingGroups() {
			out = append(out, pendingGroup{job: j, group: g, slack: j.slack(now)})
		}
	}
	slices.SortStableFunc(out, func(a, b pendingGroup) int {
		return cmp.Or(
			cmp.Compare(a.job.Terms.Priority, b.job.Terms.Priority),
			cmp.Compare(a.class(), b.class()),
			cmp.Compare(a.slack, b.slack),
		)
	})
	return out
}

// Classes of waiting tasks within a priority, in the order in which they are
// placed.
const (
	classLongRunning = iota
	classOnTime
	classLate
)

// class puts long-running tasks first, since every moment without them counts,
// and jobs that can no longer finish in time last.
func (pg pendingGroup) class() int {
	switch {
	case pg.job.Spec.Steps[pg.group.Step].LongRunning:
		return classLongRunning
	case pg.slack >= 0:
		return classOnTime
	default:
		return classLate
	}
}

// slack returns how much longer the job can wait and still finish in time,
// going by the estimates.
func (j *trackedJob) slack(now time.Duration) time.Duration {
	return j.arrived + j.objective() - j.RemainingCriticalPath() - now
}

// objective returns the time in which the job should be done.
func (j *trackedJob) objective() time.Duration {
	return j.Terms.Slack + time.Duration(j.Terms.StretchFactor*float64(j.criticalPath()))
}

// criticalPath returns the longest chain of estimated durations over all steps
// of the job.
func (j *trackedJob) criticalPath() time.Duration {
	pathTo := make([]time.Duration, len(j.Spec.Steps))
	var longestPath time.Duration
	for i, s := range j.Spec.Steps {
		for _, a := range s.After {
			pathTo[i] = max(pathTo[i], pathTo[a])
		}
		pathTo[i] += s.Estimate
		longestPath = max(longestPath, pathTo[i])
	}
	return longestPath
}
