package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

const (
	// simCrashDelay is the longest time from the start of a deadly task to the
	// crash of its worker.
	simCrashDelay = 100 * time.Millisecond
	// simRestartTime is how long a worker that crashed takes to come back.
	simRestartTime = 3 * time.Second
	// simFailedShownTime is how long after the first stop of its tasks a job that is
	// given up may take to be shown as failed. The log may be down meanwhile.
	simFailedShownTime = 15 * time.Second
	// simCrashesToGiveUp is how many crashes under a task allow to give it up.
	simCrashesToGiveUp = 2
	// simCrashBudget is how many crashes under a deadly task are accepted, and
	// simStartBudget how many starts after them break the invariant.
	simCrashBudget = 3
	simStartBudget = 3
)

// crashModel models deadly tasks, which crash each worker that starts them, and
// checks what the holders make of the crashes.
type crashModel struct {
	w      *simWorld
	deadly map[job.TaskID]bool
	// sameID makes every worker that crashes come back under its ID. If it is not
	// set, some come back with a new one.
	sameID bool
	// crashes counts, by task, the workers that crashed under it. Workers that
	// were partitioned and not listed, which look the same, are in suspected.
	crashes   map[job.TaskID]int
	suspected map[job.TaskID]map[string]bool
	// starts counts the starts of a deadly task after simCrashBudget crashes.
	starts map[job.TaskID]int
	// failedEnds counts the runs of a task that failed, and failedGangs holds
	// the runs of a gang that did, by number.
	failedEnds  map[job.TaskID]int
	failedGangs map[worker.StepKey]map[int]bool
	// shownFailed are the jobs that were seen to be shown as failed.
	shownFailed map[job.ID]bool
	// firstDone is when a run of a task was first done.
	firstDone map[job.TaskID]time.Duration
	// replacements counts the workers with a new ID.
	replacements int
}

func newCrashModel(w *simWorld) *crashModel {
	return &crashModel{
		w:           w,
		deadly:      map[job.TaskID]bool{},
		crashes:     map[job.TaskID]int{},
		suspected:   map[job.TaskID]map[string]bool{},
		starts:      map[job.TaskID]int{},
		failedEnds:  map[job.TaskID]int{},
		failedGangs: map[worker.StepKey]map[int]bool{},
		shownFailed: map[job.ID]bool{},
		firstDone:   map[job.TaskID]time.Duration{},
	}
}

// started has the worker crash if the run that it started is of a deadly task.
func (m *crashModel) started(s *simWorker, r *simRun) {
	if !m.deadly[r.id.Task] {
		return
	}
	if m.w.rng.IntN(4) == 0 {
		m.crashUnderTask(s)
		return
	}
	startedAt := s.startedAt
	m.w.after(time.Duration(m.w.rng.Int64N(int64(simCrashDelay)+1)), func() {
		if s.up && s.startedAt == startedAt && s.running[r.id.Task] == r {
			m.crashUnderTask(s)
		}
	})
}

// crashUnderTask crashes a worker. It comes back under its ID or with a new one,
// at its address or at another.
func (m *crashModel) crashUnderTask(s *simWorker) {
	s.draining = false
	s.crash()
	m.w.after(simRestartTime+time.Duration(m.w.rng.IntN(500))*time.Millisecond, func() {
		if s.up || s.replacedBy != nil {
			return
		}
		if m.sameID || m.w.rng.IntN(2) == 0 {
			m.w.restartWorker(s)
			return
		}
		m.replace(s)
	})
}

// replace brings a worker up with a new ID in place of one that crashed.
func (m *crashModel) replace(s *simWorker) {
	m.replacements++
	n := &simWorker{
		w: m.w, id: fmt.Sprintf("n-%d", m.replacements), address: s.address, startedAt: s.startedAt,
		clockRate: s.clockRate, capacity: s.capacity, capacities: s.capacities, labels: s.labels, listed: true,
	}
	if m.w.rng.IntN(2) == 0 {
		n.address = fmt.Sprintf("10.0.1.%d:1", m.replacements)
	}
	s.replacedBy = n
	n.boot()
	m.w.workers = append(m.w.workers, n)
	m.w.refreshLists()
}

// addressTaken reports whether another worker answers at the worker's address.
func (s *simWorker) addressTaken() bool {
	for n := s.replacedBy; n != nil; n = n.replacedBy {
		if n.up && !n.partitioned && n.address == s.address {
			return true
		}
	}
	return false
}

