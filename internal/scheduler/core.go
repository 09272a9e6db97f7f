// Package scheduler runs the jobs of one pool while this daemon holds the
// pool's duty. Core keeps the state and makes every decision; it does no I/O
// and reads no clock. Runner carries out what Core decides.
package scheduler

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/sharing"
	"greengagedeck/internal/worker"
)

// Options configure a Core.
type Options struct {
	Pool string
	// Token is the fencing token under which the pool is held.
	Token int64
	// PreviousToken is the token of the holder before this one, or 0 if it is not
	// known or there was none.
	PreviousToken int64
	// Lease is the length of the leases granted to workers, and MaxLease the
	// longest lease that a worker allows.
	Lease    time.Duration
	MaxLease time.Duration
	// StopTimeout bounds how long a worker takes to stop a run.
	StopTimeout time.Duration
	// DutyLease is how long a holder may act without renewing its duty, and
	// EarlierHolders how long earlier ones may act after this one has claimed the pool.
	DutyLease      time.Duration
	EarlierHolders time.Duration
	// StatusRetention is how long the state of an ended job is kept.
	StatusRetention time.Duration
	Logger          zerolog.Logger
	// Admits reports whether an info line with a message would be written now: a line for
	// each run is built only then. If it is nil, all are.
	Admits func(msg string) bool
}

// Times holds the readings of both clocks at one moment.
type Times struct {
	// Now is the holder's monotonic clock, used for leases.
	Now time.Duration
	// Wall is the time of day in milliseconds since 1970.
	Wall int64
}

// Core is the state of one pool. It is not safe for concurrent use.
type Core struct {
	opt Options
	// earlierLeasesEnd is when the last lease that an earlier holder may have
	// granted has expired.
	earlierLeasesEnd time.Duration
	unreached        unreachedWorkers

	jobs     map[job.ID]*trackedJob
	openJobs openJobs
	// repeating are the open jobs that are repeated.
	repeating []*trackedJob
	// running counts the running jobs by priority.
	running map[int]int
	// submitted counts the jobs that became known.
	submitted int64
	// earlyCancels are the cancels of jobs that are not known yet, each with the time
	// of day at which it was read, in milliseconds since 1970.
	earlyCancels map[job.ID]int64
	// endedJobs are settled jobs whose state may still be queried.
	endedJobs map[job.ID]job.Progress
	// restoredProgress is the logged progress of jobs whose submission was not
	// read yet.
	restoredProgress map[job.ID]*job.Progress

	workers map[string]*worker.State
	index   workerIndex
	// largestCapacity is the capacity of the largest worker that the pool has had
	// since it was taken over, or zero.
	largestCapacity job.Resources
	// listReadAt is when the list of workers was last read.
	listReadAt time.Duration
	// wakes are the workers whose next poll may be due sooner than NextPoll last
	// returned, and those that are not tracked any more.
	wakes map[string]bool
	// wakeBuffer holds the last result of Wakes.
	wakeBuffer []string
	// stoppingWorkers are the workers that may have runs to be stopped, and
	// speedWorkers those that may have runs whose speed is to be changed.
	stoppingWorkers, speedWorkers map[string]bool
	// cordons are the workers that take no new tasks, by worker ID.
	cordons map[string]*cordon
	demand  demandEstimate
	health  map[string]*workerHealth
	crashes crashMonitor
	// durationRatios tell, by entry, how long tasks take relative to their
	// estimates.
	durationRatios map[string]*durationRatio
	// governors set the speed of the best-effort tasks on a worker, by worker
	// ID.
	governors map[string]*sharing.Governor
	// approvals hold, for each step that needs approval, the workers that may
	// run it.
	approvals        map[worker.StepKey]*stepApprovals
	approvalRequests []ApprovalRequest

	// places are the workers on which tasks that are being moved have a place, by
	// task. A place counts as taken until its task has started, the worker takes no
	// tasks any more, or the task no longer needs it.
	places map[job.TaskID]string
	// unplacedMoves are the long-running tasks that have to leave their worker and
	// that no other worker took in the last plan.
	unplacedMoves []job.TaskID

	// waiting are the tasks that wait.
	waiting waitQueue
	// noRuns are the jobs and tasks that have no active run.
	noRuns noRuns
	// dirty are the jobs whose last changes are in no batch.
	dirty []*trackedJob
	// healthCheckedAt is when overdue runs were last looked for, and
	// endedCheckedAt the time of day at which endedJobs was last searched, in
	// milliseconds since 1970.
	healthCheckedAt time.Duration
	endedCheckedAt  int64
	// leftInIntake are the ended jobs of which the intake may hold records, and
	// journalDeletes those whose submission is to be deleted from the progress
	// partition.
	leftInIntake   leftovers
	journalDeletes []job.ID
	// intakeBehind is set while submissions of long ago may not have been read yet.
	intakeBehind bool
	// jobDurations are how long the jobs took that ended since the last plan.
	jobDurations []time.Duration
	// needsPlan is set when a new plan could differ from the last one.
	needsPlan bool
	// fenced is set once a worker has reported the token of a newer holder.
	fenced bool
}

