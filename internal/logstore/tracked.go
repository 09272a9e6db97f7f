package logstore

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"greengagedeck/internal/clock"
)

// Tracked is a log that knows when it last answered this daemon.
type Tracked struct {
	log   Log
	clock clock.Clock
	// lastAnswer is when the last answer came, in nanoseconds by the clock.
	lastAnswer atomic.Int64
}

var _ Log = (*Tracked)(nil)

// NewTracked returns a tracked log, which counts as having answered just now.
func NewTracked(l Log, c clock.Clock) *Tracked {
	t := &Tracked{log: l, clock: c}
	t.lastAnswer.Store(int64(c.Now()))
	return t
}

// Age returns how long ago the log last answered.
func (t *Tracked) Age() time.Duration { return t.clock.Now() - time.Duration(t.lastAnswer.Load()) }

// observe records the answer to a call, unless the log did not answer it or
// turned it away.
func (t *Tracked) observe(err error) {
	if answered(err) {
		t.lastAnswer.Store(int64(t.clock.Now()))
	}
}

// answered reports whether an error of a call is an answer by the log.
func answered(err error) bool {
	var conflict *ConflictError
	var sequence *SequenceError
	var truncated *TruncatedError
	return err == nil || errors.Is(err, ErrFenced) || errors.As(err, &conflict) ||
		errors.As(err, &sequence) || errors.As(err, &truncated)
}

// Limits implements Log.
func (t *Tracked) Limits() Limits { return t.log.Limits() }

// Append implements Log.
func (t *Tracked) Append(ctx context.Context, p Partition, entries []Entry, c Condition) (AppendResult, error) {
	result, err := t.log.Append(ctx, p, entries, c)
	t.observe(err)
	return result, err
}

// Read implements Log.
func (t *Tracked) Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Batch, error) {
	b, err := t.log.Read(ctx, p, from, wait)
	t.observe(err)
	return b, err
}

// Newest implements Log.
func (t *Tracked) Newest(ctx context.Context, p Partition, after string) (Page, error) {
	page, err := t.log.Newest(ctx, p, after)
	t.observe(err)
	return page, err
}
