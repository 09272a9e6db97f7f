package replica

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

// foldWait is how long an appended record may take to come back through the
// log before it is appended again under its ID.
const foldWait = 2 * time.Second

// Bounds of the pause between appends that failed.
const (
	minAppendPause = 50 * time.Millisecond
	maxAppendPause = 2 * time.Second
)

// ErrUndecided means that the wait ended before the fold decided a record. The
// record may still be decided later; asking again under its ID tells.
var ErrUndecided = eris.New("record not decided yet")

// Appender appends records to the control stream and tells what became of
// them.
type Appender struct {
	log     platform.Log
	replica *Replica

	appends   tally.Counter
	uncertain tally.Counter
	failed    tally.Counter
}

// NewAppender returns an appender over log that learns outcomes from r.
func NewAppender(log platform.Log, r *Replica, scope tally.Scope) *Appender {
	scope = scope.SubScope("replica")
	return &Appender{
		log:       log,
		replica:   r,
		appends:   scope.Counter("appends"),
		uncertain: scope.Counter("appends_uncertain"),
		failed:    scope.Counter("appends_failed"),
	}
}

// Append appends rec and waits until the fold has decided it. An append whose
// answer was lost is repeated under the same ID, which the fold counts once.
// When ctx ends first the error matches ErrUndecided.
func (a *Appender) Append(ctx context.Context, rec record.Record) (Applied, error) {
	decided, stop := a.replica.await(rec.ID)
	defer stop()
	// The record may have been decided before the wait began, by an earlier
	// call with the same ID.
	if got, ok := a.lookup(rec.ID); ok {
		return got, nil
	}
	pause := newPause()
	for {
		wait := a.tryAppend(ctx, rec, pause)
		select {
		case got := <-decided:
			return got, nil
		case <-ctx.Done():
			return Applied{}, eris.Wrapf(ErrUndecided, "%s: %v", rec.Kind, ctx.Err())
		case <-time.After(wait):
		}
	}
}

// Submit appends rec once and does not wait for the fold. After an error the
// record may or may not have been appended; submitting it again is safe.
func (a *Appender) Submit(ctx context.Context, rec record.Record) error {
	data, err := record.Encode(rec)
	if err != nil {
		return err
	}
	a.appends.Inc(1)
	_, err = a.log.Append(ctx, platform.StreamControl, data)
	switch {
	case err == nil:
	case eris.Is(err, platform.ErrUnavailable):
		a.failed.Inc(1)
	default:
		a.uncertain.Inc(1)
	}
	return eris.Wrapf(err, "append %s", rec.Kind)
}

// tryAppend appends once and returns how long to wait for the fold before the
// next try.
func (a *Appender) tryAppend(ctx context.Context, rec record.Record, pause backoff.BackOff) time.Duration {
	err := a.Submit(ctx, rec)
	if eris.Is(err, platform.ErrUnavailable) {
		return pause.NextBackOff()
	}
	return foldWait
}

func (a *Appender) lookup(id ulid.ULID) (Applied, bool) {
	d, ok := a.replica.State().Decisions.ByID(id)
	if !ok {
		return Applied{}, false
	}
	out := record.Outcome{Accepted: d.Accepted, Reason: d.Refusal, Subjects: d.Subjects}
	return Applied{Offset: d.Offset, Outcome: out}, true
}

func newPause() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minAppendPause
	b.MaxInterval = maxAppendPause
	return b
}
