package joblog

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
)

// holderProducer is the producer name of the holder's appends to a progress
// partition.
const holderProducer = "holder"

const (
	// appendRetryInitial and appendRetryMax bound the wait after a failed
	// append.
	appendRetryInitial = 20 * time.Millisecond
	appendRetryMax     = 400 * time.Millisecond
	// maxAppendBytes limits the size of one append.
	maxAppendBytes = 1 << 20
)

// Journal writes a pool's progress partition. Once it is open, appends with a
// lower fencing token fail. It must be used by one goroutine only.
type Journal struct {
	log       logstore.Log
	partition logstore.Partition
	token     int64
	sequence  int64
	timeout   logstore.AdaptiveTimeout
}

// OpenJournal takes the fence of a pool's progress partition. Once it returns,
// appends of earlier holders fail, so a reader that starts then misses none of
// them.
func OpenJournal(ctx context.Context, l logstore.Log, pool string, token int64) (*Journal, error) {
	j := &Journal{log: l, partition: ProgressPartition(pool), token: token}
	return j, j.append(ctx, nil)
}

// RefusedEntriesError means that the log does not take some entries, however often they
// are appended. The others of the same call were appended.
type RefusedEntriesError struct {
	Keys []string
	// Last is the last refusal.
	Last error
}

// Error implements error.
func (e *RefusedEntriesError) Error() string {
	return fmt.Sprintf("%d entries, the first under %.40q: %v", len(e.Keys), e.Keys[0], e.Last)
}

// JobID returns the ID of the job that an entry of the progress partition belongs to, or false
// if it belongs to none.
func JobID(key string) (job.ID, bool) {
	for _, kind := range []string{kindJob, kindSubmitted, kindPart} {
		if rest, is := strings.CutPrefix(key, kind); is {
			return splitIntakeKey(rest), true
		}
	}
	return "", false
}

// IsSubmission reports whether an entry of the progress partition is a submission.
func IsSubmission(key string) bool { return strings.HasPrefix(key, kindSubmitted) }

// Append appends entries to the log. An append whose outcome is unknown is
// retried under the same sequence number until the outcome is known, so each
// entry is logged exactly once. Append fails with logstore.ErrFenced when
// another holder has taken the partition, and with *RefusedEntriesError when the log
// does not take some of the entries.
func (j *Journal) Append(ctx context.Context, entries []logstore.Entry) error {
	var refused RefusedEntriesError
	for len(entries) > 0 {
		n := countFitting(entries, j.log.Limits())
		if err := j.appendTaken(ctx, entries[:n], &refused); err != nil {
			return err
		}
		entries = entries[n:]
	}
	if len(refused.Keys) > 0 {
		return &refused
	}
	return nil
}

// appendTaken appends the entries that the log takes, and adds the others to refused.
func (j *Journal) appendTaken(ctx context.Context, entries []logstore.Entry, refused *RefusedEntriesError) error {
	err := j.append(ctx, entries)
	var refusal *logstore.RefusedError
	if !errors.As(err, &refusal) {
		return err
	}
	if len(entries) == 1 {
		refused.Keys, refused.Last = append(refused.Keys, entries[0].Key), err
		return nil
	}
	half := len(entries) / 2
	if err := j.appendTaken(ctx, entries[:half], refused); err != nil {
		return err
	}
	return j.appendTaken(ctx, entries[half:], refused)
}

// countFitting returns how many entries fit into one append. It is at least one,
// also when that one exceeds what the log takes.
func countFitting(entries []logstore.Entry, l logstore.Limits) int {
	size, limit := 0, min(maxAppendBytes, l.AppendBytes)
	for i, e := range entries {
		size += e.Size()
		if i > 0 && size > limit {
			return i
		}
	}
	return len(entries)
}

// append makes one append, and retries it until its outcome is known or ctx ends.
func (j *Journal) append(ctx context.Context, entries []logstore.Entry) error {
	pause := newBackoff()
	for {
		fence := &logstore.Fence{Producer: holderProducer, Epoch: j.token, Sequence: j.sequence}
		err := j.appendOnce(ctx, entries, fence)
		var seq *logstore.SequenceError
		var refused *logstore.RefusedError
		switch {
		case err == nil:
			j.sequence++
			return nil
		case errors.Is(err, logstore.ErrFenced), errors.As(err, &refused):
			return err
		case errors.As(err, &seq):
			return eris.Wrapf(err, "sequence %d of %v", j.sequence, j.partition)
		}
		if !clock.Sleep(ctx, pause.NextBackOff()) {
			return eris.Wrap(err, ctx.Err().Error())
		}
	}
}

// appendOnce makes one attempt at an append.
func (j *Journal) appendOnce(ctx context.Context, entries []logstore.Entry, f *logstore.Fence) error {
	ctx, cancel := j.timeout.Context(ctx, 0)
	defer cancel()
	_, err := j.log.Append(ctx, j.partition, entries, logstore.Condition{Fence: f})
	j.timeout.Observe(err)
	return err
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = appendRetryInitial
	b.MaxInterval = appendRetryMax
	return b
}
