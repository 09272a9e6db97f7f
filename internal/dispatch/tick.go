package dispatch

import "time"

// tickInterval is how often running work is reclassified and the hosts are
// read again.
const tickInterval = 50 * time.Millisecond

// idleInterval is how often that happens for a pool without work.
const idleInterval = 500 * time.Millisecond

// due reports whether the pool should be ticked now. One without work is ticked
// seldom: its next request refreshes it.
func (p *poolQueue) due(now time.Time) bool {
	if p.age(now) >= idleInterval {
		return true
	}
	l := p.load()
	return l.Queued > 0 || l.Free < l.Slots
}

// stale reports whether the hosts and daemons were last read so long ago that a
// request should not rely on them.
func (p *poolQueue) stale(now time.Time) bool { return p.age(now) > 2*tickInterval }

func (p *poolQueue) age(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - p.applied.Load())
}

func (p *poolQueue) tick(now time.Time, v view) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applied.Store(now.UnixNano())
	p.apply(v)
	p.sched.Tick(now)
	p.pump(now)
	p.push()
	l := p.sched.Load()
	p.metrics.free.Update(float64(l.Free))
	p.metrics.queued.Update(float64(l.Queued))
}
