package scheduler

import (
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/worker"
)

// metrics counts what a pool's holder does.
type metrics struct {
	starts, startsRejected, startsUnanswered tally.Counter
	stops, stopsFailed                       tally.Counter
	speedChanges, speedChangesFailed         tally.Counter
	polls, pollsFailed                       tally.Counter
	approvalRequests, approvalRequestsFailed tally.Counter
	appends, records                         tally.Counter
	recordsRefused, checkpointsDropped       tally.Counter
	correlatedCrashes                        tally.Counter
	planWorkers, planGroups                  tally.Counter
	grantWaits, excessJobs, excessRejected   tally.Counter
	appendDuration                           tally.Histogram
	jobDuration                              tally.Histogram
	pool                                     poolGauges
	unseen                                   unseenCounters
	incarnations                             incarnationCounters
	fenced                                   fencedCounters
	// jobsTakenBack counts the jobs that were taken back before the log held them.
	jobsTakenBack tally.Counter
	// poolScope has the pool's tag.
	poolScope tally.Scope
}

// jobBuckets are the histogram bounds of the time from a job's arrival to its
// end.
var jobBuckets = tally.DurationBuckets{
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
	15 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute,
}

// appendBuckets are the histogram bounds of the duration of one append.
var appendBuckets = tally.DurationBuckets{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, time.Second, 5 * time.Second,
}

func newMetrics(scope tally.Scope, pool string) metrics {
	scope = scope.SubScope("scheduler")
	poolScope := scope.Tagged(map[string]string{"pool": pool})
	return metrics{
		starts:                 scope.Counter("starts"),
		startsRejected:         scope.Counter("starts_refused"),
		startsUnanswered:       scope.Counter("starts_unanswered"),
		stops:                  scope.Counter("stops"),
		stopsFailed:            scope.Counter("stops_failed"),
		speedChanges:           scope.Counter("paces"),
		speedChangesFailed:     scope.Counter("paces_failed"),
		polls:                  scope.Counter("looks"),
		pollsFailed:            scope.Counter("looks_failed"),
		approvalRequests:       scope.Counter("questions"),
		approvalRequestsFailed: scope.Counter("questions_failed"),
		appends:                scope.Counter("appends"),
		records:                scope.Counter("records"),
		recordsRefused:         scope.Counter("records_refused"),
		checkpointsDropped:     scope.Counter("checkpoints_dropped"),
		jobsTakenBack:          scope.Counter("jobs_taken_back"),
		correlatedCrashes:      scope.Counter("correlated_crashes"),
		planWorkers:            scope.Counter("plan_workers"),
		planGroups:             scope.Counter("plan_groups"),
		grantWaits:             scope.Counter("grant_waits"),
		excessJobs:             scope.Counter("excess_jobs"),
		excessRejected:         scope.Counter("excess_rejected"),
		appendDuration:         scope.Histogram("append_seconds", appendBuckets),
		jobDuration:            scope.Histogram("job_seconds", jobBuckets),
		pool:                   newPoolGauges(poolScope),
		unseen:                 newUnseenCounters(scope),
		incarnations:           newIncarnationCounters(scope),
		fenced:                 newFencedCounters(scope),
		poolScope:              poolScope,
	}
}

// startAnswered counts a start and how it was answered.
func (m metrics) startAnswered(err error) {
	m.starts.Inc(1)
	m.fenced.answered(kindStart, err)
	var rejection *worker.RejectedError
	switch {
	case err == nil:
	case errors.As(err, &rejection):
		m.startsRejected.Inc(1)
	default:
		m.startsUnanswered.Inc(1)
	}
}

// stopAnswered counts a stop and whether it failed.
func (m metrics) stopAnswered(err error) {
	m.stops.Inc(1)
	m.fenced.answered(kindStop, err)
	if err != nil {
		m.stopsFailed.Inc(1)
	}
}

// speedAnswered counts a change of speed and whether it failed.
func (m metrics) speedAnswered(err error) {
	m.speedChanges.Inc(1)
	m.fenced.answered(kindSpeed, err)
	if err != nil {
		m.speedChangesFailed.Inc(1)
	}
}

// pollAnswered counts a poll and whether it failed.
func (m metrics) pollAnswered(err error) {
	m.polls.Inc(1)
	m.fenced.answered(kindPoll, err)
	if err != nil {
		m.pollsFailed.Inc(1)
	}
}

// approvalAnswered counts an approval request and whether it failed.
func (m metrics) approvalAnswered(err error) {
	m.approvalRequests.Inc(1)
	if err != nil {
		m.approvalRequestsFailed.Inc(1)
	}
}

// appended counts an append and its records.
func (m metrics) appended(records int, took time.Duration) {
	m.appends.Inc(1)
	m.records.Inc(int64(records))
	m.appendDuration.RecordDuration(took)
}