// workerCrashed counts the crash of a worker for the tasks that were there. The
// end of a worker that is draining is announced and is no crash.
func (m *crashModel) workerCrashed(s *simWorker) {
	if !s.up || s.draining {
		return
	}
	for t := range s.running {
		m.crashes[t]++
	}
}

// runEnded counts the runs that failed.
func (m *crashModel) runEnded(r *simRun, reason job.EndReason) {
	t := r.id.Task
	switch reason {
	case job.EndDone:
		if _, ok := m.firstDone[t]; !ok {
			m.firstDone[t] = m.w.now
		}
	case job.EndFailed:
		m.failedEnds[t]++
		key := worker.StepKeyOf(t)
		if m.failedGangs[key] == nil {
			m.failedGangs[key] = map[int]bool{}
		}
		m.failedGangs[key][r.id.Number] = true
	default:
	}
}

// checkStart checks the start of a deadly task. Only orders of a holder in touch
// with the log count.
func (m *crashModel) checkStart(s *simWorker, o worker.StartOrder) {
	t, w := o.Run.Task, m.w
	inTouch := w.order.holder == w.token && w.holder.active() && !w.logDown && !s.partitioned
	if !m.deadly[t] || m.crashes[t] < simCrashBudget || !inTouch {
		return
	}
	m.starts[t]++
	if m.starts[t] >= simStartBudget {
		w.addViolation("BUDGET-CRASH start %d of %s after %d workers crashed under it", m.starts[t], t, simCrashBudget)
	}
}

// checkFailedJobs checks that every job that is shown as failed has a task that
// used up its attempts or under which workers crashed.
func (m *crashModel) checkFailedJobs() {
	for _, s := range m.w.workers {
		if s.partitioned && !s.listed {
			m.suspectCrash(s)
		}
	}
	h := m.w.holder
	if h == nil || !h.active() {
		return
	}
	for _, id := range m.w.ids {
		phase, known := h.core.Lookup(id)
		if !known || phase != job.Failed || m.shownFailed[id] {
			continue
		}
		m.shownFailed[id] = true
		if !m.mayBeFailed(id) {
			m.w.addViolation("LOST job %s is shown as failed without cause", id)
		}
	}
}

// suspectCrash records a worker that looks as if it had crashed.
func (m *crashModel) suspectCrash(s *simWorker) {
	for t := range s.running {
		if m.suspected[t] == nil {
			m.suspected[t] = map[string]bool{}
		}
		m.suspected[t][s.id] = true
	}
}

// mayBeFailed reports whether a job may be shown as failed.
func (m *crashModel) mayBeFailed(id job.ID) bool {
	spec, attempts := m.w.specs[id], m.w.maxFailures[id]
	for i, step := range spec.Steps {
		if step.Gang && len(m.failedGangs[worker.StepKey{Job: id, Step: i}]) >= attempts {
			return true
		}
		for k := range step.Count {
			t := job.TaskID{Job: id, Step: i, Index: k}
			if m.crashes[t]+len(m.suspected[t]) >= simCrashesToGiveUp {
				return true
			}
			if !step.Gang && !step.LongRunning && m.failedEnds[t] >= attempts {
				return true
			}
		}
	}
	return false
}

// addUnlessFailed records a violation that concerns the stop of a job's tasks. If
// the job may be given up, they may be stopped, and it is shown as failed soon.
func (m *crashModel) addUnlessFailed(id job.ID, violation string) {
	if !m.mayBeFailed(id) {
		m.w.addViolation("%s", violation)
		return
	}
	m.w.after(simFailedShownTime, func() {
		if !m.shownFailed[id] {
			m.w.addViolation("%s", violation)
		}
	})
}

// markDeadly makes one task of a job deadly.
func (m *crashModel) markDeadly(id job.ID) {
	steps := m.w.specs[id].Steps
	i := m.w.rng.IntN(len(steps))
	m.deadly[job.TaskID{Job: id, Step: i, Index: m.w.rng.IntN(steps[i].Count)}] = true
}

