package scheduler

import (
	"slices"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
)

// trackedJob is a job together with the state that only its holder needs.
type trackedJob struct {
	*job.Job
	// submission is the accepted job as submitted, or nil once the log holds
	// it.
	submission *joblog.Submission
	// inIntake and inJournal tell whether the intake and the progress partition
	// hold the submission.
	inIntake, inJournal bool
	// arrived is when the job was accepted, by the holder's clock, and sequence
	// its position in the order in which jobs became known.
	arrived  time.Duration
	sequence int64
	// objective is the time in which the job should be done.
	objective time.Duration
	// speculative is set if any step of the job may have copies.
	speculative bool
	// dirty is set while the job is in Core.dirty, and requeue while it is in the
	// waitQueue's list of changed jobs.
	dirty, requeue bool
	// version counts the changes of the job. batchedVersion is the last version
	// in a batch, and committedVersion the last in the log.
	version, batchedVersion, committedVersion int
	// unplacedVersion is the version of which a plan last found no worker for some
	// of the job's tasks, or -1.
	unplacedVersion int
	// loggedPhase is the phase that the log holds.
	loggedPhase job.Phase
	// lastPreemption is when runs were last preempted for the job.
	lastPreemption time.Duration
	// avoided holds the workers that each task avoids.
	avoided map[job.TaskID]avoidedWorkers
	// stalledSince is since when the job has had no active run although some of
	// its tasks wait, or 0.
	stalledSince time.Duration
	// lasting is set if any step of the job is long-running.
	lasting bool
	// knownFrom is from when on it is known when the job has active runs, and watch what
	// is known of them.
	knownFrom time.Duration
	watch     runWatch
	// waitReasons tell, by step, why its tasks were not placed.
	waitReasons map[int]waitReason
}

// newTrackedJob returns the state of a submitted job, without its progress.
func (c *Core) newTrackedJob(s *joblog.Submission, t Times) *trackedJob {
	c.submitted++
	return &trackedJob{
		submission:  s,
		arrived:     t.Now - sinceAccepted(s.AcceptedAt, t.Wall),
		sequence:    c.submitted,
		objective:   objective(&s.Spec, s.Terms),
		lasting:     slices.ContainsFunc(s.Spec.Steps, func(st job.Step) bool { return st.LongRunning }),
		speculative: slices.ContainsFunc(s.Spec.Steps, func(st job.Step) bool { return st.Speculative }),

		unplacedVersion: -1,
	}
}

// maxAge bounds how long a job is assumed to have waited before its holder
// learnt of it, since the clocks of two hosts may differ.
const maxAge = 30 * time.Second

// sinceAccepted returns how long ago a job was accepted, at least 0 and at most
// maxAge.
func sinceAccepted(accepted, wall int64) time.Duration {
	return min(maxAge, max(0, time.Duration(wall-accepted)*time.Millisecond))
}
