package scheduler

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"greengagedeck/internal/job"
)

// groupWait is since when at least one task of a group has waited at any time.
type groupWait struct {
	occurrence, step int
	since            time.Duration
}

// compare orders waits by occurrence and step.
func (w groupWait) compare(other groupWait) int {
	return cmp.Or(cmp.Compare(w.occurrence, other.occurrence), cmp.Compare(w.step, other.step))
}

// trackWaits records since when groups of the job wait, after a plan that has considered
// the job.
func (j *trackedJob) trackWaits(now time.Duration) {
	var waits []groupWait
	for _, pg := range j.queued {
		if j.settled || !pg.waits() {
			continue
		}
		waits = append(waits, groupWait{pg.group.Occurrence, pg.group.Step, j.waitingSince(pg.group, now)})
	}
	slices.SortFunc(waits, groupWait.compare)
	j.waits = waits
}

// waitingSince returns since when a group that waits has done so. The first groups of a
// job that is not repeated have waited since it arrived.
func (j *trackedJob) waitingSince(g job.TaskGroup, now time.Duration) time.Duration {
	if i, ok := slices.BinarySearchFunc(j.waits, groupWait{occurrence: g.Occurrence, step: g.Step}, groupWait.compare); ok {
		return j.waits[i].since
	}
	if j.Phase == job.Queued && j.Spec.Repeat == 0 {
		return j.arrived
	}
	return now
}

// waitingGroups returns the job's groups of tasks that can start. Unlike the queue it is
// up to date at any time and changes nothing.
func (j *trackedJob) waitingGroups() iter.Seq[job.TaskGroup] {
	return func(yield func(job.TaskGroup) bool) {
		if j.requeue {
			for _, g := range j.WaitingGroups() {
				if !yield(g) {
					return
				}
			}
			return
		}
		for _, pg := range j.queued {
			if !yield(pg.group) {
				return
			}
		}
	}
}
