package pool

import (
	"greengagedeck/internal/option"
	"sync"
	"time"
)

// RejectedDemand computes how many slots the rejected requests of each pool would
// have used. Without it, the demand of a pool that rejects most of its requests
// would never exceed the capacity of its hosts.
type RejectedDemand struct {
	window time.Duration

	mu    sync.Mutex
	pools map[string]*poolRejections
}

// poolRejections counts the rejected requests of a pool by time window.
type poolRejections struct {
	// meanHoldTime is the mean time that a request of the pool holds a slot.
	meanHoldTime time.Duration
	// currentCount counts the rejections in the window that started at
	// windowStart, lastCount those in the window before.
	currentCount, lastCount int
	windowStart             time.Time
}

// holdTimeWeight is the weight of one request in the mean hold time.
const holdTimeWeight = 0.02

// NewRejectedDemand returns a RejectedDemand that counts in windows of the given
// length, or of DefaultDecisionInterval if window is 0.
func NewRejectedDemand(window time.Duration) *RejectedDemand {
	option.Default(&window, DefaultDecisionInterval)
	return &RejectedDemand{window: window, pools: map[string]*poolRejections{}}
}

// RecordRun records how long a request of pool held a slot.
func (r *RejectedDemand) RecordRun(pool string, holdTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.poolCounter(pool)
	if p.meanHoldTime == 0 {
		p.meanHoldTime = holdTime
		return
	}
	p.meanHoldTime += time.Duration(holdTimeWeight * float64(holdTime-p.meanHoldTime))
}

// RecordRejection records that a request of pool was rejected at now because no
// slot was free.
func (r *RejectedDemand) RecordRejection(pool string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.poolCounter(pool)
	p.advanceWindow(now, r.window)
	p.currentCount++
}

func (r *RejectedDemand) poolCounter(name string) *poolRejections {
	p, ok := r.pools[name]
	if !ok {
		p = &poolRejections{}
		r.pools[name] = p
	}
	return p
}

// advanceWindow starts a new window if the current one has ended.
func (p *poolRejections) advanceWindow(now time.Time, window time.Duration) {
	passed := now.Sub(p.windowStart)
	if passed < window {
		return
	}
	p.lastCount = p.currentCount
	if passed >= 2*window {
		p.lastCount = 0
	}
	p.currentCount, p.windowStart = 0, now
}

// RejectedSlots returns, by pool, how many slots the requests rejected in the
// last complete window would have used.
func (r *RejectedDemand) RejectedSlots(now time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	slots := map[string]float64{}
	for name, p := range r.pools {
		p.advanceWindow(now, r.window)
		if p.lastCount > 0 {
			slots[name] = float64(p.lastCount) * p.meanHoldTime.Seconds() / r.window.Seconds()
		}
	}
	return slots
}
