package intake

import (
	"time"

	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/verdict"
)

// metrics counts the requests of callers and their outcomes.
type metrics struct {
	accepted, rejected, unknown tally.Counter
	cancels, cancelsFailed      tally.Counter
	viaLog                      tally.Counter
	unanswered, logLookups      tally.Counter
	// undecided counts the answers of holders that the log may not hold a job yet.
	undecided tally.Counter
	// olderConfiguration counts the requests that were rejected since a newer configuration
	// had not come in time.
	olderConfiguration tally.Counter
	// requestTime is how long submit and cancel requests took until they were
	// stored or had failed.
	requestTime tally.Histogram
}

// requestTimeBuckets are the histogram buckets of requestTime.
var requestTimeBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("intake")
	return metrics{
		accepted:      scope.Counter("jobs_accepted"),
		rejected:      scope.Counter("jobs_refused"),
		unknown:       scope.Counter("jobs_unsure"),
		cancels:       scope.Counter("cancels"),
		cancelsFailed: scope.Counter("cancels_failed"),
		viaLog:        scope.Counter("orders_around_holder"),
		unanswered:    scope.Counter("states_unanswered"),
		logLookups:    scope.Counter("states_from_log"),
		undecided:     scope.Counter("states_undecided"),

		olderConfiguration: scope.Counter("older_configuration"),
		requestTime:        scope.Histogram("order_seconds", requestTimeBuckets),
	}
}

func (m metrics) countSubmission(err error) {
	switch {
	case err == nil:
		m.accepted.Inc(1)
	case verdict.Of(err) == verdict.NotRun:
		m.rejected.Inc(1)
	default:
		m.unknown.Inc(1)
	}
}

func (m metrics) countCancel(err error) {
	if err == nil {
		m.cancels.Inc(1)
		return
	}
	m.cancelsFailed.Inc(1)
}
