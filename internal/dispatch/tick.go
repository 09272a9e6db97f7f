package dispatch

import "time"

// tickInterval is how often running jobs are reclassified and the hosts are
// read again.
const tickInterval = 50 * time.Millisecond

// idleTickInterval is how often that happens for a pool without work.
const idleTickInterval = 500 * time.Millisecond

// tickDue reports whether the pool should be ticked now. A pool without work is
// ticked seldom: its next request refreshes it.
func (p *poolQueue) tickDue(now time.Time) bool {
	if p.viewAge(now) >= idleTickInterval {
		return true
	}
	l := p.load()
	return l.Queued > 0 || l.Free < l.Slots
}

// viewStale reports whether the hosts and daemons were last read so long ago
// that a request should not rely on them.
func (p *poolQueue) viewStale(now time.Time) bool { return p.viewAge(now) > 2*tickInterval }

func (p *poolQueue) viewAge(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - p.lastTick.Load())
}

func (p *poolQueue) tick(now time.Time, v poolView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastTick.Store(now.UnixNano())
	p.apply(v)
	p.scheduler.Tick(now)
	p.dispatchReady(now)
	p.handOverToPeers()
	l := p.scheduler.Load()
	p.metrics.free.Update(float64(l.Free))
	p.metrics.queued.Update(float64(l.Queued))
}
