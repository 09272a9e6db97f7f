package joblog

import (
	"context"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
)

// ErrNotFound means that the log holds nothing under an ID now.
var ErrNotFound = eris.New("not in the log")

// Find reads the phase of one job from the log.
func Find(ctx context.Context, l logstore.Log, pool string, id job.ID) (job.Phase, error) {
	rec, found, err := get(ctx, l, Progress(pool), kindJob+string(id))
	if err != nil {
		return 0, err
	}
	phase := job.Queued
	if found {
		k, _, err := DecodeProgress(rec)
		if err != nil {
			return 0, err
		}
		phase = k.Progress.Phase
	}
	if phase.Final() {
		return phase, nil
	}
	_, cancelled, err := get(ctx, l, Intake(pool), kindCancel+string(id))
	if err != nil {
		return 0, err
	}
	if cancelled {
		return job.Cancelled, nil
	}
	if found {
		return phase, nil
	}
	_, submitted, err := get(ctx, l, Intake(pool), kindJob+string(id))
	if err == nil && !submitted {
		err = ErrNotFound
	}
	return phase, err
}

// get returns the newest record of a key.
func get(ctx context.Context, l logstore.Log, p logstore.Partition, key string) (logstore.Record, bool, error) {
	page, err := l.Newest(ctx, p, before(key))
	if err != nil || len(page.Records) == 0 || page.Records[0].Key != key {
		return logstore.Record{}, false, err
	}
	return page.Records[0], true, nil
}

// before returns a key that sorts before the given one and after every other
// key of its length that does. Keys end in a hexadecimal digit.
func before(key string) string {
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}
