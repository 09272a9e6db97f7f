package logstore

import (
	"context"
	"errors"
	"time"

	"greengagedeck/internal/verdict"
)

const (
	// shortPatience is how long a call may take while the log answers: an open
	// connection may have gone silent, and a new one would work.
	shortPatience = 500 * time.Millisecond
	// longPatience is how long it may take while the log is slow.
	longPatience = 2 * time.Second
)

// Patience bounds the calls of one user of the log. A call that was not
// answered in time makes the next one wait longer, so that a slow log still
// gets its answers through. The zero value is ready for use by one goroutine.
type Patience struct{ cur time.Duration }

// Context returns a context for one call that may wait at the log for a while.
func (p *Patience) Context(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if p.cur == 0 {
		p.cur = shortPatience
	}
	return context.WithTimeout(ctx, wait+p.cur)
}

// Note takes in how the call ended.
func (p *Patience) Note(err error) {
	var v *verdict.Error
	if errors.As(err, &v) && v.Reason == verdict.ReasonTimeout {
		p.cur = min(2*p.cur, longPatience)
		return
	}
	p.cur = shortPatience
}
