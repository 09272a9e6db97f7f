package scheduler

import (
	"iter"
	"slices"
	"time"

	"greengagedeck/internal/fairshare"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
)

// trackedJob is a job together with the state that only its holder needs.
type trackedJob struct {
	*job.Job
	// submission is the job as submitted, or nil once a batch or the intake holds it.
	submission *joblog.Submission
	// stored is set once the log holds the submission. Before, the job is not accepted: it
	// may still be taken back, or be lost with this holder.
	stored bool
	// cancelsRead are the cancels in the intake that were applied before the job was stored.
	cancelsRead []earlyCancel
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
	// dirty is set while the job is in Core.dirty, and requeue and unplanned while it is in
	// the waitQueue's lists of changed jobs and of those that no plan has considered since.
	dirty, requeue, unplanned bool
	// queued are the job's groups in the waitQueue.
	queued []*pendingGroup
	// countedPlanned is set while the job counts as one of its priority of which a run was
	// planned, and settled once it is not open any more.
	countedPlanned, settled bool
	// version counts the changes of the job. batchedVersion is the last version
	// in a batch, and committedVersion the last in the log.
	version, batchedVersion, committedVersion int
	// loggedPhase is the phase that the log holds, and parts those in which it will hold
	// the progress once all batches are logged.
	loggedPhase job.Phase
	parts       joblog.Parts
	// unloggable is set once the log has refused a record of the job for good.
	unloggable bool
	// lastPreemption is when runs were last preempted for the job.
	lastPreemption time.Duration
	// avoided holds the workers that each task avoids.
	avoided map[job.TaskID]avoidedWorkers
	// stalledSince is since when the job has had no active run although some of
	// its tasks wait, or 0.
	stalledSince time.Duration
	// excess is set if the job's customer had submitted more jobs than it is entitled to
	// when it came.
	excess bool
	// queuedWork is the work of the job's tasks that have not started, and lateAfter when
	// the next ones must have started for it to finish in time. They are known where
	// customers take turns, as of the job's last change.
	queuedWork fairshare.Work
	lateAfter  time.Duration
	// lasting is set if any step of the job is long-running.
	lasting bool
	// knownFrom is from when on it is known when the job has active runs, and watch what
	// is known of them.
	knownFrom time.Duration
	watch     runWatch
	// waitReasons tell, by step, why its tasks were not placed.
	waitReasons map[int]waitReason
	// waits are the groups that wait, by occurrence and step, as of the last plan that has
	// considered the job.
	waits []groupWait
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
	}
}

// markStored records that the log holds the submission.
func (j *trackedJob) markStored() { j.stored, j.cancelsRead = true, nil }

// maxAge bounds how long a job is assumed to have waited before its holder
// learnt of it, since the clocks of two hosts may differ.
const maxAge = 30 * time.Second

// sinceAccepted returns how long ago a job was accepted, at least 0 and at most
// maxAge.
func sinceAccepted(accepted, wall int64) time.Duration {
	return min(maxAge, max(0, time.Duration(wall-accepted)*time.Millisecond))
}

// openJobs are the jobs that are not settled, in the order in which they became known.
// Removed ones are dropped once they are half of the list.
type openJobs struct {
	jobs    []*trackedJob
	removed int
}

// add adds a job.
func (o *openJobs) add(j *trackedJob) { o.jobs = append(o.jobs, j) }

// remove removes a job that was added.
func (o *openJobs) remove(j *trackedJob) {
	j.settled = true
	o.removed++
	if 2*o.removed > len(o.jobs) {
		o.jobs = slices.DeleteFunc(o.jobs, func(j *trackedJob) bool { return j.settled })
		o.removed = 0
	}
}

// count returns the number of jobs.
func (o *openJobs) count() int { return len(o.jobs) - o.removed }

// all returns the jobs.
func (o *openJobs) all() iter.Seq[*trackedJob] {
	return func(yield func(*trackedJob) bool) {
		for _, j := range o.jobs {
			if !j.settled && !yield(j) {
				return
			}
		}
	}
}
