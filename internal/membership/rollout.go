package membership

import (
	"context"
	"sync"
	"time"
)

const (
	// rolloutPollInterval is the time between checks of the members' offsets.
	rolloutPollInterval = 50 * time.Millisecond
	// maxRollouts bounds the finished roll-outs that are kept.
	maxRollouts = 4096
	// maxOpenRollouts bounds the unfinished roll-outs, which pile up while a
	// live member does not advance.
	maxOpenRollouts = 256
)

// MemberOffsets reports the live members and, for each of them, the offset up to
// which it has applied the control stream.
type MemberOffsets interface {
	LiveMembers() []Member
	OffsetOf(id string) uint64
}

// openRollout is a version that some live member has not applied yet.
type openRollout struct {
	version uint64
	began   time.Time
}

// finishedRollout is a version that all live members have applied.
type finishedRollout struct {
	finishedAt time.Time
	duration   time.Duration
}

// Rollouts measures the time from an operator's edit until every live member
// has applied it. Heartbeats carry the offsets, so a measured time is too long by
// up to one heartbeat interval.
type Rollouts struct {
	offsets MemberOffsets
	// begun receives a value from Begin.
	begun chan struct{}

	mu       sync.Mutex
	open     []openRollout
	finished []finishedRollout
}

// NewRollouts returns a Rollouts without measurements.
func NewRollouts(p MemberOffsets) *Rollouts {
	return &Rollouts{offsets: p, begun: make(chan struct{}, 1)}
}

// Begin records that a version was created at began.
func (r *Rollouts) Begin(version uint64, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.open) < maxOpenRollouts {
		r.open = append(r.open, openRollout{version: version, began: began})
	}
	select {
	case r.begun <- struct{}{}:
	default:
	}
}

// Run waits for roll-outs to begin and follows them until ctx ends.
func (r *Rollouts) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.begun:
			r.follow(ctx)
		}
	}
}

// follow checks the open roll-outs until none is left or ctx ends.
func (r *Rollouts) follow(ctx context.Context) {
	t := time.NewTicker(rolloutPollInterval)
	defer t.Stop()
	for r.hasOpen() {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			r.step(now)
		}
	}
}

func (r *Rollouts) hasOpen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open) > 0
}

func (r *Rollouts) step(now time.Time) {
	reached := r.lowestOffset()
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.open[:0]
	for _, o := range r.open {
		if o.version > reached {
			kept = append(kept, o)
			continue
		}
		r.finished = append(r.finished, finishedRollout{finishedAt: now, duration: now.Sub(o.began)})
	}
	r.open = kept
	if n := len(r.finished) - maxRollouts; n > 0 {
		r.finished = r.finished[n:]
	}
}

// lowestOffset returns the lowest offset of the live members.
func (r *Rollouts) lowestOffset() uint64 {
	var lowest uint64
	for i, m := range r.offsets.LiveMembers() {
		if offset := r.offsets.OffsetOf(m.ID); i == 0 || offset < lowest {
			lowest = offset
		}
	}
	return lowest
}

// Rollouts returns the durations of the roll-outs that finished after since.
func (r *Rollouts) Rollouts(since time.Time) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []time.Duration
	for _, f := range r.finished {
		if f.finishedAt.After(since) {
			out = append(out, f.duration)
		}
	}
	return out
}
