package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

const (
	// lostAfter is how long a task may have no active run, if there was room for it
	// and nothing was disturbed for calmTime.
	lostAfter = 9 * time.Second
	calmTime  = 7 * time.Second
	// jobLostAfter is how long a job of tasks that end may then have none active.
	jobLostAfter = 3 * time.Second
	// roomFor is for how many tasks of the step there must be room.
	roomFor = 2
	// livenessInterval is the time between two checks.
	livenessInterval = 100 * time.Millisecond
	// untilCancelled is the duration of a long-running task that does not fail.
	untilCancelled = 1000 * time.Hour
)

// lostTask is a violation of the liveness invariant LOST: a task that has no active
// run although there is room for it.
type lostTask struct {
	idle time.Duration
	text string
}

// liveness checks that tasks run again in time. Its caller marks disturbances.
type liveness struct {
	w *simWorld
	// disturbedAt is when anything was last disturbed, and token the last holder.
	disturbedAt time.Duration
	token       int64
	// activeAt is when a task last had an active run, or became known, and
	// jobActiveAt when any task of a job had one or its next step's turn came.
	activeAt    map[job.TaskID]time.Duration
	jobActiveAt map[job.ID]time.Duration
	stepsDone   map[job.ID]int
	// noRoomAt is when there was last no room for a step.
	noRoomAt map[worker.StepKey]time.Duration
	// heldUntil is until when a task had to wait for its last run to have ended for
	// certain.
	heldUntil map[job.TaskID]time.Duration
	cordoned  map[string]bool
	// steady is set if long-running tasks do not fail.
	steady bool
	// strict is set if jobs of tasks that end have to go on after jobLostAfter, and
	// tasks that are held by a worker that is well count as lost.
	strict bool
	// excusedAt is when a task last had to wait for a worker that does not answer, or
	// had just been placed.
	excusedAt map[job.TaskID]time.Duration
	// lost are the longest violations by cause, and waits the longest waits that
	// would be violations if an earlier run could not still be active.
	lost, waits map[string]lostTask
}

func newLiveness(w *simWorld) *liveness {
	return &liveness{
		w:           w,
		activeAt:    map[job.TaskID]time.Duration{},
		jobActiveAt: map[job.ID]time.Duration{},
		stepsDone:   map[job.ID]int{},
		noRoomAt:    map[worker.StepKey]time.Duration{},
		heldUntil:   map[job.TaskID]time.Duration{},
		cordoned:    map[string]bool{},
		excusedAt:   map[job.TaskID]time.Duration{},
		lost:        map[string]lostTask{},
		waits:       map[string]lostTask{},
	}
}

// run advances the virtual time and checks the invariant meanwhile.
func (l *liveness) run(d time.Duration) {
	for end := l.w.now + d; l.w.now < end; {
		l.w.run(livenessInterval)
		l.check()
	}
}

// disturb records a disturbance now.
func (l *liveness) disturb() { l.disturbedAt = l.w.now }

// check checks the invariant for every job that was not cancelled.
func (l *liveness) check() {
	w := l.w
	if l.disturbedNow() {
		l.disturb()
	}
	l.noteActive()
	calm := w.now-l.disturbedAt >= calmTime
	for _, id := range w.ids {
		if _, cancelled := w.cancelled[id]; cancelled {
			continue
		}
		if w.specs[id].Steps[0].LongRunning {
			l.checkLongRunning(id, calm)
		} else {
			l.checkJob(id, calm)
		}
	}
}

// disturbedNow reports whether calls are lost, the log or the list is frozen, a
// worker is cut off, or no holder or a new one is in charge.
func (l *liveness) disturbedNow() bool {
	w := l.w
	taken := w.token != l.token
	l.token = w.token
	return taken || w.lostRate+w.delayedRate+w.unansweredRate > 0 || w.logDown || w.frozenList != nil || !w.holder.active() ||
		slices.ContainsFunc(w.workers, func(s *simWorker) bool { return s.partitioned }) ||
		slices.ContainsFunc(w.superseded, func(h *simHolder) bool { return h.active() })
}

