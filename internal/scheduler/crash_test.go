package scheduler_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

const (
	crashJob job.ID = "00000000000000cc"
	// crashTick is the time between two plans of a crashPool.
	crashTick = 200 * time.Millisecond
	// crashPatience is how long a crashPool waits for a start.
	crashPatience = 40 * time.Second
	// crashRounds is how often a test lets a worker crash.
	crashRounds = 8
	// maxDeadlyStarts is how often a deadly task may be started: until three
	// workers have crashed under it, and twice more.
	maxDeadlyStarts = simCrashBudget + simStartBudget - 1
)

// crashPool drives the core of a pool with one job. Its workers do what the test
// says.
type crashPool struct {
	g     *WithT
	now   scheduler.Times
	core  *scheduler.Core
	token int64
	// maxLease is the longest lease that the workers allow.
	maxLease time.Duration
	log      map[string][]byte
	sub      *joblog.Submission
	// workers are the workers that are listed, and gone those that were.
	workers, gone []*crashWorker
}

// crashWorker is a worker of a crashPool, and runs what runs there.
type crashWorker struct {
	listing worker.Listing
	booted  time.Duration
	up      bool
	runs    []job.RunID
}

// newCrashPool returns a pool of one worker with a job of one task.
func newCrashPool(t *testing.T) *crashPool { return newCorePool(t, 1) }

// newCorePool returns a pool of one worker with a job of equal tasks, of which the
// worker has room for four.
func newCorePool(t *testing.T, tasks int) *crashPool {
	p := &crashPool{g: NewWithT(t), now: scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000}, log: map[string][]byte{}, maxLease: simMaxLease}
	p.sub = &joblog.Submission{
		Spec:  job.Spec{ID: crashJob, Steps: []job.Step{{Count: tasks, Need: job.Resources{CPU: 1000}, Estimate: time.Second}}},
		Terms: job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 9},
	}
	p.addWorker("a", "a")
	p.takeOver()
	return p
}

// addWorker adds a worker that is up.
func (p *crashPool) addWorker(id, address string) {
	p.workers = append(p.workers, &crashWorker{
		listing: worker.Listing{
			Incarnation: job.Incarnation{ID: id, StartedAt: 1}, Address: address, Pool: simPool, Capacity: job.Resources{CPU: 4000},
		},
		booted: p.now.Now, up: true,
	})
}

// takeOver replaces the holder, which leaves nothing but the log.
func (p *crashPool) takeOver() {
	p.token++
	p.core = scheduler.NewCore(scheduler.Options{
		Pool: simPool, Token: p.token, PreviousToken: p.token - 1, Lease: simLease, MaxLease: p.maxLease, StopTimeout: simStopTimeout,
		DutyLease: simDutyLease, StatusRetention: time.Hour, Logger: zerolog.Nop(),
	}, p.now.Now)
	var records []joblog.ProgressRecord
	for _, key := range sortedKeys(p.log) {
		rec, ok, err := joblog.DecodeProgress(logstore.Record{Key: key, Value: p.log[key]})
		p.g.Expect(err).NotTo(HaveOccurred())
		if ok {
			records = append(records, rec)
		}
	}
	p.core.Restore(records, p.now)
	p.core.ApplyIntake([]joblog.IntakeRecord{{ID: crashJob, Submission: p.sub}}, p.now)
	p.list()
}

// list has the core read the list of workers.
func (p *crashPool) list() {
	var out []worker.Listing
	for _, w := range p.workers {
		out = append(out, w.listing)
	}
	p.core.ReplaceWorkers(out, p.now)
}

func (p *crashPool) clock(w *crashWorker) int64 { return 1 + (p.now.Now - w.booted).Milliseconds() }

func (p *crashPool) worker(id string) *crashWorker {
	for _, w := range p.workers {
		if w.listing.Incarnation.ID == id {
			return w
		}
	}
	return nil
}

// pollWorkers polls each worker. Those that are down do not answer.
func (p *crashPool) pollWorkers() {
	for _, w := range slices.Concat(p.workers, p.gone) {
		p.poll(w)
	}
}

