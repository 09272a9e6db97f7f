// Package scheduler runs the jobs of one pool while this daemon holds the
// pool's duty. Core is the state and every decision; it does no I/O and reads no
// clock. Runner carries out what it decides.
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
	// Lease is the length of the leases that tasks get, and MaxLease the
	// longest that a worker grants.
	Lease    time.Duration
	MaxLease time.Duration
	// StopTime bounds a stop at a worker.
	StopTime time.Duration
	// DutyLease is how long an earlier holder may have acted after this one
	// claimed the pool.
	DutyLease time.Duration
	// StatusTime is how long the state of an ended job is kept.
	StatusTime time.Duration
	Logger     zerolog.Logger
}

// Times are the two clocks at one moment.
type Times struct {
	// Now is the holder's clock for leases.
	Now time.Duration
	// Wall is the time of day in milliseconds since 1970.
	Wall int64
}

// Core is the state of one pool. It is not safe for concurrent use.
type Core struct {
	opt Options
	// blind is when the last lease that an earlier holder may have granted is
	// over.
	blind time.Duration

	jobs map[job.ID]*item
	// open are the jobs that are not settled, in the order in which they
	// became known.
	open []*item
	// cancels are those of jobs that are not known yet.
	cancels map[job.ID]bool
	// ended are settled jobs whose state is still asked for.
	ended map[job.ID]job.Progress
	// restored is logged progress of jobs whose submission was not read yet.
	restored map[job.ID]*job.Progress

	workers map[string]*worker.Book
	// closed are the workers that take no new tasks, by ID.
	closed map[string]*closure
	demand demand
	health map[string]*health
	// paces are, by entry, how long tasks take against their estimates.
	paces map[string]*pace
	// governors set the pace of what fills a worker, by the worker's ID.
	governors map[string]*sharing.Governor
	// approved are, for steps that need it, the workers that may run them.
	approved  map[worker.StepKey]*approvals
	questions []Question

	dirty map[*item]bool
	// forgetIntake and forgetJournal are ended jobs whose submission is to be
	// removed.
	forgetIntake, forgetJournal []job.ID
	// jobTimes are how long the jobs took that ended since the last plan.
	jobTimes []time.Duration
	// changed is set when a plan could differ from the last one.
	changed bool
	// fenced is set once a worker has seen a newer holder's token.
	fenced bool
}

// item is a job with what only its holder needs.
type item struct {
	*job.Job
	// submission is what was handed in, until the log holds it.
	submission *joblog.Submission
	// inIntake and inJournal tell where the log holds the submission.
	inIntake, inJournal bool
	// arrived is when the job was accepted, by the holder's clock.
	arrived time.Duration
	// version counts the changes of the job, planned is up to which a batch
	// holds them, and committed up to which the log does.
	version, planned, committed int
	// logged is the phase that the log holds.
	logged job.Phase
	// preempted is when room was last made for the job.
	preempted time.Duration
	// shun names, by task, the worker on which it failed last.
	shun map[job.TaskID]string
	// stillSince is since when the job has had nothing at work though tasks of
	// it wait, 0 if it has.
	stillSince time.Duration
	// waits are, by step, why its tasks were not placed.
	waits map[int]wait
}

// blindFactor covers the drift of a worker's clock, with some slack.
const blindFactor = 1.05

// NewCore returns a pool without jobs and workers.
func NewCore(opt Options, now time.Duration) *Core {
	c := &Core{
		opt:       opt,
		jobs:      map[job.ID]*item{},
		cancels:   map[job.ID]bool{},
		ended:     map[job.ID]job.Progress{},
		restored:  map[job.ID]*job.Progress{},
		workers:   map[string]*worker.Book{},
		closed:    map[string]*closure{},
		health:    map[string]*health{},
		paces:     map[string]*pace{},
		governors: map[string]*sharing.Governor{},
		approved:  map[worker.StepKey]*approvals{},
		dirty:     map[*item]bool{},
	}
	c.blind = now + opt.DutyLease + c.longestLease()
	return c
}

// longestLease returns how long the longest lease that a worker grants can last
// by this daemon's clock.
func (c *Core) longestLease() time.Duration {
	return time.Duration(float64(c.opt.MaxLease) * blindFactor)
}

// Restore takes in what earlier holders logged. It must come before the first
// Fold.
func (c *Core) Restore(kept []joblog.ProgressRecord, t Times) {
	for _, k := range kept {
		switch {
		case k.Cordon != nil:
			c.restoreClosed(*k.Cordon)
		case k.Progress == nil:
		case k.Progress.Phase.Final() && len(k.Progress.Occurrences) == 0:
			c.ended[k.ID] = *k.Progress
		default:
			c.restored[k.ID] = k.Progress
		}
	}
	for _, k := range kept {
		if k.Submission == nil {
			continue
		}
		if it := c.submit(k.Submission, t); it != nil {
			it.inJournal = true
			it.submission = nil
			delete(c.dirty, it)
		} else {
			c.forgetJournal = append(c.forgetJournal, k.ID)
		}
	}
}

// Fold takes in records of the intake.
func (c *Core) Fold(handed []joblog.IntakeRecord, t Times) {
	for _, h := range handed {
		if h.Cancelled {
			c.cancel(h.ID, t)
			continue
		}
		it := c.submit(h.Submission, t)
		if it == nil {
			c.forgetIntake = append(c.forgetIntake, h.ID)
			continue
		}
		it.inIntake = true
		it.submission = nil
	}
	c.changed = true
}

