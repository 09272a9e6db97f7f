package scheduler

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/stage"
)

// The intake may hold submissions of an older configuration, under which this pool served
// requests that another one serves since: the job may have been handed in again there. The
// other pool is asked. After the loss of all daemons it may be without a holder for a while.

const (
	// maxElsewhereCalls bounds the concurrent calls to find out whether other pools have
	// accepted jobs.
	maxElsewhereCalls = 16
	// maxElsewhereTime bounds the time to find it out about one job, and
	// hurriedElsewhereTime once that was not enough for another one: the calls hold up the
	// jobs of the whole pool at a takeover, and other pools may be without a holder as well.
	maxElsewhereTime     = time.Second
	hurriedElsewhereTime = 50 * time.Millisecond
	// decideInterval is the time between two attempts to find it out later, and
	// maxUndecidedTime when a job counts as not accepted elsewhere, since it was accepted
	// here. A pool has a holder again before.
	decideInterval   = 250 * time.Millisecond
	maxUndecidedTime = 10 * time.Second
)

// undecidedSubmission is a submission that was read at a moment.
type undecidedSubmission struct {
	record joblog.IntakeRecord
	since  time.Duration
}

// undecidedSubmissions are the submissions of which another pool may have the job, by intake
// partition.
type undecidedSubmissions map[logstore.Partition][]undecidedSubmission

// add adds submissions that were read now.
func (u undecidedSubmissions) add(p logstore.Partition, records []joblog.IntakeRecord, now time.Duration) {
	for _, rec := range records {
		u[p] = append(u[p], undecidedSubmission{rec, now})
	}
}

// clone returns a copy.
func (u undecidedSubmissions) clone() undecidedSubmissions {
	out := undecidedSubmissions{}
	for p, list := range u {
		out[p] = slices.Clone(list)
	}
	return out
}

// isOf reports whether a record is that of the submission.
func (u undecidedSubmission) isOf(rec joblog.IntakeRecord) bool {
	return rec.ID == u.record.ID && rec.CustomerKey == u.record.CustomerKey
}

// decided removes the submissions of a list but for those that are undecided still.
func (u undecidedSubmissions) decided(p logstore.Partition, list, still []undecidedSubmission) {
	u[p] = slices.DeleteFunc(u[p], func(other undecidedSubmission) bool {
		same := func(s undecidedSubmission) bool { return s.isOf(other.record) }
		return slices.ContainsFunc(list, same) && !slices.ContainsFunc(still, same)
	})
	if len(u[p]) == 0 {
		delete(u, p)
	}
}

// decideLoop decides about submissions that were left undecided until ctx ends.
func (r *Runner) decideLoop(ctx context.Context) {
	for clock.Sleep(ctx, decideInterval) {
		r.decideAgain(ctx)
	}
}

// decideAgain tries once more to decide about the undecided submissions.
func (r *Runner) decideAgain(ctx context.Context) {
	r.mu.Lock()
	known := r.undecided.clone()
	r.mu.Unlock()
	for p, list := range known {
		records := make([]joblog.IntakeRecord, 0, len(list))
		for _, u := range list {
			records = append(records, u.record)
		}
		kept, undecided := r.dropAcceptedElsewhere(ctx, records)
		still := r.withoutExpired(list, undecided, &kept)
		r.update(stage.Submit, func(t Times) {
			r.undecided.decided(p, list, still)
			r.core.ApplyIntake(kept, t)
		})
	}
}

// withoutExpired returns those of a list that are undecided still, and adds to kept those that
// have been for so long that they count as not accepted elsewhere.
func (r *Runner) withoutExpired(list []undecidedSubmission, undecided []joblog.IntakeRecord, kept *[]joblog.IntakeRecord) (still []undecidedSubmission) {
	for _, u := range list {
		age := r.opt.Clock.Now() - u.since
		switch {
		case !slices.ContainsFunc(undecided, u.isOf):
		case age < maxUndecidedTime:
			still = append(still, u)
		default:
			r.opt.Logger.Warn().Str("job", string(u.record.ID)).Str("entry", u.record.Submission.Terms.Entry).Dur("undecided_for", age).Msg("not every other pool has told whether it has accepted a job, it counts as not accepted there")
			*kept = append(*kept, u.record)
		}
	}
	return still
}

// dropAcceptedElsewhere returns the records without the submissions that are new here and
// that another pool has accepted, which are deleted from the intake, and without those about
// which that can't be decided now, which it returns too.
func (r *Runner) dropAcceptedElsewhere(ctx context.Context, records []joblog.IntakeRecord) (kept, undecided []joblog.IntakeRecord) {
	if r.opt.AcceptedElsewhere == nil {
		return records, nil
	}
	found := make([]elsewhere, len(records))
	var hurry atomic.Bool
	var calls errgroup.Group
	calls.SetLimit(maxElsewhereCalls)
	for i, rec := range records {
		if rec.Submission == nil || r.hasStored(rec.ID) {
			continue
		}
		calls.Go(func() error {
			found[i] = r.acceptedElsewhere(ctx, rec.Submission, &hurry)
			return nil
		})
	}
	// The calls return no error.
	_ = calls.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	kept = records[:0]
	for i, rec := range records {
		switch found[i] {
		case notElsewhere:
			kept = append(kept, rec)
		case perhapsElsewhere:
			undecided = append(undecided, rec)
		case certainlyElsewhere:
			r.opt.Logger.Info().Str("job", string(rec.ID)).Msg("submission dropped, another pool has accepted the job")
			r.core.takeBack(rec.ID, errElsewhere)
			r.core.customerKeys.add(rec)
			r.core.leftInIntake.add(rec.ID)
		}
	}
	r.tellTakenBack()
	return kept, undecided
}

// elsewhere tells whether another pool has accepted a job.
type elsewhere uint8

const (
	notElsewhere elsewhere = iota
	perhapsElsewhere
	certainlyElsewhere
)

// acceptedElsewhere reports whether another pool has accepted a job. It sets hurry if that
// cannot be found out in time.
func (r *Runner) acceptedElsewhere(ctx context.Context, s *joblog.Submission, hurry *atomic.Bool) elsewhere {
	limit := maxElsewhereTime
	if hurry.Load() {
		limit = hurriedElsewhereTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	accepted, decided := r.opt.AcceptedElsewhere(ctx, s)
	switch {
	case accepted:
		return certainlyElsewhere
	case decided:
		return notElsewhere
	default:
		hurry.Store(true)
		return perhapsElsewhere
	}
}

// hasStored reports whether a job is known here and the log holds it.
func (r *Runner) hasStored(id job.ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.core.Lookup(id)
	return known && !r.core.unstored(id)
}
