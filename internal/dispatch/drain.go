package dispatch

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// inflight counts the requests that are being served.
type inflight struct {
	mu       sync.Mutex
	n        int
	draining bool
	idle     chan struct{} // closed when draining and n is 0
}

func newInflight() *inflight { return &inflight{idle: make(chan struct{})} }

// enter reports false once draining has begun.
func (f *inflight) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.n++
	return true
}

func (f *inflight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.draining && f.n == 0 {
		close(f.idle)
	}
}

// drain lets nothing more in; it reports whether it was the first to ask.
func (f *inflight) drain() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.draining = true
	if f.n == 0 {
		close(f.idle)
	}
	return true
}

// Drain stops gracefully. New requests are refused as not run, waiting ones go
// to zone-mates or are refused, and requests in progress are finished. It
// returns once none is left, or when ctx ends. Run must go on until then.
func (d *Dispatcher) Drain(ctx context.Context) error {
	if d.inflight.drain() {
		for _, p := range d.allPools() {
			p.drain()
		}
		d.opts.Logger.Info().Msg("dispatcher drains")
	}
	select {
	case <-d.inflight.idle:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "requests still in progress")
	}
}
