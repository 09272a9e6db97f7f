package worker

import (
	"time"

	"greengagedeck/internal/job"
)

const (
	// clockDrift is how much slower than ours a worker's clock may run.
	clockDrift = 0.02
	// clockJump is how far a worker's clock may seem off because calls take
	// time. One that is off further belongs to another incarnation.
	clockJump = 1500 * time.Millisecond
	// expiryMargin is added to the end of a lease before it counts as over.
	expiryMargin = 50 * time.Millisecond
	// lateOrders is how long after it was sent an order that was not answered
	// may still be carried out by another incarnation of the worker.
	lateOrders = 15 * time.Second
)

// RunState is how far the start of a run has come.
type RunState uint8

// The states of a run at a worker.
const (
	// Planned runs are not logged yet; no order has left.
	Planned RunState = iota
	// Ordered runs may be there: an order may have left and none was answered.
	Ordered
	// Confirmed runs were there.
	Confirmed
)

// Run is one run that a worker has or may have.
type Run struct {
	ID   job.RunID
	Room job.Resources
	// Key groups the runs of one step, for limits on how many a worker takes.
	Key   StepKey
	State RunState
	// Unanswered is set once an order to start it was not answered: that
	// order may still be carried out.
	Unanswered bool
	// Since is when the run reached its state.
	Since time.Duration
	// Lasts is how long it is expected to be at work.
	Lasts time.Duration
	// SentAt is when the last order to start it left.
	SentAt time.Duration
	// Stopping is set once the run is to be stopped.
	Stopping bool
	// StopReason says why, for people.
	StopReason string
	// StopSent is set while a stop is under way, and StopDone is when one was
	// answered.
	StopSent bool
	StopDone time.Duration
	// Checkpoint, Percent and Figure are as last reported. A long-running
	// task is at work when its percent is FullPace.
	Checkpoint string
	Percent    int
	Figure     int
	// Reported is when the last look was sent that found the run there.
	Reported time.Duration
	// Target is set for tasks that serve, and Fills for those that use what
	// others leave.
	Target time.Duration
	Fills  bool
	// Pace is the percent of full speed that a task that fills should work
	// at, and PaceTold what the worker was last told, or PaceUnknown. PaceSent
	// is set while an order to change it is under way.
	Pace     int
	PaceTold int
	PaceSent bool
}

const (
	// FullPace is the percent of a run that works at full speed.
	FullPace = 100
	// PaceUnknown stands for a pace that an earlier order may have changed.
	PaceUnknown = -1
)

// NewRun returns a run of a step's task.
func NewRun(id job.RunID, s job.Step, st RunState, now, lasts time.Duration) *Run {
	return &Run{
		ID:     id,
		Room:   s.ReservedResources(),
		Key:    StepOf(id.Task),
		State:  st,
		Since:  now,
		Lasts:  lasts,
		Target: s.TailLatencyTarget,
		Fills:  s.BestEffort,
		Pace:   FullPace,
		// Tasks start at full speed.
		PaceTold: FullPace,
	}
}

// StepKey names a step of one occurrence of a job.
type StepKey struct {
	Job        job.ID
	Occurrence int
	Step       int
}

// StepOf returns the key of a task's step.
func StepOf(t job.TaskID) StepKey {
	return StepKey{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}
}

// Book is what a pool's holder knows of one worker. Times are by the holder's
// clock unless they are said to be the worker's.
type Book struct {
	Listing
	// Listed is whether the platform's list names the worker now.
	Listed bool
	// Fenced is set once this incarnation has seen the holder's token: orders
	// of earlier holders have no effect from then on, and what runs there is
	// known.
	Fenced bool
	// FencedAt is when that became known.
	FencedAt time.Duration
	Runs     map[job.RunID]*Run
	// Used is the room that the runs take.
	Used job.Resources
	// Closed, if set, says why the worker takes no new tasks.
	Closed string

	// clock was the worker's clock, in milliseconds, at most at clockAt.
	clock   int64
	clockAt time.Duration
	// until is the latest end of a lease that an order of ours named, in
	// milliseconds of the worker's clock.
	until int64
	// blind is the end of leases that an earlier holder may have granted.
	blind time.Duration

	// Seen is the last end that was taken in, Logged the last that is in the
	// log, and Acknowledged the last that the worker was told of.
	Seen, Logged, Acknowledged int64

	// Misses counts the calls in a row that were not answered.
	Misses int
	// Answered is when a call was last answered.
	Answered time.Duration
}

