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
	// longFloor is the part of the long share that long work gets even
	// while shorter work waits, so that it is not starved.
	longFloor = 0.25
	// slackSizes and slackShare say how much time a job that has to wait
	// must have to spare, in expected sizes and as a share of its time: a
	// job that starts too late occupies a slot for nothing, and its caller
	// does not learn whether it ran.
	slackSizes = 2
	slackShare = 0.1
	// minRetryAfter and maxRetryAfter bound what a refusal advises.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// SchedulerConfig is the policy of one pool.
type SchedulerConfig struct {
	// LongShare is the share of slots that long work may hold, of every
	// host and of the pool, from 0 to 1.
	LongShare float64
	// LongAfter is the run time from which a job counts as long; 0 means
	// DefaultLongAfter.
	LongAfter time.Duration
}

// Start is a decision on a waiting job: it gets a slot of Target, or is refused
// when Refusal is set.
type Start struct {
	Job     *Job
	Target  Target
	Refusal *verdict.Error
	// HandTo names the daemon that should have the job instead. The
	// scheduler never sets it.
	HandTo string
}

// Scheduler decides which job of a pool starts next, and where. It does no
// I/O, reads no clock and is not safe for concurrent use.
type Scheduler struct {
	cfg    SchedulerConfig
	sizes  sizes
	queues map[request.Class]*classQueue
	hosts  []*hostSlots
	byName map[string]*hostSlots
	// held is how many slots each entry holds.
	held map[string]int
	// watched are the running jobs that still count as short, oldest
	// first. Jobs start in order of time, so the list stays sorted.
	watched *list.List
	slots   int
	used    int
	long    int
	// turn counts starts.
	turn uint64
}

// hostSlots is the slots of one host.
type hostSlots struct {
	target Target
	used   int
	long   int
	gone   bool
	// turn is the scheduler's turn of the last start here.
	turn uint64
}

// NewScheduler returns a scheduler without targets.
func NewScheduler(cfg SchedulerConfig) *Scheduler {
	if cfg.LongAfter == 0 {
		cfg.LongAfter = DefaultLongAfter
	}
	s := &Scheduler{
		cfg:     cfg,
		sizes:   sizes{},
		queues:  map[request.Class]*classQueue{},
		byName:  map[string]*hostSlots{},
		held:    map[string]int{},
		watched: list.New(),
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
		h.gone = true
	}
	hosts := make([]*hostSlots, 0, len(targets))
	s.slots = 0
	for _, t := range targets {
		h, ok := s.byName[t.Host]
		if !ok {
			h = &hostSlots{}
			s.byName[t.Host] = h
		}
		h.target = t
		h.gone = false
		hosts = append(hosts, h)
		s.slots += t.Slots
	}
	s.hosts = hosts
	for name, h := range s.byName {
		if h.gone && h.used == 0 {
			delete(s.byName, name)
		}
	}
}

// Offer queues a job, or returns why it is refused: its entry's queue is full,
// or it would not be done by its deadline.
func (s *Scheduler) Offer(now time.Time, j *Job) *verdict.Error {
	c := s.effectiveClass(j)
	q := s.queues[c]
	j.cost = s.expectedSize(c, j)
	wait := s.expectedWait(c, j)
	if j.Limits.Queue > 0 && q.waiting(j.Entry) >= j.Limits.Queue {
		e := verdict.NewNotRun(verdict.ReasonQueueFull, "%d requests of %s wait", j.Limits.Queue, j.Entry)
		e.RetryAfter = retryAfter(wait)
		return e
	}
	if wait > 0 {
		j.slack = min(slackSizes*j.cost, time.Duration(slackShare*float64(j.Deadline.Sub(now))))
	}
	if late := now.Add(wait + j.cost + j.slack).Sub(j.Deadline); late > 0 {
		e := verdict.NewNotRun(verdict.ReasonDeadline, "expected wait is %s", wait.Round(time.Millisecond))
		e.RetryAfter = retryAfter(late)
		return e
	}
	q.push(j)
	return nil
}

// Next decides on one waiting job. The caller repeats it until it reports
// false, after every Offer, Finish, Tick and SetTargets.
func (s *Scheduler) Next(now time.Time) (Start, bool) {
	for _, c := range s.order() {
		q := s.queues[c]
		j := q.first(func(j *Job) bool { return s.mayStart(c, j) })
		if j == nil {
			continue
		}
		if now.Add(j.cost + j.slack).After(j.Deadline) {
			s.drop(q, j)
			e := verdict.NewNotRun(verdict.ReasonDeadline, "no slot became free in time")
			e.RetryAfter = retryAfter(s.expectedWait(c, j))
			return Start{Job: j, Refusal: e}, true
		}
		h := s.choose(c, j)
		if h == nil {
			continue
		}
		q.charge(j)
		q.remove(j)
		s.start(now, c, j, h)
		return Start{Job: j, Target: h.target}, true
	}
	return Start{}, false
}

// Cancel takes a waiting job out; it reports false when the job no longer
// waits.
func (s *Scheduler) Cancel(j *Job) bool {
	if j.state != jobQueued {
		return false
	}
	s.drop(s.queueOf(j), j)
	return true
}

