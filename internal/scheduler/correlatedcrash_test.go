package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
)

const (
	// powerWorkers is how many workers a pool has in these tests, and powerTasks how
	// many tasks they have room for.
	powerWorkers = 6
	powerTasks   = 4 * powerWorkers
	// placedAgainTime is how long after the workers' return their tasks may take to be
	// started again.
	placedAgainTime = time.Second
	// bootTime is how long workers are down in these tests.
	bootTime = time.Second
	// wideCrashRounds and pairCrashRounds are how often the workers may crash under one
	// wide deadly job, and under two.
	wideCrashRounds = 2
	pairCrashRounds = 3
)

// newPowerPool returns a pool of powerWorkers workers, without a job.
func newPowerPool(t *testing.T) *crashPool {
	p := newCrashPool(t)
	p.core.Cancel(crashJob, p.now)
	for i := range powerWorkers - 1 {
		id := fmt.Sprintf("w%d", i)
		p.addWorker(id, id)
	}
	p.list()
	p.pollWorkers()
	p.pollWorkers()
	return p
}

// submit submits n equal jobs of as many tasks each, and returns their IDs.
func (p *crashPool) submit(first, n, tasks int) []job.ID {
	var ids []job.ID
	for i := range n {
		id := job.ID(fmt.Sprintf("%016x", first+i))
		ids = append(ids, id)
		p.core.Submit(&joblog.Submission{
			Spec:  job.Spec{ID: id, Steps: []job.Step{{Count: tasks, Need: job.Resources{CPU: 1000}, Estimate: time.Second}}},
			Terms: job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 9},
		}, p.now)
	}
	return ids
}

// running returns how many runs the workers have.
func (p *crashPool) running() int {
	n := 0
	for _, w := range p.workers {
		n += len(w.runs)
	}
	return n
}

// crashAll crashes workers at the same moment and brings them back after bootTime. The
// polls that are in flight fail at once.
func (p *crashPool) crashAll(workers []*crashWorker) {
	for _, w := range workers {
		w.crash()
	}
	p.wait(10 * time.Millisecond)
	p.pollWorkers()
	p.wait(bootTime)
	for _, w := range workers {
		p.restart(w)
	}
}

// phase returns the phase of a job.
func (p *crashPool) phase(id job.ID) job.Phase {
	phase, _ := p.core.Lookup(id)
	return phase
}

// Guards against a pool whose jobs stand, with its workers idle, after a power loss of all
// workers: each of the tasks that had just been started was isolated, one after the other.
func TestTasksArePlacedAgainAfterAllWorkersCrashAtOnce(t *testing.T) {
	learn := map[string]func(*crashPool){
		"from the list": func(p *crashPool) { p.list() },
		"from polls":    func(p *crashPool) { p.pollWorkers() },
		"one by one": func(p *crashPool) {
			for _, w := range p.workers {
				p.poll(w)
				p.poll(w)
				p.plan()
				p.wait(time.Millisecond)
			}
		},
	}
	for name, learnRestarts := range learn {
		t.Run(name, func(t *testing.T) {
			p := newPowerPool(t)
			p.submit(1, powerTasks, 1)
			p.tick()
			p.g.Expect(p.running()).To(Equal(powerTasks), "tasks that are started")
			p.crashAll(p.workers)
			learnRestarts(p)
			p.ticks(placedAgainTime)
			p.g.Expect(p.running()).To(Equal(powerTasks), "tasks that are started again")
			p.g.Expect(scheduler.SuspectTasks(p.core)).To(BeZero(), "suspects")
		})
	}
}

// Guards against the same after all workers came back as others, each on the host of one
// that has crashed, while the entries of those are still listed.
func TestTasksArePlacedAgainAfterAllWorkersAreReplaced(t *testing.T) {
	p := newPowerPool(t)
	for _, w := range p.workers {
		w.listing.Host = "host of " + w.listing.Incarnation.ID
	}
	p.list()
	p.submit(1, powerTasks, 1)
	p.tick()
	p.g.Expect(p.running()).To(Equal(powerTasks), "tasks that are started")
	lost := p.workers
	for _, w := range lost {
		w.crash()
	}
	p.wait(10 * time.Millisecond)
	p.pollWorkers()
	p.wait(bootTime)
	for _, w := range lost {
		id := w.listing.Incarnation.ID + "+"
		p.addWorker(id, id)
		next := p.worker(id)
		next.listing.Host = w.listing.Host
		next.listing.Incarnation.StartedAt = w.listing.Incarnation.StartedAt + 1
	}
	p.ticks(placedAgainTime)
	p.g.Expect(p.running()).To(Equal(powerTasks), "tasks that are started again")
	p.g.Expect(scheduler.SuspectTasks(p.core)).To(BeZero(), "suspects")
}

// Guards against tasks that stay suspects because the crash of their worker was counted
// before the other crashes were known.
func TestCountsBeforeOtherCrashesAreKnownAreTakenBack(t *testing.T) {
	p := newPowerPool(t)
	p.submit(1, powerTasks, 1)
	p.tick()
	p.crashAll(p.workers)
	first := p.workers[0]
	p.poll(first)
	p.poll(first)
	p.g.Expect(scheduler.SuspectTasks(p.core)).To(BeNumerically(">", 0), "once one crash is known")
	p.list()
	p.g.Expect(scheduler.SuspectTasks(p.core)).To(BeZero(), "once all are known")
}

