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
	// patienceFactor times what the last answer took is how long the next may
	// take.
	patienceFactor = 4
)

// Patience bounds the calls of one user of the log by what the last ones took,
// so that a slow log still gets its answers through and is not asked twice for
// the same. The zero value is ready for use by one goroutine.
type Patience struct {
	cur, wait time.Duration
	start     time.Time
}

// Context returns a context for one call that may wait at the log for a while.
func (p *Patience) Context(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	p.cur = max(p.cur, shortPatience)
	p.wait = wait
	p.start = time.Now()
	return context.WithTimeout(ctx, wait+p.cur)
}

// Note takes in how the call ended.
func (p *Patience) Note(err error) {
	var v *verdict.Error
	if errors.As(err, &v) && v.Reason == verdict.ReasonTimeout {
		p.cur = min(2*p.cur, longPatience)
		return
	}
	took := time.Since(p.start) - p.wait
	p.cur = min(max(patienceFactor*took, shortPatience), longPatience)
}
