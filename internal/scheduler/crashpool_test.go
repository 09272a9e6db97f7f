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
	// maxLease is the longest lease that the workers allow, and earlierHolders how long
	// earlier holders may act after a takeover.
	maxLease       time.Duration
	earlierHolders time.Duration
	log            map[string][]byte
	sub            *joblog.Submission
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
	p := &crashPool{g: NewWithT(t), now: scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000}, log: map[string][]byte{}, maxLease: simMaxLease, earlierHolders: simDutyLease}
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
		DutyLease: simDutyLease, EarlierHolders: p.earlierHolders, StatusRetention: time.Hour, Logger: zerolog.Nop(),
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
	if !w.up || poll.Target.Address != w.listing.Address {
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
	planned := slices.Concat(scheduler.BatchStarts(b), scheduler.RepeatedStarts(b))
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
