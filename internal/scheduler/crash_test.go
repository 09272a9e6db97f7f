package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

// crashUntilGivenUp lets each worker that starts the task crash and has learn tell
// the core of it. The task must be given up in time.
func (p *crashPool) crashUntilGivenUp(learn func(round int, w *crashWorker)) {
	starts := 0
	for round := range crashRounds {
		w := p.awaitStart()
		if w == nil {
			break
		}
		starts++
		w.crash()
		learn(round, w)
	}
	p.g.Expect(starts).To(BeNumerically("<=", maxDeadlyStarts), "starts of the deadly task")
	p.g.Expect(starts).To(BeNumerically(">=", simCrashesToGiveUp), "starts of the deadly task")
	phase, known := p.core.Lookup(crashJob)
	p.g.Expect(known).To(BeTrue())
	p.g.Expect(phase).To(Equal(job.Failed))
}

// Guards against a crash that does not count because the holder learns of it only
// when the lease of a worker that does not come back lapses.
func TestDeadlyTaskGoesOnAfterCrashesLearntFromLapsedLease(t *testing.T) {
	p := newCrashPool(t)
	p.crashUntilGivenUp(func(_ int, w *crashWorker) {
		p.pollWorkers()
		p.wait(simRestartTime)
		p.unlist(w, w.listing.Address+"+")
	})
}

// Guards against a crash that does not count because the lease of its worker lapses
// while the worker is still listed: its entry is kept for longer (heartbeats are
// far apart, or the list cannot be read for seconds), and it starts again under its
// ID only then.
func TestDeadlyTaskGoesOnAfterLeasesLapseWhileWorkerIsListed(t *testing.T) {
	p := newCrashPool(t)
	p.crashUntilGivenUp(func(_ int, w *crashWorker) {
		p.pollWorkers()
		for range int((simLease + simRestartTime) / crashTick) {
			p.wait(crashTick)
			p.pollWorkers()
			p.plan()
		}
		p.restart(w)
		p.list()
	})
}

// Guards against a crash that does not count because the list shows the next
// incarnation before a poll does.
func TestDeadlyTaskGoesOnAfterCrashesLearntFromList(t *testing.T) {
	p := newCrashPool(t)
	p.crashUntilGivenUp(func(_ int, w *crashWorker) {
		p.wait(simRestartTime)
		p.restart(w)
		p.list()
	})
}

// Guards against a crash that does not count because a poll reaches the next
// incarnation before the list shows it.
func TestDeadlyTaskGoesOnAfterCrashesLearntFromPoll(t *testing.T) {
	p := newCrashPool(t)
	p.crashUntilGivenUp(func(_ int, w *crashWorker) {
		p.wait(simRestartTime)
		p.restart(w)
		p.poll(w)
	})
}

// Guards against a crash that does not count because another worker answers at the
// address of the one that crashed.
func TestDeadlyTaskGoesOnAfterCrashesLearntFromReusedAddress(t *testing.T) {
	p := newCrashPool(t)
	p.crashUntilGivenUp(func(_ int, w *crashWorker) {
		p.wait(simRestartTime)
		id := w.listing.Incarnation.ID
		p.core.PollFailed(p.core.Poll(id, p.now.Now, time.Second), worker.ErrWorkerReplaced, p.now)
		p.unlist(w, w.listing.Address)
	})
}

// Guards against crashes that are forgotten when another holder takes over after it
// learnt of each, and against ones that a holder never learnt of because it was
// lost with its memory.
func TestDeadlyTaskGoesOnBecauseTakeoverForgetsCrashes(t *testing.T) {
	t.Run("after each crash was learnt", func(t *testing.T) {
		p := newCrashPool(t)
		p.crashUntilGivenUp(func(_ int, w *crashWorker) {
			p.wait(simRestartTime)
			p.restart(w)
			p.poll(w)
			p.poll(w)
			// What the holder plans now is logged, but its orders are lost with it.
			p.plan()
			p.takeOver()
		})
	})
	t.Run("before every second crash was learnt", func(t *testing.T) {
		p := newCrashPool(t)
		p.crashUntilGivenUp(func(round int, w *crashWorker) {
			p.wait(simRestartTime)
			p.restart(w)
			if round%2 == 0 {
				p.takeOver()
				return
			}
			p.poll(w)
		})
	})
}

// Guards against jobs that are given up because a worker was out of reach until its
// lease lapsed. It answers again as the same incarnation, so it did not crash.
func TestLapsedLeasesWithoutCrashFailNoJob(t *testing.T) {
	p := newCrashPool(t)
	for range crashRounds {
		w := p.awaitStart()
		p.g.Expect(w).NotTo(BeNil(), "the task is started again")
		w.crash()
		for range int(2 * simMaxLease / crashTick) {
			p.wait(crashTick)
			p.pollWorkers()
			p.plan()
		}
		w.up = true
	}
	phase, _ := p.core.Lookup(crashJob)
	p.g.Expect(phase).To(Equal(job.Running))
}

// Guards against jobs that are given up because workers restart before the orders
// to start their tasks are sent.
func TestCrashesBeforeTheStartFailNoJob(t *testing.T) {
	p := newCrashPool(t)
	w := p.workers[0]
	for range crashRounds {
		p.wait(crashTick)
		p.pollWorkers()
		p.pollWorkers()
		p.g.Expect(p.plan()).To(HaveLen(1), "the task is placed again")
		w.crash()
		p.wait(simRestartTime)
		p.restart(w)
		p.list()
	}
	phase, _ := p.core.Lookup(crashJob)
	p.g.Expect(phase).To(Equal(job.Queued), "no task has started")
}

// Guards against tasks that are started together on worker after worker, which one of
// them crashes before it answers: the others are blamed each time.
func TestTasksWhoseWorkerMayHaveCrashedAreStartedApart(t *testing.T) {
	p := newCorePool(t, 2)
	p.pollWorkers()
	orders := p.orders(p.plan())
	p.g.Expect(orders).To(HaveLen(2))
	for _, o := range orders {
		p.core.StartAnswered(o, 0, verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"), p.now)
	}
	p.core.PollFailed(p.core.Poll("a", p.now.Now, time.Second), worker.ErrWorkerReplaced, p.now)
	p.workers = nil
	p.addWorker("b", "b")
	p.addWorker("c", "c")
	p.wait(simMaxLease)
	p.list()
	p.pollWorkers()
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(2))
	p.g.Expect(starts[0].Worker).NotTo(Equal(starts[1].Worker))
}

// Guards against a worker that is lost to the pool after a restart which a new
// holder sees first in the list: the entry itself says that it is there.
func TestRestartedWorkerIsUnlistedAfterTakeover(t *testing.T) {
	p := newCrashPool(t)
	p.g.Expect(p.awaitStart()).NotTo(BeNil())
	p.workers[0].crash()
	p.wait(simRestartTime)
	p.restart(p.workers[0])
	// The earlier holder has ended, so that it sends no more starts.
	p.earlierHolders = 0
	p.takeOver()
	rep := p.core.Report(p.now.Now, time.Second)
	p.g.Expect(rep.Workers).To(HaveLen(1))
	p.g.Expect(rep.Workers[0].Joining).To(BeTrue(), "listed and not polled yet")
	p.core.PollSucceeded(p.core.Poll("a", p.now.Now, time.Second), worker.Report{StartedAt: 2, Clock: p.clock(p.workers[0])}, p.now)
	p.g.Expect(p.plan()).To(HaveLen(1), "the task starts without a further entry of the list")
}