// noteActive records which tasks have an active run.
func (l *liveness) noteActive() {
	for _, s := range l.w.workers {
		if !s.up {
			continue
		}
		for t, r := range s.running {
			l.activeAt[t] = l.w.now
			l.jobActiveAt[t.Job] = l.w.now
			if l.steady && r.step.LongRunning && !r.stopping {
				r.endsAt = l.w.now + untilCancelled
			}
		}
	}
}

// checkLongRunning checks each task of a long-running job.
func (l *liveness) checkLongRunning(id job.ID, calm bool) {
	room := l.roomLasted(worker.StepKey{Job: id})
	for k := range l.w.specs[id].Steps[0].Count {
		t := job.TaskID{Job: id, Index: k}
		if l.activeAt[t] == 0 {
			l.activeAt[t] = l.w.now
		}
		idle := l.w.now - l.activeAt[t]
		if l.strict && idle > 0 {
			l.excuse(t)
		}
		if calm && room && idle >= lostAfter {
			l.report(t, idle)
		}
	}
}

// checkJob checks that a job with a task whose turn has come has a run.
func (l *liveness) checkJob(id job.ID, calm bool) {
	spec := l.w.specs[id]
	if slices.ContainsFunc(spec.Steps, func(s job.Step) bool { return s.Gang }) {
		return
	}
	phase, known := l.w.holder.core.Lookup(id)
	if known && phase.Final() {
		return
	}
	next, done := l.nextTask(id)
	if done == len(spec.Steps) {
		return
	}
	if l.jobActiveAt[id] == 0 || !l.strict && done != l.stepsDone[id] {
		l.stepsDone[id] = done
		l.jobActiveAt[id] = l.w.now
	}
	allowed := lostAfter
	if l.strict {
		allowed = jobLostAfter
	}
	room := l.roomLasted(worker.StepKeyOf(next))
	idle := l.w.now - l.jobActiveAt[id]
	if l.strict && idle > 0 {
		l.excuse(next)
	}
	if calm && room && idle >= allowed {
		l.report(next, idle)
	}
}

// nextTask returns the first task of a job that is not done, as far as the holder
// knows, and how many steps are done.
func (l *liveness) nextTask(id job.ID) (next job.TaskID, done int) {
	found := false
	for i, st := range l.w.specs[id].Steps {
		all := true
		for k := range st.Count {
			t := job.TaskID{Job: id, Step: i, Index: k}
			if scheduler.TaskDone(l.w.holder.core, t) {
				continue
			}
			all = false
			if !found {
				next, found = t, true
			}
		}
		if all {
			done++
		}
	}
	return next, done
}

// roomLasted reports whether there has been room for roomFor tasks of a step for
// calmTime.
func (l *liveness) roomLasted(k worker.StepKey) bool {
	if l.noRoomAt[k] == 0 || l.room(k) < roomFor {
		l.noRoomAt[k] = l.w.now
	}
	return l.w.now-l.noRoomAt[k] >= calmTime
}

// room returns for how many tasks of a step the workers in service have room, by
// what runs there.
func (l *liveness) room(k worker.StepKey) int {
	step := l.w.specs[k.Job].Steps[k.Step]
	n := 0
	for _, s := range l.w.workers {
		if !s.up || !s.listed || s.draining || s.partitioned || l.cordoned[s.id] || step.Label != "" && !slices.Contains(s.labels, step.Label) {
			continue
		}
		free, ofStep := s.capacity, 0
		for t, r := range s.running {
			free = free.Sub(r.step.ReservedResources())
			if worker.StepKeyOf(t) == k {
				ofStep++
			}
		}
		fits := 0
		for need := step.ReservedResources(); fits < roomFor && need.FitsIn(free); fits++ {
			free = free.Sub(need)
		}
		if step.MaxPerWorker > 0 {
			fits = max(0, min(fits, step.MaxPerWorker-ofStep))
		}
		n += fits
	}
	return n
}

// report records a violation, or a wait that safety demands, the longest for each
// cause.
func (l *liveness) report(t job.TaskID, idle time.Duration) {
	cause, detail, excused := l.excuse(t)
	into := l.lost
	if excused {
		into = l.waits
	}
	if idle <= into[cause].idle {
		return
	}
	at := (l.w.now - time.Hour).Seconds()
	text := fmt.Sprintf("%8.3f LOST %s inactive for %v, undisturbed for %v: %s", at, t, idle, l.w.now-l.disturbedAt, detail)
	into[cause] = lostTask{idle, text}
}

