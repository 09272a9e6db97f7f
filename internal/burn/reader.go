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
	// Store receives the records that are read.
	Store *Store
	// Log is the platform's log.
	Log platform.Log
	// IsLeader reports whether this daemon is the live member with the lowest
	// ID, which creates the rollups. It may hold for two daemons at once
	// without harm, because readers keep only one rollup of each hour.
	IsLeader func() bool
	// Metrics is optional.
	Metrics tally.Scope
}

// Reader reads the burn stream into a Store. Only the leader reads it
// continuously, in order to roll it up; the other daemons read it when a report
// is requested, because the stream grows with the number of daemons.
type Reader struct {
	opts    ReaderOptions
	metrics *metrics

	mu         sync.Mutex
	nextOffset uint64
}

// NewReader returns a reader that starts at the beginning of the stream.
func NewReader(opts ReaderOptions) *Reader {
	return &Reader{opts: opts, metrics: newMetrics(opts.Metrics), nextOffset: 1}
}

// Run rolls the stream up every minute while this daemon is the leader, until
// ctx is done.
func (r *Reader) Run(ctx context.Context) {
	tick := time.NewTicker(time.Minute)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !r.opts.IsLeader() {
			continue
		}
		if err := r.rollUp(ctx); err != nil {
			r.metrics.rollupFailures.Inc(1)
		}
	}
}

// Refresh reads all records that have been appended since the last call. After
// an error the store keeps what has been read so far.
func (r *Reader) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		more, err := r.readBatch(ctx)
		if err != nil || !more {
			return err
		}
	}
}

// readBatch reads one batch and reports whether there may be more. r.mu must be
// held.
func (r *Reader) readBatch(ctx context.Context) (more bool, err error) {
	recs, err := r.opts.Log.Read(ctx, platform.StreamBurn, r.nextOffset, readLimit, 0)
	var truncated *platform.TruncatedError
	if errors.As(err, &truncated) && truncated.Oldest > r.nextOffset {
		r.nextOffset = truncated.Oldest
		return true, nil
	}
	if err != nil {
		return false, eris.Wrap(err, "read burn stream")
	}
	for _, rec := range recs {
		if err := r.opts.Store.Apply(rec.Offset, rec.Data, time.Now()); err != nil {
			r.metrics.unreadable.Inc(1)
		}
		r.nextOffset = rec.Offset + 1
	}
	return len(recs) > 0, nil
}

// rollUp appends the rollups that are due. A rollup includes everything that the
// log held up to one offset, so that of two rollups of an hour one always
// includes all summaries of the other.
func (r *Reader) rollUp(ctx context.Context) error {
	if err := r.Refresh(ctx); err != nil {
		return err
	}
	oldest, next, err := r.opts.Log.Bounds(ctx, platform.StreamBurn)
	if err != nil {
		return eris.Wrap(err, "bounds of burn stream")
	}
	now := time.Now()
	messages := batchRollups(r.opts.Store.dueRollups(logBounds{oldest, next}, now))
	for i, m := range messages {
		if i == maxRollupMessages {
			break
		}
		if err := appendMessage(ctx, r.opts.Log, m, now); err != nil {
			return err
		}
		r.metrics.rollups.Inc(int64(len(m.Rollups)))
	}
	return nil
}
