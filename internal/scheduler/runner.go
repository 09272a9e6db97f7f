package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/worker"
)

const (
	// planDelay is how long a plan waits for further changes, so that one
	// append covers them all.
	planDelay = 4 * time.Millisecond
	// planInterval is the longest time between two plans.
	planInterval = 250 * time.Millisecond
	// intakeWait is how long a read of the intake waits for a job.
	intakeWait = time.Second
	// intakeGap is the least time between two reads of the intake.
	intakeGap = 5 * time.Millisecond
	// readRetry is the wait after a read of the log that failed.
	readRetry = 100 * time.Millisecond
	// forgetInterval is the time between removals of ended jobs' submissions.
	forgetInterval = 2 * time.Second
	// startRetry is the wait before a start that was not answered is ordered
	// again.
	startRetry = 50 * time.Millisecond
	// ordersAtOnce bounds the orders under way to one worker.
	ordersAtOnce = 3
)

// Duty tells how long this daemon may act for the pool.
type Duty interface {
	// Remaining returns how long without a further renewal, 0 for not at all.
	Remaining() time.Duration
}

// RunnerOptions configure a Runner.
type RunnerOptions struct {
	Options
	Log     logstore.Log
	Clock   clock.Clock
	Control worker.Control
	// Advisor is asked where an entry needs approval. It may be nil.
	Advisor  Advisor
	Registry *worker.Registry
	Duty     Duty
	Logger   zerolog.Logger
	Scope    tally.Scope
}

// Runner carries out what a Core decides: it follows the intake and the list of
// workers, logs plans, orders starts and stops and looks at workers.
type Runner struct {
	opt     RunnerOptions
	metrics metrics
	wake    chan struct{}
	// asking admits one question to the advisor at a time.
	asking chan struct{}
	// ended is closed when Run returns.
	ended chan struct{}

	mu     sync.Mutex
	core   *Core
	agents map[string]*agent
	// confirmed is a moment up to which no submission is unknown here.
	confirmed time.Duration
	// ready is set once what earlier holders logged has been taken in.
	ready  bool
	forget []logstore.Entry
	// waiters wait for a version of a job to be logged.
	waiters map[job.ID][]waiter
	// appending is since when the log has been asked to take a batch, 0 for
	// no batch.
	appending time.Duration
}

// waiter waits for a version of a job to be logged.
type waiter struct {
	version int
	done    chan struct{}
}

// NewRunner returns a runner that does nothing until Run.
func NewRunner(o RunnerOptions) *Runner {
	o.Options.Logger = o.Logger
	return &Runner{
		opt:     o,
		metrics: newMetrics(o.Scope),
		wake:    make(chan struct{}, 1),
		asking:  make(chan struct{}, 1),
		ended:   make(chan struct{}),
		core:    NewCore(o.Options, o.Clock.Now()),
		agents:  map[string]*agent{},
		waiters: map[job.ID][]waiter{},
	}
}

func (r *Runner) times() Times {
	return Times{Now: r.opt.Clock.Now(), Wall: r.opt.Clock.Wall().UnixMilli()}
}

// Run schedules the pool until ctx ends or another holder has taken it.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(r.ended)
	journal, err := joblog.OpenJournal(ctx, r.opt.Log, r.opt.Pool, r.opt.Token)
	if err != nil {
		return err
	}
	if err := r.restore(ctx); err != nil {
		return err
	}
	intake := logstore.NewTail(r.opt.Log, joblog.IntakePartition(r.opt.Pool))
	if err := r.firstIntake(ctx, intake); err != nil {
		return err
	}
	defer r.opt.Registry.Watch(func(c worker.Change) { r.list(ctx, c) })()
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { r.followIntake(ctx, intake) })
	loops.Go(func() { r.forgetLoop(ctx) })
	defer cancel()
	return r.planLoop(ctx, journal)
}