// excuse returns why a task waits, and whether safety demands that it does, or in the
// strict case did until jobLostAfter ago.
func (l *liveness) excuse(t job.TaskID) (cause, detail string, excused bool) {
	cause, detail, until := scheduler.WaitCause(l.w.holder.core, t, l.w.now)
	if cause == scheduler.CauseEarlierLease {
		if sent, ok := l.w.unansweredStart[scheduler.WorkerOf(l.w.holder.core, t)]; ok {
			until = max(until, scheduler.LateLeaseEnd(l.w.holder.core, sent))
		}
	}
	l.heldUntil[t] = max(l.heldUntil[t], until)
	excused = l.w.now <= l.heldUntil[t]
	if !l.strict {
		return cause, detail, excused
	}
	if excused && (cause == scheduler.CauseStarting || !l.heldByWellWorker(t)) {
		l.excusedAt[t] = l.w.now
	}
	return cause, detail, l.w.now-l.excusedAt[t] < jobLostAfter
}

// heldByWellWorker reports whether a task has a run at a worker that answers calls.
func (l *liveness) heldByWellWorker(t job.TaskID) bool {
	id := scheduler.WorkerOf(l.w.holder.core, t)
	return slices.ContainsFunc(l.w.workers, func(s *simWorker) bool {
		return s.id == id && s.up && !s.partitioned && !s.addressReused && s.replacedBy == nil
	})
}

// TestTasksRunAgainAfterFaults runs a pool through the faults of TestInvariantsUnderRandomFaults and
// through workers that are gone for good or restart repeatedly, addresses that are
// reused, lists that are frozen, and starts that are carried out late. No task may
// wait while there is room for it.
func TestTasksRunAgainAfterFaults(t *testing.T) {
	t.Parallel()
	lost, waits := newWaitSummary(), newWaitSummary()
	for i := range *schedules {
		seed := *scheduleSeed + uint64(i)
		w := newSimWorld(t, seed, 4+int(seed%4))
		l := newLiveness(w)
		runLivenessSchedule(l)
		if len(w.violations) > 0 {
			t.Errorf("schedule %d: %d invariant violations, first:\n%s", seed, len(w.violations), w.violations[0])
		}
		lost.add(seed, l.lost)
		waits.add(seed, l.waits)
	}
	t.Logf("waits for runs that may still be active:\n%s", waits)
	if len(lost.count) > 0 {
		t.Fatalf("tasks wait although there is room:\n%s", lost)
	}
}

// waitSummary counts the schedules in which tasks waited and keeps the longest wait,
// by cause.
type waitSummary struct {
	count map[string]int
	worst map[string]lostTask
}

func newWaitSummary() waitSummary {
	return waitSummary{count: map[string]int{}, worst: map[string]lostTask{}}
}

func (s waitSummary) add(seed uint64, found map[string]lostTask) {
	for cause, v := range found {
		s.count[cause]++
		if v.idle > s.worst[cause].idle {
			s.worst[cause] = lostTask{v.idle, fmt.Sprintf("schedule %d: %s", seed, v.text)}
		}
	}
}

// String lists the causes.
func (s waitSummary) String() string {
	var out strings.Builder
	for _, cause := range slices.Sorted(maps.Keys(s.count)) {
		fmt.Fprintf(&out, "in %d of %d schedules: %s, longest:\n  %s\n", s.count[cause], *schedules, cause, s.worst[cause].text)
	}
	return out.String()
}

// Guards against the fault of TestTaskOfDroppedStartIsStartedElsewhere in the schedules
// that found it with the fix taken out.
func TestTasksRunAgainAfterDroppedStarts(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1174, 2013, 3260, 4212} {
		w := newSimWorld(t, seed, 4+int(seed%4))
		l := newLiveness(w)
		runLivenessSchedule(l)
		if len(l.lost) > 0 {
			t.Errorf("schedule %d: tasks wait although there is room: %v", seed, l.lost)
		}
	}
}
