package worker

import (
	"time"

	"greengagedeck/internal/job"
)

const (
	// maxClockOffset is how far a worker's clock may seem to deviate because of
	// the duration of calls. A larger deviation means that another incarnation
	// answered.
	maxClockOffset = 1500 * time.Millisecond
	// maxOrderDelay is how long after it was sent an unanswered order may still
	// be carried out by another incarnation of the worker.
	maxOrderDelay = 15 * time.Second
)

// State is what a pool's holder knows about one worker. Times are by the
// holder's clock unless stated otherwise.
type State struct {
	Listing
	// Listed is set if the platform's list names the worker at present.
	Listed bool
	// EntryStartedAt is the start of the incarnation last taken from the list, or 0.
	EntryStartedAt int64
	// Fenced is set once this incarnation has seen the holder's token. From
	// then on orders of earlier holders have no effect.
	Fenced bool
	// Reconciled is set once a report that was not partial has arrived since the
	// incarnation was fenced. Until then a run of an earlier holder or incarnation
	// that no report has listed may be at the worker or may have ended there.
	Reconciled bool
	// FencedAt is when the holder learned that the incarnation has seen its token, or 0 if it
	// has not been reached.
	FencedAt time.Duration
	// Ordered is set once an order was sent to this incarnation that another one must not
	// carry out.
	Ordered bool
	// Runs are the runs that the worker has or may have.
	Runs map[job.RunID]*Run
	// Used is the amount of resources that the runs take, ServingRuns is how many
	// of them are serving tasks, and BestEffortCPU the CPU time that the
	// best-effort tasks among them could use.
	Used          job.Resources
	ServingRuns   int
	BestEffortCPU int
	// SuspectRuns is how many of the runs are suspects.
	SuspectRuns int
	// lastRunAdded is when the last run was added.
	lastRunAdded time.Duration
	// busyUntil is when the last of the runs is expected to end.
	busyUntil time.Duration
	// CordonReason is why the worker takes no new tasks, or empty if it takes
	// them.
	CordonReason string

	// workerClock is a reading of the worker's clock, in milliseconds, that was
	// taken at workerClockAt at the latest.
	workerClock   int64
	workerClockAt time.Duration
	// leaseUntil is the latest lease end that an order of this holder named, in
	// milliseconds of the worker's clock.
	leaseUntil int64
	bounds     LeaseBounds
	// leasePollInFlight is set while a poll is in flight that extends the lease.
	leasePollInFlight bool
	// LeasePollUnansweredAt is when the last poll was sent to this incarnation that extends the lease
	// and got no answer, or 0.
	LeasePollUnansweredAt time.Duration
	// earlierLeasesEnd is when the runs have ended whose leases an earlier holder may
	// have granted, unless the worker has restarted since.
	earlierLeasesEnd time.Duration
	// earlierHoldersEnd is until when earlier holders may send orders to the worker.
	earlierHoldersEnd time.Duration
	// priorLeaseExpiry is the same, and for the leases that runs of an earlier incarnation
	// may have.
	priorLeaseExpiry time.Duration
	// strayLeaseEnd is when runs have ended under the lease of an order that was meant for an
	// earlier incarnation, or 0 if there is none.
	strayLeaseEnd time.Duration

	// LastEndSeen is the number of the last end that was processed,
	// LastEndLogged of the last one in the log, and LastEndAcknowledged of the
	// last one that was acknowledged to the worker.
	LastEndSeen, LastEndLogged, LastEndAcknowledged int64

	// UnansweredCalls counts the calls in a row without an answer, SilentSince is when the first failed.
	UnansweredCalls int
	SilentSince     time.Duration
	// LastAnswer is when the worker last answered a call, and RestartedAt when this
	// incarnation was found in place of another one, or 0.
	LastAnswer, RestartedAt time.Duration
	// KnownSince is when the holder learned of this incarnation.
	KnownSince time.Duration
	// identifiedAt is when an answer last told that this incarnation gave it.
	identifiedAt time.Duration
	// Lapsed are runs that may be the cause if this incarnation has ended: their
	// leases expired while the worker was silent and listed.
	Lapsed []*Run
	// touched is where to record that the state has changed, or nil.
	touched map[string]bool
	// observer is told of the runs that the worker gains and loses. It may be nil.
	observer RunObserver
	// KeptRunsLoggedAt is when it was last logged that the worker's runs are kept
	// although it does not answer.
	KeptRunsLoggedAt time.Duration
}