// runCrashSchedule does what runSchedule does, with a deadly task in some jobs.
func runCrashSchedule(w *simWorld) {
	w.takeOver()
	for range 40 {
		w.run(time.Duration(100+w.rng.IntN(900)) * time.Millisecond)
		known := len(w.ids)
		w.randomEvent()
		if len(w.ids) > known && w.rng.IntN(3) == 0 {
			w.crashes.markDeadly(w.ids[known])
		}
	}
	w.endFaults()
	w.run(90 * time.Second)
}

// Guards against a task that crashes worker after worker without end, and against
// jobs that are given up because of crashes that another task caused.
func TestInvariantsUnderDeadlyTasks(t *testing.T) {
	for i := range *schedules {
		seed := *scheduleSeed + uint64(i)
		w := newSimWorld(t, seed, 3+int(seed%4))
		runCrashSchedule(w)
		failOnViolation(t, w, seed)
	}
}

// failOnViolation fails the test if an invariant broke or a job did not end.
func failOnViolation(t *testing.T, w *simWorld, seed uint64) {
	t.Helper()
	if len(w.violations) > 0 {
		t.Fatalf("schedule %d: %d invariant violations, first:\n%s", seed, len(w.violations), w.violations[0])
	}
	if unfinished := w.unfinished(); len(unfinished) > 0 {
		t.Fatalf("schedule %d: jobs that did not end: %v", seed, unfinished)
	}
}

// Guards against a deadly task that keeps a pool without workers, so that the short
// tasks of other jobs wait: it logs how many workers it crashes in a minute.
func TestDeadlyTaskIsGivenUpInPoolWithoutOtherFaults(t *testing.T) {
	const workers, minute = 4, time.Minute
	for _, takeovers := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeovers=%t", takeovers), func(t *testing.T) {
			g := NewWithT(t)
			w := newSimWorld(t, 1, workers)
			w.takeOver()
			w.run(time.Second)
			deadly := job.TaskID{Job: "00000000000000dd"}
			w.crashes.deadly[deadly] = true
			w.submit(shortJob(deadly.Job), 3)
			submitted := map[job.TaskID]time.Duration{}
			for i := range int(minute / (500 * time.Millisecond)) {
				id := job.ID(fmt.Sprintf("%016x", 0x1000+i))
				submitted[job.TaskID{Job: id}] = w.now
				w.submit(shortJob(id), 3)
				if takeovers && i%10 == 9 {
					w.killHolder()
				}
				w.run(500 * time.Millisecond)
			}
			w.run(20 * time.Second)
			waits := w.crashes.waits(submitted)
			given := w.crashes.givenUp(submitted)
			t.Logf("the deadly task was started %d times and crashed %d workers; of %d short tasks %d were given up and %d done after mean %v, 95th percentile %v, at most %v",
				w.starts[deadly], w.crashes.crashes[deadly], len(submitted), given, len(waits), mean(waits), waits[len(waits)*95/100], waits[len(waits)-1])
			g.Expect(w.violations).To(BeEmpty())
			phase, _ := w.holder.core.Lookup(deadly.Job)
			g.Expect(phase).To(Equal(job.Failed), "the job of the deadly task")
			g.Expect(waits).To(HaveLen(len(submitted)-given), "short tasks that were done")
		})
	}
}

// shortJob returns a job of one short task.
func shortJob(id job.ID) job.Spec {
	need := job.Resources{CPU: 1000, MemoryMB: 500}
	return job.Spec{ID: id, Payload: string(id), Steps: []job.Step{{Count: 1, Need: need, Estimate: time.Second}}}
}

// givenUp returns how many of the tasks were given up although they may not have
// been the cause of the crashes under them. LOST covers those without crashes.
func (m *crashModel) givenUp(tasks map[job.TaskID]time.Duration) int {
	n := 0
	for t := range tasks {
		if m.shownFailed[t.Job] && m.mayBeFailed(t.Job) {
			n++
		}
	}
	return n
}

// waits returns, in ascending order, how long after their submission the tasks were
// done.
func (m *crashModel) waits(submitted map[job.TaskID]time.Duration) []time.Duration {
	var out []time.Duration
	for t, at := range submitted {
		if done, ok := m.firstDone[t]; ok {
			out = append(out, done-at)
		}
	}
	slices.Sort(out)
	return out
}

func mean(durations []time.Duration) time.Duration {
	var sum time.Duration
	for _, d := range durations {
		sum += d
	}
	return sum / time.Duration(max(1, len(durations)))
}
