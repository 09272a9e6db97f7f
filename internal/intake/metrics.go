package intake

import (
	"time"

	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/verdict"
)

// metrics counts what callers asked for and what became of it.
type metrics struct {
	accepted, refused, unsure tally.Counter
	cancels, cancelsFailed    tally.Counter
	around                    tally.Counter
	unanswered, logLookups    tally.Counter
	// orderTime is how long jobs and cancels took to be stored or refused.
	orderTime tally.Histogram
}

// orderBuckets are the bounds of that time.
var orderBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("intake")
	return metrics{
		accepted:      scope.Counter("jobs_accepted"),
		refused:       scope.Counter("jobs_refused"),
		unsure:        scope.Counter("jobs_unsure"),
		cancels:       scope.Counter("cancels"),
		cancelsFailed: scope.Counter("cancels_failed"),
		around:        scope.Counter("orders_around_holder"),
		unanswered:    scope.Counter("states_unanswered"),
		logLookups:    scope.Counter("states_from_log"),
		orderTime:     scope.Histogram("order_seconds", orderBuckets),
	}
}

func (m metrics) submitted(err error) {
	switch {
	case err == nil:
		m.accepted.Inc(1)
	case verdict.Of(err) == verdict.NotRun:
		m.refused.Inc(1)
	default:
		m.unsure.Inc(1)
	}
}

func (m metrics) cancelled(err error) {
	if err == nil {
		m.cancels.Inc(1)
		return
	}
	m.cancelsFailed.Inc(1)
}
