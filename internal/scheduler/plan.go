package scheduler

import (
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/placement"
	"greengagedeck/internal/worker"
)

// healthInterval is the time between two searches for overdue runs.
const healthInterval = 100 * time.Millisecond

// Batch holds the records that must be logged before the starts of one plan may
// be sent.
type Batch struct {
	// Progress goes to the progress partition.
	Progress []logstore.Entry
	// JobDurations are how long the jobs took that ended since the last plan.
	JobDurations []time.Duration
	// CorrelatedCrashes counts the crashes of many workers at one moment since then.
	CorrelatedCrashes int64
	// Work is what was looked at for the plan.
	Work PlanWork
	// AwaitsGrant is set if a task waits that the grant of its customer does not allow, and
	// that a worker may have room for.
	AwaitsGrant bool
	// GrantWaits counts the tasks in the batch whose customer was held back by its grant
	// while they waited.
	GrantWaits int64
	// ExcessJobs counts the excess jobs that came since the last plan.
	ExcessJobs int64
	// CheckpointsDropped counts the runs with a checkpoint that was too long to be stored
	// since then.
	CheckpointsDropped int64

	// unseen counts the runs that counted as ended without a report since then.
	unseen unseenCounts
	// incarnations count what was learnt of the incarnations of workers since then.
	incarnations incarnationCounts
	starts       []plannedStart
	// repeatedStarts are starts of runs that are in the log already.
	repeatedStarts []plannedStart
	jobs           map[*trackedJob]jobVersion
	// encoded are the keys of jobs in the order in which they were encoded.
	encoded []*trackedJob
	// ends are the last ends that the batch covers, by worker ID.
	ends    map[string]endPosition
	cordons []*cordon
	// earlierLeases is the record of earlier leases in the batch, if it has one.
	earlierLeases *joblog.EarlierLeases
}

// PlanWork counts what a plan looks at.
type PlanWork struct {
	// Workers counts the workers that had changed, and Groups the groups of waiting tasks
	// that were considered.
	Workers, Groups int
}

// jobVersion is the state of a job that a batch contains.
type jobVersion struct {
	phase   job.Phase
	version int
}

// plannedStart is a run to start on a worker once the batch is logged.
type plannedStart struct {
	run    job.RunID
	worker job.Incarnation
}

// endPosition is the number of the last end of a worker incarnation that a batch
// covers.
type endPosition struct {
	startedAt, number int64
}

// Plan decides which runs to start and returns the records to log. Every batch
// must be passed to Committed before the next plan is made.
func (c *Core) Plan(t Times) (*Batch, error) {
	b := c.Decide(t)
	return b, c.Encode(b, t)
}

// Decide is the first part of Plan: it returns a batch without records.
func (c *Core) Decide(t Times) *Batch {
	c.needsPlan = false
	c.endReplaced(t)
	c.expireLeases(t)
	c.releaseDue(t)
	c.evacuate(t)
	checkHealth := t.Now >= c.healthCheckedAt+healthInterval
	if checkHealth {
		c.healthCheckedAt = t.Now
		c.detectStalls(t.Now)
	}
	b := &Batch{JobDurations: c.jobDurations, CorrelatedCrashes: c.crashes.found, jobs: map[*trackedJob]jobVersion{}, ends: map[string]endPosition{}}
	b.ExcessJobs, b.CheckpointsDropped = c.excessJobs, c.checkpointsDropped
	c.jobDurations, c.crashes.found, c.excessJobs, c.checkpointsDropped = nil, 0, 0, 0
	b.unseen = c.unseen.takeCounts()
	b.incarnations = c.incarnations.take()
	c.place(b, t, checkHealth)
	b.repeatedStarts, c.repeatedStarts = c.repeatedStarts, nil
	b.Work.Workers = c.index.refreshed
	c.index.refreshed = 0
	return b
}

// releaseDue starts the occurrences that are due.
func (c *Core) releaseDue(t Times) {
	for _, j := range c.repeating {
		if j.Release(t.Wall) {
			c.markDirty(j)
		}
	}
}

// Due returns how long it is until the next occurrence of any job is due, or
// false when there is none.
func (c *Core) Due(wall int64) (time.Duration, bool) {
	next := int64(0)
	found := false
	for _, j := range c.repeating {
		if due, ok := j.NextDue(); ok && (!found || due < next) {
			next, found = due, true
		}
	}
	return time.Duration(min(max(0, next-wall), maxDueMillis)) * time.Millisecond, found
}

// maxDueMillis bounds what Due returns: a caller may ask for any time.
const maxDueMillis = 3_600_000

