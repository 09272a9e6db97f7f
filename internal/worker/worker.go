// Package worker declares the interface through which the scheduler controls
// workers, and keeps what is known about a worker: its clock, its lease, the
// runs it may have and how they ended.
package worker

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/job"
)

// Listing is a worker's entry in the platform's list, which lags behind the
// worker.
type Listing struct {
	Incarnation job.Incarnation
	Address     string
	Pool        string
	Zone        string
	// Host is the name of the host that the worker runs on.
	Host string
	// Rack is the label that identifies the worker's rack.
	Rack string
	// Labels are all labels of the worker, including the rack's.
	Labels   []string
	Capacity job.Resources
	// Draining is set if the worker takes no new tasks.
	Draining bool
	// DrainRemaining is the least time that a draining worker has left.
	DrainRemaining time.Duration
	// Clock is the reading of the worker's own clock when it wrote the entry,
	// in milliseconds.
	Clock int64
	// HealthPath is the path at which the worker reports whether it considers
	// itself healthy.
	HealthPath string
}

// Target identifies the worker that an order is sent to. A worker with another
// ID at the address rejects the order.
type Target struct {
	ID      string
	Address string
	// Zone is the worker's availability zone, or empty if it is not known.
	Zone string
}

// StartOrder is an order to start a run.
type StartOrder struct {
	Run job.RunID
	// Payload is the job's payload, passed on unchanged.
	Payload string
	// LeaseUntil is when the lease ends, in milliseconds of the worker's clock.
	// The lease covers all runs at the worker and is never shortened.
	LeaseUntil int64
	// Token is the fencing token of the pool's holder.
	Token int64
	// Checkpoint is the progress to start from, or empty.
	Checkpoint string
	// Ticket is the worker's approval for the step, if the step needs one.
	Ticket string
}

// PollRequest asks a worker which runs are active and which have ended.
type PollRequest struct {
	Token int64
	// Acknowledged is the number of the last end that the worker need not
	// report again.
	Acknowledged int64
	// LeaseUntil extends the lease as in StartOrder; 0 leaves it unchanged.
	LeaseUntil int64
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// RunStatus describes an active run.
type RunStatus struct {
	Run job.RunID
	// Checkpoint is the newest saved progress.
	Checkpoint string
	// ProgressPercent is the progress of the run. For a long-running task it is
	// FullSpeed while the task is active.
	ProgressPercent int
	// Measurement is the tail latency in milliseconds for a serving task, and
	// for any other the processor time in use, in thousandths of a core. It
	// covers the last half second.
	Measurement int
}

// RunEnd describes how a run ended. Numbers count from 1 in each incarnation.
type RunEnd struct {
	Number     int64
	Run        job.RunID
	Reason     job.EndReason
	Checkpoint string
}

// Report is the answer to a poll.
type Report struct {
	// StartedAt identifies the incarnation that answered. It is 0 if the worker
	// did not report it.
	StartedAt int64
	Clock     int64
	Running   []RunStatus
	Ended     []RunEnd
	// Partial is set if the worker may have more ends to list than one answer holds, or if a
	// row with an active run could not be read. A run that such a report does not list may be
	// active or have ended in any way.
	Partial bool
	// Unacknowledged is set if the poll that was answered acknowledged nothing, whatever was
	// requested.
	Unacknowledged bool
	// DecodeTime is how long this daemon took to decode the answer.
	DecodeTime time.Duration
}

// Control sends orders to workers. An error is a *RejectedError,
// ErrWorkerReplaced or a *verdict.Error. Only a *verdict.Error may leave open
// whether the order was or will be carried out.
type Control interface {
	// Start starts a run and returns the reading of the worker's clock in
	// milliseconds. It also succeeds if the worker already has that run.
	Start(ctx context.Context, to Target, o StartOrder) (clock int64, err error)
	// Stop ends a run, and prevents it from starting later.
	Stop(ctx context.Context, to Target, r job.RunID, token int64) (clock int64, err error)
	// Poll returns a worker's active and ended runs.
	Poll(ctx context.Context, to Target, r PollRequest) (Report, error)
	// SetSpeed sets the speed of a run, in percent of full speed.
	SetSpeed(ctx context.Context, to Target, r job.RunID, percent int, token int64) error
}

// ErrWorkerReplaced means that another worker answers at the address.
var ErrWorkerReplaced = eris.New("another worker answers at this address")

// Reason is why a worker rejected an order. A rejected order had no effect.
type Reason string

// Reasons for which a worker rejects an order.
const (
	// ReasonFenced means that the order carried a lower token than the worker
	// has seen.
	ReasonFenced Reason = "fenced"
	// ReasonOutdatedRun means that the run is not newer than one that was
	// stopped or ended at the worker.
	ReasonOutdatedRun Reason = "old"
	// ReasonLeaseExpired means that the order arrived after the end of its own
	// lease.
	ReasonLeaseExpired Reason = "late"
	// ReasonNoResources means that the worker's free resources do not suffice.
	ReasonNoResources Reason = "room"
	// ReasonInvalidTicket means that the order lacks a valid approval.
	ReasonInvalidTicket Reason = "ticket"
	// ReasonUnhealthy means that the worker takes no orders.
	ReasonUnhealthy Reason = "unhealthy"
	// ReasonInvalid means that the worker could not parse the order.
	ReasonInvalid Reason = "invalid"
)

// RejectedError reports that a worker rejected an order.
type RejectedError struct {
	Reason Reason
	// Clock is the reading of the worker's clock in milliseconds, or 0 if the
	// worker did not report it.
	Clock int64
}

// Error implements error.
func (e *RejectedError) Error() string { return fmt.Sprintf("worker rejected the order: %s", e.Reason) }
