package scheduler

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/stage"
	"greengagedeck/internal/telemetry"
)

// restore reads what earlier holders logged. The journal has been opened
// before, so they can add nothing meanwhile.
func (r *Runner) restore(ctx context.Context) error {
	log := r.reported("pool's log unreadable", "pool's log readable again")
	for {
		recs, _, err := logstore.NewestOfAllKeys(ctx, log, joblog.ProgressPartition(r.opt.Pool))
		if err == nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			page := joblog.DecodeProgressPage(recs)
			for _, err := range page.Malformed {
				r.opt.Logger.Error().Err(err).Msg("ignoring a malformed progress record")
			}
			r.core.Restore(page.Records, r.times())
			r.core.DeleteStale(page.Stale)
			return nil
		}
		if !clock.Sleep(ctx, readRetry) {
			return err
		}
	}
}

// reported returns the log, with lines that have the given messages when its calls
// begin to fail and when they succeed again.
func (r *Runner) reported(failed, recovered string) logstore.Log {
	return logstore.Reported(r.opt.Log, telemetry.NewOutage(r.opt.Logger, failed, recovered))
}

// intakeTails returns a tail of each intake partition.
func (r *Runner) intakeTails() map[logstore.Partition]*logstore.Tail {
	out := map[logstore.Partition]*logstore.Tail{}
	for _, p := range joblog.IntakePartitions(r.opt.Pool) {
		log := r.reported("intake unreadable", "intake readable again")
		out[p] = logstore.NewTail(log, p)
	}
	return out
}

// loadIntake reads the intake partitions up to their present ends, which completes
// the takeover.
func (r *Runner) loadIntake(ctx context.Context, tails map[logstore.Partition]*logstore.Tail) error {
	loads, loadCtx := errgroup.WithContext(ctx)
	for p, tail := range tails {
		loads.Go(func() error { return r.loadIntakePartition(loadCtx, p, tail) })
	}
	if err := loads.Wait(); err != nil {
		return err
	}
	r.mu.Lock()
	r.ready = true
	jobs := r.core.openJobs.count()
	r.mu.Unlock()
	r.opt.Logger.Info().Int64("token", r.opt.Token).Int("jobs", jobs).Msg("pool taken over")
	return nil
}

// loadIntakePartition reads one intake partition up to its present end.
func (r *Runner) loadIntakePartition(ctx context.Context, p logstore.Partition, tail *logstore.Tail) error {
	for {
		start := r.opt.Clock.Now()
		recs, _, err := tail.Next(ctx, 0)
		if err == nil {
			r.applyIntake(ctx, p, recs, start)
			return nil
		}
		if !clock.Sleep(ctx, readRetry) {
			return err
		}
	}
}

// followIntake applies new records of an intake partition until ctx ends.
func (r *Runner) followIntake(ctx context.Context, p logstore.Partition, tail *logstore.Tail) {
	for ctx.Err() == nil {
		start := r.opt.Clock.Now()
		recs, _, err := tail.Next(ctx, intakeWait)
		if err != nil {
			clock.Sleep(ctx, readRetry)
			continue
		}
		r.applyIntake(ctx, p, recs, start)
		clock.Sleep(ctx, intakeGap)
	}
}

// applyIntake applies records of an intake partition. Every record that was there at start,
// when the read of them began, is among them or was read before: when the log looked later, an
// answer does not tell.
func (r *Runner) applyIntake(ctx context.Context, p logstore.Partition, recs []logstore.Record, start time.Duration) {
	decodeStart := r.opt.Clock.Now()
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
	r.work.Spent(stage.Decode, r.opt.Clock.Now()-decodeStart)
	decoded, undecided := r.dropAcceptedElsewhere(ctx, decoded)
	r.update(stage.Submit, func(t Times) {
		r.undecided.add(p, undecided, t.Now)
		// Until it is decided whose jobs they are, this pool can't tell that it has not
		// got one.
		upTo := start
		if len(r.undecided[p]) > 0 {
			upTo = 0
		}
		r.intakeReadUpTo[p] = max(r.intakeReadUpTo[p], upTo)
		if len(decoded) > 0 {
			r.core.ApplyIntake(decoded, t)
		}
	})
}

// submissionsKnownUpTo returns a moment up to which every submission is known
// here. It must be called with mu held.
func (r *Runner) submissionsKnownUpTo() time.Duration {
	upTo := r.opt.Clock.Now()
	for _, at := range r.intakeReadUpTo {
		upTo = min(upTo, at)
	}
	return upTo
}