// place assigns waiting tasks to workers as far as resources allow. With copies
// set it also starts copies of overdue runs.
func (c *Core) place(b *Batch, t Times, copies bool) {
	if c.fenced {
		return
	}
	x := c.freeNodes(t.Now)
	c.placeMoved(b, t.Now)
	c.placeWaiting(b, x, t.Now)
	c.recordWaits(x, t.Now)
	c.waiting.planned()
	if copies {
		c.placeCopies(b, x, t.Now)
	}
	c.updateHeldBack(t.Now)
}

// restWaits reports whether nothing can be done for any group after one that waits: no
// worker takes the smallest task, no run is to be stopped and no approval requested.
func (c *Core) restWaits(pg pendingGroup, x *placement.Index, p *preemptor) bool {
	return c.waiting.approvals == 0 && !p.mayPreempt(pg) && !x.MayFit(job.Resources{CPU: c.waiting.leastNeed()})
}

// placementRequest returns the requirements of one task of a group.
func (c *Core) placementRequest(j *trackedJob, g job.TaskGroup, now time.Duration) placement.Request {
	s := j.Spec.Steps[g.Step]
	key := worker.StepKey{Job: j.Spec.ID, Occurrence: g.Occurrence, Step: g.Step}
	return placement.Request{
		Resources:  s.ReservedResources(),
		Label:      s.Label,
		DataRack:   s.DataRack,
		Now:        now,
		TaskCount:  func(id string) int { return c.countTasks(id, key) },
		MaxPerNode: s.MaxPerWorker,
		Serving:    s.TailLatencyTarget > 0,
		BestEffort: s.BestEffort,
		DesiredCPU: s.Need.CPU,

		AllowEjected: s.LongRunning,
	}
}

// longRunningDuration is the expected duration of a long-running task.
const longRunningDuration = 1000 * time.Hour

// expectedDuration returns how long a task of a step is expected to run.
func (c *Core) expectedDuration(s job.Step) time.Duration {
	if s.LongRunning {
		return longRunningDuration
	}
	return time.Duration(c.demand.MeanRatio() * float64(s.Estimate))
}

// locationOf returns the location of a worker as it is logged with a run.
func locationOf(ws *worker.State) job.Location {
	return job.Location{Worker: ws.Incarnation, Address: ws.Address}
}

// addPlannedRun tracks a run that has to be logged before its start is sent.
func (c *Core) addPlannedRun(b *Batch, j *trackedJob, r job.RunID, ws *worker.State, now time.Duration) {
	s := j.Step(r.Task)
	run := worker.NewRun(r, s, worker.RunPlanned, now, c.expectedDuration(s))
	run.Suspect = j.Suspect(r.Task)
	run.Verified = j.CrashCount(r.Task) > 0
	ws.AddRun(run)
	if c.waitedForGrant(j) {
		b.GrantWaits++
	}
	j.stalledSince = 0
	b.starts = append(b.starts, plannedStart{run: r, worker: ws.Incarnation})
	c.markDirty(j)
}

// Encode is the second part of Plan: it adds to a batch the progress of every job that
// changed, and which ends reported by workers that progress covers.
func (c *Core) Encode(b *Batch, t Times) error {
	// A job may have come again under the ID of one whose records are deleted.
	b.Progress = append(b.Progress, c.staleRecords...)
	c.staleRecords = nil
	for _, j := range c.dirty {
		j.dirty = false
		if err := c.encodeJob(b, j); err != nil {
			return err
		}
	}
	clear(c.dirty)
	c.dirty = c.dirty[:0]
	if err := c.encodeCordons(b); err != nil {
		return err
	}
	for id := range c.index.unlogged {
		ws := c.workers[id]
		if ws == nil || ws.LastEndSeen <= ws.LastEndLogged {
			delete(c.index.unlogged, id)
			continue
		}
		b.ends[id] = endPosition{ws.Incarnation.StartedAt, ws.LastEndSeen}
	}
	// A submission is deleted before the progress that tells that its job has ended.
	for _, id := range c.journalDeletes {
		b.Progress = append(b.Progress, joblog.DeleteProgressSubmission(id))
	}
	c.journalDeletes = nil
	c.expireEnded(b, t.Wall)
	return c.encodeEarlierLeases(b, t.Now)
}

// encodeJob adds a job's progress to a batch, and the job itself unless the log
// holds it.
func (c *Core) encodeJob(b *Batch, j *trackedJob) error {
	j.Finalize()
	if j.submission != nil {
		e, err := joblog.ProgressSubmissionEntry(j.submission)
		if err != nil {
			return err
		}
		b.Progress = append(b.Progress, e)
		j.submission = nil
		j.inJournal = true
	}
	entries, parts, err := joblog.ProgressEntries(j.Spec.ID, j.loggedProgress(), j.parts, c.opt.LogLimits)
	if err != nil {
		return err
	}
	j.parts = parts
	b.Progress = append(b.Progress, entries...)
	b.jobs[j] = jobVersion{j.Phase, j.version}
	b.encoded = append(b.encoded, j)
	j.batchedVersion = j.version
	return nil
}
