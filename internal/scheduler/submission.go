package scheduler

import (
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/worker"
)

// ApplyIntake applies records of the intake.
func (c *Core) ApplyIntake(records []joblog.IntakeRecord, t Times) {
	for _, rec := range records {
		if rec.Cancelled {
			c.cancel(rec.ID, rec.By, t)
		} else {
			c.applySubmission(rec.Submission, t)
		}
		c.noteInIntake(rec)
	}
	c.needsPlan = true
}

// applySubmission adds a job whose submission the intake holds.
func (c *Core) applySubmission(s *joblog.Submission, t Times) {
	if other := c.jobs[s.Spec.ID]; other != nil && other.Terms.Customer != s.Terms.Customer {
		// What the log holds goes before what only this holder has.
		c.takeBack(s.Spec.ID, ErrOtherCustomer)
	}
	j := c.submit(s, t)
	if j == nil {
		return
	}
	if j.Terms.Customer == s.Terms.Customer {
		j.submission = nil
		j.markStored()
		return
	}
	// The intake does not hold the submission of the job that is known here. Its progress
	// is logged, so that later holders decide between the two submissions alike.
	c.logForeignSubmission(s, j.Owner())
	c.markDirty(j)
}

// logForeignSubmission logs that a submission is dropped because its ID belongs to the job
// of an owner to which the submitter has no access.
func (c *Core) logForeignSubmission(s *joblog.Submission, owner job.Owner) {
	if s.Terms.Requester().MayAccess(owner) {
		return
	}
	c.opt.Logger.Info().Str("job", string(s.Spec.ID)).Str("entry", s.Terms.Entry).Str("customer", string(s.Terms.Customer)).
		Msg("submission dropped, its ID belongs to a job of another customer")
}

// Submit adds a job that reached the holder before the log. It returns the version of the
// job from which on the log holds it, 0 if the log does already.
func (c *Core) Submit(s *joblog.Submission, t Times) int {
	j := c.submit(s, t)
	switch {
	case j == nil:
		return 0
	case j.submission != nil:
		c.markDirty(j)
	case j.stored:
		return 0
	}
	return j.version
}

// Cancel cancels a job that is known here. It returns the version of the job
// from which on the log holds the cancel, or false when the job is not known.
func (c *Core) Cancel(id job.ID, t Times) (int, bool) {
	if _, ended := c.endedJobs[id]; ended {
		return 0, true
	}
	j := c.jobs[id]
	if j == nil {
		return 0, false
	}
	c.cancelJob(j, t)
	return j.version, true
}

// Owner returns whose a job is, or false when the job is not known.
func (c *Core) Owner(id job.ID) (job.Owner, bool) {
	if j := c.jobs[id]; j != nil {
		return j.Owner(), true
	}
	if p, ended := c.endedJobs[id]; ended {
		return p.Owner(), true
	}
	if p := c.restoredProgress[id]; p != nil {
		return p.Owner(), true
	}
	return job.Owner{}, false
}

// submit adds a job and returns it, or nil if the job has ended. The first
// submission of an ID counts: a caller that got no answer sends the job again.
func (c *Core) submit(s *joblog.Submission, t Times) *trackedJob {
	id := s.Spec.ID
	if j := c.jobs[id]; j != nil {
		return j
	}
	if _, ended := c.endedJobs[id]; ended {
		return nil
	}
	p := c.restoredProgress[id]
	if p != nil && p.Customer != "" && p.Customer != s.Terms.Customer {
		c.logForeignSubmission(s, p.Owner())
		return nil
	}
	if p != nil && !p.Fits(&s.Spec) {
		c.opt.Logger.Error().Str("job", string(id)).Msg("the logged progress does not fit the job, which counts as failed")
		delete(c.restoredProgress, id)
		c.DeleteStale(c.takeRestoredParts(id).Deletions(id))
		ended := p.Summary()
		ended.Phase, ended.EndedAt = job.Failed, t.Wall
		c.endedJobs[id] = ended
		return nil
	}
	j := c.newTrackedJob(s, t)
	if p != nil {
		j.Job = job.Restore(s.Spec, s.Terms, *p)
		j.loggedPhase = p.Phase
		j.markStored()
		j.knownFrom = t.Now
		j.parts = c.takeRestoredParts(id)
		delete(c.restoredProgress, id)
	} else {
		j.Job = job.New(s.Spec, s.Terms)
		c.noteSubmitted(j, t.Now)
	}
	line := c.opt.Logger.Info().Str("job", string(id)).Str("entry", s.Terms.Entry).Int64("config", s.Terms.Version).Stringer("phase", j.Phase)
	if j.Customer != "" {
		line = line.Str("customer", string(j.Customer))
	}
	line.Dur("age", t.Now-j.arrived).Dur("objective", j.objective).Msg("job added to the pool")
	c.jobs[id] = j
	c.openJobs.add(j)
	if j.Spec.Repeat > 0 {
		c.repeating = append(c.repeating, j)
	}
	c.countPlanned(j)
	c.waiting.jobChanged(j)
	c.adoptRuns(j, t)
	c.stopRedundant(j)
	c.applyEarlyCancels(j, t)
	return j
}

