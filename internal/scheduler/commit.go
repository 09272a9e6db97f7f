package scheduler

import (
	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// Versions returns the last version of each job that the batch contains.
func (b *Batch) Versions() map[job.ID]int {
	out := make(map[job.ID]int, len(b.jobs))
	for j, v := range b.jobs {
		out[j.Spec.ID] = v.version
	}
	return out
}

// Committed records that a batch is logged. It returns the runs to start.
func (c *Core) Committed(b *Batch, t Times) []job.RunID {
	for j, v := range b.jobs {
		j.loggedPhase = v.phase
		j.committedVersion = v.version
		j.markStored()
	}
	for id, e := range b.ends {
		if ws := c.workers[id]; ws != nil && ws.Incarnation.StartedAt == e.startedAt {
			ws.LastEndLogged = max(ws.LastEndLogged, e.number)
			c.wakePoll(id)
		}
	}
	for _, cn := range b.cordons {
		cn.logged = true
	}
	c.earlierLeasesLogged(b)
	c.settleJobs(b)
	var out []job.RunID
	for _, s := range b.starts {
		if c.commitStart(s, t) {
			out = append(out, s.run)
		}
	}
	for _, s := range b.repeatedStarts {
		out = append(out, s.run)
	}
	return out
}

// commitStart reports whether the start of a logged run should be sent now. A
// run that is no longer wanted was never ordered, so it is dropped.
func (c *Core) commitStart(s plannedStart, t Times) bool {
	ws := c.workers[s.worker.ID]
	if ws == nil {
		return false
	}
	r := ws.Runs[s.run]
	if r == nil {
		return false
	}
	j := c.jobs[s.run.Task.Job]
	if ws.Incarnation != s.worker || j == nil || r.Stopping || j.Redundant(s.run) {
		c.endUnseen(ws, r, unseenStartNotSent, t)
		return false
	}
	c.logPlaced(j, r, ws, t.Now)
	ws.SetRunState(r, worker.RunOrdered, t.Now)
	return true
}

// settleJobs moves jobs that have ended, are logged and have no run left to
// endedJobs. Only a job in the last batch can have become one.
func (c *Core) settleJobs(b *Batch) {
	for _, j := range b.encoded {
		if !j.settled && j.Phase.Final() && !j.dirty && j.loggedPhase == j.Phase && j.Finalize() {
			c.settle(j)
		}
	}
}

// settle moves a job to endedJobs.
func (c *Core) settle(j *trackedJob) {
	id := j.Spec.ID
	c.closeJob(j)
	delete(c.jobs, id)
	c.dropApprovals(id)
	c.endedJobs[id] = j.Summary()
	if j.inIntake {
		c.leftInIntake.add(id)
	}
	if j.inJournal {
		c.journalDeletes = append(c.journalDeletes, id)
	}
}
