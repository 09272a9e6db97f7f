package logstore

import (
	"context"
	"errors"
	"time"

	"greengagedeck/internal/verdict"
)

const (
	// minTimeout is the timeout while the log answers fast. It is short because
	// an open connection may have stopped responding while a new one would
	// work.
	minTimeout = 500 * time.Millisecond
	// maxTimeout is the timeout while the log is slow.
	maxTimeout = 2 * time.Second
	// timeoutFactor times the duration of the last call is the timeout of the
	// next.
	timeoutFactor = 4
)

// AdaptiveTimeout sets the timeout of the calls of one user of the log according
// to the duration of earlier calls, so that calls to a slow log still succeed and
// are not repeated needlessly. The zero value is ready for use by one goroutine.
type AdaptiveTimeout struct {
	timeout, wait time.Duration
	start         time.Time
}

// Context returns the context for one call. wait is how long the log may hold the
// call back on purpose; it is added to the timeout.
func (t *AdaptiveTimeout) Context(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	t.timeout = max(t.timeout, minTimeout)
	t.wait = wait
	t.start = time.Now()
	return context.WithTimeout(ctx, wait+t.timeout)
}

// Observe adapts the timeout to the result of the call that Context was last
// called for.
func (t *AdaptiveTimeout) Observe(err error) {
	var v *verdict.Error
	if errors.As(err, &v) && v.Reason == verdict.ReasonTimeout {
		t.timeout = min(2*t.timeout, maxTimeout)
		return
	}
	took := time.Since(t.start) - t.wait
	t.timeout = min(max(timeoutFactor*took, minTimeout), maxTimeout)
}
