package pool

import (
	"greengagedeck/internal/option"
	"sync"
	"time"
)

// Refusals tells how many slots the refused work of each pool would have
// filled. Without it a pool that refuses most of what comes looks no busier
// than its own hosts.
type Refusals struct {
	window time.Duration

	mu    sync.Mutex
	pools map[string]*refused
}

// refused counts a pool's refusals in windows of time.
type refused struct {
	// held is the mean time that a request of the pool holds a slot.
	held time.Duration
	// current counts the window that started at since, last the one before.
	current, last int
	since         time.Time
}

// heldShare is the weight of one request in the mean time that slots are held.
const heldShare = 0.02

// NewRefusals returns a Refusals that counts in windows of the given length, or
// of DefaultDecideInterval.
func NewRefusals(window time.Duration) *Refusals {
	option.Default(&window, DefaultDecideInterval)
	return &Refusals{window: window, pools: map[string]*refused{}}
}

// Ran notes that a request of pool held a slot.
func (r *Refusals) Ran(pool string, held time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(pool)
	if p.held == 0 {
		p.held = held
		return
	}
	p.held += time.Duration(heldShare * float64(held-p.held))
}

// Refused notes that a request of pool was refused at now for want of slots.
func (r *Refusals) Refused(pool string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(pool)
	p.turn(now, r.window)
	p.current++
}

func (r *Refusals) pool(name string) *refused {
	p, ok := r.pools[name]
	if !ok {
		p = &refused{}
		r.pools[name] = p
	}
	return p
}

// turn starts another window when the current one has ended.
func (p *refused) turn(now time.Time, window time.Duration) {
	passed := now.Sub(p.since)
	if passed < window {
		return
	}
	p.last = p.current
	if passed >= 2*window {
		p.last = 0
	}
	p.current, p.since = 0, now
}

// Slots returns, by pool, how many slots the work refused in the last whole
// window would have filled.
func (r *Refusals) Slots(now time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	slots := map[string]float64{}
	for name, p := range r.pools {
		p.turn(now, r.window)
		if p.last > 0 {
			slots[name] = float64(p.last) * p.held.Seconds() / r.window.Seconds()
		}
	}
	return slots
}