// takeRestoredParts returns the parts in which the log holds the restored progress of a job.
func (c *Core) takeRestoredParts(id job.ID) joblog.Parts {
	parts := c.restoredParts[id]
	delete(c.restoredParts, id)
	return parts
}

// adoptRuns tracks the runs that an earlier holder logged for a job. Each may
// be on its worker until that worker has been polled.
func (c *Core) adoptRuns(j *trackedJob, t Times) {
	j.EachActiveRun(func(r job.RunID, at job.Location) {
		ws := c.workers[at.Worker.ID]
		if ws == nil {
			ws = c.newWorker(worker.Listing{Incarnation: at.Worker, Address: at.Address}, t.Now)
			ws.Listed = false
			c.addWorker(ws)
		}
		// Only a poll that starts from now on can show whether the run is
		// there.
		ws.Unfence()
		s := j.Step(r.Task)
		run := worker.NewRun(r, s, worker.RunOrdered, t.Now, c.expectedDuration(s))
		run.SpeedAtWorker = worker.SpeedUnknown
		run.Adopted = true
		run.PlannedFor = at.Worker.StartedAt
		run.Suspect = j.Suspect(r.Task)
		ws.AddRun(run)
		c.wakePoll(at.Worker.ID)
	})
}

// cancel cancels a job on behalf of a requester, or remembers the cancel until the job is
// submitted. The daemon that stored the cancel did not know whose job it is.
func (c *Core) cancel(id job.ID, by job.Requester, t Times) {
	j := c.jobs[id]
	switch {
	case j == nil:
		c.rememberCancel(id, by, t)
	case !by.MayAccess(j.Owner()):
		c.opt.Logger.Info().Str("job", string(id)).Str("customer", string(by.Customer)).Msg("cancel dropped, the job belongs to another customer")
	default:
		c.cancelJob(j, t)
	}
	if j != nil && !j.stored {
		j.cancelsRead = append(j.cancelsRead, earlyCancel{by, t.Wall})
	}
}

// cancelJob cancels a job.
func (c *Core) cancelJob(j *trackedJob, t Times) {
	if j.Cancel(t.Wall) {
		c.opt.Logger.Info().Str("job", string(j.Spec.ID)).Msg("job cancelled")
		c.markDirty(j)
		c.stopRedundant(j)
	}
}

// Lookup returns the phase of a job, whether or not the log holds it. A completion or failure
// is reported only once it is logged: the next holder would not know of one that is not.
func (c *Core) Lookup(id job.ID) (job.Phase, bool) {
	if p, ok := c.endedJobs[id]; ok {
		return p.Phase, true
	}
	j := c.jobs[id]
	if j == nil {
		p, ok := c.restoredProgress[id]
		if !ok {
			return 0, false
		}
		return p.Phase, true
	}
	if j.Phase.Final() && j.Phase != job.Cancelled && j.loggedPhase != j.Phase {
		return job.Running, true
	}
	return j.Phase, true
}

// Logged reports whether the log holds a version of a job.
func (c *Core) Logged(id job.ID, version int) bool {
	if j := c.jobs[id]; j != nil {
		return j.committedVersion >= version
	}
	// The job has been settled, was when its version was asked for, or was withdrawn.
	_, ended := c.endedJobs[id]
	return ended || version == 0
}

// QueuedJobs returns how many accepted jobs have started no task that were submitted through
// the selected requests. Jobs of earlier releases, which have no selector, count by the name
// of their entry.
func (c *Core) QueuedJobs(entry string, s job.Selector) int {
	n := 0
	for j := range c.openJobs.all() {
		if j.stored && j.Phase == job.Queued && j.Terms.SubmittedThrough(entry, s) {
			n++
		}
	}
	return n
}
