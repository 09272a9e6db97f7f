package policy

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/telemetry"
)

const (
	// readWait is how long a read waits for the operator's next record. A silent
	// connection is detected shortly after it, and a configuration has to be in
	// force within two seconds.
	readWait = 700 * time.Millisecond
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 50 * time.Millisecond
)

// Follower reads the records that the operator publishes.
type Follower struct {
	Log       logstore.Log
	Partition logstore.Partition
	// Apply applies one record. If it returns an error, the error is logged and
	// the record is skipped.
	Apply  func(logstore.Record) error
	Logger zerolog.Logger
}

// Run follows the operator's partition until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	outage := telemetry.NewOutage(f.Logger, "failed to read the configuration", "configuration is readable again")
	tail := logstore.NewTail(logstore.Reported(f.Log, outage), f.Partition)
	for ctx.Err() == nil {
		recs, _, err := tail.Next(ctx, readWait)
		if err != nil {
			clock.Sleep(ctx, readRetryDelay)
			continue
		}
		for _, r := range recs {
			if err := f.Apply(r); err != nil {
				f.Logger.Error().Err(err).Str("key", r.Key).Int64("offset", r.Offset).Msg("operator record skipped")
			}
		}
	}
}
