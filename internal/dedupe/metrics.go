package dedupe

import (
	"time"

	"github.com/uber-go/tally/v4"
)

type metrics struct {
	granted        tally.Counter
	abandoned      tally.Counter
	duplicates     tally.Counter
	replayed       tally.Counter
	regeneratedIDs tally.Counter
	retried        tally.Counter
	latency        tally.Timer
	entries        tally.Gauge
	bytes          tally.Gauge
	unfencedEpochs tally.Gauge
	scope          tally.Scope
}

func newMetrics(s tally.Scope) *metrics {
	s = s.SubScope("dedupe")
	return &metrics{
		granted:        s.Counter("claims_granted"),
		abandoned:      s.Counter("claims_abandoned"),
		duplicates:     s.Counter("duplicates"),
		replayed:       s.Counter("answers_replayed"),
		regeneratedIDs: s.Counter("ids_reminted"),
		retried:        s.Counter("claims_retried"),
		latency:        s.Timer("claim_latency"),
		entries:        s.Gauge("entries"),
		bytes:          s.Gauge("answer_bytes"),
		unfencedEpochs: s.Gauge("epochs_not_fenced"),
		scope:          s,
	}
}

// countUnproven counts a request rejected as unproven, tagged with the reason.
func (m *metrics) countUnproven(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("unproven").Inc(1)
}

func (m *metrics) observeLatency(start time.Time) { m.latency.Record(time.Since(start)) }
