// Package worker declares how the scheduler speaks to workers, and keeps what
// is known of one: its clock, its lease, the runs it may have and their ends.
package worker

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/job"
)

// Listing is what the platform's list says of a worker. It lags.
type Listing struct {
	Incarnation job.Incarnation
	Address     string
	Pool        string
	Zone        string
	// Machine is the host that the worker is a life of.
	Machine string
	// Rack is the label that names the worker's rack.
	Rack string
	// Labels are all its labels, the rack's among them.
	Labels   []string
	Capacity job.Resources
	// Draining is set once the worker takes no new tasks.
	Draining bool
	// DrainRemaining is the least time that a draining worker still has.
	DrainRemaining time.Duration
	// Clock is the worker's own clock when it wrote the entry, in
	// milliseconds.
	Clock int64
	// HealthPath is where the worker tells whether it considers itself
	// healthy.
	HealthPath string
}

// Target is where an order goes. A worker of another ID at the address turns
// the order down.
type Target struct {
	ID      string
	Address string
}

// StartOrder starts one run.
type StartOrder struct {
	Run job.RunID
	// Payload is the job's text, passed on unchanged.
	Payload string
	// LeaseUntil is when the lease ends, in milliseconds of the worker's clock. It
	// covers everything that runs there and never shortens.
	LeaseUntil int64
	// Token is the fencing token of the pool's holder.
	Token int64
	// Checkpoint is the progress to start from, or empty.
	Checkpoint string
	// Ticket is the approval of the worker for the step, where one is needed.
	Ticket string
}

// PollRequest asks what runs and what has ended.
type PollRequest struct {
	Token int64
	// Acknowledged is the number of the last end that needs no repetition.
	Acknowledged int64
	// LeaseUntil extends the lease as in Order; 0 leaves it as it is.
	LeaseUntil int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// RunStatus is a run at work.
type RunStatus struct {
	Run job.RunID
	// Checkpoint is the newest saved progress.
	Checkpoint string
	// ProgressPercent is how far the run has come; FullPace for a long-running task
	// that is at work.
	ProgressPercent int
	// Measurement is, for a task that serves, the tail of its response times in
	// milliseconds, and for any other the processor time in use, in
	// thousandths of a core. It covers the last half second.
	Measurement int
}

// RunEnd is a run that has ended. Numbers count from 1 in each incarnation.
type RunEnd struct {
	Number     int64
	Run        job.RunID
	Reason        job.How
	Checkpoint string
}

// Report is the answer to a look.
type Report struct {
	// StartedAt tells which incarnation answered, or 0 if it did not say.
	StartedAt    int64
	Clock   int64
	Running []RunStatus
	Ended   []RunEnd
}

// Control gives orders to workers. An error is a *Refusal, ErrGone or a
// *verdict.Error; only the last may leave open whether the order was or will
// be carried out.
type Control interface {
	// Start starts a run. It succeeds also when that run is already there.
	// It returns the worker's clock in milliseconds.
	Start(ctx context.Context, to Target, o StartOrder) (clock int64, err error)
	// Stop ends a run, and keeps it from starting later.
	Stop(ctx context.Context, to Target, r job.RunID, token int64) (clock int64, err error)
	// Poll reports on a worker.
	Poll(ctx context.Context, to Target, r PollRequest) (Report, error)
	// SetSpeed sets the share of full speed, in percent, at which a run works.
	SetSpeed(ctx context.Context, to Target, r job.RunID, percent int, token int64) error
}

// ErrWorkerReplaced means that another worker answers at the address.
var ErrWorkerReplaced = eris.New("another worker answers at this address")

// Reason says why a worker refused an order. A refused order had no effect.
type Reason string

// The reasons of a refusal.
const (
	// ReasonFenced orders carried a token lower than one the worker has seen.
	ReasonFenced Reason = "fenced"
	// ReasonOld runs are not newer than one that was stopped or ended there.
	ReasonOld Reason = "old"
	// ReasonLate orders arrived after the end of their own lease.
	ReasonLate Reason = "late"
	// ReasonRoom workers have no room.
	ReasonRoom Reason = "room"
	// ReasonInvalidTicket orders lack a valid approval.
	ReasonInvalidTicket Reason = "ticket"
	// ReasonUnhealthy workers take no orders.
	ReasonUnhealthy Reason = "unhealthy"
	// ReasonInvalid orders could not be understood.
	ReasonInvalid Reason = "invalid"
)

// RejectedError is an order that a worker turned down.
type RejectedError struct {
	Reason Reason
	// Clock is the worker's clock in milliseconds, or 0 if it was not told.
	Clock int64
}

// Error implements error.
func (r *RejectedError) Error() string { return fmt.Sprintf("worker refused: %s", r.Reason) }
