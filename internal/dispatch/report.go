package dispatch

import (
	"context"
	"sync"
	"time"

	"greengagedeck/internal/peer"
)

// sendTimeout bounds how long a report may wait for a connection.
const sendTimeout = 20 * time.Millisecond

// reporter collects the pools whose state may have changed, and tells the
// zone-mates in one message for all of them.
type reporter struct {
	wake chan struct{}

	mu    sync.Mutex
	dirty map[*poolQueue]struct{}
}

func newReporter() *reporter {
	return &reporter{wake: make(chan struct{}, 1), dirty: map[*poolQueue]struct{}{}}
}

// mark must not block: it is called with a pool's lock held.
func (r *reporter) mark(p *poolQueue) {
	r.mu.Lock()
	r.dirty[p] = struct{}{}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *reporter) take() []*poolQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*poolQueue, 0, len(r.dirty))
	for p := range r.dirty {
		out = append(out, p)
	}
	clear(r.dirty)
	return out
}

// runReports sends reports and pulls until ctx ends.
func (d *Dispatcher) runReports(ctx context.Context) {
	again := time.NewTimer(time.Hour)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.reports.wake:
		case <-again.C:
		}
		if wait := d.sendReports(ctx); wait > 0 {
			again.Reset(wait)
		}
	}
}

// sendReports returns when a report that is due later should be sent, or 0.
func (d *Dispatcher) sendReports(ctx context.Context) time.Duration {
	now := time.Now()
	states := map[string]State{}
	var wait time.Duration
	for _, p := range d.reports.take() {
		r := p.report(now)
		if r.send {
			states[p.name] = r.state
		}
		if r.again > 0 {
			d.reports.keep(p)
			wait = sooner(wait, r.again)
		}
		if r.pull != "" {
			d.send(ctx, r.pull, methodPull, pullMessage{Pool: p.name, Long: r.pullLong, State: r.state})
		}
	}
	if len(states) == 0 {
		return wait
	}
	for _, mate := range d.mates() {
		d.send(ctx, mate, methodReport, reportMessage{Pools: states})
	}
	return wait
}

// send gives up soon: a mate that cannot be reached must not hold up what the
// others are told. A message that is lost is made good by the next report.
func (d *Dispatcher) send(ctx context.Context, to string, m peer.Method, msg any) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_ = d.opts.Caller.Send(ctx, to, m, msg)
}

// keep marks a pool again without waking the reporter.
func (r *reporter) keep(p *poolQueue) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirty[p] = struct{}{}
}

// sooner is the lesser of two times of which 0 is never.
func sooner(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}
