package logstore

import (
	"context"
	"errors"
	"time"
)

// Tail follows one partition, starting with the newest record of each key. It
// must be used by one goroutine only.
type Tail struct {
	log       Log
	partition Partition
	from      int64
	started   bool
	timeout   AdaptiveTimeout
}

// NewTail returns a tail that has read nothing yet.
func NewTail(l Log, p Partition) *Tail { return &Tail{log: l, partition: p} }

// Next returns further records in the order of the log, waiting for up to wait for
// the first one. When reset is set, the records are the newest of all keys and
// replace everything returned before. That is the case in the first call, and
// after records expired before they were read.
func (t *Tail) Next(ctx context.Context, wait time.Duration) (recs []Record, reset bool, err error) {
	if !t.started {
		return t.reset(ctx)
	}
	b, err := t.read(ctx, wait)
	var gap *TruncatedError
	if errors.As(err, &gap) {
		return t.reset(ctx)
	}
	if err != nil {
		return nil, false, err
	}
	if n := len(b.Records); n > 0 {
		t.from = b.Records[n-1].Offset + 1
	}
	return b.Records, false, nil
}

func (t *Tail) read(ctx context.Context, wait time.Duration) (Batch, error) {
	ctx, cancel := t.timeout.Context(ctx, wait)
	defer cancel()
	b, err := t.log.Read(ctx, t.partition, t.from, wait)
	t.timeout.Observe(err)
	return b, err
}

// Position returns the offset of the next record to read.
func (t *Tail) Position() int64 { return t.from }

func (t *Tail) reset(ctx context.Context) ([]Record, bool, error) {
	recs, from, err := NewestOfAllKeys(ctx, t.log, t.partition)
	if err != nil {
		return nil, false, err
	}
	t.from = from
	t.started = true
	return recs, true, nil
}
