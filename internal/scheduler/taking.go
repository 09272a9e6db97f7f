package scheduler

import (
	"context"
	"time"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
)

// restore reads what earlier holders logged. The journal is open, so nothing
// is added meanwhile.
func (r *Runner) restore(ctx context.Context) error {
	for {
		recs, _, err := logstore.NewestOfAllKeys(ctx, r.opt.Log, joblog.ProgressPartition(r.opt.Pool))
		if err == nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.core.Restore(r.decodeProgress(recs), r.times())
			return nil
		}
		if !clock.Sleep(ctx, readRetry) {
			return err
		}
	}
}

func (r *Runner) decodeProgress(recs []logstore.Record) []joblog.ProgressRecord {
	out := make([]joblog.ProgressRecord, 0, len(recs))
	for _, rec := range recs {
		k, ok, err := joblog.DecodeProgress(rec)
		if err != nil {
			r.opt.Logger.Error().Err(err).Int64("offset", rec.Offset).Msg("progress record ignored")
		}
		if ok {
			out = append(out, k)
		}
	}
	return out
}

func (r *Runner) firstIntake(ctx context.Context, tail *logstore.Tail) error {
	for {
		start := r.opt.Clock.Now()
		recs, _, err := tail.Next(ctx, 0)
		if err == nil {
			r.fold(recs, start)
			r.mu.Lock()
			r.ready = true
			jobs := len(r.core.open)
			r.mu.Unlock()
			r.opt.Logger.Info().Int64("token", r.opt.Token).Int("jobs", jobs).Msg("pool taken over")
			return nil
		}
		if !clock.Sleep(ctx, readRetry) {
			return err
		}
	}
}

func (r *Runner) followIntake(ctx context.Context, tail *logstore.Tail) {
	for ctx.Err() == nil {
		start := r.opt.Clock.Now()
		recs, _, err := tail.Next(ctx, intakeWait)
		if err != nil {
			clock.Sleep(ctx, readRetry)
			continue
		}
		if now := r.opt.Clock.Now(); len(recs) == 0 && now-start >= intakeWait {
			// Nothing was handed in while the answer waited.
			start += intakeWait
		}
		r.fold(recs, start)
		clock.Sleep(ctx, intakeGap)
	}
}

// fold takes in records of the intake that were read from start on.
func (r *Runner) fold(recs []logstore.Record, start time.Duration) {
	handed := make([]joblog.IntakeRecord, 0, len(recs))
	for _, rec := range recs {
		h, ok, err := joblog.DecodeIntake(rec)
		if err != nil {
			r.opt.Logger.Error().Err(err).Int64("offset", rec.Offset).Msg("intake record ignored")
		}
		if ok {
			handed = append(handed, h)
		}
	}
	r.update(func(t Times) {
		r.confirmed = max(r.confirmed, start)
		if len(handed) > 0 {
			r.core.Fold(handed, t)
		}
	})
}
