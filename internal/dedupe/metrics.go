package dedupe

import (
	"time"

	"github.com/uber-go/tally/v4"
)

type metrics struct {
	granted    tally.Counter
	abandoned  tally.Counter
	duplicates tally.Counter
	replayed   tally.Counter
	reminted   tally.Counter
	retried    tally.Counter
	latency    tally.Timer
	entries    tally.Gauge
	bytes      tally.Gauge
	baseLag    tally.Gauge
	scope      tally.Scope
}

func newMetrics(s tally.Scope) *metrics {
	s = s.SubScope("dedupe")
	return &metrics{
		granted:    s.Counter("claims_granted"),
		abandoned:  s.Counter("claims_abandoned"),
		duplicates: s.Counter("duplicates"),
		replayed:   s.Counter("answers_replayed"),
		reminted:   s.Counter("ids_reminted"),
		retried:    s.Counter("claims_retried"),
		latency:    s.Timer("claim_latency"),
		entries:    s.Gauge("entries"),
		bytes:      s.Gauge("answer_bytes"),
		baseLag:    s.Gauge("epochs_not_fenced"),
		scope:      s,
	}
}

// unproven counts a refusal by why nothing could be proved.
func (m *metrics) unproven(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("unproven").Inc(1)
}

func (m *metrics) observe(start time.Time) { m.latency.Record(time.Since(start)) }
