package joblog

import (
	"context"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
)

// ErrNotFound means that the log currently has no record of a job.
var ErrNotFound = eris.New("not in the log")

// FindPhase reads the phase of one job from the log, or returns ErrNotFound.
func FindPhase(ctx context.Context, l logstore.Log, pool string, id job.ID) (job.Phase, error) {
	rec, found, err := newestRecord(ctx, l, ProgressPartition(pool), kindJob+string(id))
	if err != nil {
		return 0, err
	}
	phase := job.Queued
	if found {
		decoded, _, err := DecodeProgress(rec)
		if err != nil {
			return 0, err
		}
		phase = decoded.Progress.Phase
	}
	if phase.Final() {
		return phase, nil
	}
	_, cancelled, err := newestRecord(ctx, l, IntakePartition(pool, id), kindCancel+string(id))
	if err != nil {
		return 0, err
	}
	if cancelled {
		phase = job.Cancelled
	}
	if found {
		return phase, nil
	}
	// A cancel is also stored for a job that turns out to be in another pool.
	_, submitted, err := newestRecord(ctx, l, IntakePartition(pool, id), kindJob+string(id))
	if err == nil && !submitted {
		err = ErrNotFound
	}
	return phase, err
}

// newestRecord returns the newest record of a key, and whether there is one.
func newestRecord(ctx context.Context, l logstore.Log, p logstore.Partition, key string) (logstore.Record, bool, error) {
	page, err := l.Newest(ctx, p, keyBefore(key))
	if err != nil || len(page.Records) == 0 || page.Records[0].Key != key {
		return logstore.Record{}, false, err
	}
	return page.Records[0], true, nil
}

// keyBefore returns a key that sorts directly before the given one: after every
// other key of the same length that sorts before it. Keys end in a hexadecimal
// digit.
func keyBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}
