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
	// maxAttempts bounds the attempts of one request at targets.
	maxAttempts = 3
	// maxGateMisses bounds how often the gate may reject a request because
	// the host that it was assigned has just left the pool.
	maxGateMisses = 8
	// loadQueryTimeout bounds a load query, and how long a request without
	// a host in its zone waits for the load of other zones.
	loadQueryTimeout = 100 * time.Millisecond
)

// requestExecution is the state of one request on this daemon, over all its
// attempts and handovers.
type requestExecution struct {
	dispatcher *Dispatcher
	pool       *poolQueue
	entry      catalogue.Entry
	req        *request.Request
	scope      handoverScope
	startedAt  time.Time

	avoidHost      string
	attempts       int
	handoverTried  bool // another daemon was asked to serve the request
	mayHaveRun     bool // an earlier attempt may have run
	waitedForLoads bool // has waited for the load of other zones
	gateMisses     int
}

// step makes one attempt or handover. After an error, again reports whether
// another step may follow.
func (t *requestExecution) step(ctx context.Context) (resp *request.Response, again bool, err error) {
	if now := time.Now(); t.pool.viewStale(now) {
		t.pool.tick(now, t.dispatcher.readPoolView(t.pool.name, now))
	}
	j := t.dispatcher.newJob(t.entry, t.req)
	j.AvoidHost = t.avoidHost
	j.NoHandover = j.NoHandover || t.handoverTried
	s, err := t.pool.acquire(ctx, j, t.scope, func(daemons map[string]string) { t.dispatcher.queryLoads(t.pool, daemons) })
	if err != nil {
		return nil, t.waitForZoneLoads(ctx, err), err
	}
	if s.HandOverTo != "" {
		return t.handOver(ctx, s.HandOverTo)
	}
	return t.attempt(ctx, s)
}

// handOver has another daemon serve the request. If that daemon could not, the
// request waits here and is not handed over again.
func (t *requestExecution) handOver(ctx context.Context, to string) (*request.Response, bool, error) {
	t.scope = handoverScope{}
	t.handoverTried = true
	resp, err := t.dispatcher.sendHandover(ctx, t.pool, to, t.req)
	if err == nil {
		resp.Attempts += t.attempts
		return resp, false, nil
	}
	if verdict.Of(err) == verdict.NotRun {
		return nil, ctx.Err() == nil, err
	}
	return nil, t.mayRetry(ctx, err), err
}

// attempt runs the request on the host it was assigned. The host's gate is held
// until the attempt is over, so that the host cannot change owner during it.
func (t *requestExecution) attempt(ctx context.Context, s Decision) (*request.Response, bool, error) {
	leave, ok := t.dispatcher.opts.Gate.Enter(s.Target.Host, t.pool.name)
	if !ok {
		return t.releaseRemovedHost(ctx, s)
	}
	defer leave()
	t.attempts++
	if t.attempts == 1 && t.dispatcher.opts.RetryBudget != nil {
		t.dispatcher.opts.RetryBudget.RecordRequest(t.pool.name)
	}
	queued := time.Since(t.startedAt)
	t.pool.metrics.started.Inc(1)
	t.pool.metrics.wait.RecordDuration(queued)
	resp, err := t.dispatcher.opts.Executor.Do(ctx, s.Target, t.req)
	t.pool.release(s.Job, verdict.Of(err) != verdict.NotRun)
	if err == nil {
		resp.Attempts = t.attempts
		resp.Queued = queued
		return resp, false, nil
	}
	t.avoidHost = s.Target.Host
	return nil, t.attempts < maxAttempts && t.mayRetry(ctx, err), err
}

// releaseRemovedHost gives back the slot of a host that has left the pool since
// the hosts were last read.
func (t *requestExecution) releaseRemovedHost(ctx context.Context, s Decision) (*request.Response, bool, error) {
	t.gateMisses++
	t.avoidHost = s.Target.Host
	t.pool.metrics.gateMisses.Inc(1)
	now := time.Now()
	v := t.dispatcher.readPoolView(t.pool.name, now)
	t.pool.release(s.Job, false)
	t.pool.tick(now, v)
	err := verdict.NewNotRun(verdict.ReasonNoTarget, "host %s left the pool", s.Target.Host)
	return nil, t.gateMisses < maxGateMisses && ctx.Err() == nil, err
}

// mayRetry reports whether a failed attempt may be followed by another: the
// request did not run or is idempotent, there is time left, and the retry
// budget allows it.
func (t *requestExecution) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || t.dispatcher.opts.RetryBudget == nil {
		return false
	}
	if verdict.Of(err) != verdict.NotRun && !t.req.Idempotent {
		return false
	}
	if !t.dispatcher.opts.RetryBudget.AllowRetry(t.pool.name) {
		return false
	}
	t.pool.metrics.retries.Inc(1)
	return true
}

// waitForZoneLoads waits for another zone's load if no host of this zone can
// run the request, and reports whether to try again.
func (t *requestExecution) waitForZoneLoads(ctx context.Context, err error) bool {
	var e *verdict.Error
	if !t.scope.otherZone || t.waitedForLoads || !errors.As(err, &e) || e.Reason != verdict.ReasonNoTarget {
		return false
	}
	t.waitedForLoads = true
	select {
	case <-t.pool.nextZoneLoad():
	case <-time.After(loadQueryTimeout):
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// queryLoads queries one daemon of each of the given zones for its load.
func (d *Dispatcher) queryLoads(p *poolQueue, daemons map[string]string) {
	for zone, id := range daemons {
		go d.queryLoad(p, zone, id)
	}
}

// queryLoad queries one daemon of another zone for its load.
func (d *Dispatcher) queryLoad(p *poolQueue, zone, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), loadQueryTimeout)
	defer cancel()
	sent := time.Now()
	var l Load
	if err := d.opts.Caller.Call(ctx, id, methodLoad, loadMessage{Pool: p.name}, &l); err != nil {
		return
	}
	p.observeZoneLoad(zone, l, time.Since(sent))
}

// finalError returns the error of the whole request and counts it. If an
// earlier attempt may have run, the verdict is MayHaveRun even when the last
// attempt did not run.
func (t *requestExecution) finalError(err error) error {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return err
	}
	t.pool.metrics.countRejection(e.Reason)
	if e.Verdict != verdict.NotRun || !t.mayHaveRun {
		return err
	}
	changed := *e
	changed.Verdict = verdict.MayHaveRun
	return &changed
}