// Guards against a deadly job whose tasks crash all workers together and are not counted.
func TestWideDeadlyJobIsGivenUp(t *testing.T) {
	p := newPowerPool(t)
	id := p.submit(1, 1, powerTasks)[0]
	p.g.Expect(p.crashRounds(id)).To(BeNumerically("<=", wideCrashRounds))
	p.g.Expect(p.phase(id)).To(Equal(job.Failed))
}

// Guards against several deadly jobs that crash the workers together without end, since
// none of them alone is on all workers.
func TestDeadlyJobsThatCrashWorkersTogetherAreGivenUp(t *testing.T) {
	p := newPowerPool(t)
	ids := p.submit(1, 2, powerWorkers/2)
	p.g.Expect(p.crashRounds(ids...)).To(BeNumerically("<=", pairCrashRounds))
	for _, id := range ids {
		p.g.Expect(p.phase(id)).To(Equal(job.Failed))
	}
}

// crashRounds lets every worker crash that has started a task, again and again, until
// the jobs have ended. It returns how often workers crashed.
func (p *crashPool) crashRounds(ids ...job.ID) int {
	rounds := 0
	for range int(crashPatience / crashTick) {
		p.tick()
		var hit []*crashWorker
		for _, w := range p.workers {
			if len(w.runs) > 0 {
				hit = append(hit, w)
			}
		}
		if len(hit) > 0 {
			rounds++
			p.crashAll(hit)
		}
		ended := 0
		for _, id := range ids {
			if p.phase(id).Final() {
				ended++
			}
		}
		if ended == len(ids) {
			break
		}
	}
	return rounds
}

// Guards against crashes of a few workers for which no task is suspected any more.
func TestTasksAreSuspectedAfterCrashOfFewWorkers(t *testing.T) {
	p := newPowerPool(t)
	p.submit(1, powerTasks, 1)
	p.tick()
	crashed := p.workers[:powerWorkers/2-1]
	tasks := 0
	for _, w := range crashed {
		tasks += len(w.runs)
	}
	p.crashAll(crashed)
	p.list()
	p.pollWorkers()
	p.g.Expect(scheduler.SuspectTasks(p.core)).To(Equal(tasks))
}

// Guards against crashes that are taken for one event although a worker still answered
// after another had crashed.
func TestTasksAreSuspectedAfterCrashesOneAfterTheOther(t *testing.T) {
	p := newPowerPool(t)
	p.submit(1, powerTasks, 1)
	p.tick()
	for _, w := range p.workers {
		w.crash()
		p.wait(10 * time.Millisecond)
		p.pollWorkers()
		p.wait(crashTick)
		p.pollWorkers()
	}
	p.wait(bootTime)
	for _, w := range p.workers {
		p.restart(w)
	}
	p.list()
	p.pollWorkers()
	p.g.Expect(scheduler.SuspectTasks(p.core)).NotTo(BeZero())
}

// Guards against a power loss that is taken for one event though what a new holder knows
// of the workers does not tell when they crashed.
func TestCrashesBeforeTakeoverAreNoCommonEvent(t *testing.T) {
	p := newCorePool(t, 1)
	for i := range powerWorkers - 1 {
		id := fmt.Sprintf("w%d", i)
		p.addWorker(id, id)
	}
	p.list()
	p.pollWorkers()
	p.pollWorkers()
	p.g.Expect(p.awaitStart()).NotTo(BeNil())
	p.crashAll(p.workers)
	// The earlier holder has ended, so that it sends no more starts.
	p.earlierHolders = 0
	p.takeOver()
	p.pollWorkers()
	p.g.Expect(scheduler.PossibleCrashes(p.core)).To(Equal(1))
}

// Guards against tasks that crash all workers together again and again and are never
// suspected.
func TestTasksAreSuspectedAfterSecondCrashOfAllWorkersWithinMinute(t *testing.T) {
	p := newPowerPool(t)
	p.submit(1, powerTasks, 1)
	for round := range 2 {
		p.tick()
		p.g.Expect(p.running()).To(Equal(powerTasks), "tasks that are started")
		p.crashAll(p.workers)
		p.list()
		p.pollWorkers()
		suspects := scheduler.SuspectTasks(p.core)
		p.g.Expect(suspects > 0).To(Equal(round > 0), "%d suspects after crash %d", suspects, round+1)
	}
}

// Guards against deadly tasks that are acquitted although there are so few suspects that
// each can be isolated at once.
func TestTasksAreSuspectedAfterCrashWithFewSuspects(t *testing.T) {
	p := newPowerPool(t)
	p.submit(1, powerWorkers/2, 1)
	p.tick()
	p.crashAll(p.workers)
	p.list()
	p.pollWorkers()
	p.g.Expect(scheduler.SuspectTasks(p.core)).To(Equal(powerWorkers / 2))
}