// Submit takes in a job that reached the holder before the log. It returns the
// version of the job from which on the log holds it.
func (c *Core) Submit(s *joblog.Submission, t Times) int {
	it := c.submit(s, t)
	if it == nil {
		return 0
	}
	if it.submission != nil {
		c.touch(it)
	}
	return it.version
}

// Cancel cancels a job that is known here. It returns the version of the job
// from which on the log holds that, or false when the job is not known.
func (c *Core) Cancel(id job.ID, t Times) (int, bool) {
	if _, over := c.ended[id]; over {
		return 0, true
	}
	it := c.jobs[id]
	if it == nil {
		return 0, false
	}
	c.cancel(id, t)
	return it.version, true
}

// Withdraw forgets a job that no batch holds, so that it certainly never runs.
func (c *Core) Withdraw(id job.ID) bool {
	it := c.jobs[id]
	if it == nil || it.submission == nil || it.planned > 0 {
		return false
	}
	delete(c.jobs, id)
	delete(c.dirty, it)
	c.open = slices.DeleteFunc(c.open, func(o *item) bool { return o == it })
	return true
}

// submit adds a job, and returns it unless it is over. The first submission of
// an ID counts: a caller that got no answer sends it again.
func (c *Core) submit(s *joblog.Submission, t Times) *item {
	id := s.Spec.ID
	if it := c.jobs[id]; it != nil {
		return it
	}
	if _, over := c.ended[id]; over {
		return nil
	}
	it := &item{submission: s, arrived: t.Now - age(s.AcceptedAt, t.Wall)}
	if p := c.restored[id]; p != nil {
		it.Job = job.Restore(s.Spec, s.Terms, *p)
		it.logged = p.Phase
		delete(c.restored, id)
	} else {
		it.Job = job.New(s.Spec, s.Terms)
		c.demand.add(t.Now, workOf(&s.Spec))
	}
	c.opt.Logger.Info().Str("job", string(id)).Str("entry", s.Terms.Entry).Int64("config", s.Terms.Version).Stringer("phase", it.Phase).
		Dur("age", t.Now-it.arrived).Dur("objective", it.objective()).Msg("job taken in")
	c.jobs[id] = it
	c.open = append(c.open, it)
	c.adopt(it, t.Now)
	c.stopNeedless(it)
	if c.cancels[id] {
		delete(c.cancels, id)
		c.cancel(id, t)
	}
	return it
}

// maxAge bounds the time that a job is taken to have waited before its holder
// learnt of it: the clocks of two hosts may differ.
const maxAge = 30 * time.Second

func age(accepted, wall int64) time.Duration {
	return min(maxAge, max(0, time.Duration(wall-accepted)*time.Millisecond))
}

// adopt notes the runs that an earlier holder logged for a job: each may be at
// its worker until that was looked at.
func (c *Core) adopt(it *item, now time.Duration) {
	it.EachActiveRun(func(r job.RunID, at job.Location) {
		b := c.workers[at.Worker.ID]
		if b == nil {
			b = worker.NewBook(worker.Listing{Incarnation: at.Worker, Address: at.Address}, now, c.blind)
			b.Listed = false
			c.workers[at.Worker.ID] = b
		}
		// Whether the run is there has to be seen by a look that begins now.
		b.Fenced = false
		s := it.Step(r.Task)
		run := worker.NewRun(r, s, worker.Ordered, now, c.lasts(s))
		run.PaceTold = worker.PaceUnknown
		b.Add(run)
	})
}

func (c *Core) cancel(id job.ID, t Times) {
	it := c.jobs[id]
	if it == nil {
		if _, over := c.ended[id]; !over {
			c.cancels[id] = true
		}
		return
	}
	if it.Cancel(t.Wall) {
		c.opt.Logger.Info().Str("job", string(id)).Msg("job cancelled")
		c.touch(it)
		c.stopNeedless(it)
	}
}

// touch notes that a job's progress has to be logged.
func (c *Core) touch(it *item) {
	it.version++
	c.dirty[it] = true
	c.changed = true
}

// Changed reports whether there is something to plan or to log.
func (c *Core) Changed() bool { return c.changed }

// Lookup returns the phase of a job. An end is told only once it is logged:
// what is not could be forgotten by the next holder.
func (c *Core) Lookup(id job.ID) (job.Phase, bool) {
	if p, ok := c.ended[id]; ok {
		return p.Phase, true
	}
	it := c.jobs[id]
	if it == nil {
		p, ok := c.restored[id]
		if !ok {
			return 0, false
		}
		return p.Phase, true
	}
	if it.Phase.Final() && it.Phase != job.Cancelled && it.logged != it.Phase {
		return job.Running, true
	}
	return it.Phase, true
}

// Logged reports whether the log holds a version of a job.
func (c *Core) Logged(id job.ID, version int) bool {
	it := c.jobs[id]
	return it == nil || it.committed >= version
}

// Waiting returns how many jobs of an entry have started no task.
func (c *Core) Waiting(entry string) int {
	n := 0
	for _, it := range c.open {
		if it.Phase == job.Queued && it.Terms.Entry == entry {
			n++
		}
	}
	return n
}
