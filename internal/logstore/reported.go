package logstore

import (
	"context"
	"errors"
	"time"

	"greengagedeck/internal/telemetry"
)

// reported is a log whose failed calls are reported.
type reported struct {
	log    Log
	outage *telemetry.Outage
}

// Reported returns a log that has an Outage report calls which the log does not answer.
// Calls that their caller gave up are not reported.
func Reported(l Log, o *telemetry.Outage) Log { return reported{l, o} }

// report reports the outcome of a call.
func (r reported) report(ctx context.Context, call string, p Partition, err error) {
	switch {
	case answered(err):
		r.outage.Succeeded()
	case isRefused(err):
		// The log may not even have been called.
	case !errors.Is(ctx.Err(), context.Canceled):
		r.outage.Failed(call+" "+p.String(), err)
	}
}

// Limits implements Log.
func (r reported) Limits() Limits { return r.log.Limits() }

// Append implements Log.
func (r reported) Append(ctx context.Context, p Partition, entries []Entry, c Condition) (AppendResult, error) {
	result, err := r.log.Append(ctx, p, entries, c)
	r.report(ctx, "append", p, err)
	return result, err
}

// Read implements Log.
func (r reported) Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Batch, error) {
	b, err := r.log.Read(ctx, p, from, wait)
	r.report(ctx, "read", p, err)
	return b, err
}

// Newest implements Log.
func (r reported) Newest(ctx context.Context, p Partition, after string) (Page, error) {
	page, err := r.log.Newest(ctx, p, after)
	r.report(ctx, "newest", p, err)
	return page, err
}
