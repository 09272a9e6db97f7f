package joblog

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
)

// holderProducer names the holder's appends to a progress partition.
const holderProducer = "holder"

const (
	// appendRetryInitial and appendRetryMax bound the wait after an append
	// that failed.
	appendRetryInitial = 20 * time.Millisecond
	appendRetryMax     = 400 * time.Millisecond
	// maxAppendBytes bounds one append.
	maxAppendBytes = 1 << 20
)

// Journal writes a pool's progress partition. While it is in use nobody with a
// lower token can. It is used by one goroutine.
type Journal struct {
	log       logstore.Log
	partition logstore.Partition
	token     int64
	sequence  int64
	patience  logstore.AdaptiveTimeout
}

// OpenJournal takes the progress partition of a pool. Once it returns, appends
// of earlier holders fail, so that a reader of the partition misses none.
func OpenJournal(ctx context.Context, l logstore.Log, pool string, token int64) (*Journal, error) {
	j := &Journal{log: l, partition: Progress(pool), token: token}
	return j, j.append(ctx, nil)
}

// Append logs entries. An append whose outcome is unknown is repeated under the
// same sequence number until it is known, so each entry is logged once. It
// fails with logstore.ErrFenced when another holder has taken the partition.
func (j *Journal) Append(ctx context.Context, entries []logstore.Entry) error {
	for len(entries) > 0 {
		n := fitting(entries)
		if err := j.append(ctx, entries[:n]); err != nil {
			return err
		}
		entries = entries[n:]
	}
	return nil
}

// fitting returns how many entries fit into one append, at least one.
func fitting(entries []logstore.Entry) int {
	size := 0
	for i, e := range entries {
		size += len(e.Key) + len(e.Value)
		if i > 0 && size > maxAppendBytes {
			return i
		}
	}
	return len(entries)
}

func (j *Journal) append(ctx context.Context, entries []logstore.Entry) error {
	pause := newBackoff()
	for {
		fence := &logstore.Fence{Producer: holderProducer, Epoch: j.token, Sequence: j.sequence}
		err := j.once(ctx, entries, fence)
		var seq *logstore.SequenceError
		switch {
		case err == nil:
			j.sequence++
			return nil
		case errors.Is(err, logstore.ErrFenced):
			return err
		case errors.As(err, &seq):
			return eris.Wrapf(err, "sequence %d of %v", j.sequence, j.partition)
		}
		if !clock.Sleep(ctx, pause.NextBackOff()) {
			return eris.Wrap(err, ctx.Err().Error())
		}
	}
}

func (j *Journal) once(ctx context.Context, entries []logstore.Entry, f *logstore.Fence) error {
	ctx, cancel := j.patience.Context(ctx, 0)
	defer cancel()
	_, err := j.log.Append(ctx, j.partition, entries, logstore.Condition{Fence: f})
	j.patience.Observe(err)
	return err
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = appendRetryInitial
	b.MaxInterval = appendRetryMax
	return b
}
