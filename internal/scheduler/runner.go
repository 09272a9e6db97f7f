package scheduler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/stage"
	"greengagedeck/internal/worker"
)

const (
	// planDelay is how long a plan waits for further changes, so that one
	// append covers them all.
	planDelay = 4 * time.Millisecond
	// planInterval is the longest time between two plans.
	planInterval = 250 * time.Millisecond
	// intakeWait is how long a read of the intake waits for a job.
	intakeWait = 500 * time.Millisecond
	// intakeGap is the least time between two reads of the intake.
	intakeGap = 5 * time.Millisecond
	// readRetry is the wait after a read of the log that failed.
	readRetry = 100 * time.Millisecond
	// startRetry is the wait before a start that was not answered is sent
	// again.
	startRetry = 50 * time.Millisecond
	// firstHeldRetry is the first wait after a start was held back: most workers that are
	// polled for it answer within that time. Later waits double up to startRetry.
	firstHeldRetry = 4 * time.Millisecond
	// maxOrdersPerWorker bounds the orders in flight to one worker.
	maxOrdersPerWorker = 3
)

// Duty tells how long this daemon may act for the pool.
type Duty interface {
	// Remaining returns how long this daemon may act without a further renewal,
	// or 0 when it may not act.
	Remaining() time.Duration
}

// RunnerOptions configure a Runner.
type RunnerOptions struct {
	Options
	Log     logstore.Log
	Clock   clock.Clock
	Control worker.Control
	// Approver is asked where an entry needs approval. It may be nil.
	Approver Approver
	// AcceptedElsewhere reports whether another pool has accepted a job that was stored
	// in the intake under an older configuration, if that can be decided now. It may be nil.
	AcceptedElsewhere func(context.Context, *joblog.Submission) (accepted, decided bool)
	// Customers returns the customers of the configuration in effect, or nil if it has
	// none. It may be nil.
	Customers func() *customer.Directory
	// Grants are for the customers that have a limit.
	Grants   GrantOptions
	Registry *worker.Registry
	Duty     Duty
	Logger   zerolog.Logger
	Scope    tally.Scope
}

// Runner carries out what a Core decides: it follows the intake and the list of
// workers, logs plans, sends starts and stops, and polls workers.
type Runner struct {
	opt      RunnerOptions
	metrics  metrics
	work     *stage.Meter
	progress *progress
	// planWake wakes the plan loop.
	planWake chan struct{}
	// approvalSlot admits one approval request at a time.
	approvalSlot chan struct{}
	// grantWanted receives when a task waits only for a grant.
	grantWanted chan struct{}
	// ended is closed when Run returns.
	ended chan struct{}

	mu     sync.Mutex
	core   *Core
	agents map[string]*agent
	// intakeReadUpTo is, for each intake partition, a moment up to which every
	// submission in it is known here.
	intakeReadUpTo map[logstore.Partition]time.Duration
	// undecided are the submissions of which another pool may have the job.
	undecided undecidedSubmissions
	// ready is set once what earlier holders logged has been loaded.
	ready bool
	// logWaiters are the callers that wait for a version of a job to be logged.
	logWaiters logWaiters
	// appendStarted is when the append in flight began, or 0 when there is
	// none.
	appendStarted time.Duration
}

// NewRunner returns a runner that does nothing until Run is called.
func NewRunner(o RunnerOptions) *Runner {
	o.Options.Logger = o.Logger
	m := newMetrics(o.Scope, o.Pool)
	return &Runner{
		opt:          o,
		metrics:      m,
		work:         stage.NewMeter(m.poolScope, o.Clock.Now(), planDelay),
		progress:     newProgress(o.Clock.Now()),
		planWake:     make(chan struct{}, 1),
		approvalSlot: make(chan struct{}, 1),
		grantWanted:  make(chan struct{}, 1),
		ended:        make(chan struct{}),
		core:         NewCore(o.Options, o.Clock.Now()),
		agents:       map[string]*agent{},
		logWaiters:   logWaiters{},

		intakeReadUpTo: map[logstore.Partition]time.Duration{},
		undecided:      undecidedSubmissions{},
	}
}

// times returns the readings of both clocks now.
func (r *Runner) times() Times {
	return Times{Now: r.opt.Clock.Now(), Wall: r.opt.Clock.Wall().UnixMilli()}
}

// Run schedules the pool until ctx ends, or until it cannot, for example because another
// daemon has taken over the pool.
func (r *Runner) Run(ctx context.Context) error {
	err := r.run(ctx)
	r.progress.end(err, r.opt.Clock.Now())
	close(r.ended)
	return err
}

// run does what Run does.
func (r *Runner) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	journal, err := joblog.OpenJournal(ctx, r.reported("pool's log takes no appends", "pool's log takes appends again"), r.opt.Pool, r.opt.Token)
	if err != nil {
		return err
	}
	r.enter(PhaseRestoring)
	r.mu.Lock()
	r.applyCustomers()
	r.mu.Unlock()
	if err := r.restore(ctx); err != nil {
		return err
	}
	r.enter(PhaseLoading)
	intake := r.intakeTails()
	if err := r.loadIntake(ctx, intake); err != nil {
		return err
	}
	defer r.opt.Registry.Watch(func(c worker.ListChange) { r.applyWorkerChange(ctx, c) })()
	var loops sync.WaitGroup
	defer loops.Wait()
	for p, tail := range intake {
		loops.Go(func() { r.followIntake(ctx, p, tail) })
	}
	loops.Go(func() { r.deleteLoop(ctx) })
	loops.Go(func() { r.decideLoop(ctx) })
	loops.Go(func() { r.followGrants(ctx) })
	defer cancel()
	return r.planLoop(ctx, journal)
}

