package scheduler

import (
	"context"
	"errors"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/stage"
)

// appendBatch logs the progress records of a batch.
func (r *Runner) appendBatch(ctx context.Context, j *joblog.Journal, b *Batch) error {
	if len(b.Progress) == 0 {
		return nil
	}
	r.enter(PhaseAppending)
	start := r.opt.Clock.Now()
	r.setAppendStarted(start)
	err := j.Append(ctx, b.Progress)
	r.setAppendStarted(0)
	took := r.opt.Clock.Now() - start
	r.work.Spent(stage.Append, took)
	r.metrics.appended(len(b.Progress), took)
	var refused *joblog.RefusedEntriesError
	if errors.As(err, &refused) {
		return r.giveUpRefused(b, refused)
	}
	if errors.Is(err, logstore.ErrFenced) {
		r.opt.Logger.Warn().Int64("token", r.opt.Token).Msg("another daemon has taken over the pool's log")
	}
	return err
}

// giveUpRefused gives up the jobs of which the log takes some record not at all, and takes back
// those of which it takes no submission. It returns the
// error if a refused record belongs to no job: the pool can't be scheduled without it.
func (r *Runner) giveUpRefused(b *Batch, refused *joblog.RefusedEntriesError) error {
	r.metrics.recordsRefused.Inc(int64(len(refused.Keys)))
	// ids are the jobs, each with whether its submission is refused.
	ids := map[job.ID]bool{}
	for _, key := range refused.Keys {
		id, ok := joblog.JobID(key)
		if !ok {
			return refused
		}
		ids[id] = ids[id] || joblog.IsSubmission(key)
	}
	r.update(stage.Append, func(t Times) {
		for id, submission := range ids {
			if submission && r.core.SubmissionRefused(b, id) {
				continue
			}
			r.opt.Logger.Error().Err(refused.Last).Str("job", string(id)).Msg("the log takes no record of a job, which counts as failed")
			r.core.Refused(b, id, t)
		}
	})
	return nil
}

// setAppendStarted sets when the append in flight began, 0 for none.
func (r *Runner) setAppendStarted(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendStarted = at
}