func (p *crashPool) poll(w *crashWorker) {
	id := w.listing.Incarnation.ID
	if _, ok := p.core.NextPoll(id, 0); !ok {
		return
	}
	poll := p.core.Poll(id, p.now.Now, time.Second)
	if !w.up {
		p.core.PollFailed(poll, verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"), p.now)
		return
	}
	rep := worker.Report{StartedAt: w.listing.Incarnation.StartedAt, Clock: p.clock(w)}
	for _, r := range w.runs {
		rep.Running = append(rep.Running, worker.RunStatus{Run: r})
	}
	p.core.PollSucceeded(poll, rep, p.now)
}

// plan makes and logs a plan, and returns the starts that follow.
func (p *crashPool) plan() []scheduler.PlannedStart {
	b, err := p.core.Plan(p.now)
	p.g.Expect(err).NotTo(HaveOccurred())
	for _, e := range b.Progress {
		if len(e.Value) == 0 {
			delete(p.log, e.Key)
		} else {
			p.log[e.Key] = e.Value
		}
	}
	planned := scheduler.BatchStarts(b)
	committed := map[job.RunID]bool{}
	for _, r := range p.core.Committed(b, p.now) {
		committed[r] = true
	}
	var out []scheduler.PlannedStart
	for _, s := range planned {
		if committed[s.Run] {
			out = append(out, s)
		}
	}
	return out
}

// tick lets crashTick pass, reads the list, polls the workers and starts what is
// planned. It
// returns the worker that started the task, or nil.
func (p *crashPool) tick() *crashWorker {
	p.now.Now += crashTick
	p.now.Wall += crashTick.Milliseconds()
	p.list()
	p.pollWorkers()
	var started *crashWorker
	for _, s := range p.plan() {
		o, send := p.startOrder(s)
		p.g.Expect(send).To(Equal(scheduler.SendNow))
		started = p.worker(s.Worker)
		started.runs = append(started.runs, s.Run)
		p.core.StartAnswered(o, p.clock(started), nil, p.now)
	}
	return started
}

// startOrder returns the order of a start. Its worker is polled first if the core
// waits for its answer, as the runner does.
func (p *crashPool) startOrder(s scheduler.PlannedStart) (scheduler.StartOrder, scheduler.SendDecision) {
	o, send := p.core.StartOrder(s.Run, s.Worker, p.now.Now, time.Second)
	if send != scheduler.SendLater {
		return o, send
	}
	p.poll(p.worker(s.Worker))
	return p.core.StartOrder(s.Run, s.Worker, p.now.Now, time.Second)
}

// awaitStart returns the worker that starts the task next, or nil if the task is
// not started.
func (p *crashPool) awaitStart() *crashWorker {
	for range int(crashPatience / crashTick) {
		if w := p.tick(); w != nil {
			return w
		}
		if phase, _ := p.core.Lookup(crashJob); phase.Final() {
			return nil
		}
	}
	return nil
}

// crash ends a worker and its runs.
func (w *crashWorker) crash() { w.up, w.runs = false, nil }

// restart brings a worker up under its ID.
func (p *crashPool) restart(w *crashWorker) {
	w.listing.Incarnation.StartedAt++
	w.booted, w.up = p.now.Now, true
}

// wait lets d pass while nothing is polled or listed.
func (p *crashPool) wait(d time.Duration) {
	p.now.Now += d
	p.now.Wall += d.Milliseconds()
}

// unlist removes a worker that is gone and adds another.
func (p *crashPool) unlist(w *crashWorker, address string) {
	p.workers, p.gone = nil, append(p.gone, w)
	p.addWorker(w.listing.Incarnation.ID+"+", address)
	p.list()
}

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
	p.g.Expect(phase).To(Equal(job.Running))
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
	p.takeOver()
	rep := p.core.Report(p.now.Now, time.Second)
	p.g.Expect(rep.Workers).To(HaveLen(1))
	p.g.Expect(rep.Workers[0].Joining).To(BeTrue(), "listed and not polled yet")
	p.core.PollSucceeded(p.core.Poll("a", p.now.Now, time.Second), worker.Report{StartedAt: 2, Clock: p.clock(p.workers[0])}, p.now)
	p.g.Expect(p.plan()).To(HaveLen(1), "the task starts without a further entry of the list")
}
