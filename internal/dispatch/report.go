package dispatch

import (
	"context"
	"sync"
	"time"

	"greengagedeck/internal/peer"
)

// sendTimeout bounds how long a report may wait for a connection.
const sendTimeout = 20 * time.Millisecond

// reporter collects the pools whose state may have changed, so that the zone
// peers get one message for all of them.
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

func (r *reporter) takeDirty() []*poolQueue {
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
		case <-d.reporter.wake:
		case <-again.C:
		}
		if wait := d.sendReports(ctx); wait > 0 {
			again.Reset(wait)
		}
	}
}

// sendReports sends the reports and pulls that are due. It returns when a
// report that is due later should be sent, or 0.
func (d *Dispatcher) sendReports(ctx context.Context) time.Duration {
	now := time.Now()
	states := map[string]PoolState{}
	var wait time.Duration
	for _, p := range d.reporter.takeDirty() {
		r := p.report(now)
		if r.send {
			states[p.name] = r.state
		}
		if r.retryIn > 0 {
			d.reporter.markWithoutWake(p)
			wait = earlier(wait, r.retryIn)
		}
		if r.pullFrom != "" {
			d.sendMessage(ctx, r.pullFrom, methodPull, pullMessage{Pool: p.name, Long: r.pullLong, State: r.state})
		}
	}
	if len(states) == 0 {
		return wait
	}
	for _, zonePeer := range d.zonePeers() {
		d.sendMessage(ctx, zonePeer, methodReport, reportMessage{Pools: states})
	}
	return wait
}

// sendMessage gives up after sendTimeout: a zone peer that cannot be reached
// must not delay the messages to the others. The next report makes up for a
// lost message.
func (d *Dispatcher) sendMessage(ctx context.Context, to string, m peer.Method, msg any) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_ = d.opts.Caller.Send(ctx, to, m, msg)
}

// markWithoutWake marks a pool again without waking the reporter.
func (r *reporter) markWithoutWake(p *poolQueue) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirty[p] = struct{}{}
}

// earlier returns the lesser of two times, where 0 means never.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}
