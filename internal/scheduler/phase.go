package scheduler

import (
	"sync"
	"time"
)

// Phase is what a Runner does at present.
type Phase uint8

// The phases of a Runner: first those of the takeover, then those of each plan.
const (
	// PhaseOpening: it opens the pool's log for writing.
	PhaseOpening Phase = iota
	// PhaseRestoring: it reads what earlier holders logged.
	PhaseRestoring
	// PhaseLoading: it reads the intake up to its present end.
	PhaseLoading
	// PhaseWaiting: it waits for something to plan.
	PhaseWaiting
	// PhasePlanning: it makes a plan.
	PhasePlanning
	// PhaseAppending: it logs a plan.
	PhaseAppending
	// PhaseCommitting: it carries out a plan that is logged.
	PhaseCommitting
	// PhaseEnded: it has ended.
	PhaseEnded
)

var phaseNames = [...]string{"opening-log", "restoring", "loading-intake", "waiting", "planning", "appending", "committing", "ended"}

// String returns the phase as it is logged.
func (p Phase) String() string { return phaseNames[p] }

// takeover reports whether the pool is not taken over yet.
func (p Phase) takeover() bool { return p < PhaseWaiting }

// HolderState is what a Runner knows of its own work, for reports on jobs without a
// run.
type HolderState struct {
	Phase Phase
	// PhaseSince is when the phase began.
	PhaseSince time.Duration
	// PlannedAt is when the last plan was carried out, or when the runner was created.
	PlannedAt time.Duration
	// AppendStarted is when the append in flight began, and AppendAnswered when the last
	// one was answered. Either is 0 if there is none.
	AppendStarted, AppendAnswered time.Duration
	// DutyRemaining is how long this daemon may still act for the pool.
	DutyRemaining time.Duration
	// Err is the error on which the runner has ended.
	Err error
}

// progress records a Runner's HolderState. It has a mutex of its own: what blocks the
// runner must not block the reports on it.
type progress struct {
	mu    sync.Mutex
	state HolderState
}

// newProgress returns the progress of a runner that is created now.
func newProgress(now time.Duration) *progress {
	return &progress{state: HolderState{PhaseSince: now, PlannedAt: now}}
}

// enter records that a phase begins.
func (p *progress) enter(phase Phase, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.state
	switch s.Phase {
	case PhaseAppending:
		s.AppendStarted, s.AppendAnswered = 0, now
	case PhaseCommitting:
		s.PlannedAt = now
	}
	if phase == PhaseAppending {
		s.AppendStarted = now
	}
	s.Phase, s.PhaseSince = phase, now
}

// end records that the runner has ended, on an error unless err is nil.
func (p *progress) end(err error, now time.Duration) {
	p.enter(PhaseEnded, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Err = err
}

// get returns the state.
func (p *progress) get() HolderState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}
