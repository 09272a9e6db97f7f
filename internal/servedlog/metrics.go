package servedlog

import "github.com/uber-go/tally/v4"

// metrics are those of the record of serving pools.
type metrics struct {
	records                  tally.Gauge
	appends, failed, deletes tally.Counter
	// reads counts the reads of all records beside those that follow them.
	reads tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("served")
	return metrics{
		records: scope.Gauge("records"),
		appends: scope.Counter("appends"),
		failed:  scope.Counter("appends_failed"),
		deletes: scope.Counter("deletes"),
		reads:   scope.Counter("reads"),
	}
}

// appended counts an append.
func (m metrics) appended(err error) {
	m.appends.Inc(1)
	if err != nil {
		m.failed.Inc(1)
	}
}
