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
	// Remaining is the least time that a draining worker still has.
	Remaining time.Duration
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

// Order starts one run.
type Order struct {
	Run job.RunID
	// Text is the job's text, passed on unchanged.
	Text string
	// Until is when the lease ends, in milliseconds of the worker's clock. It
	// covers everything that runs there and never shortens.
	Until int64
	// Token is the fencing token of the pool's holder.
	Token int64
	// Checkpoint is the progress to start from, or empty.
	Checkpoint string
	// Ticket is the approval of the worker for the step, where one is needed.
	Ticket string
}

// LookRequest asks what runs and what has ended.
type LookRequest struct {
	Token int64
	// Acknowledged is the number of the last end that needs no repetition.
	Acknowledged int64
	// Until extends the lease as in Order; 0 leaves it as it is.
	Until int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Running is a run at work.
type Running struct {
	Run job.RunID
	// Checkpoint is the newest saved progress.
	Checkpoint string
	// Percent is how far the run has come; FullPace for a long-running task
	// that is at work.
	Percent int
	// Figure is, for a task that serves, the tail of its response times in
	// milliseconds, and for any other the processor time in use, in
	// thousandths of a core. It covers the last half second.
	Figure int
}

// Ended is a run that has ended. Numbers count from 1 in each incarnation.
type Ended struct {
	Number     int64
	Run        job.RunID
	How        job.EndReason
	Checkpoint string
}

// Report is the answer to a look.
type Report struct {
	// Born tells which incarnation answered, or 0 if it did not say.
	Born    int64
	Clock   int64
	Running []Running
	Ended   []Ended
}

// Control gives orders to workers. An error is a *Refusal, ErrGone or a
// *verdict.Error; only the last may leave open whether the order was or will
// be carried out.
type Control interface {
	// Start starts a run. It succeeds also when that run is already there.
	// It returns the worker's clock in milliseconds.
	Start(ctx context.Context, to Target, o Order) (clock int64, err error)
	// Stop ends a run, and keeps it from starting later.
	Stop(ctx context.Context, to Target, r job.RunID, token int64) (clock int64, err error)
	// Look reports on a worker.
	Look(ctx context.Context, to Target, r LookRequest) (Report, error)
	// Pace sets the share of full speed, in percent, at which a run works.
	Pace(ctx context.Context, to Target, r job.RunID, percent int, token int64) error
}

// ErrGone means that another worker answers at the address.
var ErrGone = eris.New("another worker answers at this address")

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
	// ReasonTicket orders lack a valid approval.
	ReasonTicket Reason = "ticket"
	// ReasonUnhealthy workers take no orders.
	ReasonUnhealthy Reason = "unhealthy"
	// ReasonInvalid orders could not be understood.
	ReasonInvalid Reason = "invalid"
)

// Refusal is an order that a worker turned down.
type Refusal struct {
	Reason Reason
	// Clock is the worker's clock in milliseconds, or 0 if it was not told.
	Clock int64
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("worker refused: %s", r.Reason) }