// Finish gives the slot of a running job back. ran tells whether a target
// really ran it, so that its duration counts.
func (s *Scheduler) Finish(now time.Time, j *Job, ran bool) {
	if j.state != jobRunning {
		return
	}
	j.state = jobDone
	s.used--
	j.host.used--
	if s.held[j.Entry]--; s.held[j.Entry] == 0 {
		delete(s.held, j.Entry)
	}
	d := now.Sub(j.started)
	if j.running != nil {
		s.watched.Remove(j.running)
		j.running = nil
		if ran {
			s.sizes.of(j.Entry).observeClass(d >= s.cfg.LongAfter)
		}
	}
	if j.long {
		s.long--
		j.host.long--
	}
	if ran {
		s.sizes.of(j.Entry).observe(d)
	}
}

// Tick moves running jobs that have passed the threshold to the long share.
func (s *Scheduler) Tick(now time.Time) {
	for e := s.watched.Front(); e != nil; e = s.watched.Front() {
		j := e.Value.(*Job)
		if now.Sub(j.started) < s.cfg.LongAfter {
			return
		}
		s.watched.Remove(e)
		j.running = nil
		s.sizes.of(j.Entry).observeClass(true)
		s.countLong(j)
	}
}

// Long reports whether a job would queue as long.
func (s *Scheduler) Long(j *Job) bool { return s.effectiveClass(j) == request.ClassLong }

// Fits reports whether any host is large enough for a job.
func (s *Scheduler) Fits(j *Job) bool {
	for _, h := range s.hosts {
		if h.target.fits(j) {
			return true
		}
	}
	return false
}

// Waiting returns the jobs that wait, in the order in which they would start
// if slots were all that they wait for.
func (s *Scheduler) Waiting() []*Job {
	var out []*Job
	for _, c := range request.Classes {
		for _, f := range s.queues[c].active {
			out = append(out, f.jobs.jobs...)
		}
	}
	return out
}

// Full reports whether a new job would have to wait.
func (s *Scheduler) Full(j *Job) bool {
	c := s.effectiveClass(j)
	for _, more := range request.Classes {
		if s.queues[more].jobs > 0 {
			return true
		}
		if more == c {
			break
		}
	}
	return !s.mayStart(c, j)
}

// Surrender takes out the waiting job that would start next, for a daemon that
// has a slot for it. Jobs that came from another daemon stay.
func (s *Scheduler) Surrender(long bool) (*Job, bool) {
	for _, c := range request.Classes {
		if long != (c == request.ClassLong) {
			continue
		}
		q := s.queues[c]
		j := q.first(func(j *Job) bool { return !j.Foreign })
		if j == nil {
			continue
		}
		q.charge(j)
		s.drop(q, j)
		return j, true
	}
	return nil, false
}

// Used returns how many slots of a host are in use.
func (s *Scheduler) Used(host string) int {
	if h, ok := s.byName[host]; ok {
		return h.used
	}
	return 0
}

// order is the order in which classes get a slot: the most pressing first, but
// long work while it is under its floor.
func (s *Scheduler) order() []request.Class {
	if s.long < int(longFloor*float64(s.longSlots())) {
		return longFirst
	}
	return request.Classes
}

var longFirst = []request.Class{request.ClassUrgent, request.ClassLong, request.ClassShort}

// effectiveClass is the class a job queues as: long when its entry's runs have
// turned out long, whatever it declares.
func (s *Scheduler) effectiveClass(j *Job) request.Class {
	if s.sizes.of(j.Entry).learnedLong() {
		return request.ClassLong
	}
	return j.Class
}

// queueOf returns the queue that holds a waiting job. The effective class may
// have changed since it was queued, so the flow decides.
func (s *Scheduler) queueOf(j *Job) *classQueue {
	for _, q := range s.queues {
		if q.flows[j.Entry] == j.flow {
			return q
		}
	}
	return nil
}

func (s *Scheduler) drop(q *classQueue, j *Job) {
	q.remove(j)
	j.state = jobDone
}

func (s *Scheduler) start(now time.Time, c request.Class, j *Job, h *hostSlots) {
	j.state = jobRunning
	j.host = h
	j.started = now
	s.turn++
	h.turn = s.turn
	h.used++
	s.used++
	s.held[j.Entry]++
	if c == request.ClassLong {
		s.countLong(j)
	}
	if j.Class != request.ClassLong {
		j.running = s.watched.PushBack(j)
	}
}

func (s *Scheduler) countLong(j *Job) {
	if j.long {
		return
	}
	j.long = true
	j.host.long++
	s.long++
}

func (s *Scheduler) free() int {
	n := 0
	for _, h := range s.hosts {
		n += max(0, h.target.Slots-h.used)
	}
	return n
}

// longSlots is how many slots of the pool long work may hold.
func (s *Scheduler) longSlots() int { return s.longPart(s.slots) }

// longPart is at least one slot, so that long work can run at all.
func (s *Scheduler) longPart(slots int) int {
	if slots == 0 {
		return 0
	}
	return max(1, int(math.Floor(s.cfg.LongShare*float64(slots))))
}

func retryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
