package scheduler

import (
	"slices"

	"greengagedeck/internal/job"
)

// Refused records that the log does not take the records of a job in a batch. The job has
// failed: nothing that is not logged may start, and the other jobs of the pool must not wait
// for it. Only its end is logged from now on.
func (c *Core) Refused(b *Batch, id job.ID, t Times) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	b.leaveOut(j)
	if j.unloggable {
		return
	}
	j.unloggable = true
	before := j.Phase
	j.Fail(t.Wall)
	c.markDirty(j)
	c.recordJobEnd(j, before, t)
	c.stopRedundant(j)
}

// leaveOut removes a job from what counts as logged with the batch.
func (b *Batch) leaveOut(j *trackedJob) {
	delete(b.jobs, j)
	b.encoded = slices.DeleteFunc(b.encoded, func(other *trackedJob) bool { return other == j })
}

// loggedProgress returns the progress of a job that is logged.
func (j *trackedJob) loggedProgress() *job.Progress {
	if !j.unloggable {
		return &j.Progress
	}
	summary := j.Summary()
	return &summary
}
