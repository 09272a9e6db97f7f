package scheduler_test

import (
	"testing"
	"time"

	"greengagedeck/internal/job"
)

// TestInvariantsUnderTakeoversOfUnreachedWorkers runs a pool through takeovers in
// quick succession, while each holder, superseded ones too, reaches only some of the
// workers and the log is down at times. No invariant may break, and once the faults
// end every job must end.
func TestInvariantsUnderTakeoversOfUnreachedWorkers(t *testing.T) {
	t.Parallel()
	for i := range *schedules {
		seed := *scheduleSeed + uint64(i)
		w := newSimWorld(t, seed, 3+int(seed%3))
		runTakeoverSchedule(w)
		if len(w.violations) > 0 {
			t.Fatalf("schedule %d: %d invariant violations, first:\n%s", seed, len(w.violations), w.violations[0])
		}
		if unfinished := w.unfinished(); len(unfinished) > 0 {
			t.Fatalf("schedule %d: jobs that did not end: %v", seed, unfinished)
		}
	}
}

// runTakeoverSchedule submits jobs, has holders follow each other, then ends the
// faults and lets the jobs finish.
func runTakeoverSchedule(w *simWorld) {
	w.takeOver()
	for range 3 {
		w.submit(w.longRunningSpec(), 3)
	}
	w.run(2 * time.Second)
	for range 2 {
		w.takeOverTwiceCutOff(w.workers[w.rng.IntN(len(w.workers))])
		for range w.rng.IntN(3) {
			w.run(time.Duration(w.rng.IntN(4000)) * time.Millisecond)
			w.takeoverFault()
		}
		w.run(time.Duration(8000+w.rng.IntN(6000)) * time.Millisecond)
	}
	w.endFaults()
	for _, h := range append(w.superseded, w.holder) {
		clear(h.cutOffUntil)
	}
	w.run(25 * time.Second)
}

// takeoverFault submits a job or causes a fault that often comes with a takeover.
func (w *simWorld) takeoverFault() {
	s := w.workers[w.rng.IntN(len(w.workers))]
	switch w.rng.IntN(7) {
	case 0:
		w.takeOver()
	case 1:
		for _, h := range append(w.superseded, w.holder) {
			if w.rng.IntN(2) == 0 {
				delete(h.cutOffUntil, s.id)
			}
		}
	case 2:
		w.pauseHolder()
	case 3:
		w.killHolder()
	case 4:
		w.submit(w.batchSpec(), 3)
	case 5:
		w.logDown = true
		w.after(time.Duration(200+w.rng.IntN(2000))*time.Millisecond, func() { w.logDown = false })
	case 6:
		s.crash()
		w.after(time.Duration(500+w.rng.IntN(5000))*time.Millisecond, func() { w.restartWorker(s) })
	}
}

// batchSpec returns a job of one step whose tasks end.
func (w *simWorld) batchSpec() job.Spec {
	spec := w.longRunningSpec()
	st := &spec.Steps[0]
	st.LongRunning, st.MaxUnavailable = false, 0
	st.Estimate = time.Duration(100+w.rng.IntN(8000)) * time.Millisecond
	return spec
}

// takeOverTwiceCutOff has two holders take over one after the other that do not reach
// a worker. The first reaches it again at about the time at which the second takes
// over. Holders are often superseded because they do not reach the log.
func (w *simWorld) takeOverTwiceCutOff(s *simWorker) {
	supersede := func() {
		if w.rng.IntN(4) > 0 {
			w.holder.logCutOffUntil = w.now + 2*simDutyLease
		}
		w.takeOver()
	}
	supersede()
	held := time.Duration(1500+w.rng.IntN(6500)) * time.Millisecond
	w.holder.cutOffUntil[s.id] = w.now + held + time.Duration(w.rng.IntN(1000)-500)*time.Millisecond
	w.after(held, func() {
		supersede()
		w.holder.cutOffUntil[s.id] = w.now + time.Duration(3000+w.rng.IntN(8000))*time.Millisecond
	})
}
