package scheduler

import (
	"slices"

	"greengagedeck/internal/job"
)

// logWaiters are the callers that wait for versions of jobs to be logged.
type logWaiters map[job.ID][]logWaiter

// logWaiter waits for a version of a job to be logged.
type logWaiter struct {
	version int
	// outcome gets nil once the version is logged, or why it never will be.
	outcome chan error
}

// add adds a caller that waits for a version of a job.
func (l logWaiters) add(id job.ID, version int) logWaiter {
	w := logWaiter{version: version, outcome: make(chan error, 1)}
	l[id] = append(l[id], w)
	return w
}

// remove removes a caller that waits no more.
func (l logWaiters) remove(id job.ID, w logWaiter) {
	l.keep(id, func(other logWaiter) bool { return other != w })
}

// logged releases the callers that wait for versions that are logged now.
func (l logWaiters) logged(versions map[job.ID]int) {
	for id, version := range versions {
		l.keep(id, func(w logWaiter) bool {
			if w.version > version {
				return true
			}
			w.outcome <- nil
			return false
		})
	}
}

// takenBack tells all callers that wait for a job why it was taken back.
func (l logWaiters) takenBack(id job.ID, reason error) {
	l.keep(id, func(w logWaiter) bool {
		w.outcome <- reason
		return false
	})
}

// keep removes the callers that wait for a job but for those for which f returns true.
func (l logWaiters) keep(id job.ID, f func(logWaiter) bool) {
	waiting, ok := l[id]
	if !ok {
		return
	}
	waiting = slices.DeleteFunc(waiting, func(w logWaiter) bool { return !f(w) })
	if len(waiting) == 0 {
		delete(l, id)
		return
	}
	l[id] = waiting
}
