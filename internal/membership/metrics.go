package membership

import "github.com/uber-go/tally/v4"

type detectorMetrics struct {
	answered tally.Counter
	missed   tally.Counter
	pauses   tally.Counter
	members  tally.Gauge
	live     tally.Gauge
	epoch    tally.Gauge
}

func newDetectorMetrics(s tally.Scope) *detectorMetrics {
	s = s.SubScope("membership")
	return &detectorMetrics{
		answered: s.Counter("heartbeats_answered"),
		missed:   s.Counter("heartbeats_missed"),
		pauses:   s.Counter("pauses"),
		members:  s.Gauge("members"),
		live:     s.Gauge("live"),
		epoch:    s.Gauge("epoch"),
	}
}
