package scheduler

import (
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/worker"
)

// metrics counts what a pool's holder does.
type metrics struct {
	starts, startsRefused, startsUnanswered tally.Counter
	stops, stopsFailed                      tally.Counter
	paces, pacesFailed                      tally.Counter
	looks, looksFailed                      tally.Counter
	questions, questionsFailed              tally.Counter
	appends, records                        tally.Counter
	appendTime                              tally.Histogram
	jobTime                                 tally.Histogram
}

// jobBuckets are the bounds of the time from a job's arrival to its end.
var jobBuckets = tally.DurationBuckets{
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
	15 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute,
}

// appendBuckets are the bounds of the time of one append.
var appendBuckets = tally.DurationBuckets{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, time.Second, 5 * time.Second,
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("scheduler")
	return metrics{
		starts:           scope.Counter("starts"),
		startsRefused:    scope.Counter("starts_refused"),
		startsUnanswered: scope.Counter("starts_unanswered"),
		stops:            scope.Counter("stops"),
		stopsFailed:      scope.Counter("stops_failed"),
		paces:            scope.Counter("paces"),
		pacesFailed:      scope.Counter("paces_failed"),
		looks:            scope.Counter("looks"),
		looksFailed:      scope.Counter("looks_failed"),
		questions:        scope.Counter("questions"),
		questionsFailed:  scope.Counter("questions_failed"),
		appends:          scope.Counter("appends"),
		records:          scope.Counter("records"),
		appendTime:       scope.Histogram("append_seconds", appendBuckets),
		jobTime:          scope.Histogram("job_seconds", jobBuckets),
	}
}

func (m metrics) started(err error) {
	m.starts.Inc(1)
	var refusal *worker.RejectedError
	switch {
	case err == nil:
	case errors.As(err, &refusal):
		m.startsRefused.Inc(1)
	default:
		m.startsUnanswered.Inc(1)
	}
}

func (m metrics) stopped(err error) {
	m.stops.Inc(1)
	if err != nil {
		m.stopsFailed.Inc(1)
	}
}

func (m metrics) paced(err error) {
	m.paces.Inc(1)
	if err != nil {
		m.pacesFailed.Inc(1)
	}
}

func (m metrics) looked(err error) {
	m.looks.Inc(1)
	if err != nil {
		m.looksFailed.Inc(1)
	}
}

func (m metrics) advised(err error) {
	m.questions.Inc(1)
	if err != nil {
		m.questionsFailed.Inc(1)
	}
}

func (m metrics) appended(records int, took time.Duration) {
	m.appends.Inc(1)
	m.records.Inc(int64(records))
	m.appendTime.RecordDuration(took)
}
