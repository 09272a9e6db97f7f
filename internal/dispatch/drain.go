package dispatch

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// inflightRequests counts the requests that are being served.
type inflightRequests struct {
	mu       sync.Mutex
	count    int
	draining bool
	idle     chan struct{} // closed when draining and count is 0
}

func newInflightRequests() *inflightRequests { return &inflightRequests{idle: make(chan struct{})} }

// enter reports false once draining has begun.
func (f *inflightRequests) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.count++
	return true
}

func (f *inflightRequests) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.draining && f.count == 0 {
		close(f.idle)
	}
}

// startDraining makes enter fail from now on. It reports whether this was the
// first call.
func (f *inflightRequests) startDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.draining = true
	if f.count == 0 {
		close(f.idle)
	}
	return true
}

// Drain stops gracefully. New requests are rejected as not run, waiting ones
// are handed over to zone peers or rejected, and requests in progress are
// finished. It returns once none is left, or when ctx ends. Run must keep
// running until then.
func (d *Dispatcher) Drain(ctx context.Context) error {
	if d.inflight.startDraining() {
		for _, p := range d.allPools() {
			p.drain()
		}
		d.opts.Logger.Info().Msg("dispatcher is draining")
	}
	select {
	case <-d.inflight.idle:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "requests still in progress")
	}
}
