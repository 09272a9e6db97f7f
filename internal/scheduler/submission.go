package scheduler

import (
	"slices"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/worker"
)

// ApplyIntake applies records of the intake.
func (c *Core) ApplyIntake(records []joblog.IntakeRecord, t Times) {
	for _, rec := range records {
		if rec.Cancelled {
			c.cancel(rec.ID, t)
		} else if j := c.submit(rec.Submission, t); j != nil {
			j.submission = nil
		}
		c.noteInIntake(rec.ID)
	}
	c.needsPlan = true
}

// Submit adds a job that reached the holder before the log. It returns the
// version of the job from which on the log holds it.
func (c *Core) Submit(s *joblog.Submission, t Times) int {
	j := c.submit(s, t)
	if j == nil {
		return 0
	}
	if j.submission != nil {
		c.markDirty(j)
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
	c.cancel(id, t)
	return j.version, true
}

// Withdraw removes a job that no batch contains yet, so that it certainly never
// runs. It reports whether it did.
func (c *Core) Withdraw(id job.ID) bool {
	j := c.jobs[id]
	if j == nil || j.submission == nil || j.batchedVersion > 0 {
		return false
	}
	delete(c.jobs, id)
	isWithdrawn := func(other *trackedJob) bool { return other == j }
	c.dirty = slices.DeleteFunc(c.dirty, isWithdrawn)
	c.closeJob(j)
	c.waiting.remove(j)
	return true
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
	if p != nil && !p.Fits(&s.Spec) {
		c.opt.Logger.Error().Str("job", string(id)).Msg("the logged progress does not fit the job, which counts as failed")
		delete(c.restoredProgress, id)
		c.endedJobs[id] = job.Progress{Phase: job.Failed, EndedAt: t.Wall}
		return nil
	}
	j := c.newTrackedJob(s, t)
	if p != nil {
		j.Job = job.Restore(s.Spec, s.Terms, *p)
		j.loggedPhase = p.Phase
		j.knownFrom = t.Now
		delete(c.restoredProgress, id)
	} else {
		j.Job = job.New(s.Spec, s.Terms)
		c.noteSubmitted(j, t.Now)
	}
	c.opt.Logger.Info().Str("job", string(id)).Str("entry", s.Terms.Entry).Int64("config", s.Terms.Version).Stringer("phase", j.Phase).
		Dur("age", t.Now-j.arrived).Dur("objective", j.objective).Msg("job added to the pool")
	c.jobs[id] = j
	c.openJobs.add(j)
	if j.Spec.Repeat > 0 {
		c.repeating = append(c.repeating, j)
	}
	c.countRunning(j)
	c.waiting.jobChanged(j)
	c.adoptRuns(j, t.Now)
	c.stopRedundant(j)
	if _, cancelled := c.earlyCancels[id]; cancelled {
		delete(c.earlyCancels, id)
		j.inIntake = true
		c.cancel(id, t)
	}
	return j
}

// adoptRuns tracks the runs that an earlier holder logged for a job. Each may
// be on its worker until that worker has been polled.
func (c *Core) adoptRuns(j *trackedJob, now time.Duration) {
	j.EachActiveRun(func(r job.RunID, at job.Location) {
		ws := c.workers[at.Worker.ID]
		if ws == nil {
			ws = worker.NewState(worker.Listing{Incarnation: at.Worker, Address: at.Address}, now, c.earlierLeasesEndAt(at.Worker.ID))
			ws.Listed = false
			c.addWorker(ws)
		}
		// Only a poll that starts from now on can show whether the run is
		// there.
		ws.Unfence()
		s := j.Step(r.Task)
		run := worker.NewRun(r, s, worker.RunOrdered, now, c.expectedDuration(s))
		run.SpeedAtWorker = worker.SpeedUnknown
		run.Adopted = true
		run.Suspect = j.Suspect(r.Task)
		ws.AddRun(run)
		c.wakePoll(at.Worker.ID)
	})
}

// cancel cancels a job, or remembers the cancel until the job is submitted.
func (c *Core) cancel(id job.ID, t Times) {
	j := c.jobs[id]
	if j == nil {
		if _, ended := c.endedJobs[id]; !ended {
			c.earlyCancels[id] = t.Wall
		}
		return
	}
	if j.Cancel(t.Wall) {
		c.opt.Logger.Info().Str("job", string(id)).Msg("job cancelled")
		c.markDirty(j)
		c.stopRedundant(j)
	}
}

// Lookup returns the phase of a job. A completion or failure is reported only
// once it is logged: the next holder would not know of one that is not.
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

// QueuedJobs returns how many jobs of an entry have started no task.
func (c *Core) QueuedJobs(entry string) int {
	n := 0
	for j := range c.openJobs.all() {
		if j.Phase == job.Queued && j.Terms.Entry == entry {
			n++
		}
	}
	return n
}
