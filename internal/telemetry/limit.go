package telemetry

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and lineBurst limit the lines with the same message.
	linesPerSecond = 300
	lineBurst      = 600
)

// Limiter limits the rate of log lines with the same message. The next line with
// a message has the number of suppressed lines before it in the field left_out.
// Errors and lines with an exempt message are never suppressed.
type Limiter struct {
	exempt     map[string]bool
	now        func() time.Time
	suppressed tally.Counter

	mu sync.Mutex
	// messages holds the state of each message seen so far.
	messages map[string]*messageState
}

// messageState is the rate limit of the lines with one message, and how many were
// suppressed since the last one written.
type messageState struct {
	limit      *rate.Limiter
	suppressed int
}

var _ zerolog.Hook = (*Limiter)(nil)

// NewLimiter returns a limiter, to be used as a hook of a logger. now returns the
// time for the rate limits, and exempt lists messages that are not limited.
func NewLimiter(now func() time.Time, scope tally.Scope, exempt ...string) *Limiter {
	l := &Limiter{
		exempt:     map[string]bool{},
		now:        now,
		suppressed: scope.SubScope("log").Counter("lines_left_out"),
		messages:   map[string]*messageState{},
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
	m := l.state(msg)
	if !m.limit.AllowN(l.now(), 1) {
		m.suppressed++
		l.suppressed.Inc(1)
		e.Discard()
		return
	}
	if m.suppressed > 0 {
		e.Int("left_out", m.suppressed)
		m.suppressed = 0
	}
}

// Admits reports whether an info line with a message would be written now. If not, the line
// counts as suppressed, and its caller need not build it.
func (l *Limiter) Admits(msg string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.state(msg)
	if l.exempt[msg] || m.limit.TokensAt(l.now()) >= 1 {
		return true
	}
	m.suppressed++
	l.suppressed.Inc(1)
	return false
}

// state returns the state of a message. It must be called with mu held.
func (l *Limiter) state(msg string) *messageState {
	m := l.messages[msg]
	if m == nil {
		m = &messageState{limit: rate.NewLimiter(linesPerSecond, lineBurst)}
		l.messages[msg] = m
	}
	return m
}