// NewState returns the state of a worker that has not been polled yet.
// earlierLeasesEnd is when the last run has ended whose lease an earlier holder may have
// granted.
func NewState(l Listing, now, earlierLeasesEnd time.Duration, b LeaseBounds) *State {
	return &State{
		Listing:          l,
		Listed:           true,
		Runs:             map[job.RunID]*Run{},
		workerClock:      l.Clock,
		workerClockAt:    now,
		KnownSince:       now,
		bounds:           b,
		earlierLeasesEnd: earlierLeasesEnd,
		priorLeaseExpiry: earlierLeasesEnd,
		// Their last orders grant the longest lease that holders grant.
		earlierHoldersEnd: earlierLeasesEnd - b.LongestRun(b.Granted),
	}
}

// OnChange has the worker's ID recorded in touched with every change by a method of this
// type.
func (s *State) OnChange(touched map[string]bool) { s.touched = touched }

// touch records that the state has changed.
func (s *State) touch() {
	if s.touched != nil {
		s.touched[s.Incarnation.ID] = true
	}
}

// Target returns the address for orders to the worker.
func (s *State) Target() Target {
	return Target{ID: s.Incarnation.ID, Address: s.Address, Zone: s.Zone}
}

// BusyUntil returns when the last of the worker's runs is expected to end.
func (s *State) BusyUntil(now time.Duration) time.Duration { return max(now, s.busyUntil) }

// FreeResources returns the resources that no run takes.
func (s *State) FreeResources() job.Resources { return s.Capacity.Sub(s.Used) }

// Overcommitted reports whether the runs take more than the capacity of any of
// the resources that need names. A worker's capacity may shrink under its runs.
func (s *State) Overcommitted(need job.Resources) bool {
	free := s.FreeResources()
	return need.CPU > 0 && free.CPU < 0 || need.MemoryMB > 0 && free.MemoryMB < 0 || need.GPU > 0 && free.GPU < 0
}

// AddRun adds a run and the resources it takes. It replaces a run with the same ID.
func (s *State) AddRun(r *Run) {
	s.RemoveRun(r.ID)
	s.touch()
	s.Runs[r.ID] = r
	s.Used = s.Used.Add(r.Resources)
	s.busyUntil = max(s.busyUntil, r.expectedEnd())
	if r.TailLatencyTarget > 0 {
		s.ServingRuns++
	}
	s.BestEffortCPU += r.BestEffortCPU
	if r.Suspect {
		s.SuspectRuns++
	}
	s.lastRunAdded = max(s.lastRunAdded, r.StateSince)
	if s.observer != nil {
		s.observer.RunAdded(r)
	}
}

// RemoveRun removes a run and frees its resources.
func (s *State) RemoveRun(id job.RunID) {
	r, ok := s.Runs[id]
	if !ok {
		return
	}
	s.touch()
	delete(s.Runs, id)
	s.Used = s.Used.Sub(r.Resources)
	if r.TailLatencyTarget > 0 {
		s.ServingRuns--
	}
	s.BestEffortCPU -= r.BestEffortCPU
	if r.Suspect {
		s.SuspectRuns--
	}
	if s.observer != nil {
		s.observer.RunRemoved(r)
	}
	if r.expectedEnd() < s.busyUntil {
		return
	}
	s.busyUntil = 0
	for _, other := range s.Runs {
		s.busyUntil = max(s.busyUntil, other.expectedEnd())
	}
}

