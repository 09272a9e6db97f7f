package scheduler

import (
	"context"
	"time"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
	"greengagedeck/internal/stage"
)

// idleCheck is the longest time for which the agent of an idle worker sleeps.
const idleCheck = time.Second

// agent is the runner's state for one worker.
type agent struct {
	id string
	// wake ends the wait for the next poll early, and orderSlots bounds the
	// orders in flight.
	wake       chan struct{}
	orderSlots chan struct{}
	// lastPoll is when the last poll ended, wokenAt when the agent was last woken, and
	// notDueAt when no poll was due last.
	lastPoll, wokenAt, notDueAt time.Duration
}

// agent returns the agent of a worker and starts it if there is none. It must
// be called with mu held.
func (r *Runner) agent(ctx context.Context, id string) *agent {
	a := r.agents[id]
	if a == nil {
		a = &agent{id: id, wokenAt: r.opt.Clock.Now(), wake: make(chan struct{}, 1), orderSlots: make(chan struct{}, maxOrdersPerWorker)}
		r.agents[id] = a
		go r.pollLoop(ctx, a)
	}
	return a
}

// startRun sends the start of a run, which is in the log since committedAt, until it is
// answered or no longer wanted.
func (r *Runner) startRun(ctx context.Context, a *agent, run job.RunID, committedAt time.Duration) {
	r.work.Waited(stage.Start, r.opt.Clock.Now()-committedAt)
	heldRetry := firstHeldRetry
	for ctx.Err() == nil {
		resend, held := r.sendStart(ctx, a, run)
		wait := startRetry
		if held {
			wait = heldRetry
			heldRetry = min(2*heldRetry, startRetry)
		}
		if !resend || !clock.Sleep(ctx, wait) {
			return
		}
	}
}

// sendStart sends the start of a run once. It returns whether the start should be sent
// again, and whether it was held back.
func (r *Runner) sendStart(ctx context.Context, a *agent, run job.RunID) (resend, held bool) {
	a.orderSlots <- struct{}{}
	defer func() { <-a.orderSlots }()
	var s StartOrder
	var send SendDecision
	r.update(stage.Start, func(t Times) { s, send = r.core.StartOrder(run, a.id, t.Now, r.opt.Duty.Remaining()) })
	if send != SendNow {
		return send == SendLater, true
	}
	clock, err := r.opt.Control.Start(ctx, s.Target, s.Order)
	r.metrics.startAnswered(err)
	r.update(stage.Start, func(t Times) { resend = r.core.StartAnswered(s, clock, err, t) })
	return resend, false
}

// sendStop sends a stop.
func (r *Runner) sendStop(s StopOrder) {
	s.sentAt = r.opt.Clock.Now()
	reading, err := r.opt.Control.Stop(context.Background(), s.Target, s.Run, s.Token)
	r.metrics.stopAnswered(err)
	if err != nil {
		// The core has the stop sent again as soon as it knows of the error.
		clock.Sleep(context.Background(), startRetry)
	}
	r.update(stage.Start, func(t Times) { r.core.StopAnswered(s, reading, err, t) })
}

// sendSpeed sends a change of speed.
func (r *Runner) sendSpeed(s SpeedOrder) {
	err := r.opt.Control.SetSpeed(context.Background(), s.Target, s.Run, s.Percent, s.Token)
	r.metrics.speedAnswered(err)
	r.update(stage.Start, func(Times) { r.core.SpeedAnswered(s, err) })
}

// pollLoop polls one worker until the core no longer tracks it.
func (r *Runner) pollLoop(ctx context.Context, a *agent) {
	for ctx.Err() == nil {
		r.mu.Lock()
		at, ok := r.core.NextPoll(a.id, a.lastPoll)
		if r.core.workers[a.id] == nil {
			delete(r.agents, a.id)
			r.mu.Unlock()
			return
		}
		wokenAt := a.wokenAt
		r.mu.Unlock()
		now := r.opt.Clock.Now()
		wait := idleCheck
		if ok {
			wait = at - now
		}
		if wait > 0 {
			a.notDueAt = now
			t := time.NewTimer(wait)
			select {
			case <-ctx.Done():
			case <-a.wake:
			case <-t.C:
			}
			t.Stop()
			continue
		}
		r.work.Waited(stage.Poll, now-max(at, wokenAt, a.notDueAt))
		r.poll(ctx, a)
	}
}

// poll polls a worker once.
func (r *Runner) poll(ctx context.Context, a *agent) {
	r.mu.Lock()
	if r.core.workers[a.id] == nil {
		r.mu.Unlock()
		return
	}
	p := r.core.Poll(a.id, r.opt.Clock.Now(), r.opt.Duty.Remaining())
	r.mu.Unlock()
	rep, err := r.opt.Control.Poll(ctx, p.Target, p.Request)
	r.metrics.pollAnswered(err)
	r.work.Spent(stage.Decode, rep.DecodeTime)
	r.update(stage.Poll, func(t Times) {
		if err != nil {
			r.core.PollFailed(p, err, t)
		} else {
			r.core.PollSucceeded(p, rep, t)
		}
		a.lastPoll = t.Now
	})
}
