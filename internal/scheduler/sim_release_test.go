package scheduler_test

import (
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
)

// simEarlierRelease is the interval of tokens at which a holder takes over from one of an earlier
// release.
const simEarlierRelease = 3

// asOfEarlierRelease turns records of progress into what a holder of an earlier release has
// logged: a job is running as soon as a run of it was planned.
func asOfEarlierRelease(records []joblog.ProgressRecord) {
	for _, rec := range records {
		if p := rec.Progress; p != nil && !p.Phase.Final() {
			p.Phase, p.Started = job.Running, false
			p.CorrectPhase()
		}
	}
}