// enter records that a phase begins.
func (r *Runner) enter(p Phase) { r.progress.enter(p, r.opt.Clock.Now()) }

// update applies a change to the core, which is work of a stage, and at once sends the
// orders that follow from it.
func (r *Runner) update(st stage.Stage, change func(Times)) {
	r.mu.Lock()
	start := time.Now()
	t := r.times()
	change(t)
	r.tellTakenBack()
	stops := r.core.StopOrders()
	speeds := r.core.SpeedOrders()
	needsPlan := r.core.NeedsPlan()
	r.wakeAgents(t.Now)
	r.work.Spent(st, time.Since(start))
	r.mu.Unlock()
	for _, s := range stops {
		go r.sendStop(s)
	}
	for _, s := range speeds {
		go r.sendSpeed(s)
	}
	if needsPlan {
		r.work.PlanWanted(t.Now)
		notify(r.planWake)
	}
}

// wakeAgents wakes the agents whose workers may have to be polled sooner. It must be
// called with mu held.
func (r *Runner) wakeAgents(now time.Duration) {
	for _, id := range r.core.Wakes() {
		if a := r.agents[id]; a != nil {
			a.wokenAt = now
			notify(a.wake)
		}
	}
}

// notify sends to ch unless a value is already waiting there.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// applyWorkerChange applies a change of the list of workers.
func (r *Runner) applyWorkerChange(ctx context.Context, c worker.ListChange) {
	r.update(stage.List, func(t Times) {
		if c.Full {
			r.core.ReplaceWorkers(c.Listed, t)
		} else {
			r.core.UpdateWorkers(c.Listed, c.Removed, t)
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.core.workers {
		r.agent(ctx, id)
	}
}

// errFencedByWorker means that a worker takes no orders of this holder.
var errFencedByWorker = eris.New("a worker has seen the token of a newer holder")

// planLoop makes, logs and carries out one plan after the other.
func (r *Runner) planLoop(ctx context.Context, j *joblog.Journal) error {
	for {
		r.enter(PhaseWaiting)
		r.awaitChange(ctx)
		if ctx.Err() != nil {
			return nil
		}
		r.enter(PhasePlanning)
		batch, fenced, err := r.plan()
		switch {
		case err != nil:
			return err
		case fenced:
			return errFencedByWorker
		}
		if err := r.appendBatch(ctx, j, batch); err != nil {
			return err
		}
		r.enter(PhaseCommitting)
		r.commit(ctx, batch)
		r.sendApprovalRequests(ctx)
	}
}

// plan makes a plan. It reports whether a worker takes no orders of this holder.
func (r *Runner) plan() (b *Batch, fenced bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trackIntakeLag()
	r.applyCustomers()
	t := r.times()
	r.work.PlanStarted(t.Now)
	start := time.Now()
	b = r.core.Decide(t)
	decided := time.Now()
	if b.AwaitsGrant {
		notify(r.grantWanted)
	}
	r.work.Spent(stage.Plan, decided.Sub(start))
	err = r.core.Encode(b, t)
	r.work.Spent(stage.Encode, time.Since(decided))
	if err == nil && r.core.tokens.usedUp {
		err = errTokensUsedUp
	}
	return b, r.core.fenced, err
}

// sendApprovalRequests sends the approval requests of a plan, one at a time:
// the service answers each caller in turn.
func (r *Runner) sendApprovalRequests(ctx context.Context) {
	r.mu.Lock()
	requests := r.core.ApprovalRequests()
	r.mu.Unlock()
	for _, req := range requests {
		go func() {
			r.approvalSlot <- struct{}{}
			defer func() { <-r.approvalSlot }()
			tickets, validity, err := r.opt.Approver.Approve(ctx, req.StepName(), req.WorkerIDs(), req.Expected)
			r.metrics.approvalAnswered(err)
			r.update(stage.Start, func(t Times) { r.core.ApprovalReceived(req, tickets, validity, err, t) })
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
	case <-r.planWake:
		clock.Sleep(ctx, planDelay)
	}
}

// commit carries out a logged batch: it starts the planned runs.
func (r *Runner) commit(ctx context.Context, b *Batch) {
	for _, duration := range b.JobDurations {
		r.metrics.jobDuration.RecordDuration(duration)
	}
	r.metrics.unseen.record(b.unseen)
	r.metrics.incarnations.record(b.incarnations)
	r.metrics.correlatedCrashes.Inc(b.CorrelatedCrashes)
	r.metrics.grantWaits.Inc(b.GrantWaits)
	r.metrics.excessJobs.Inc(b.ExcessJobs)
	r.metrics.checkpointsDropped.Inc(b.CheckpointsDropped)
	r.metrics.planWorkers.Inc(int64(b.Work.Workers))
	r.metrics.planGroups.Inc(int64(b.Work.Groups))
	var runs []job.RunID
	var committedAt time.Duration
	r.update(stage.Start, func(t Times) {
		committedAt = t.Now
		runs = r.core.Committed(b, t)
		r.logWaiters.logged(b.Versions())
	})
	workerOf := make(map[job.RunID]string, len(b.starts))
	for _, s := range slices.Concat(b.starts, b.repeatedStarts) {
		workerOf[s.run] = s.worker.ID
	}
	r.mu.Lock()
	agents := make([]*agent, len(runs))
	for i, run := range runs {
		agents[i] = r.agent(ctx, workerOf[run])
	}
	r.mu.Unlock()
	for i, run := range runs {
		go r.startRun(ctx, agents[i], run, committedAt)
	}
}
