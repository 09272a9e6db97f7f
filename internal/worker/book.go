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
	// RunPlanned runs are not logged yet; no order has left.
	RunPlanned RunState = iota
	// RunOrdered runs may be there: an order may have left and none was answered.
	RunOrdered
	// RunConfirmed runs were there.
	RunConfirmed
)

// Run is one run that a worker has or may have.
type Run struct {
	ID   job.RunID
	Resources job.Resources
	// Key groups the runs of one step, for limits on how many a worker takes.
	Key   StepKey
	State RunState
	// StartUnanswered is set once an order to start it was not answered: that
	// order may still be carried out.
	StartUnanswered bool
	// StateSince is when the run reached its state.
	StateSince time.Duration
	// ExpectedDuration is how long it is expected to be at work.
	ExpectedDuration time.Duration
	// StartSentAt is when the last order to start it left.
	StartSentAt time.Duration
	// Stopping is set once the run is to be stopped.
	Stopping bool
	// StopReason says why, for people.
	StopReason string
	// StopInFlight is set while a stop is under way, and StopDone is when one was
	// answered.
	StopInFlight bool
	StopAnsweredAt time.Duration
	// Checkpoint, Percent and Figure are as last reported. A long-running
	// task is at work when its percent is FullPace.
	Checkpoint string
	ProgressPercent    int
	Measurement     int
	// LastReported is when the last look was sent that found the run there.
	LastReported time.Duration
	// TailLatencyTarget is set for tasks that serve, and Fills for those that use what
	// others leave.
	TailLatencyTarget time.Duration
	BestEffort  bool
	// Speed is the percent of full speed that a task that fills should work
	// at, and PaceTold what the worker was last told, or PaceUnknown. PaceSent
	// is set while an order to change it is under way.
	Speed     int
	SpeedAtWorker int
	SpeedInFlight bool
}

const (
	// FullSpeed is the percent of a run that works at full speed.
	FullSpeed = 100
	// SpeedUnknown stands for a pace that an earlier order may have changed.
	SpeedUnknown = -1
)

// NewRun returns a run of a step's task.
func NewRun(id job.RunID, s job.Step, st RunState, now, lasts time.Duration) *Run {
	return &Run{
		ID:     id,
		Resources:   s.Room(),
		Key:    StepKeyOf(id.Task),
		State:  st,
		StateSince:  now,
		ExpectedDuration:  lasts,
		TailLatencyTarget: s.TailTarget,
		BestEffort:  s.Fills,
		Speed:   FullSpeed,
		// Tasks start at full speed.
		SpeedAtWorker: FullSpeed,
	}
}

// StepKey names a step of one occurrence of a job.
type StepKey struct {
	Job        job.ID
	Occurrence int
	Step       int
}

// StepKeyOf returns the key of a task's step.
func StepKeyOf(t job.TaskID) StepKey {
	return StepKey{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}
}

// State is what a pool's holder knows of one worker. Times are by the holder's
// clock unless they are said to be the worker's.
type State struct {
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
	// CordonReason, if set, says why the worker takes no new tasks.
	CordonReason string

	// workerClock was the worker's workerClock, in milliseconds, at most at clockAt.
	workerClock   int64
	clockAt time.Duration
	// leaseUntil is the latest end of a lease that an order of ours named, in
	// milliseconds of the worker's clock.
	leaseUntil int64
	// blind is the end of leases that an earlier holder may have granted.
	blind time.Duration

	// LastEndSeen is the last end that was taken in, LastEndLogged the last that is in the
	// log, and LastEndAcknowledged the last that the worker was told of.
	LastEndSeen, LastEndLogged, LastEndAcknowledged int64

	// UnansweredCalls counts the calls in a row that were not answered.
	UnansweredCalls int
	// LastAnswer is when a call was last answered.
	LastAnswer time.Duration
}

// NewState returns the book of a worker that was not looked at yet. blind is
// when the last lease that an earlier holder may have granted is over.
func NewState(l Listing, now, blind time.Duration) *State {
	return &State{
		Listing: l,
		Listed:  true,
		Runs:    map[job.RunID]*Run{},
		workerClock:   l.Clock,
		clockAt: now,
		blind:   blind,
	}
}

// Target returns where orders to the worker go.
func (b *State) Target() Target { return Target{ID: b.Incarnation.ID, Address: b.Address} }

