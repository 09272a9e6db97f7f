package scheduler

import (
	"context"
	"slices"
	"time"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
)

const (
	// endedCheckInterval is the time between two searches for ended jobs whose
	// state need not be kept any more.
	endedCheckInterval = time.Second
	// deleteInterval is the time between deletions of ended jobs' submissions.
	deleteInterval = 2 * time.Second
)

// leftovers are the ended jobs of which the intake may hold records, with how often
// such a record was read or the job ended.
//
// As long as the intake may hold the submission of an ended job, the progress that
// tells that it has ended must not be deleted: a holder that reads the submission alone
// runs the job again.
type leftovers map[job.ID]int

// add records that the intake may hold a record of an ended job.
func (l leftovers) add(id job.ID) { l[id]++ }

// deleted records that the records of the jobs in done were deleted that the intake
// held when done was cloned. A record that was read since may have been appended after
// the deletion.
func (l leftovers) deleted(done leftovers) {
	for id, n := range done {
		if l[id] == n {
			delete(l, id)
		}
	}
}

// customerKeys are, by job, the keys of the records in the intake that name a customer.
type customerKeys map[job.ID][]string

// add records the key of a record, unless it names no customer.
func (k customerKeys) add(rec joblog.IntakeRecord) {
	if rec.CustomerKey != "" && !slices.Contains(k[rec.ID], rec.CustomerKey) {
		k[rec.ID] = append(k[rec.ID], rec.CustomerKey)
	}
}

// noteInIntake records that the intake holds a record of a job.
func (c *Core) noteInIntake(rec joblog.IntakeRecord) {
	id := rec.ID
	c.customerKeys.add(rec)
	if j := c.jobs[id]; j != nil {
		j.inIntake = true
		return
	}
	if _, ended := c.endedJobs[id]; ended {
		c.leftInIntake.add(id)
	}
}

// expireEnded deletes the progress of jobs whose state is no longer kept, and forgets
// cancels of jobs that never became known.
func (c *Core) expireEnded(b *Batch, wall int64) {
	if c.intakeBehind || wall < c.endedCheckedAt+endedCheckInterval.Milliseconds() {
		return
	}
	c.endedCheckedAt = wall
	expired := func(since int64) bool { return wall-since > c.opt.StatusRetention.Milliseconds() }
	for id, p := range c.endedJobs {
		if expired(p.EndedAt) && c.leftInIntake[id] == 0 {
			delete(c.endedJobs, id)
			b.Progress = append(b.Progress, joblog.DeleteProgress(id))
		}
	}
	for id, early := range c.earlyCancels {
		if !slices.ContainsFunc(early, func(e earlyCancel) bool { return !expired(e.readAt) }) {
			delete(c.earlyCancels, id)
			c.leftInIntake.add(id)
		}
	}
}

// intakeDeleted records that the records of the jobs in done were deleted from the intake.
func (c *Core) intakeDeleted(done leftovers) {
	c.leftInIntake.deleted(done)
	for id := range done {
		if c.leftInIntake[id] == 0 {
			delete(c.customerKeys, id)
		}
	}
}

// deleteLoop deletes what the intake holds of ended jobs. A deletion that fails is
// repeated after deleteInterval.
func (r *Runner) deleteLoop(ctx context.Context) {
	for clock.Sleep(ctx, deleteInterval) {
		r.deleteLeftovers(ctx)
	}
}

// deleteLeftovers tries to delete what the intake holds of ended jobs.
func (r *Runner) deleteLeftovers(ctx context.Context) {
	jobs, entries := map[logstore.Partition]leftovers{}, map[logstore.Partition][]logstore.Entry{}
	r.mu.Lock()
	for id, n := range r.core.leftInIntake {
		p := joblog.IntakePartition(r.opt.Pool, id)
		if len(entries[p]) >= maxDeletes {
			continue
		}
		if jobs[p] == nil {
			jobs[p] = leftovers{}
		}
		jobs[p][id] = n
		entries[p] = append(entries[p], joblog.DeleteIntake(id, r.core.customerKeys[id]...)...)
	}
	r.mu.Unlock()
	for p, list := range entries {
		if _, err := r.opt.Log.Append(ctx, p, list, logstore.Condition{}); err != nil {
			r.opt.Logger.Info().Err(err).Stringer("partition", p).Int("jobs", len(jobs[p])).Msg("deleting the submissions of ended jobs failed, it is repeated")
			continue
		}
		r.mu.Lock()
		r.core.intakeDeleted(jobs[p])
		r.mu.Unlock()
	}
}

// maxDeletes bounds the entries of one deletion, so that it fits into one append.
const maxDeletes = 20_000

// trackIntakeLag records whether the intake has not been read for so long that the
// submission of a job may be unread whose state is about to be forgotten. It must be
// called with mu held.
func (r *Runner) trackIntakeLag() {
	r.core.intakeBehind = r.opt.Clock.Now()-r.submissionsKnownUpTo() > r.opt.StatusRetention/2
}