// NewBook returns the book of a worker that was not looked at yet. blind is
// when the last lease that an earlier holder may have granted is over.
func NewBook(l Listing, now, blind time.Duration) *Book {
	return &Book{
		Listing: l,
		Listed:  true,
		Runs:    map[job.RunID]*Run{},
		clock:   l.Clock,
		clockAt: now,
		blind:   blind,
	}
}

// Target returns where orders to the worker go.
func (b *Book) Target() Target { return Target{ID: b.Incarnation.ID, Address: b.Address} }

// BusyUntil returns when the last run is expected to end.
func (b *Book) BusyUntil(now time.Duration) time.Duration {
	until := now
	for _, r := range b.Runs {
		until = max(until, r.Since+r.Lasts)
	}
	return until
}

// Free returns the room that is left.
func (b *Book) Free() job.Resources { return b.Capacity.Sub(b.Used) }

// Add notes a run that takes room.
func (b *Book) Add(r *Run) {
	b.Runs[r.ID] = r
	b.Used = b.Used.Add(r.Room)
}

// Remove forgets a run and frees its room.
func (b *Book) Remove(id job.RunID) {
	if r, ok := b.Runs[id]; ok {
		delete(b.Runs, id)
		b.Used = b.Used.Sub(r.Room)
	}
}

// Count returns how many runs of a step the worker has or may have.
func (b *Book) Count(k StepKey) int {
	n := 0
	for _, r := range b.Runs {
		if r.Key == k {
			n++
		}
	}
	return n
}

// Heard notes an answer of this incarnation and the worker's clock in it.
func (b *Book) Heard(clock int64, now time.Duration) {
	b.Misses = 0
	b.Answered = now
	b.clock = clock
	b.clockAt = now
}

// HeardOrder notes an answer to an order, which does not say which incarnation
// gave it. Where the clock in it has jumped it was another one, and the worker
// has to be looked at anew.
func (b *Book) HeardOrder(clock int64, now time.Duration) {
	switch {
	case clock == 0:
		b.Misses = 0
		b.Answered = now
	case b.jumped(clock, now):
		b.Fenced = false
	default:
		b.Heard(clock, now)
	}
}

// jumped reports whether a clock is not the one that was heard before.
func (b *Book) jumped(clock int64, now time.Duration) bool {
	passed := now - b.clockAt
	off := time.Duration(clock-b.clock)*time.Millisecond - passed
	slow := time.Duration(2 * clockDrift * float64(passed))
	return off > clockJump || off < -clockJump-slow
}

// Missed notes a call that was not answered.
func (b *Book) Missed() { b.Misses++ }

// Lease returns the end of a lease that begins now, in milliseconds of the
// worker's clock, and notes that an order names it. A lease never shortens.
func (b *Book) Lease(now, length time.Duration) int64 {
	end := b.clock + (now - b.clockAt + length).Milliseconds()
	b.until = max(b.until, end)
	return b.until
}

// Left returns how much of the lease is left at least, as the worker counts.
func (b *Book) Left(now time.Duration) time.Duration {
	return time.Duration(b.until-b.clock)*time.Millisecond - (now - b.clockAt)
}

// Expired reports whether every lease that this incarnation may hold is over,
// so that nothing runs there that was ordered before.
func (b *Book) Expired(now time.Duration) bool {
	if now < b.blind {
		return false
	}
	passed := time.Duration(float64(now-b.clockAt) * (1 - clockDrift))
	return time.Duration(b.clock)*time.Millisecond+passed > time.Duration(b.until)*time.Millisecond+expiryMargin
}

// Reborn notes that another incarnation answers to the worker's ID. Its runs
// most likely ended with the old one, but an order may have reached the new one
// before that was known, so each has to be looked for there. One that is not
// there and whose order, which was not answered, may still arrive has to be
// stopped there.
// longest is the longest lease that a worker grants.
func (b *Book) Reborn(l Listing, now, longest time.Duration) {
	runs, listed := b.Runs, b.Listed
	blind := max(b.blind, now+longest)
	*b = *NewBook(l, now, blind)
	b.Listed = listed
	for _, r := range runs {
		inFlight := r.State == Ordered && r.SentAt > 0 || r.Unanswered
		r.Unanswered = inFlight && now < r.SentAt+lateOrders
		if r.Unanswered {
			r.State = Ordered
			b.blind = max(b.blind, r.SentAt+lateOrders+longest)
		} else {
			r.SentAt = 0
		}
		r.StopSent = false
		r.StopDone = 0
		b.Add(r)
	}
}
