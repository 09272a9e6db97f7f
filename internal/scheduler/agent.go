package scheduler

import (
	"context"
	"time"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
)

// agent is what the runner keeps for one worker.
type agent struct {
	id    string
	wake  chan struct{}
	slots chan struct{}
	// last is when the last look ended.
	last time.Duration
}

// start orders a run until the order is answered.
func (r *Runner) start(ctx context.Context, a *agent, run job.RunID) {
	for ctx.Err() == nil {
		again := r.startOnce(ctx, a, run)
		if !again || !clock.Sleep(ctx, startRetry) {
			return
		}
	}
}

func (r *Runner) startOnce(ctx context.Context, a *agent, run job.RunID) (again bool) {
	a.slots <- struct{}{}
	defer func() { <-a.slots }()
	r.mu.Lock()
	s, send := r.core.StartOrder(run, a.id, r.opt.Clock.Now(), r.opt.Duty.Remaining())
	r.mu.Unlock()
	if send != SendNow {
		return send == SendLater
	}
	clock, err := r.opt.Control.Start(ctx, s.Target, s.Order)
	r.metrics.started(err)
	r.update(func(t Times) { again = r.core.Started(s, clock, err, t) })
	wake(a.wake)
	return again
}

func (r *Runner) stop(s Stop) {
	clock, err := r.opt.Control.Stop(context.Background(), s.Target, s.Run, s.Token)
	r.metrics.stopped(err)
	r.update(func(t Times) { r.core.Stopped(s, clock, err, t) })
}

func (r *Runner) pace(p Pace) {
	err := r.opt.Control.SetSpeed(context.Background(), p.Target, p.Run, p.Percent, p.Token)
	r.metrics.paced(err)
	r.update(func(Times) { r.core.Paced(p, err) })
}

// lookLoop looks at one worker as long as there is a reason to.
func (r *Runner) lookLoop(ctx context.Context, a *agent) {
	for ctx.Err() == nil {
		r.mu.Lock()
		at, ok := r.core.NextLook(a.id, a.last)
		if r.core.workers[a.id] == nil {
			delete(r.agents, a.id)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		if !ok {
			select {
			case <-ctx.Done():
			case <-a.wake:
			}
			continue
		}
		if wait := at - r.opt.Clock.Now(); wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-ctx.Done():
			case <-a.wake:
			case <-t.C:
			}
			t.Stop()
			continue
		}
		r.look(ctx, a)
	}
}

func (r *Runner) look(ctx context.Context, a *agent) {
	r.mu.Lock()
	if r.core.workers[a.id] == nil {
		r.mu.Unlock()
		return
	}
	l := r.core.Look(a.id, r.opt.Clock.Now(), r.opt.Duty.Remaining())
	r.mu.Unlock()
	rep, err := r.opt.Control.Poll(ctx, l.Target, l.Request)
	r.metrics.looked(err)
	r.update(func(t Times) {
		if err != nil {
			r.core.LookFailed(l, err, t)
		} else {
			r.core.Looked(l, rep, t)
		}
		a.last = t.Now
	})
}
