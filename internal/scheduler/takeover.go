package scheduler

import (
	"context"
	"time"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
)

// restore reads what earlier holders logged. The journal has been opened
// before, so they can add nothing meanwhile.
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

// decodeProgress decodes records of the progress partition. It logs and skips
// those that are malformed.
func (r *Runner) decodeProgress(recs []logstore.Record) []joblog.ProgressRecord {
	out := make([]joblog.ProgressRecord, 0, len(recs))
	for _, rec := range recs {
		decoded, ok, err := joblog.DecodeProgress(rec)
		if err != nil {
			r.opt.Logger.Error().Err(err).Int64("offset", rec.Offset).Msg("ignoring a malformed progress record")
		}
		if ok {
			out = append(out, decoded)
		}
	}
	return out
}

// loadIntake reads the intake up to its present end, which completes the
// takeover.
func (r *Runner) loadIntake(ctx context.Context, tail *logstore.Tail) error {
	for {
		start := r.opt.Clock.Now()
		recs, _, err := tail.Next(ctx, 0)
		if err == nil {
			r.applyIntake(recs, start)
			r.mu.Lock()
			r.ready = true
			jobs := len(r.core.openJobs)
			r.mu.Unlock()
			r.opt.Logger.Info().Int64("token", r.opt.Token).Int("jobs", jobs).Msg("pool taken over")
			return nil
		}
		if !clock.Sleep(ctx, readRetry) {
			return err
		}
	}
}

// followIntake applies new records of the intake until ctx ends.
func (r *Runner) followIntake(ctx context.Context, tail *logstore.Tail) {
	for ctx.Err() == nil {
		start := r.opt.Clock.Now()
		recs, _, err := tail.Next(ctx, intakeWait)
		if err != nil {
			clock.Sleep(ctx, readRetry)
			continue
		}
		if now := r.opt.Clock.Now(); len(recs) == 0 && now-start >= intakeWait {
			// Nothing was submitted while the read waited.
			start += intakeWait
		}
		r.applyIntake(recs, start)
		clock.Sleep(ctx, intakeGap)
	}
}

// applyIntake applies records of the intake that were read from start on.
func (r *Runner) applyIntake(recs []logstore.Record, start time.Duration) {
	decoded := make([]joblog.IntakeRecord, 0, len(recs))
	for _, rec := range recs {
		intake, ok, err := joblog.DecodeIntake(rec)
		if err != nil {
			r.opt.Logger.Error().Err(err).Int64("offset", rec.Offset).Msg("ignoring a malformed intake record")
		}
		if ok {
			decoded = append(decoded, intake)
		}
	}
	r.update(func(t Times) {
		r.intakeReadUpTo = max(r.intakeReadUpTo, start)
		if len(decoded) > 0 {
			r.core.ApplyIntake(decoded, t)
		}
	})
}
