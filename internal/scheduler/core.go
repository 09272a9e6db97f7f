// Package scheduler runs the jobs of one pool while this daemon holds the
// pool's duty. Core keeps the state and makes every decision; it does no I/O
// and reads no clock. Runner carries out what Core decides.
package scheduler

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/internal/demand"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/sharing"
	"greengagedeck/internal/worker"
)

// Options configure a Core.
type Options struct {
	Pool string
	// Token is the fencing token under which the pool is held, and Tokens how many
	// consecutive tokens from it on no other holder uses: 1 if it is 0.
	Token  int64
	Tokens int
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
	// LogLimits is what the log takes, the default limits if it is zero.
	LogLimits logstore.Limits
	Logger    zerolog.Logger
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
	opt    Options
	tokens orderTokens
	// earlierLeasesEnd is when the last run has ended whose lease an earlier holder may
	// have granted, and strayLeasesEnd the same for workers that may hold the lease of an order
	// that was meant for an earlier incarnation.
	earlierLeasesEnd, strayLeasesEnd time.Duration
	// earlierOrdersEnd is when the last lease has expired that an order of an earlier holder may
	// give, however late it is carried out, or 0 if there was none.
	earlierOrdersEnd time.Duration
	unreached        unreachedWorkers

	jobs     map[job.ID]*trackedJob
	openJobs openJobs
	// repeating are the open jobs that are repeated.
	repeating []*trackedJob
	// planned counts the open jobs by priority of which a run was planned.
	planned map[int]int
	// submitted counts the jobs that became known.
	submitted int64
	// earlyCancels are the cancels of jobs that are not known yet.
	earlyCancels map[job.ID][]earlyCancel
	// endedJobs are settled jobs whose state may still be queried.
	endedJobs map[job.ID]job.Progress
	// restoredProgress is the logged progress of jobs whose submission was not
	// read yet, and restoredParts the parts in which the log holds it.
	restoredProgress map[job.ID]*job.Progress
	restoredParts    map[job.ID]joblog.Parts

	workers map[string]*worker.State
	index   workerIndex
	// accounts count what customers use and want.
	accounts customerAccounts
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
	demand  demand.Estimate
	health  map[string]*workerHealth
	crashes crashMonitor
	unseen  unseenEnds
	// strayRuns are runs at workers that count as ended.
	strayRuns strayRuns
	// incarnations count what was learnt of the incarnations of workers.
	incarnations incarnationCounts
	// repeatedStarts are the starts of earlier holders to send again.
	repeatedStarts []plannedStart
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
	// shares tells what customers may use.
	shares customerShares
	// leastShares is kept for the explanations of one moment.
	leastShares leastShares
	// overtaken are groups that wait for room while others after them are placed.
	overtaken map[worker.StepKey]*overtakenGroup
	// queued is the work of tasks that have not started, inflow the rate at which work comes
	// of jobs that are not excess, and excessJobs counts the excess jobs that came since the
	// last plan.
	queued     queuedWork
	inflow     usualInflow
	excessJobs int64
	// noRuns are the jobs and tasks that have no active run.
	noRuns noRuns
	// takenBack are the jobs that were taken back since their submitters were last told.
	takenBack []takenBackJob
	// dirty are the jobs whose last changes are in no batch.
	dirty []*trackedJob
	// healthCheckedAt is when overdue runs were last looked for, and
	// endedCheckedAt the time of day at which endedJobs was last searched, in
	// milliseconds since 1970.
	healthCheckedAt time.Duration
	endedCheckedAt  int64
	// customerKeys are the keys of the intake's records that name a customer.
	customerKeys customerKeys
	// leftInIntake are the ended jobs of which the intake may hold records, and
	// journalDeletes those whose submission is to be deleted from the progress
	// partition.
	leftInIntake   leftovers
	journalDeletes []job.ID
	// staleRecords are the deletions of parts of a progress that no record names.
	staleRecords []logstore.Entry
	// intakeBehind is set while submissions of long ago may not have been read yet.
	intakeBehind bool
	// checkpointsDropped counts the runs with a checkpoint that was too long to be stored
	// since the last plan.
	checkpointsDropped int64
	// jobDurations are how long the jobs took that ended since the last plan.
	jobDurations []time.Duration
	// needsPlan is set when a new plan could differ from the last one.
	needsPlan bool
	// fenced is set once a worker has reported the token of a newer holder.
	fenced bool
}

