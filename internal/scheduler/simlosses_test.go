package scheduler_test

import (
	"fmt"
	"strings"
	"time"

	"greengagedeck/internal/job"
)

// lossKind is how a task loses its worker.
type lossKind int

// The kinds of losses.
const (
	lossCrash lossKind = iota
	lossCut
	lossCrashAndCut
	lossKinds
)

func (k lossKind) String() string {
	return [...]string{"crash", "cut off", "crash, then cut off"}[k]
}

// lostRun is the last run of a task that has lost its worker.
type lostRun struct {
	run    job.RunID
	worker *simWorker
	at     time.Duration
	kind   lossKind
}

// simLosses measure how long tasks wait after they have lost their worker, until their next run
// starts.
type simLosses struct {
	w    *simWorld
	open map[job.TaskID]lostRun
	// waits are, by kind, how long tasks waited, and unended counts the tasks that waited still
	// when the schedule ended.
	waits   [lossKinds][]time.Duration
	unended int
}

// workerLost records that the runs of a worker are lost.
func (l *simLosses) workerLost(s *simWorker, kind lossKind) {
	if l.open == nil {
		return
	}
	for t, r := range s.running {
		if _, lost := l.open[t]; !lost {
			l.open[t] = lostRun{r.id, s, l.w.now, kind}
		}
	}
	if kind != lossCut {
		return
	}
	for t, lost := range l.open {
		if lost.worker == s && lost.kind == lossCrash {
			lost.kind = lossCrashAndCut
			l.open[t] = lost
		}
	}
}

// workerReached records that the runs which are still active on a worker are not lost.
func (l *simLosses) workerReached(s *simWorker) {
	for t, lost := range l.open {
		if r := s.running[t]; r != nil && r.id == lost.run {
			delete(l.open, t)
		}
	}
}

// started records a start. One of a run before the loss, carried out late, ends no wait.
func (l *simLosses) started(r *simRun) {
	lost, ok := l.open[r.id.Task]
	if !ok || r.id.Number <= lost.run.Number {
		return
	}
	delete(l.open, r.id.Task)
	l.waits[lost.kind] = append(l.waits[lost.kind], l.w.now-lost.at)
}

// ended records the end of a run: the task of one that is done waits for nothing.
func (l *simLosses) ended(r *simRun, reason job.EndReason) {
	if reason == job.EndDone {
		delete(l.open, r.id.Task)
	}
}

// pending returns how many tasks of jobs that go on wait for their next run.
func (l *simLosses) pending() int {
	n := 0
	for t := range l.open {
		if phase, known := l.w.holder.core.Lookup(t.Job); known && !phase.Final() {
			n++
		}
	}
	return n
}

// add adds the waits of another world.
func (l *simLosses) add(o simLosses) {
	for k := range l.waits {
		l.waits[k] = append(l.waits[k], o.waits[k]...)
	}
	l.unended += o.unended
}

func (l *simLosses) String() string {
	var out strings.Builder
	for k, waits := range l.waits {
		longest := time.Duration(0)
		for _, d := range waits {
			longest = max(longest, d)
		}
		fmt.Fprintf(&out, "%s: %d tasks waited %v in the mean, %v at most; ", lossKind(k), len(waits), mean(waits).Round(time.Millisecond), longest)
	}
	fmt.Fprintf(&out, "%d waited still at the end", l.unended)
	return out.String()
}
