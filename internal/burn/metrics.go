package burn

import "github.com/uber-go/tally/v4"

// metrics counts appended, pending, dropped and unreadable summaries and
// rollups.
type metrics struct {
	appends        tally.Counter
	appendFailures tally.Counter
	dropped        tally.Counter
	pending        tally.Gauge
	rollups        tally.Counter
	rollupFailures tally.Counter
	unreadable     tally.Counter
}

func newMetrics(s tally.Scope) *metrics {
	if s == nil {
		s = tally.NoopScope
	}
	s = s.SubScope("burn")
	return &metrics{
		appends:        s.Counter("appends"),
		appendFailures: s.Counter("append_failures"),
		dropped:        s.Counter("summaries_dropped"),
		pending:        s.Gauge("summaries_pending"),
		rollups:        s.Counter("rollups_appended"),
		rollupFailures: s.Counter("roll_failures"),
		unreadable:     s.Counter("records_unreadable"),
	}
}
