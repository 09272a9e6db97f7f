package logstore

import (
	"context"
	"errors"
	"time"
)

// Tail follows one partition from the newest record of each key on. It is
// used by one goroutine.
type Tail struct {
	log       Log
	partition Partition
	from      int64
	started   bool
	patience  Patience
}

// NewTail returns a tail that has read nothing yet.
func NewTail(l Log, p Partition) *Tail { return &Tail{log: l, partition: p} }

// Next returns further records in the order of the log, waiting up to wait for
// the first one. With reset set they are the newest records of all keys and
// replace whatever was returned before: that is so at first, and again when
// records expired before they were read.
func (t *Tail) Next(ctx context.Context, wait time.Duration) (recs []Record, reset bool, err error) {
	if !t.started {
		return t.restart(ctx)
	}
	b, err := t.read(ctx, wait)
	var gap *TruncatedError
	if errors.As(err, &gap) {
		return t.restart(ctx)
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
	ctx, cancel := t.patience.Context(ctx, wait)
	defer cancel()
	b, err := t.log.Read(ctx, t.partition, t.from, wait)
	t.patience.Note(err)
	return b, err
}

// Position returns the offset of the next record to read.
func (t *Tail) Position() int64 { return t.from }

func (t *Tail) restart(ctx context.Context) ([]Record, bool, error) {
	recs, from, err := All(ctx, t.log, t.partition)
	if err != nil {
		return nil, false, err
	}
	t.from = from
	t.started = true
	return recs, true, nil
}
