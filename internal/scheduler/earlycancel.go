package scheduler

import (
	"slices"

	"greengagedeck/internal/job"
)

// earlyCancel is a cancel of a job that is not known yet.
type earlyCancel struct {
	by job.Requester
	// readAt is the time of day at which it was read, in milliseconds since 1970.
	readAt int64
}

// applyEarlyCancels applies the cancels of a job that were read before the job.
func (c *Core) applyEarlyCancels(j *trackedJob, t Times) {
	early, ok := c.earlyCancels[j.Spec.ID]
	if !ok {
		return
	}
	delete(c.earlyCancels, j.Spec.ID)
	j.inIntake = true
	for _, e := range early {
		c.cancel(j.Spec.ID, e.by, t)
	}
}

// rememberCancel remembers the cancel of a job that is not known, unless it has ended.
func (c *Core) rememberCancel(id job.ID, by job.Requester, t Times) {
	if _, ended := c.endedJobs[id]; ended {
		return
	}
	early := c.earlyCancels[id]
	if i := slices.IndexFunc(early, func(e earlyCancel) bool { return e.by == by }); i >= 0 {
		early[i].readAt = t.Wall
		return
	}
	c.earlyCancels[id] = append(early, earlyCancel{by, t.Wall})
}