// BusyUntil returns when the last run is expected to end.
func (b *State) BusyUntil(now time.Duration) time.Duration {
	until := now
	for _, r := range b.Runs {
		until = max(until, r.StateSince+r.ExpectedDuration)
	}
	return until
}

// FreeResources returns the room that is left.
func (b *State) FreeResources() job.Resources { return b.Capacity.Sub(b.Used) }

// AddRun notes a run that takes room.
func (b *State) AddRun(r *Run) {
	b.Runs[r.ID] = r
	b.Used = b.Used.Add(r.Resources)
}

// RemoveRun forgets a run and frees its room.
func (b *State) RemoveRun(id job.RunID) {
	if r, ok := b.Runs[id]; ok {
		delete(b.Runs, id)
		b.Used = b.Used.Sub(r.Resources)
	}
}

// CountRuns returns how many runs of a step the worker has or may have.
func (b *State) CountRuns(k StepKey) int {
	n := 0
	for _, r := range b.Runs {
		if r.Key == k {
			n++
		}
	}
	return n
}

// RecordAnswer notes an answer of this incarnation and the worker's clock in it.
func (b *State) RecordAnswer(clock int64, now time.Duration) {
	b.UnansweredCalls = 0
	b.LastAnswer = now
	b.workerClock = clock
	b.clockAt = now
}

// RecordOrderAnswer notes an answer to an order, which does not say which incarnation
// gave it. Where the clock in it has jumped it was another one, and the worker
// has to be looked at anew.
func (b *State) RecordOrderAnswer(clock int64, now time.Duration) {
	switch {
	case clock == 0:
		b.UnansweredCalls = 0
		b.LastAnswer = now
	case b.jumped(clock, now):
		b.Fenced = false
	default:
		b.RecordAnswer(clock, now)
	}
}

// jumped reports whether a clock is not the one that was heard before.
func (b *State) jumped(clock int64, now time.Duration) bool {
	passed := now - b.clockAt
	off := time.Duration(clock-b.workerClock)*time.Millisecond - passed
	slow := time.Duration(2 * clockDrift * float64(passed))
	return off > clockJump || off < -clockJump-slow
}

// RecordUnanswered notes a call that was not answered.
func (b *State) RecordUnanswered() { b.UnansweredCalls++ }

// ExtendLease returns the end of a lease that begins now, in milliseconds of the
// worker's clock, and notes that an order names it. A lease never shortens.
func (b *State) ExtendLease(now, length time.Duration) int64 {
	end := b.workerClock + (now - b.clockAt + length).Milliseconds()
	b.leaseUntil = max(b.leaseUntil, end)
	return b.leaseUntil
}

// Left returns how much of the lease is left at least, as the worker counts.
func (b *State) Left(now time.Duration) time.Duration {
	return time.Duration(b.leaseUntil-b.workerClock)*time.Millisecond - (now - b.clockAt)
}

// LeaseExpired reports whether every lease that this incarnation may hold is over,
// so that nothing runs there that was ordered before.
func (b *State) LeaseExpired(now time.Duration) bool {
	if now < b.blind {
		return false
	}
	passed := time.Duration(float64(now-b.clockAt) * (1 - clockDrift))
	return time.Duration(b.workerClock)*time.Millisecond+passed > time.Duration(b.leaseUntil)*time.Millisecond+expiryMargin
}

// ReplaceIncarnation notes that another incarnation answers to the worker's ID. Its runs
// most likely ended with the old one, but an order may have reached the new one
// before that was known, so each has to be looked for there. One that is not
// there and whose order, which was not answered, may still arrive has to be
// stopped there.
// longest is the longest lease that a worker grants.
func (b *State) ReplaceIncarnation(l Listing, now, longest time.Duration) {
	runs, listed := b.Runs, b.Listed
	blind := max(b.blind, now+longest)
	*b = *NewState(l, now, blind)
	b.Listed = listed
	for _, r := range runs {
		inFlight := r.State == RunOrdered && r.StartSentAt > 0 || r.StartUnanswered
		r.StartUnanswered = inFlight && now < r.StartSentAt+lateOrders
		if r.StartUnanswered {
			r.State = RunOrdered
			b.blind = max(b.blind, r.StartSentAt+lateOrders+longest)
		} else {
			r.StartSentAt = 0
		}
		r.StopInFlight = false
		r.StopAnsweredAt = 0
		b.AddRun(r)
	}
}
