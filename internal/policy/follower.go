package policy

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
)

const (
	// followWait is how long a read waits for the operator's next record. A
	// connection that has fallen silent is noticed a little later: a
	// configuration has to be in force within two seconds.
	followWait = 700 * time.Millisecond
	// followRetry is the wait after a read that failed.
	followRetry = 50 * time.Millisecond
)

// Follower reads what the operator publishes.
type Follower struct {
	Log       logstore.Log
	Partition logstore.Partition
	// Apply takes in one record. An error is logged and the record passed
	// over.
	Apply  func(logstore.Record) error
	Logger zerolog.Logger
}

// Run follows the operator's partition until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	tail := logstore.NewTail(f.Log, f.Partition)
	down := false
	for ctx.Err() == nil {
		recs, _, err := tail.Next(ctx, followWait)
		if err != nil {
			if !down {
				f.Logger.Warn().Err(err).Msg("configuration cannot be read")
			}
			down = true
			clock.Sleep(ctx, followRetry)
			continue
		}
		if down {
			f.Logger.Info().Msg("configuration can be read again")
		}
		down = false
		for _, r := range recs {
			if err := f.Apply(r); err != nil {
				f.Logger.Error().Err(err).Str("key", r.Key).Int64("offset", r.Offset).Msg("operator's record ignored")
			}
		}
	}
}