// SetRunState changes the state of one of the worker's runs.
func (s *State) SetRunState(r *Run, st RunState, now time.Duration) {
	s.touch()
	r.State = st
	r.StateSince = now
	s.busyUntil = max(s.busyUntil, r.expectedEnd())
}

// CountRuns returns how many runs of a step the worker has or may have.
func (s *State) CountRuns(k StepKey) int {
	n := 0
	for _, r := range s.Runs {
		if r.Key == k {
			n++
		}
	}
	return n
}

// RecordAnswer records an answer that is known to be from this incarnation, and
// the reading of the worker's clock in it.
func (s *State) RecordAnswer(clock int64, now time.Duration) {
	s.identifiedAt = now
	s.recordReading(clock, now)
}

// recordReading records an answer and the reading of the worker's clock in it.
func (s *State) recordReading(clock int64, now time.Duration) {
	s.recordCallAnswered(now)
	s.workerClock = clock
	s.workerClockAt = now
}

// recordCallAnswered records that a call was answered.
func (s *State) recordCallAnswered(now time.Duration) {
	if s.UnansweredCalls > 0 {
		s.touch()
	}
	s.UnansweredCalls = 0
	s.LastAnswer = now
}

// RecordOrderAnswer records an answer to an order, which does not say which
// incarnation gave it. If the clock in it has jumped, another incarnation
// answered, and the worker has to be polled again: it returns false. clock is 0 if
// the answer contained none.
func (s *State) RecordOrderAnswer(clock int64, now time.Duration) (same bool) {
	switch {
	case clock == 0:
		s.recordCallAnswered(now)
	case s.clockJumped(clock, now):
		s.otherIncarnationAnswered(now)
		return false
	default:
		s.recordReading(clock, now)
	}
	return true
}

// RecordStartAnswer is like RecordOrderAnswer for a start that was sent at a moment. If it was sent
// after a reading of the worker's clock had come and its answer has a lower one, another
// incarnation has answered, however soon the worker has restarted: it is not polled with the
// number of an end of the one before, which would make it forget ends of its own.
func (s *State) RecordStartAnswer(clock int64, sentAt, now time.Duration) (same bool) {
	if clock != 0 && clock < s.workerClock && sentAt >= s.workerClockAt {
		s.otherIncarnationAnswered(now)
		return false
	}
	return s.RecordOrderAnswer(clock, now)
}

// otherIncarnationAnswered records that another incarnation, which is not known yet, has
// answered an order, and so may hold the lease that it named by the clock of this one.
func (s *State) otherIncarnationAnswered(now time.Duration) {
	s.RecordStrayLease(now)
	s.Unfence()
}

// Unfence records that the runs at the worker are not known any more.
func (s *State) Unfence() {
	s.touch()
	s.Fenced, s.Reconciled = false, false
}

// clockJumped reports whether a reading cannot come from the clock that was
// read before.
func (s *State) clockJumped(clock int64, now time.Duration) bool {
	passed := now - s.workerClockAt
	offset := time.Duration(clock-s.workerClock)*time.Millisecond - passed
	drift := time.Duration(2 * maxClockDrift * float64(passed))
	return offset > maxClockOffset || offset < -maxClockOffset-drift
}

// NeverSent reports whether no start of a run was ever sent: this holder planned it
// for this incarnation of the worker, and the log holds it.
func (s *State) NeverSent(r *Run) bool {
	return s.Reconciled && r.State == RunOrdered && !r.Adopted && r.StartSentAt == 0 && !r.StartUnanswered
}

// RecordUnanswered records a call that was not answered.
func (s *State) RecordUnanswered(now time.Duration) {
	s.touch()
	if s.UnansweredCalls == 0 {
		s.SilentSince = now
	}
	s.UnansweredCalls++
}
