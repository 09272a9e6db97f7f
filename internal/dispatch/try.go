package dispatch

import (
	"context"
	"errors"
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

const (
	// maxAttempts bounds the tries of one request at targets.
	maxAttempts = 3
	// maxGateMisses bounds how often a request may meet a host that has just
	// left the pool.
	maxGateMisses = 8
	// askTimeout is how long a request without a host in its zone waits for
	// the load of others.
	askTimeout = 100 * time.Millisecond
)

// try is the way of one request through this daemon.
type try struct {
	d     *Dispatcher
	p     *poolQueue
	entry catalogue.Entry
	req   *request.Request
	route route
	began time.Time

	avoid    string
	attempts int
	handed   bool // to another daemon, in vain
	unsure   bool // an earlier try may have run
	waited   bool // for the load of other zones
	misses   int
}

// next makes one step. After an error, again tells whether another step may
// follow.
func (t *try) next(ctx context.Context) (resp *request.Response, again bool, err error) {
	if now := time.Now(); t.p.stale(now) {
		t.p.tick(now, t.d.view(t.p.name, now))
	}
	j := t.d.job(t.entry, t.req)
	j.Avoid = t.avoid
	j.Foreign = j.Foreign || t.handed
	s, err := t.p.acquire(ctx, j, t.route, func(daemons map[string]string) { t.d.askLoads(t.p, daemons) })
	if err != nil {
		return nil, t.homeless(ctx, err), err
	}
	if s.HandTo != "" {
		return t.handOver(ctx, s.HandTo)
	}
	return t.attempt(ctx, s)
}

// handOver lets another daemon answer. If that one could not, the request
// waits here and is not handed over again.
func (t *try) handOver(ctx context.Context, to string) (*request.Response, bool, error) {
	t.route = route{}
	t.handed = true
	resp, err := t.d.handTo(ctx, t.p, to, t.req)
	if err == nil {
		resp.Attempts += t.attempts
		return resp, false, nil
	}
	if verdict.Of(err) == verdict.NotRun {
		return nil, ctx.Err() == nil, err
	}
	return nil, t.mayRetry(ctx, err), err
}

// attempt runs the request on the host it was given. The host's gate is held
// until the attempt is over, so that the host cannot change hands under it.
func (t *try) attempt(ctx context.Context, s Start) (*request.Response, bool, error) {
	leave, ok := t.d.opts.Gate.Enter(s.Target.Host, t.p.name)
	if !ok {
		return t.gateShut(ctx, s)
	}
	defer leave()
	t.attempts++
	if t.attempts == 1 && t.d.opts.Budget != nil {
		t.d.opts.Budget.Request(t.p.name)
	}
	queued := time.Since(t.began)
	t.p.metrics.started.Inc(1)
	t.p.metrics.wait.RecordDuration(queued)
	resp, err := t.d.opts.Doer.Do(ctx, s.Target, t.req)
	t.p.release(s.Job, verdict.Of(err) != verdict.NotRun)
	if err == nil {
		resp.Attempts = t.attempts
		resp.Queued = queued
		return resp, false, nil
	}
	t.avoid = s.Target.Host
	return nil, t.attempts < maxAttempts && t.mayRetry(ctx, err), err
}

// gateShut gives back the slot of a host that has left the pool since the
// hosts were last read.
func (t *try) gateShut(ctx context.Context, s Start) (*request.Response, bool, error) {
	t.misses++
	t.avoid = s.Target.Host
	t.p.metrics.gateShut.Inc(1)
	now := time.Now()
	v := t.d.view(t.p.name, now)
	t.p.release(s.Job, false)
	t.p.tick(now, v)
	err := verdict.NewNotRun(verdict.ReasonNoTarget, "host %s left the pool", s.Target.Host)
	return nil, t.misses < maxGateMisses && ctx.Err() == nil, err
}

// mayRetry reports whether a failed attempt may be followed by another: the
// request did not run or may run twice, there is time, and the budget allows.
func (t *try) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || t.d.opts.Budget == nil {
		return false
	}
	if verdict.Of(err) != verdict.NotRun && !t.req.Idempotent {
		return false
	}
	if !t.d.opts.Budget.Retry(t.p.name) {
		return false
	}
	t.p.metrics.retries.Inc(1)
	return true
}

// homeless waits for another zone's load if no host of this zone can run the
// request, and reports whether to look again.
func (t *try) homeless(ctx context.Context, err error) bool {
	var e *verdict.Error
	if !t.route.zone || t.waited || !errors.As(err, &e) || e.Reason != verdict.ReasonNoTarget {
		return false
	}
	t.waited = true
	select {
	case <-t.p.nextAnswer():
	case <-time.After(askTimeout):
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// askLoads asks a daemon of each of some zones for its load.
func (d *Dispatcher) askLoads(p *poolQueue, daemons map[string]string) {
	for zone, id := range daemons {
		go d.askLoad(p, zone, id)
	}
}

// askLoad asks one daemon of another zone.
func (d *Dispatcher) askLoad(p *poolQueue, zone, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	asked := time.Now()
	var l Load
	if err := d.opts.Caller.Call(ctx, id, methodLoad, loadMessage{Pool: p.name}, &l); err != nil {
		return
	}
	p.answered(zone, l, time.Since(asked))
}

// settle returns the error of the whole request and counts it. A last try that
// did not run does not undo an earlier one that may have.
func (t *try) settle(err error) error {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return err
	}
	t.p.metrics.refused(e.Reason)
	if e.Verdict != verdict.NotRun || !t.unsure {
		return err
	}
	raised := *e
	raised.Verdict = verdict.MayHaveRun
	return &raised
}