const (
	// holderDriftFactor covers the drift between the clocks of two holders, with some margin.
	holderDriftFactor = 1.05
	// maxGrantedLease bounds the leases that a holder grants. After a takeover, the
	// tasks of a worker that is gone wait until such a lease has expired.
	maxGrantedLease = 6 * time.Second
)

// NewCore returns a Core without jobs and workers.
func NewCore(opt Options, now time.Duration) *Core {
	c := &Core{
		opt:              opt,
		jobs:             map[job.ID]*trackedJob{},
		earlyCancels:     map[job.ID][]earlyCancel{},
		customerKeys:     customerKeys{},
		leftInIntake:     leftovers{},
		endedJobs:        map[job.ID]job.Progress{},
		restoredProgress: map[job.ID]*job.Progress{},
		restoredParts:    map[job.ID]joblog.Parts{},
		workers:          map[string]*worker.State{},
		index:            newWorkerIndex(),
		accounts:         newCustomerAccounts(),
		wakes:            map[string]bool{},
		stoppingWorkers:  map[string]bool{},
		speedWorkers:     map[string]bool{},
		cordons:          map[string]*cordon{},
		health:           map[string]*workerHealth{},
		durationRatios:   map[string]*durationRatio{},
		governors:        map[string]*sharing.Governor{},
		approvals:        map[worker.StepKey]*stepApprovals{},
		places:           map[job.TaskID]string{},
		overtaken:        map[worker.StepKey]*overtakenGroup{},
		inflow:           usualInflow{},
		noRuns:           newNoRuns(),
		strayRuns:        strayRuns{},
		planned:          map[int]int{},
	}
	if opt.LogLimits == (logstore.Limits{}) {
		c.opt.LogLimits = logstore.DefaultLimits
	}
	c.waiting = newWaitQueue(&c.accounts)
	longestLease := c.leaseBounds().LongestRun(opt.MaxLease)
	c.tokens = newOrderTokens(opt, longestLease)
	earlierHoldersEnd := now + opt.EarlierHolders
	c.earlierLeasesEnd = earlierHoldersEnd + c.leaseBounds().LongestRun(c.longestGrant())
	c.strayLeasesEnd = earlierHoldersEnd + longestLease
	if opt.PreviousToken != 0 || opt.EarlierHolders != 0 {
		c.earlierOrdersEnd = c.strayLeasesEnd + worker.MaxOrderDelay
	}
	c.unreached = newUnreachedWorkers(now)
	c.shares = accountShares{c}
	return c
}

// leaseBounds returns what bounds the leases of workers.
func (c *Core) leaseBounds() worker.LeaseBounds {
	return worker.LeaseBounds{Allowed: c.opt.MaxLease, Granted: c.longestGrant(), KillTime: c.opt.StopTimeout}
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
			c.restoredParts[rec.ID] = rec.Parts
		}
	}
	for _, rec := range records {
		if rec.Submission == nil {
			continue
		}
		if j := c.submit(rec.Submission, t); j != nil {
			j.inJournal = true
			j.submission = nil
			j.markStored()
		} else {
			c.journalDeletes = append(c.journalDeletes, rec.ID)
		}
	}
}

// DeleteStale has the next batch delete records that nothing refers to.
func (c *Core) DeleteStale(deletions []logstore.Entry) {
	c.staleRecords = append(c.staleRecords, deletions...)
}

// markDirty records that a job's progress has to be logged.
func (c *Core) markDirty(j *trackedJob) {
	j.version++
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
	c.countPlanned(j)
	c.waiting.jobChanged(j)
	c.needsPlan = true
}

// countPlanned brings the number of jobs of which a run was planned up to date after a change
// of a job.
func (c *Core) countPlanned(j *trackedJob) {
	planned := j.Planned() && !j.Phase.Final() && !j.settled
	if planned == j.countedPlanned {
		return
	}
	j.countedPlanned = planned
	if planned {
		c.planned[j.Terms.Priority]++
		return
	}
	if c.planned[j.Terms.Priority]--; c.planned[j.Terms.Priority] == 0 {
		delete(c.planned, j.Terms.Priority)
	}
}

// closeJob removes a job from the open ones.
func (c *Core) closeJob(j *trackedJob) {
	c.openJobs.remove(j)
	c.countPlanned(j)
	if j.Spec.Repeat > 0 {
		c.repeating = slices.DeleteFunc(c.repeating, func(other *trackedJob) bool { return other == j })
	}
}

// NeedsPlan reports whether there is something to plan or to log.
func (c *Core) NeedsPlan() bool { return c.needsPlan }
