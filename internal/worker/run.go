package worker

import (
	"time"

	"greengagedeck/internal/job"
)

// RunState is the progress of the start of a run.
type RunState uint8

// The states of a run at a worker.
const (
	// RunPlanned means that the run is not in the log yet and no order was
	// sent.
	RunPlanned RunState = iota
	// RunOrdered means that an order to start the run may have been sent and
	// none was answered, so that the run may be at the worker.
	RunOrdered
	// RunConfirmed means that the worker was known to have the run.
	RunConfirmed
)

// Run is a run that a worker has or may have.
type Run struct {
	ID        job.RunID
	Resources job.Resources
	// Customer is the customer for which the run counts, or empty. It is kept with the run
	// since the holder may forget the job before the run's end is known.
	Customer job.CustomerID
	// Key groups the runs of one step, for limits on how many of them a worker takes.
	Key   StepKey
	State RunState
	// StartUnanswered is set if an order to start the run was not answered and
	// may still be carried out.
	StartUnanswered bool
	// UnansweredSince is since when no order to start the run has been answered, or 0.
	UnansweredSince time.Duration
	// StateSince is when the run entered its state.
	StateSince time.Duration
	// ExpectedDuration is how long the run is expected to be active, and Estimate what its
	// job says of that, or 0.
	ExpectedDuration time.Duration
	Estimate         time.Duration
	// StartSentAt is when the last order to start the run was sent.
	StartSentAt time.Duration
	// Adopted is set for a run that an earlier holder of the pool planned.
	Adopted bool
	// PlannedFor is when the process of the worker was started for which an adopted run was
	// planned, or 0 if the run may have been started.
	PlannedFor int64
	// RepeatsStart is set while this holder is to send the start of an adopted run, which no
	// process of the worker has carried out.
	RepeatsStart bool
	// Suspect is set for a run of a task under which a worker has crashed before.
	Suspect bool
	// Verified is set for a run that is started only on a worker that has just
	// answered, since workers may have crashed under its task before.
	Verified bool
	// SentWhileUp is set if the worker had answered shortly before a start of the
	// run was sent.
	SentWhileUp bool
	// CrashReason is how the run ended if its worker crashed soon after the start
	// of the run, else empty.
	CrashReason job.EndReason
	// Stopping is set once the run is to be stopped.
	Stopping bool
	// StopReason is the reason for the stop, for display.
	StopReason string
	// StopInFlight is set while a stop order is in flight. StopAnsweredAt is
	// when a stop order was answered.
	StopInFlight   bool
	StopAnsweredAt time.Duration
	// Checkpoint, ProgressPercent and Measurement are as last reported, see
	// RunStatus. A long-running task is active if its ProgressPercent is
	// FullSpeed.
	Checkpoint string
	// CheckpointDropped is set once a checkpoint was too long to be stored.
	CheckpointDropped bool
	ProgressPercent   int
	Measurement       int
	// LastReported is when the last poll that found the run at the worker was
	// sent.
	LastReported time.Duration
	// TailLatencyTarget is set for serving tasks, and BestEffort for tasks that
	// use what the others leave unused, BestEffortCPU of it if they can, in
	// thousandths of a core.
	TailLatencyTarget time.Duration
	BestEffort        bool
	BestEffortCPU     int
	// Speed is the percentage of full speed at which a best-effort task should
	// run. SpeedAtWorker is the one last set at the worker, or SpeedUnknown.
	// SpeedInFlight is set while an order to change it is in flight.
	Speed         int
	SpeedAtWorker int
	SpeedInFlight bool
}

const (
	// FullSpeed is the speed of a run that is not throttled, in percent.
	FullSpeed = 100
	// SpeedUnknown means that an earlier order may have changed the speed.
	SpeedUnknown = -1
)

// NewRun returns a run of a step's task.
func NewRun(id job.RunID, s job.Step, st RunState, now, expectedDuration time.Duration) *Run {
	r := &Run{
		ID:                id,
		Resources:         s.ReservedResources(),
		Key:               StepKeyOf(id.Task),
		State:             st,
		StateSince:        now,
		ExpectedDuration:  expectedDuration,
		Estimate:          s.Estimate,
		TailLatencyTarget: s.TailLatencyTarget,
		BestEffort:        s.BestEffort,
		Speed:             FullSpeed,
		// Tasks start at full speed.
		SpeedAtWorker: FullSpeed,
	}
	if s.BestEffort {
		r.BestEffortCPU = s.Need.CPU
	}
	return r
}

// RecordUnansweredStart records that an order to start the run was not answered.
func (r *Run) RecordUnansweredStart(now time.Duration) {
	r.StartUnanswered = true
	if r.UnansweredSince == 0 {
		r.UnansweredSince = now
	}
}

// expectedEnd returns when the run is expected to end.
func (r *Run) expectedEnd() time.Duration { return r.StateSince + r.ExpectedDuration }

// StepKey identifies a step of one occurrence of a job.
type StepKey struct {
	Job        job.ID
	Occurrence int
	Step       int
}

// StepKeyOf returns the key of a task's step.
func StepKeyOf(t job.TaskID) StepKey {
	return StepKey{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}
}
