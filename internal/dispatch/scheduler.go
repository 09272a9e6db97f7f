package dispatch

import (
	"container/list"
	"math"
	"time"

	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

const (
	// DefaultLongAfter is the run time from which a job counts as long.
	DefaultLongAfter = 250 * time.Millisecond
	// longMinShare is the part of the long share that long jobs get even
	// while shorter jobs wait, so that they do not starve.
	longMinShare = 0.25
	// slackRunTimes and slackTimeShare give the spare time before its
	// deadline that a job must have if it has to wait: that many expected run
	// times, or that share of the time to its deadline, whichever is less.
	// A job that starts too late occupies a slot for nothing, and its
	// caller does not learn whether it ran.
	slackRunTimes  = 2
	slackTimeShare = 0.1
	// minRetryAfter and maxRetryAfter bound the RetryAfter of a rejection.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// SchedulerConfig is the policy of one pool.
type SchedulerConfig struct {
	// LongShare is the share of slots that long jobs may hold, of every
	// host and of the pool, from 0 to 1.
	LongShare float64
	// LongAfter is the run time from which a job counts as long; 0 means
	// DefaultLongAfter.
	LongAfter time.Duration
}

// Decision is the outcome for a waiting job: it gets a slot of Target, or is
// rejected when Rejection is set.
type Decision struct {
	Job       *Job
	Target    Target
	Rejection *verdict.Error
	// HandOverTo names the daemon that should take the job instead. The
	// scheduler never sets it.
	HandOverTo string
}

// Scheduler decides which job of a pool starts next, and where. It does no
// I/O, reads no clock and is not safe for concurrent use.
type Scheduler struct {
	cfg         SchedulerConfig
	runStats    runStatsByEntry
	queues      map[request.Class]*classQueue
	hosts       []*hostSlots
	hostsByName map[string]*hostSlots
	// slotsByEntry is how many slots each entry holds.
	slotsByEntry map[string]int
	// shortRunning holds the running jobs that still count as short, oldest
	// first. Jobs start in order of time, so the list stays sorted.
	shortRunning *list.List
	totalSlots   int
	totalUsed    int
	usedByLong   int
	// starts counts the jobs started.
	starts uint64
}

// hostSlots tracks the slots of one host.
type hostSlots struct {
	target     Target
	used       int
	usedByLong int
	removed    bool
	// lastStart is the value of Scheduler.starts at the last start on this
	// host.
	lastStart uint64
}

// NewScheduler returns a scheduler without targets.
func NewScheduler(cfg SchedulerConfig) *Scheduler {
	if cfg.LongAfter == 0 {
		cfg.LongAfter = DefaultLongAfter
	}
	s := &Scheduler{
		cfg:          cfg,
		runStats:     runStatsByEntry{},
		queues:       map[request.Class]*classQueue{},
		hostsByName:  map[string]*hostSlots{},
		slotsByEntry: map[string]int{},
		shortRunning: list.New(),
	}
	for _, c := range request.Classes {
		s.queues[c] = newClassQueue()
	}
	return s
}

// SetConfig changes the policy.
func (s *Scheduler) SetConfig(cfg SchedulerConfig) {
	if cfg.LongAfter == 0 {
		cfg.LongAfter = DefaultLongAfter
	}
	s.cfg = cfg
}

// SetTargets replaces the hosts that may take new jobs. Jobs that run on a host
// that is no longer there keep their slot until they finish.
func (s *Scheduler) SetTargets(targets []Target) {
	for _, h := range s.hosts {
		h.removed = true
	}
	hosts := make([]*hostSlots, 0, len(targets))
	s.totalSlots = 0
	for _, t := range targets {
		h, ok := s.hostsByName[t.Host]
		if !ok {
			h = &hostSlots{}
			s.hostsByName[t.Host] = h
		}
		h.target = t
		h.removed = false
		hosts = append(hosts, h)
		s.totalSlots += t.Slots
	}
	s.hosts = hosts
	for name, h := range s.hostsByName {
		if h.removed && h.used == 0 {
			delete(s.hostsByName, name)
		}
	}
}

// Enqueue queues a job, or returns why it is rejected: its entry's queue is
// full, or it would not be done by its deadline.
func (s *Scheduler) Enqueue(now time.Time, j *Job) *verdict.Error {
	c := s.effectiveClass(j)
	q := s.queues[c]
	j.cost = s.expectedRunTime(c, j)
	wait := s.expectedWait(c, j)
	if j.Limits.Queue > 0 && q.waitingOf(j.Entry) >= j.Limits.Queue {
		e := verdict.NewNotRun(verdict.ReasonQueueFull, "%d requests of %s wait", j.Limits.Queue, j.Entry)
		e.RetryAfter = clampRetryAfter(wait)
		return e
	}
	if wait > 0 {
		j.slack = min(slackRunTimes*j.cost, time.Duration(slackTimeShare*float64(j.Deadline.Sub(now))))
	}
	if late := now.Add(wait + j.cost + j.slack).Sub(j.Deadline); late > 0 {
		e := verdict.NewNotRun(verdict.ReasonDeadline, "expected wait is %s", wait.Round(time.Millisecond))
		e.RetryAfter = clampRetryAfter(late)
		return e
	}
	q.push(j)
	return nil
}

// Next decides on one waiting job. The caller repeats it until it reports
// false, after every Enqueue, Finish, Tick and SetTargets.
func (s *Scheduler) Next(now time.Time) (Decision, bool) {
	for _, c := range s.classOrder() {
		q := s.queues[c]
		j := q.peek(func(j *Job) bool { return s.mayStart(c, j) })
		if j == nil {
			continue
		}
		if now.Add(j.cost + j.slack).After(j.Deadline) {
			s.discard(q, j)
			e := verdict.NewNotRun(verdict.ReasonDeadline, "no slot became free in time")
			e.RetryAfter = clampRetryAfter(s.expectedWait(c, j))
			return Decision{Job: j, Rejection: e}, true
		}
		h := s.chooseHost(c, j)
		if h == nil {
			continue
		}
		q.charge(j)
		q.remove(j)
		s.startJob(now, c, j, h)
		return Decision{Job: j, Target: h.target}, true
	}
	return Decision{}, false
}

// Cancel removes a waiting job; it reports false when the job no longer waits.
func (s *Scheduler) Cancel(j *Job) bool {
	if j.state != jobQueued {
		return false
	}
	s.discard(s.queueHolding(j), j)
	return true
}

// Finish gives back the slot of a running job. If ran is true, a target ran the job
// and its duration counts.
func (s *Scheduler) Finish(now time.Time, j *Job, ran bool) {
	if j.state != jobRunning {
		return
	}
	j.state = jobDone
	s.totalUsed--
	j.host.used--
	if s.slotsByEntry[j.Entry]--; s.slotsByEntry[j.Entry] == 0 {
		delete(s.slotsByEntry, j.Entry)
	}
	d := now.Sub(j.startedAt)
	if j.shortElem != nil {
		s.shortRunning.Remove(j.shortElem)
		j.shortElem = nil
		if ran {
			s.runStats.forEntry(j.Entry).observeClass(d >= s.cfg.LongAfter)
		}
	}
	if j.countsAsLong {
		s.usedByLong--
		j.host.usedByLong--
	}
	if ran {
		s.runStats.forEntry(j.Entry).observeRunTime(d)
	}
}

// Tick counts the running jobs that have passed the LongAfter threshold against
// the long share.
func (s *Scheduler) Tick(now time.Time) {
	for e := s.shortRunning.Front(); e != nil; e = s.shortRunning.Front() {
		j := e.Value.(*Job)
		if now.Sub(j.startedAt) < s.cfg.LongAfter {
			return
		}
		s.shortRunning.Remove(e)
		j.shortElem = nil
		s.runStats.forEntry(j.Entry).observeClass(true)
		s.markLong(j)
	}
}

// IsLong reports whether a job would queue as long.
func (s *Scheduler) IsLong(j *Job) bool { return s.effectiveClass(j) == request.ClassLong }

// FitsAnyHost reports whether any host is large enough for a job.
func (s *Scheduler) FitsAnyHost(j *Job) bool {
	for _, h := range s.hosts {
		if h.target.fits(j) {
			return true
		}
	}
	return false
}

// WaitingJobs returns the waiting jobs, the most urgent class first. Within a
// class they are grouped by entry, in heap order.
func (s *Scheduler) WaitingJobs() []*Job {
	var out []*Job
	for _, c := range request.Classes {
		for _, f := range s.queues[c].activeFlows {
			out = append(out, f.jobs.jobs...)
		}
	}
	return out
}

// MustWait reports whether a new job would have to wait.
func (s *Scheduler) MustWait(j *Job) bool {
	c := s.effectiveClass(j)
	for _, class := range request.Classes {
		if s.queues[class].jobs > 0 {
			return true
		}
		if class == c {
			break
		}
	}
	return !s.mayStart(c, j)
}

// TakeForHandover removes the waiting job that would start next, for a daemon
// that has a slot for it. Jobs that came from another daemon stay.
func (s *Scheduler) TakeForHandover(long bool) (*Job, bool) {
	for _, c := range request.Classes {
		if long != (c == request.ClassLong) {
			continue
		}
		q := s.queues[c]
		j := q.peek(func(j *Job) bool { return !j.NoHandover })
		if j == nil {
			continue
		}
		q.charge(j)
		s.discard(q, j)
		return j, true
	}
	return nil, false
}

// UsedSlots returns how many slots of a host are in use.
func (s *Scheduler) UsedSlots(host string) int {
	if h, ok := s.hostsByName[host]; ok {
		return h.used
	}
	return 0
}

// classOrder returns the order in which classes get a slot: the most urgent
// first, but long jobs before short ones while they hold less than longMinShare
// of the long share.
func (s *Scheduler) classOrder() []request.Class {
	if s.usedByLong < int(longMinShare*float64(s.longSlotLimit())) {
		return longFirst
	}
	return request.Classes
}

var longFirst = []request.Class{request.ClassUrgent, request.ClassLong, request.ClassShort}

// effectiveClass returns the class a job queues as: long when its entry's runs
// have turned out long, whatever class it declares.
func (s *Scheduler) effectiveClass(j *Job) request.Class {
	if s.runStats.forEntry(j.Entry).usuallyLong() {
		return request.ClassLong
	}
	return j.Class
}

// queueHolding returns the queue that holds a waiting job. The effective class
// may have changed since the job was queued, so its flow decides.
func (s *Scheduler) queueHolding(j *Job) *classQueue {
	for _, q := range s.queues {
		if q.flows[j.Entry] == j.flow {
			return q
		}
	}
	return nil
}

func (s *Scheduler) discard(q *classQueue, j *Job) {
	q.remove(j)
	j.state = jobDone
}

func (s *Scheduler) startJob(now time.Time, c request.Class, j *Job, h *hostSlots) {
	j.state = jobRunning
	j.host = h
	j.startedAt = now
	s.starts++
	h.lastStart = s.starts
	h.used++
	s.totalUsed++
	s.slotsByEntry[j.Entry]++
	if c == request.ClassLong {
		s.markLong(j)
	}
	if j.Class != request.ClassLong {
		j.shortElem = s.shortRunning.PushBack(j)
	}
}

func (s *Scheduler) markLong(j *Job) {
	if j.countsAsLong {
		return
	}
	j.countsAsLong = true
	j.host.usedByLong++
	s.usedByLong++
}

func (s *Scheduler) freeSlots() int {
	n := 0
	for _, h := range s.hosts {
		n += max(0, h.target.Slots-h.used)
	}
	return n
}

// longSlotLimit returns how many slots of the pool long jobs may hold.
func (s *Scheduler) longSlotLimit() int { return s.longShareOf(s.totalSlots) }

// longShareOf returns how many of the given slots long jobs may hold. It is at
// least one, so that long jobs can run at all.
func (s *Scheduler) longShareOf(slots int) int {
	if slots == 0 {
		return 0
	}
	return max(1, int(math.Floor(s.cfg.LongShare*float64(slots))))
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