const (
	// leaseDriftFactor covers the drift of a worker's clock, with some margin.
	leaseDriftFactor = 1.05
	// maxGrantedLease bounds the leases that a holder grants. After a takeover, the
	// tasks of a worker that is gone wait until such a lease has expired.
	maxGrantedLease = 6 * time.Second
)

// NewCore returns a Core without jobs and workers.
func NewCore(opt Options, now time.Duration) *Core {
	c := &Core{
		opt:              opt,
		jobs:             map[job.ID]*trackedJob{},
		earlyCancels:     map[job.ID]int64{},
		leftInIntake:     leftovers{},
		endedJobs:        map[job.ID]job.Progress{},
		restoredProgress: map[job.ID]*job.Progress{},
		workers:          map[string]*worker.State{},
		index:            newWorkerIndex(),
		wakes:            map[string]bool{},
		stoppingWorkers:  map[string]bool{},
		speedWorkers:     map[string]bool{},
		cordons:          map[string]*cordon{},
		health:           map[string]*workerHealth{},
		durationRatios:   map[string]*durationRatio{},
		governors:        map[string]*sharing.Governor{},
		approvals:        map[worker.StepKey]*stepApprovals{},
		places:           map[job.TaskID]string{},
		noRuns:           newNoRuns(),
		waiting:          newWaitQueue(),
		running:          map[int]int{},
	}
	c.earlierLeasesEnd = now + opt.EarlierHolders + c.leaseBounds().Granted
	c.unreached = newUnreachedWorkers(now)
	return c
}

// leaseBounds returns how long leases can last by this daemon's clock.
func (c *Core) leaseBounds() worker.LeaseBounds {
	return worker.LeaseBounds{
		Allowed: time.Duration(float64(c.opt.MaxLease) * leaseDriftFactor),
		Granted: time.Duration(float64(c.longestGrant()) * leaseDriftFactor),
	}
}

// longestGrant returns the length of the longest lease that a holder grants.
func (c *Core) longestGrant() time.Duration { return min(c.opt.MaxLease, maxGrantedLease) }

// Restore loads the progress partition that earlier holders wrote. It must be
// called before the first ApplyIntake.
func (c *Core) Restore(records []joblog.ProgressRecord, t Times) {
	for _, rec := range records {
		switch {
		case rec.Cordon != nil:
			c.restoreCordon(*rec.Cordon)
		case rec.EarlierLeases != nil:
			c.restoreEarlierLeases(*rec.EarlierLeases, t.Now)
		case rec.Progress == nil:
		case rec.Progress.Phase.Final() && len(rec.Progress.Occurrences) == 0:
			c.endedJobs[rec.ID] = *rec.Progress
		default:
			c.restoredProgress[rec.ID] = rec.Progress
		}
	}
	for _, rec := range records {
		if rec.Submission == nil {
			continue
		}
		if j := c.submit(rec.Submission, t); j != nil {
			j.inJournal = true
			j.submission = nil
		} else {
			c.journalDeletes = append(c.journalDeletes, rec.ID)
		}
	}
}

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
		c.demand.add(t.Now, estimatedWork(&s.Spec))
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

// markDirty records that a job's progress has to be logged.
func (c *Core) markDirty(j *trackedJob) {
	j.version++
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
	c.countRunning(j)
	c.waiting.jobChanged(j)
	c.needsPlan = true
}

// countRunning brings the number of running jobs up to date after a change of a job's
// phase.
func (c *Core) countRunning(j *trackedJob) {
	running := j.Phase == job.Running && !j.settled
	if running == j.countedRunning {
		return
	}
	j.countedRunning = running
	if running {
		c.running[j.Terms.Priority]++
		return
	}
	if c.running[j.Terms.Priority]--; c.running[j.Terms.Priority] == 0 {
		delete(c.running, j.Terms.Priority)
	}
}

// closeJob removes a job from the open ones.
func (c *Core) closeJob(j *trackedJob) {
	c.openJobs.remove(j)
	c.countRunning(j)
	if j.Spec.Repeat > 0 {
		c.repeating = slices.DeleteFunc(c.repeating, func(other *trackedJob) bool { return other == j })
	}
}

// NeedsPlan reports whether there is something to plan or to log.
func (c *Core) NeedsPlan() bool { return c.needsPlan }

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
