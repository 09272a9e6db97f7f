package joblog

import (
	"context"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/record"
)

// ErrNotFound means that the log currently has no record of a job.
var ErrNotFound = eris.New("not in the log")

// FindPhase reads the phase of one job from the log, or returns ErrNotFound. A job that
// the requester may not access counts as absent.
func FindPhase(ctx context.Context, l logstore.Log, pool string, id job.ID, by job.Requester) (job.Phase, error) {
	progress, err := newestRecords(ctx, l, ProgressPartition(pool), kindJob, id)
	if err != nil {
		return 0, err
	}
	phase, found := job.Queued, len(progress) > 0
	var owner job.Owner
	if found {
		decoded, _, err := DecodeProgress(progress[0])
		if err != nil {
			return 0, err
		}
		phase, owner = decoded.Progress.Phase, decoded.Progress.Owner()
		if !by.MayAccess(owner) {
			return 0, ErrNotFound
		}
	}
	if phase.Final() {
		return phase, nil
	}
	cancels, err := newestRecords(ctx, l, IntakePartition(pool, id), kindCancel, id)
	if err != nil {
		return 0, err
	}
	if !found {
		// A cancel is also stored for a job that turns out to be in another pool.
		owner, err = findSubmission(ctx, l, pool, id, by)
	}
	if anyApplies(cancels, owner) {
		phase = job.Cancelled
	}
	return phase, err
}

// findSubmission returns the owner of a submitted job that the requester may access, or
// ErrNotFound.
func findSubmission(ctx context.Context, l logstore.Log, pool string, id job.ID, by job.Requester) (job.Owner, error) {
	records, err := newestRecords(ctx, l, IntakePartition(pool, id), kindJob, id)
	if err != nil {
		return job.Owner{}, err
	}
	for _, r := range records {
		var s Submission
		if record.Decode(r.Value, &s) == nil && by.MayAccess(s.Terms.Owner()) {
			return s.Terms.Owner(), nil
		}
	}
	return job.Owner{}, ErrNotFound
}

// anyApplies reports whether one of the records cancels a job of an owner.
func anyApplies(cancels []logstore.Record, owner job.Owner) bool {
	return slices.ContainsFunc(cancels, func(r logstore.Record) bool {
		decoded, ok, _ := DecodeIntake(r)
		return ok && decoded.By.MayAccess(owner)
	})
}

// newestRecords returns the newest records of one kind that a partition has of a job. There
// are several only if different customers have written them.
func newestRecords(ctx context.Context, l logstore.Log, p logstore.Partition, kind string, id job.ID) ([]logstore.Record, error) {
	key := kind + string(id)
	page, err := l.Newest(ctx, p, keyBefore(key))
	if err != nil {
		return nil, err
	}
	var out []logstore.Record
	for _, r := range page.Records {
		if r.Key != key && !strings.HasPrefix(r.Key, key+separator) {
			break
		}
		out = append(out, r)
	}
	return out, nil
}

// keyBefore returns a key that sorts directly before the given one: after every
// other key of the same length that sorts before it. Keys end in a hexadecimal
// digit.
func keyBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}
