package scheduler_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
)

// slowWorld returns a world of workers whose clocks are as slow as they may be and that
// take as long as they may to end the runs of an expired lease.
func slowWorld(t *testing.T, seed uint64, workers int) *simWorld {
	w := newSimWorld(t, seed, workers)
	w.killTime = func() time.Duration { return simStopTimeout }
	for _, s := range w.workers {
		s.clockRate = simSlowClock
	}
	return w
}

// runPlanning advances the virtual time by d, while the holder plans whenever it can.
func (w *simWorld) runPlanning(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.holder.plannedAt = 0
		w.run(simTick)
	}
}

// startOne has a long-running task started and returns its worker.
func (w *simWorld) startOne() *simWorker {
	id := job.ID("0000000000000001")
	step := job.Step{Count: 1, Need: job.Resources{CPU: 500, MemoryMB: 200}, LongRunning: true, MaxUnavailable: 1}
	w.submit(job.Spec{ID: id, Payload: "text of " + string(id), Steps: []job.Step{step}}, 3)
	for range 500 {
		w.run(simTick)
		for _, s := range w.workers {
			for _, r := range s.running {
				r.endsAt = w.now + time.Hour
				return s
			}
		}
	}
	w.t.Fatal("the task has not started")
	return nil
}

// Guards against a second run that starts while the first is being killed: its worker was cut
// off, has a slow clock and takes its time to end what the expired lease covered.
func TestNoRunStartsWhileWorkerEndsRunsOfExpiredLease(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(20) {
		w := slowWorld(t, seed+1, 2)
		w.takeOver()
		s := w.startOne()
		// The holder need not wait for leases of earlier ones.
		w.run(2*simMaxLease + time.Duration(seed)*simTick)
		s.partitioned = true
		w.runPlanning(2 * simLease)
		g.Expect(w.violations).To(BeEmpty(), "seed %d", seed+1)
		g.Expect(w.starts).To(HaveEach(BeNumerically(">=", 2)), "seed %d", seed+1)
	}
}

// Guards against a successor that starts a second run while the first is being killed: the
// earlier holder granted its longest lease in the last moment in which it acted.
func TestNoRunStartsWhileWorkerEndsRunsOfEarlierHolder(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(40) {
		w := slowWorld(t, seed+1, 2)
		w.takeOver()
		s := w.startOne()
		w.run(time.Second + time.Duration(seed)*simTick)
		w.holder.remaining()
		w.holder.logCutOffUntil = w.now + time.Hour
		w.takeOver()
		w.holder.cutOffUntil[s.id] = w.now + time.Hour
		for len(s.running) > 0 {
			w.runPlanning(simTick)
		}
		g.Expect(w.now).To(BeNumerically("<=", scheduler.EarlierLeasesEnd(w.holder.core)), "seed %d", seed+1)
		w.runPlanning(2 * simMaxLease)
		g.Expect(w.violations).To(BeEmpty(), "seed %d", seed+1)
		g.Expect(w.starts).To(HaveEach(BeNumerically(">=", 2)), "seed %d", seed+1)
	}
}

// runLeaseEndSchedule has workers stand idle for minutes, then has holders follow each other
// while starts are under way, each out of reach of some workers or paused for as long as it may
// act, and workers that restart meanwhile.
func runLeaseEndSchedule(w *simWorld) {
	w.maxLease *= time.Duration(1 + w.rng.IntN(3))
	w.maxRun = 25 * time.Second
	w.takeOver()
	w.run(time.Second)
	w.now += time.Duration(w.rng.IntN(10)) * time.Minute
	w.run(time.Second)
	for range 2 {
		for range 1 + w.rng.IntN(3) {
			w.submit(w.batchSpec(), 3)
		}
		w.run(time.Duration(20+w.rng.IntN(200)) * time.Millisecond)
		for range 1 + w.rng.IntN(3) {
			w.leaseEndFault()
			w.run(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
		}
		w.runPlanning(time.Duration(5000+w.rng.IntN(5000)) * time.Millisecond)
	}
}

// leaseEndFault causes a fault in which a lease matters.
func (w *simWorld) leaseEndFault() {
	s := w.workers[w.rng.IntN(len(w.workers))]
	switch w.rng.IntN(6) {
	case 0, 1, 2:
		w.supersedeWithStartsUnderWay()
	case 3:
		s.partitioned = true
		w.after(time.Duration(3000+w.rng.IntN(5000))*time.Millisecond, func() { s.partitioned = false })
	case 4:
		s.crash()
		w.after(time.Duration(200+w.rng.IntN(1500))*time.Millisecond, func() { w.restartWorker(s) })
	case 5:
		w.lostRate, w.delayedRate, w.unansweredRate = 0.1*w.rng.Float64(), 0.1*w.rng.Float64(), 0.1*w.rng.Float64()
		w.lateRate = 0.5 * w.rng.Float64()
	}
}

// supersedeWithStartsUnderWay has a holder take over that does not reach some workers. The
// earlier one does not reach the log any more and may be paused for about as long as it may act.
func (w *simWorld) supersedeWithStartsUnderWay() {
	earlier := w.holder
	earlier.remaining()
	earlier.logCutOffUntil = w.now + time.Minute
	w.takeOver()
	if w.rng.IntN(2) == 0 {
		earlier.paused = true
		w.after(time.Duration(w.rng.Int64N(int64(simDutyLease))), func() { earlier.paused = false })
	}
	for _, s := range w.workers {
		if w.rng.IntN(2) == 0 {
			w.holder.cutOffUntil[s.id] = w.now + time.Duration(w.rng.IntN(15000))*time.Millisecond
		}
	}
}

// TestNoTaskRunsTwiceAroundLeaseEnds runs pools of more workers and longer tasks through faults
// at the ends of leases. No invariant may break.
func TestNoTaskRunsTwiceAroundLeaseEnds(t *testing.T) {
	t.Parallel()
	for i := range *schedules {
		seed := *scheduleSeed + uint64(i)
		w := newSimWorld(t, seed, 4+int(seed%4))
		runLeaseEndSchedule(w)
		if len(w.violations) > 0 {
			t.Errorf("schedule %d: %d invariant violations, first:\n%s", seed, len(w.violations), w.violations[0])
		}
	}
}

// Guards against an earlier holder's start at a worker that restarted under its ID and has
// forgotten the successor's token, after the successor found no run there and started another.
func TestNoEarlierStartIsCarriedOutByRestartedWorker(t *testing.T) {
	g := NewWithT(t)
	w := slowWorld(t, 1, 3)
	w.maxRun = time.Hour
	w.takeOver()
	w.run(time.Second)
	w.submit(w.batchSpec(), 3)
	w.logDelay = 200 * time.Millisecond
	earlier := w.holder
	for len(earlier.runWorkers) == 0 {
		w.run(simTick)
	}
	// The log holds the starts, and the holder does not know it yet.
	w.run(2 * simTick)
	w.logDelay = 0
	earlier.remaining()
	earlier.paused, earlier.logCutOffUntil = true, w.now+time.Minute
	w.takeOver()
	for _, id := range earlier.runWorkers {
		w.holder.core.Cordon(id, "test", false)
	}
	w.runPlanning(500 * time.Millisecond)
	for _, s := range w.workers {
		if slices.Contains(slices.Collect(maps.Values(earlier.runWorkers)), s.id) {
			entry := s.listing()
			s.oldEntry = &entry
			s.crash()
			w.after(time.Second, func() { w.restartWorker(s) })
		}
	}
	w.runPlanning(1200 * time.Millisecond)
	earlier.paused = false
	w.runPlanning(time.Second)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.starts).NotTo(BeEmpty())
}
