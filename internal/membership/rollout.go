package membership

import (
	"context"
	"sync"
	"time"
)

const (
	// rolloutPoll is the time between looks at how far a version has come.
	rolloutPoll = 50 * time.Millisecond
	// maxRollouts bounds the finished roll-outs that are remembered.
	maxRollouts = 4096
	// maxOpenRollouts bounds those that are under way, as when a member does
	// not answer for long.
	maxOpenRollouts = 256
)

// Progress tells how far each live member has folded the control stream.
type Progress interface {
	LiveMembers() []Member
	OffsetOf(id string) uint64
}

// openRollout is a version that some live member has not folded yet.
type openRollout struct {
	version uint64
	began   time.Time
}

// finishedRollout is a version that all live members have folded.
type finishedRollout struct {
	at   time.Time
	took time.Duration
}

// Rollouts measures the time from the moment an operator's edit was made until
// every live member has folded it. Heartbeats carry the progress, so a figure
// is too high by up to one heartbeat.
type Rollouts struct {
	progress Progress
	// wake has a value after Begin.
	wake chan struct{}

	mu       sync.Mutex
	open     []openRollout
	finished []finishedRollout
}

// NewRollouts returns a measurement without figures.
func NewRollouts(p Progress) *Rollouts {
	return &Rollouts{progress: p, wake: make(chan struct{}, 1)}
}

// Begin notes that a version was made at began.
func (r *Rollouts) Begin(version uint64, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.open) < maxOpenRollouts {
		r.open = append(r.open, openRollout{version: version, began: began})
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run follows roll-outs, while there are any, until ctx ends.
func (r *Rollouts) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
			r.follow(ctx)
		}
	}
}

// follow returns when no roll-out is open or ctx ends.
func (r *Rollouts) follow(ctx context.Context) {
	t := time.NewTicker(rolloutPoll)
	defer t.Stop()
	for r.underWay() {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			r.step(now)
		}
	}
}

func (r *Rollouts) underWay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open) > 0
}

func (r *Rollouts) step(now time.Time) {
	reached := r.reached()
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.open[:0]
	for _, o := range r.open {
		if o.version > reached {
			kept = append(kept, o)
			continue
		}
		r.finished = append(r.finished, finishedRollout{at: now, took: now.Sub(o.began)})
	}
	r.open = kept
	if n := len(r.finished) - maxRollouts; n > 0 {
		r.finished = r.finished[n:]
	}
}

// reached returns the lowest offset of the live members.
func (r *Rollouts) reached() uint64 {
	var lowest uint64
	for i, m := range r.progress.LiveMembers() {
		if offset := r.progress.OffsetOf(m.ID); i == 0 || offset < lowest {
			lowest = offset
		}
	}
	return lowest
}

// Rollouts returns how long those that finished after since took.
func (r *Rollouts) Rollouts(since time.Time) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []time.Duration
	for _, f := range r.finished {
		if f.at.After(since) {
			out = append(out, f.took)
		}
	}
	return out
}
