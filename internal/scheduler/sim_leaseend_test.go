package scheduler_test

import (
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
