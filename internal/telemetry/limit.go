package telemetry

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst bound the lines with one message.
	linesPerSecond = 300
	lineBurst      = 600
)

// Limiter bounds the lines of each kind, which is their message. The next line
// of a kind says in left_out how many were left out before it. Errors, and kinds
// that are exempt, are never left out.
type Limiter struct {
	exempt  map[string]bool
	now     func() time.Time
	leftOut tally.Counter

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is what is known of the lines with one message.
type kind struct {
	limit   *rate.Limiter
	leftOut int
}

var _ zerolog.Hook = (*Limiter)(nil)

// NewLimiter returns a hook for a logger. now tells the time for the limits.
func NewLimiter(now func() time.Time, scope tally.Scope, exempt ...string) *Limiter {
	l := &Limiter{
		exempt:  map[string]bool{},
		now:     now,
		leftOut: scope.SubScope("log").Counter("lines_left_out"),
		kinds:   map[string]*kind{},
	}
	for _, msg := range exempt {
		l.exempt[msg] = true
	}
	return l
}

// Run implements zerolog.Hook.
func (l *Limiter) Run(e *zerolog.Event, level zerolog.Level, msg string) {
	if level >= zerolog.ErrorLevel || l.exempt[msg] {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[msg]
	if k == nil {
		k = &kind{limit: rate.NewLimiter(linesPerSecond, lineBurst)}
		l.kinds[msg] = k
	}
	if !k.limit.AllowN(l.now(), 1) {
		k.leftOut++
		l.leftOut.Inc(1)
		e.Discard()
		return
	}
	if k.leftOut > 0 {
		e.Int("left_out", k.leftOut)
		k.leftOut = 0
	}
}
