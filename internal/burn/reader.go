package burn

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/platform"
)

// ReaderOptions configures a Reader.
type ReaderOptions struct {
	// Store receives what is read.
	Store *Store
	// Log is the platform's log.
	Log platform.Log
	// Lowest reports whether this daemon is the live member with the lowest
	// ID, which rolls summaries up. Two daemons that both believe it do no
	// harm.
	Lowest func() bool
	// Metrics may be left out.
	Metrics tally.Scope
}

// Reader reads the burn stream into a Store. Only the lowest member reads it
// all the time, in order to roll it up; the others read it when a report is
// asked for, because the stream grows with the number of daemons.
type Reader struct {
	opts    ReaderOptions
	metrics *metrics

	mu   sync.Mutex
	from uint64
}

// NewReader returns a reader at the start of the stream.
func NewReader(opts ReaderOptions) *Reader {
	return &Reader{opts: opts, metrics: newMetrics(opts.Metrics), from: 1}
}

// Run rolls the stream up every minute while this daemon is the lowest member,
// until ctx is done.
func (r *Reader) Run(ctx context.Context) {
	tick := time.NewTicker(time.Minute)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !r.opts.Lowest() {
			continue
		}
		if err := r.roll(ctx); err != nil {
			r.metrics.rollFailures.Inc(1)
		}
	}
}

// Refresh reads what the log holds beyond what has been read. After an error
// the store holds what was read before.
func (r *Reader) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		more, err := r.readOnce(ctx)
		if err != nil || !more {
			return err
		}
	}
}

// readOnce reads one batch; mu must be held.
func (r *Reader) readOnce(ctx context.Context) (more bool, err error) {
	recs, err := r.opts.Log.Read(ctx, platform.StreamBurn, r.from, readLimit, 0)
	var truncated *platform.TruncatedError
	if errors.As(err, &truncated) && truncated.Oldest > r.from {
		r.from = truncated.Oldest
		return true, nil
	}
	if err != nil {
		return false, eris.Wrap(err, "read burn stream")
	}
	for _, rec := range recs {
		if err := r.opts.Store.Apply(rec.Offset, rec.Data, time.Now()); err != nil {
			r.metrics.unreadable.Inc(1)
		}
		r.from = rec.Offset + 1
	}
	return len(recs) > 0, nil
}

// roll appends the rollups that are due. What it rolls up is what the log held
// at one offset, so that of two rollups of an hour one holds all of the other.
func (r *Reader) roll(ctx context.Context) error {
	if err := r.Refresh(ctx); err != nil {
		return err
	}
	oldest, next, err := r.opts.Log.Bounds(ctx, platform.StreamBurn)
	if err != nil {
		return eris.Wrap(err, "bounds of burn stream")
	}
	now := time.Now()
	messages := batch(r.opts.Store.due(logBounds{oldest, next}, now))
	for i, m := range messages {
		if i == maxRollMessages {
			break
		}
		if err := appendMessage(ctx, r.opts.Log, m, now); err != nil {
			return err
		}
		r.metrics.rollups.Inc(int64(len(m.Rollups)))
	}
	return nil
}
