package telemetry

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Outage logs when calls that are made again and again begin to fail, and when they
// succeed again. The failures in between are counted.
type Outage struct {
	logger            zerolog.Logger
	failed, recovered string

	mu sync.Mutex
	// since is when the first of the failures came that no success has followed, and
	// failures is how many there were.
	since    time.Time
	failures int
}

// NewOutage returns an Outage whose lines have the given messages.
func NewOutage(l zerolog.Logger, failed, recovered string) *Outage {
	return &Outage{logger: l, failed: failed, recovered: recovered}
}

// Failed records that a call has failed.
func (o *Outage) Failed(call string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures++
	if o.failures > 1 {
		return
	}
	o.since = time.Now()
	o.logger.Warn().Err(err).Str("call", call).Msg(o.failed)
}

// Succeeded records that a call has succeeded.
func (o *Outage) Succeeded() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failures == 0 {
		return
	}
	o.logger.Info().Dur("after", time.Since(o.since)).Int("failures", o.failures).Msg(o.recovered)
	o.failures = 0
}
