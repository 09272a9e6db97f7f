package scheduler

import (
	"slices"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/verdict"
)

// A job is accepted once the log holds it. Until then only the memory of its holder has it, and
// it goes with the holder, or is taken back when its submitter has waited for too long: what
// is said to have been accepted must not rest on it.

var (
	// errTakenBack tells those who wait for a job that it was taken back.
	errTakenBack = verdict.NewNotRun(verdict.ReasonDeadline, "the job was taken back, since the log did not hold it in time")
	// errRefusedByLog tells them that the log takes no record of it.
	errRefusedByLog = verdict.NewNotRun(verdict.ReasonBadRequest, "the log takes no record of the job")
	// errElsewhere tells them that another pool has accepted the job.
	errElsewhere = verdict.NewMayHaveRun(verdict.ReasonDuplicate, "another pool has accepted the job")
)

// takenBackJob is a job that was taken back, with what those get who wait for it.
type takenBackJob struct {
	id     job.ID
	reason error
}

// hasSubmission reports whether a job is known here with its submission, or has ended. The log
// may hold the progress of a job of which it has refused the submission.
func (c *Core) hasSubmission(id job.ID) bool {
	_, ended := c.endedJobs[id]
	return ended || c.jobs[id] != nil
}

// unstored reports whether a job is known here that the log is not known to hold.
func (c *Core) unstored(id job.ID) bool {
	j := c.jobs[id]
	return j != nil && !j.stored
}

// unstoredVersion returns the version of a job from which on the log holds it, or 0 if the log
// holds it already or the job is not known.
func (c *Core) unstoredVersion(id job.ID) int {
	if !c.unstored(id) {
		return 0
	}
	j := c.jobs[id]
	if j.batchedVersion > 0 {
		return j.batchedVersion
	}
	return max(1, j.version)
}

// Withdraw removes a job that no batch contains yet, so that it certainly never runs. It
// reports whether it did.
func (c *Core) Withdraw(id job.ID) bool { return c.takeBack(id, errTakenBack) }

// takeBack does what Withdraw does, and tells those who wait for the job the reason.
func (c *Core) takeBack(id job.ID, reason error) bool {
	j := c.jobs[id]
	if j == nil || j.stored || j.batchedVersion > 0 {
		return false
	}
	c.forget(j, reason)
	return true
}

// SubmissionRefused takes back a job of a batch whose submission the log does not take. It
// reports whether it did: a job that the intake holds too is stored all the same.
func (c *Core) SubmissionRefused(b *Batch, id job.ID) bool {
	j := c.jobs[id]
	if j == nil || j.stored {
		return false
	}
	b.leaveOut(j)
	// Without the submission no holder runs the job, but the log may hold its progress.
	c.DeleteStale(append(j.parts.Deletions(id), joblog.DeleteProgress(id)))
	c.dropApprovals(id)
	c.forget(j, errRefusedByLog)
	c.needsPlan = true
	return true
}

// forget removes a job that is not in the log and never will be.
func (c *Core) forget(j *trackedJob, reason error) {
	id := j.Spec.ID
	c.opt.Logger.Info().Str("job", string(id)).Str("entry", j.Terms.Entry).Err(reason).Msg("job taken back before it was stored")
	delete(c.jobs, id)
	isForgotten := func(other *trackedJob) bool { return other == j }
	c.dirty = slices.DeleteFunc(c.dirty, isForgotten)
	c.closeJob(j)
	c.waiting.remove(j)
	if len(j.cancelsRead) > 0 {
		// The intake still holds them, for a submission that is yet to come.
		c.earlyCancels[id] = j.cancelsRead
	}
	c.takenBack = append(c.takenBack, takenBackJob{id, reason})
}

// withdraw takes a job back if no batch contains it, and reports whether it did.
func (r *Runner) withdraw(id job.ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	done := r.core.Withdraw(id)
	r.tellTakenBack()
	return done
}

// tellTakenBack ends the wait for jobs that were taken back. It must be called with mu held.
func (r *Runner) tellTakenBack() {
	for _, b := range r.core.takenBack {
		r.metrics.jobsTakenBack.Inc(1)
		r.logWaiters.takenBack(b.id, b.reason)
	}
	r.core.takenBack = nil
}
