package scheduler_test

import (
	"fmt"
	"time"

	"greengagedeck/internal/job"
)

// runLivenessSchedule causes bursts of faults, each followed by a calm time.
func runLivenessSchedule(l *liveness) {
	w := l.w
	l.steady = w.rng.IntN(2) == 0
	w.hostsUnseen = w.rng.IntN(2) == 0
	w.takeOver()
	for range 2 + w.rng.IntN(2) {
		w.submit(w.longRunningSpec(), 3)
	}
	l.run(2 * time.Second)
	for range 3 {
		for range 2 + w.rng.IntN(5) {
			l.randomFault()
			l.run(time.Duration(100+w.rng.IntN(900)) * time.Millisecond)
		}
		l.endBurst()
		l.run(time.Duration(16+w.rng.IntN(8)) * time.Second)
	}
}

// longRunningSpec returns a job of long-running tasks, often with just enough
// workers for the limit of its step.
func (w *simWorld) longRunningSpec() job.Spec {
	id := job.ID(fmt.Sprintf("%016x", w.rng.Uint64()))
	st := job.Step{
		Count: 1 + w.rng.IntN(len(w.workers)), Need: job.Resources{CPU: 300 + w.rng.IntN(1500), MemoryMB: 200 + w.rng.IntN(2000)},
		LongRunning: true, MaxUnavailable: 1, MaxPerWorker: w.rng.IntN(3),
	}
	if w.rng.IntN(5) == 0 {
		st.Label, st.Count = "a", 1+w.rng.IntN(2)
	}
	return job.Spec{ID: id, Payload: "text of " + string(id), Steps: []job.Step{st}}
}

// randomFault causes one fault, or submits or cancels a job.
func (l *liveness) randomFault() {
	w := l.w
	s := w.workers[w.rng.IntN(len(w.workers))]
	soon := func(least, spread int) time.Duration {
		return time.Duration(least+w.rng.IntN(spread)) * time.Millisecond
	}
	switch w.rng.IntN(18) {
	case 0:
		w.submit(w.longRunningSpec(), 3)
	case 1, 2:
		w.submit(w.randomSpec(), 3)
	case 3:
		l.restartLater(s, 1+w.rng.IntN(3))
	case 4, 5:
		l.loseForGood(s)
	case 6:
		l.drain(s, soon(100, 4000))
	case 7:
		w.unansweredRate = w.rng.Float64()
		w.after(soon(200, 1500), func() { w.unansweredRate = 0 })
	case 8:
		w.delayedRate, w.lostRate = 0.5*w.rng.Float64(), 0.3*w.rng.Float64()
		w.after(soon(200, 1500), func() { w.delayedRate, w.lostRate = 0, 0 })
	case 9:
		w.takeOver()
	case 10:
		w.pauseHolder()
	case 11:
		w.killHolder()
	case 12:
		w.freezeList(soon(1000, 6000))
	case 13:
		l.cordon(s)
	case 14:
		s.partitioned = true
		w.after(soon(500, 5000), func() { s.partitioned = false })
	case 15:
		// The worker is lost while starts are under way.
		w.submit(w.longRunningSpec(), 3)
		w.after(soon(10, 60), func() { l.loseForGood(s) })
	case 16:
		w.submit(w.longRunningSpec(), 3)
		w.lapseEntries()
	case 17:
		// A worker drains while the log has the plans for it, and answers late.
		w.slowLog()
		w.submit(w.longRunningSpec(), 3)
		w.after(soon(20, 800), func() { l.drain(s, soon(100, 4000)) })
	}
}

// restartLater crashes a worker, which comes back, n times in a row.
func (l *liveness) restartLater(s *simWorker, n int) {
	if !s.up || n == 0 {
		return
	}
	s.crash()
	l.disturb()
	l.w.after(time.Duration(100+l.w.rng.IntN(2000))*time.Millisecond, func() {
		if s.addressReused || !s.listed {
			return
		}
		l.disturb()
		l.w.restartWorker(s)
		l.w.after(time.Duration(100+l.w.rng.IntN(2000))*time.Millisecond, func() { l.restartLater(s, n-1) })
	})
}

// loseForGood ends a worker without a word. It stays in the list for a while, and
// another one may be listed in its place, sometimes at its address.
func (l *liveness) loseForGood(s *simWorker) {
	w := l.w
	if !s.up {
		return
	}
	s.crash()
	l.disturb()
	w.after(time.Duration(w.rng.IntN(6000))*time.Millisecond, func() {
		s.listed = false
		w.refreshLists()
	})
	if w.rng.IntN(4) == 0 {
		return
	}
	w.after(time.Duration(500+w.rng.IntN(4000))*time.Millisecond, func() {
		l.disturb()
		s.addressReused = w.rng.IntN(2) == 0
		fresh := &simWorker{
			w: w, id: fmt.Sprintf("i-%d", len(w.workers)), address: s.address, startedAt: firstStart - 1,
			clockRate: s.clockRate, capacity: s.capacity, labels: s.labels, listed: true,
		}
		fresh.boot()
		w.workers = append(w.workers, fresh)
		w.refreshLists()
	})
}

// drain has a worker leave after a while.
func (l *liveness) drain(s *simWorker, after time.Duration) {
	if !s.up || s.draining {
		return
	}
	s.draining = true
	l.w.refreshLists()
	l.disturb()
	l.w.after(after, func() { l.loseForGood(s) })
}

// lapseEntries has the log down for a while. When it is back, the list lacks the
// workers until they have written their entries again.
func (w *simWorld) lapseEntries() {
	if w.logDown {
		return
	}
	w.logDown = true
	w.after(time.Duration(500+w.rng.IntN(4500))*time.Millisecond, func() {
		w.logDown = false
		var lapsed []*simWorker
		for _, s := range w.workers {
			if s.up && s.listed {
				s.listed = false
				lapsed = append(lapsed, s)
			}
		}
		w.refreshLists()
		w.after(time.Duration(w.rng.IntN(1800))*time.Millisecond, func() {
			for _, s := range lapsed {
				s.listed, s.listsAtBoot = s.up, !s.up
			}
			w.refreshLists()
		})
	})
}

// slowLog has the log answer appends late for a while.
func (w *simWorld) slowLog() {
	w.logDelay = time.Duration(100+w.rng.IntN(900)) * time.Millisecond
	w.after(time.Duration(500+w.rng.IntN(4000))*time.Millisecond, func() { w.logDelay = 0 })
}

// freezeList has the list show for a while what it shows now.
func (w *simWorld) freezeList(d time.Duration) {
	if w.frozenList != nil {
		return
	}
	w.frozenList = w.listedWorkers()
	w.after(d, func() { w.frozenList = nil })
}

// cordon cordons a worker, or uncordons it.
func (l *liveness) cordon(s *simWorker) {
	if h := l.w.holder; h.active() && s.up && s.listed {
		l.cordoned[s.id] = true
		h.core.Cordon(s.id, "test", l.w.rng.IntN(2) == 0)
	}
}

// endBurst ends the faults that last, except for workers that are gone.
func (l *liveness) endBurst() {
	w := l.w
	w.lostRate, w.delayedRate, w.unansweredRate, w.logDown, w.logDelay = 0, 0, 0, false, 0
	for _, s := range w.workers {
		s.partitioned = false
	}
	for _, h := range w.superseded {
		h.dead = true
	}
	w.superseded = nil
	l.disturb()
}