// update changes the core and carries out what follows from that at once.
func (r *Runner) update(change func(Times)) {
	r.mu.Lock()
	change(r.times())
	stops := r.core.Stops()
	paces := r.core.Paces()
	changed := r.core.Changed()
	r.mu.Unlock()
	for _, s := range stops {
		go r.stop(s)
	}
	for _, p := range paces {
		go r.pace(p)
	}
	if changed {
		wake(r.wake)
	}
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// list takes in a change of the list of workers.
func (r *Runner) list(ctx context.Context, c worker.Change) {
	r.update(func(t Times) {
		if c.Whole {
			r.core.Replace(c.Listed, t)
		} else {
			r.core.List(c.Listed, c.Removed, t)
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.core.workers {
		r.agent(ctx, id)
	}
}

// agent returns the agent of a worker and starts it if there is none. It must
// be called with mu held.
func (r *Runner) agent(ctx context.Context, id string) *agent {
	a := r.agents[id]
	if a == nil {
		a = &agent{id: id, wake: make(chan struct{}, 1), slots: make(chan struct{}, ordersAtOnce)}
		r.agents[id] = a
		go r.lookLoop(ctx, a)
	}
	return a
}

// planLoop plans, logs and orders, one batch after the other.
func (r *Runner) planLoop(ctx context.Context, j *joblog.Journal) error {
	for {
		r.awaitChange(ctx)
		if ctx.Err() != nil {
			return nil
		}
		r.mu.Lock()
		batch, err := r.core.Plan(r.times())
		r.mu.Unlock()
		if err != nil {
			return err
		}
		if err := r.log(ctx, j, batch); err != nil {
			return err
		}
		r.commit(ctx, batch)
		r.ask(ctx)
	}
}

// ask puts the questions of a plan to the advisor, one after the other: it
// answers each caller in turn.
func (r *Runner) ask(ctx context.Context) {
	r.mu.Lock()
	questions := r.core.Questions()
	r.mu.Unlock()
	for _, q := range questions {
		go func() {
			r.asking <- struct{}{}
			defer func() { <-r.asking }()
			tickets, validity, err := r.opt.Advisor.Advise(ctx, q.Step(), q.IDs(), q.Expected)
			r.metrics.advised(err)
			r.update(func(t Times) { r.core.Advised(q, tickets, validity, err, t) })
		}()
	}
}

// awaitChange waits until there is something to plan.
func (r *Runner) awaitChange(ctx context.Context) {
	r.mu.Lock()
	wait := planInterval
	if due, ok := r.core.Due(r.times().Wall); ok {
		wait = min(wait, due)
	}
	r.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-r.wake:
		clock.Sleep(ctx, planDelay)
	}
}

func (r *Runner) log(ctx context.Context, j *joblog.Journal, b *Batch) error {
	if len(b.Progress) == 0 {
		return nil
	}
	start := time.Now()
	r.noteAppending(r.opt.Clock.Now())
	err := j.Append(ctx, b.Progress)
	r.noteAppending(0)
	r.metrics.appended(len(b.Progress), time.Since(start))
	if errors.Is(err, logstore.ErrFenced) {
		r.opt.Logger.Warn().Int64("token", r.opt.Token).Msg("another holder has taken the pool's log")
	}
	return err
}

// commit orders what a logged batch starts.
func (r *Runner) commit(ctx context.Context, b *Batch) {
	for _, took := range b.JobTimes {
		r.metrics.jobTime.RecordDuration(took)
	}
	var runs []job.RunID
	r.update(func(t Times) {
		runs = r.core.Committed(b, t)
		r.forget = append(r.forget, b.Forget...)
		r.release(b.Versions())
	})
	where := make(map[job.RunID]string, len(b.starts))
	for _, s := range b.starts {
		where[s.run] = s.worker.ID
	}
	r.mu.Lock()
	for id := range b.ends {
		wake(r.agent(ctx, id).wake)
	}
	agents := make([]*agent, len(runs))
	for i, run := range runs {
		agents[i] = r.agent(ctx, where[run])
	}
	r.mu.Unlock()
	for i, run := range runs {
		go r.start(ctx, agents[i], run)
	}
}

func (r *Runner) noteAppending(since time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appending = since
}

// release tells those who waited for versions that are logged now. It must be
// called with mu held.
func (r *Runner) release(versions map[job.ID]int) {
	for id, version := range versions {
		left := r.waiters[id][:0]
		for _, w := range r.waiters[id] {
			if w.version <= version {
				close(w.done)
			} else {
				left = append(left, w)
			}
		}
		if len(left) == 0 {
			delete(r.waiters, id)
		} else {
			r.waiters[id] = left
		}
	}
}

// forgetLoop removes the submissions of ended jobs. A removal that fails is
// dropped: the next holder finds the job ended and removes it.
func (r *Runner) forgetLoop(ctx context.Context) {
	for clock.Sleep(ctx, forgetInterval) {
		r.mu.Lock()
		entries := r.forget
		r.forget = nil
		r.mu.Unlock()
		if len(entries) == 0 {
			continue
		}
		if _, err := r.opt.Log.Append(ctx, joblog.IntakePartition(r.opt.Pool), entries, logstore.Condition{}); err != nil {
			r.opt.Logger.Debug().Err(err).Int("entries", len(entries)).Msg("submissions not removed")
		}
	}
}
