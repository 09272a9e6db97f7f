package scheduler

import (
	"context"
	"sync"
	"time"

	"greengagedeck/internal/clock"
)

const (
	// notScheduledAfter is how long a takeover, or the time from one plan to the next,
	// may take until that is reported.
	notScheduledAfter = time.Second
	// notScheduledRepeat is the time between two lines about a pool that is not being
	// scheduled.
	notScheduledRepeat = 2 * time.Second
)

// Watch reports jobs without a run, and a pool that is not being scheduled, until ctx
// ends: it goes on after Run has ended on an error, for as long as this daemon holds the
// pool.
func (r *Runner) Watch(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.watchProgress(ctx) })
	loops.Go(func() { r.watchRuns(ctx) })
	loops.Wait()
	r.metrics.clearPool()
	r.work.Clear()
}

// watchRuns looks for jobs without a run until ctx ends.
func (r *Runner) watchRuns(ctx context.Context) {
	for clock.Sleep(ctx, noRunInterval) {
		h := r.holderState()
		r.mu.Lock()
		t := r.times()
		rep := r.core.CheckRuns(t, h)
		r.mu.Unlock()
		r.metrics.poolChecked(rep, h, t.Now)
		if h.DutyRemaining > 0 {
			r.work.Report(t.Now, r.opt.Logger)
		}
	}
}

// holderState returns what the runner knows of its own work.
func (r *Runner) holderState() HolderState {
	h := r.progress.get()
	h.DutyRemaining = r.opt.Duty.Remaining()
	return h
}

// watchProgress reports until ctx ends when the pool is not being scheduled. It does not
// take mu, which may be held meanwhile.
func (r *Runner) watchProgress(ctx context.Context) {
	w := progressWatch{}
	for clock.Sleep(ctx, noRunInterval) {
		w.check(r)
	}
}

// progressWatch is what was reported of a pool that is not being scheduled.
type progressWatch struct {
	// since is since when the pool is not being scheduled, or 0 if it is.
	since time.Duration
	// loggedAt is when the last line about it was logged.
	loggedAt time.Duration
	// phase is the phase that the last line named.
	phase Phase
}

// check logs when the pool is not being scheduled, and when it is again.
func (w *progressWatch) check(r *Runner) {
	h := r.holderState()
	now := r.opt.Clock.Now()
	if h.Phase != PhaseEnded && now-h.PlannedAt < notScheduledAfter {
		if w.since > 0 {
			r.opt.Logger.Info().Int64("token", r.opt.Token).Dur("after", h.PlannedAt-w.since).Stringer("was", w.phase).Msg("pool is being scheduled again")
		}
		*w = progressWatch{}
		return
	}
	if w.since > 0 && h.Phase == w.phase && now < w.loggedAt+notScheduledRepeat {
		return
	}
	w.since, w.loggedAt, w.phase = h.PlannedAt, now, h.Phase
	e := r.opt.Logger.Warn().Err(h.Err).Int64("token", r.opt.Token).Dur("for", now-h.PlannedAt).Dur("in_phase", now-h.PhaseSince)
	logHolderState(e, h, now)
	e.Msg("pool is not being scheduled")
}
