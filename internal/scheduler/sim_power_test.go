package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"greengagedeck/internal/worker"
)

const (
	// simBackAfter and simBackSpread tell how long after a loss of power daemons and
	// workers are back.
	simBackAfter  = time.Second
	simBackSpread = 1000
	// simCalmEnd is how long a schedule goes on after its last fault.
	simCalmEnd = 30 * time.Second
	// simSetBack is by how much the start of a worker seems earlier after its time of day
	// was set back. Workers start less often.
	simSetBack = 100
	// simManyEnds is more ends than a worker lists.
	simManyEnds = 500
)

// simKeepAlives are the times for which workers and the log keep idle connections. With
// 0 they do not close them.
var simKeepAlives = []time.Duration{0, 150 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}

// drawConnFaults has connections fail.
func (w *simWorld) drawConnFaults(keepAlives []time.Duration) {
	draw := func() time.Duration { return keepAlives[w.rng.IntN(len(keepAlives))] }
	w.conns = &connFaults{keepAlive: map[string]time.Duration{}, logKeepAlive: draw(), refused: w.rng.IntN(2) == 0}
	for _, s := range w.workers {
		w.conns.keepAlive[s.address] = draw()
	}
}

// milliseconds returns a random time of least to least+spread milliseconds.
func (w *simWorld) milliseconds(least, spread int) time.Duration {
	return time.Duration(least+w.rng.IntN(spread)) * time.Millisecond
}

// losePower ends all daemons and workers at once. They are back within seconds, and the
// list shows the workers as they were before until they have written their entries.
func (l *liveness) losePower() {
	w := l.w
	l.disturb()
	w.holder.dead = true
	for _, h := range w.superseded {
		h.dead = true
	}
	w.superseded = nil
	for _, s := range slices.Clone(w.workers) {
		if !s.up || !s.listed {
			continue
		}
		entry := s.listing()
		s.crash()
		w.after(w.milliseconds(int(simBackAfter.Milliseconds()), simBackSpread), func() { l.powerOn(s, entry) })
	}
	w.restartHolders(1 + w.rng.IntN(3))
}

// powerOn brings a worker back, under its ID or with a new one.
func (l *liveness) powerOn(s *simWorker, entry worker.Listing) {
	l.disturb()
	if s.up || s.replacedBy != nil || s.addressReused {
		return
	}
	if l.w.rng.IntN(4) == 0 {
		l.w.crashes.replace(s)
		return
	}
	if l.w.rng.IntN(4) == 0 {
		l.w.moveWorker(s)
	}
	if l.w.rng.IntN(4) == 0 {
		// Its time of day is set back.
		s.startedAt -= simSetBack
	}
	l.w.restartWorker(s)
	s.oldEntry = &entry
	l.w.after(l.w.milliseconds(0, 1500), func() { s.oldEntry = nil })
}

// moveWorker has a worker come back at an address that none had.
func (w *simWorld) moveWorker(s *simWorker) {
	w.crashes.replacements++
	s.address = fmt.Sprintf("10.0.2.%d:1", w.crashes.replacements)
}

// restartHolders has a holder take over after the last one has ended, and end up to n-1
// times soon after that.
func (w *simWorld) restartHolders(n int) {
	w.after(w.milliseconds(int(simBackAfter.Milliseconds()), simBackSpread), func() {
		w.takeOver()
		if n <= 1 {
			return
		}
		w.after(w.milliseconds(0, 1500), func() {
			w.holder.dead = true
			w.restartHolders(n - 1)
		})
	})
}

// connFault causes one fault of connections, power or holders, or submits jobs of one
// customer.
func (l *liveness) connFault() {
	w := l.w
	switch w.rng.IntN(8) {
	case 0, 1, 2:
		for range 2 + w.rng.IntN(8) {
			w.submit(w.randomSpec(), 3)
		}
	case 3:
		w.submit(w.longRunningSpec(), 3)
	case 4:
		l.disturb()
		w.resetConns()
	case 5:
		l.losePower()
	case 6:
		w.holder.dead = true
		w.restartHolders(1 + w.rng.IntN(3))
	case 7:
		l.restartLater(w.workers[w.rng.IntN(len(w.workers))], 1)
	}
}

// runConnSchedule submits jobs, causes faults, and ends with a loss of power or a reset.
func runConnSchedule(l *liveness, keepAlives []time.Duration) {
	w := l.w
	l.strict = true
	// How many ends an answer lists at most is drawn by other schedules.
	w.maxEnds = simManyEnds
	l.steady = w.rng.IntN(2) == 0
	w.drawConnFaults(keepAlives)
	w.takeOver()
	w.submit(w.longRunningSpec(), 3)
	for range 3 {
		for range 1 + w.rng.IntN(5) {
			l.connFault()
			l.run(w.milliseconds(100, 2500))
		}
		l.run(w.milliseconds(0, 12000))
		for range w.rng.IntN(4) {
			// Workers have been idle.
			w.submit(w.randomSpec(), 3)
			l.run(w.milliseconds(100, 3000))
		}
	}
	for range 2 + w.rng.IntN(20) {
		w.submit(w.randomSpec(), 3)
	}
	l.run(w.milliseconds(0, 1500))
	switch w.rng.IntN(3) {
	case 0:
		l.losePower()
	case 1:
		l.disturb()
		w.resetConns()
	}
	l.run(simCalmEnd)
}

// TestTasksRunWhileConnectionsFail runs a pool whose connections are reset, and whose
// hosts lose power all at once. No task may wait while there is room for it.
func TestTasksRunWhileConnectionsFail(t *testing.T) {
	t.Parallel()
	checkConnSchedules(t, simKeepAlives[:1])
}

func checkConnSchedules(t *testing.T, keepAlives []time.Duration) {
	lost, waits := newWaitSummary(), newWaitSummary()
	for i := range *schedules {
		seed := *scheduleSeed + uint64(i)
		w := newSimWorld(t, seed, 4+int(seed%4))
		l := newLiveness(w)
		runConnSchedule(l, keepAlives)
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

// TestTasksRunWhileIdleConnectionsClose does what TestTasksRunWhileConnectionsFail does
// where workers and the log close connections that were idle.
func TestTasksRunWhileIdleConnectionsClose(t *testing.T) {
	t.Parallel()
	checkConnSchedules(t, simKeepAlives)
}
