package scheduler

import (
	"cmp"
	"slices"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// pendingGroup is a group of tasks to start.
type pendingGroup struct {
	job   *trackedJob
	group job.TaskGroup
	// latestStart is when the group must start for the job to finish in time,
	// going by the estimates.
	latestStart time.Duration
	// longRunning is set for tasks that run until their job is cancelled.
	longRunning bool
}

// slack returns how much longer the group can wait without making its job late.
func (pg pendingGroup) slack(now time.Duration) time.Duration { return pg.latestStart - now }

// step returns the step that the group's tasks belong to.
func (pg pendingGroup) step() worker.StepKey { return worker.StepKeyOf(pg.task(0)) }

// task returns the group's task with index k.
func (pg pendingGroup) task(k int) job.TaskID {
	return job.TaskID{Job: pg.job.Spec.ID, Occurrence: pg.group.Occurrence, Step: pg.group.Step, Index: k}
}

// compare orders groups by priority and urgency, except that it does not tell
// late groups from others. Groups of one job keep their order.
func (pg pendingGroup) compare(other pendingGroup) int {
	return cmp.Or(
		cmp.Compare(pg.job.Terms.Priority, other.job.Terms.Priority),
		compareBool(other.longRunning, pg.longRunning),
		cmp.Compare(pg.latestStart, other.latestStart),
		cmp.Compare(pg.job.sequence, other.job.sequence),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
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
func (pg pendingGroup) class(now time.Duration) int {
	switch {
	case pg.longRunning:
		return classLongRunning
	case pg.latestStart >= now:
		return classOnTime
	default:
		return classLate
	}
}

// waitQueue holds the groups of tasks that wait. Only the groups of jobs that
// have changed are looked up and sorted again, so that the many jobs that wait
// unchanged in a full pool cost a plan next to nothing.
type waitQueue struct {
	// groups are in the order of pendingGroup.compare.
	groups []pendingGroup
	// changed are the jobs whose groups may have changed.
	changed []*trackedJob
	// merged and ordered are buffers for the next result.
	merged, ordered []pendingGroup
}

// jobChanged records that the waiting groups of a job may have changed.
func (q *waitQueue) jobChanged(j *trackedJob) {
	if !j.requeue {
		j.requeue = true
		q.changed = append(q.changed, j)
	}
}

// remove drops a job that is not run.
func (q *waitQueue) remove(j *trackedJob) {
	q.changed = slices.DeleteFunc(q.changed, func(other *trackedJob) bool { return other == j })
	q.groups = slices.DeleteFunc(q.groups, func(pg pendingGroup) bool { return pg.job == j })
}

// update applies the changes of jobs to groups.
func (q *waitQueue) update() {
	if len(q.changed) == 0 {
		return
	}
	var fresh []pendingGroup
	for _, j := range q.changed {
		fresh = append(fresh, j.pendingGroups()...)
	}
	slices.SortStableFunc(fresh, pendingGroup.compare)
	out := q.merged[:0]
	for _, pg := range q.groups {
		if pg.job.requeue {
			continue
		}
		for len(fresh) > 0 && fresh[0].compare(pg) < 0 {
			out = append(out, fresh[0])
			fresh = fresh[1:]
		}
		out = append(out, pg)
	}
	out = append(out, fresh...)
	clear(q.groups)
	q.groups, q.merged = out, q.groups
	for _, j := range q.changed {
		j.requeue = false
	}
	clear(q.changed)
	q.changed = q.changed[:0]
}

// inOrder returns the groups in the order in which they are placed. The result
// is valid until the next call.
func (q *waitQueue) inOrder(now time.Duration) []pendingGroup {
	q.update()
	q.ordered = q.ordered[:0]
	for rest := q.groups; len(rest) > 0; {
		n := slices.IndexFunc(rest, func(pg pendingGroup) bool { return pg.job.Terms.Priority != rest[0].job.Terms.Priority })
		if n < 0 {
			n = len(rest)
		}
		q.ordered = appendByClass(q.ordered, rest[:n], now)
		rest = rest[n:]
	}
	return q.ordered
}

// appendByClass appends the groups of one priority by their classes. Among the
// groups that are not long-running the late ones come first in groups.
func appendByClass(out, groups []pendingGroup, now time.Duration) []pendingGroup {
	isClass := func(class int) func(pendingGroup) bool {
		return func(pg pendingGroup) bool { return pg.class(now) == class }
	}
	firstShort := indexOrLen(groups, func(pg pendingGroup) bool { return !pg.longRunning })
	short := groups[firstShort:]
	firstOnTime := indexOrLen(short, isClass(classOnTime))
	out = append(out, groups[:firstShort]...)
	out = append(out, short[firstOnTime:]...)
	return append(out, short[:firstOnTime]...)
}

// indexOrLen returns the index of the first group for which f holds, or the
// number of groups.
func indexOrLen(groups []pendingGroup, f func(pendingGroup) bool) int {
	if i := slices.IndexFunc(groups, f); i >= 0 {
		return i
	}
	return len(groups)
}

// queue returns the groups that wait, the most urgent first.
func (c *Core) queue(now time.Duration) []pendingGroup { return c.waiting.inOrder(now) }

// pendingGroups returns the groups of a job that wait.
func (j *trackedJob) pendingGroups() []pendingGroup {
	groups := j.WaitingGroups()
	if len(groups) == 0 {
		return nil
	}
	latestStart := j.arrived + j.objective - j.RemainingCriticalPath()
	out := make([]pendingGroup, 0, len(groups))
	for _, g := range groups {
		out = append(out, pendingGroup{
			job:         j,
			group:       g,
			latestStart: latestStart,
			longRunning: j.Spec.Steps[g.Step].LongRunning,
		})
	}
	return out
}

// objective returns the time in which a job should be done.
func objective(s *job.Spec, t job.Terms) time.Duration {
	return t.Slack + time.Duration(t.StretchFactor*float64(criticalPath(s)))
}

// criticalPath returns the longest chain of estimated durations over all steps
// of a job.
func criticalPath(s *job.Spec) time.Duration {
	pathTo := make([]time.Duration, len(s.Steps))
	var longestPath time.Duration
	for i := range s.Steps {
		for _, a := range s.Steps[i].After {
			pathTo[i] = max(pathTo[i], pathTo[a])
		}
		pathTo[i] += s.Steps[i].Estimate
		longestPath = max(longestPath, pathTo[i])
	}
	return longestPath
}
