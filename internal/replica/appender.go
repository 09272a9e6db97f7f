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

// reappendInterval is how long an appended record may take to be read back from the
// log before it is appended again under the same ID.
const reappendInterval = 2 * time.Second

// Bounds of the backoff after a failed append or read.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// ErrOutcomePending means that the wait ended before the record was applied. It may
// still be applied later; appending it again under its ID returns the result.
var ErrOutcomePending = eris.New("record not applied yet")

// Appender appends records to the control stream and returns their results.
type Appender struct {
	log     platform.Log
	replica *Replica

	appends   tally.Counter
	uncertain tally.Counter
	failed    tally.Counter
}

// NewAppender returns an appender to log that gets results from r.
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

// Append appends rec and waits until this replica has applied it. An append whose
// answer was lost is repeated under the same ID; only the first copy in the log takes
// effect. If ctx ends first, the error matches ErrOutcomePending.
func (a *Appender) Append(ctx context.Context, rec record.Record) (ApplyResult, error) {
	result, stop := a.replica.awaitResult(rec.ID)
	defer stop()
	// An earlier call with the same ID may have had the record applied before the
	// wait began.
	if got, ok := a.recentResult(rec.ID); ok {
		return got, nil
	}
	retry := newBackoff()
	for {
		wait := a.appendOnce(ctx, rec, retry)
		select {
		case got := <-result:
			return got, nil
		case <-ctx.Done():
			return ApplyResult{}, eris.Wrapf(ErrOutcomePending, "%s: %v", rec.Kind, ctx.Err())
		case <-time.After(wait):
		}
	}
}

// Submit appends rec once and does not wait for it to be applied. After an error the
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

// appendOnce appends rec once and returns how long to wait for the result before the
// next attempt.
func (a *Appender) appendOnce(ctx context.Context, rec record.Record, retry backoff.BackOff) time.Duration {
	err := a.Submit(ctx, rec)
	if eris.Is(err, platform.ErrUnavailable) {
		return retry.NextBackOff()
	}
	return reappendInterval
}

// recentResult returns the result of a record that was applied recently.
func (a *Appender) recentResult(id ulid.ULID) (ApplyResult, bool) {
	d, ok := a.replica.State().Decisions.ByID(id)
	if !ok {
		return ApplyResult{}, false
	}
	out := record.Outcome{Accepted: d.Accepted, Reason: d.Refusal, Subjects: d.Subjects}
	return ApplyResult{Offset: d.Offset, Outcome: out}, true
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.MaxInterval = maxBackoff
	return b
}
