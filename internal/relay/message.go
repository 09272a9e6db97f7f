package relay

import (
	"errors"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

const (
	// MethodOrders hands orders to a relay. It is not answered.
	MethodOrders peer.Method = "relay.orders"
	// MethodCollect asks a relay for the answers to orders. The response comes as soon
	// as there is one, and after the requested wait in any case.
	MethodCollect peer.Method = "relay.collect"
)

// orderKind is what an order asks of a worker.
type orderKind uint8

const (
	kindStart orderKind = iota + 1
	kindStop
	kindPoll
	kindSpeed
)

// ordersMessage is the body of MethodOrders.
type ordersMessage struct {
	Session uint64 `cbor:"1,keyasint"`
	// SentAt is when the message was sent, by the sender's clock.
	SentAt time.Duration `cbor:"4,keyasint"`
	// Payloads are the payloads of jobs. The starts of a job's tasks share one.
	Payloads []string `cbor:"2,keyasint,omitempty"`
	Orders   []order  `cbor:"3,keyasint"`
}

// order is one order for a worker.
type order struct {
	_ struct{} `cbor:",toarray"`
	// Number identifies the order within its session.
	Number uint64
	Kind   orderKind
	Worker string
	// Address is the worker's IP:port.
	Address string
	Token   int64
	Run     runID
	// LeaseUntil is in milliseconds of the worker's clock.
	LeaseUntil int64
	// Payload is the index of a start's payload.
	Payload      int
	Checkpoint   string
	Ticket       string
	Acknowledged int64
	Wait         time.Duration
	Percent      int
}

// runID is a job.RunID.
type runID struct {
	_          struct{} `cbor:",toarray"`
	Job        job.ID
	Occurrence int
	Step       int
	Index      int
	Number     int
}

func encodeRun(r job.RunID) runID {
	return runID{Job: r.Task.Job, Occurrence: r.Task.Occurrence, Step: r.Task.Step, Index: r.Task.Index, Number: r.Number}
}

func (r runID) decode() job.RunID {
	return job.RunID{Task: job.TaskID{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index}, Number: r.Number}
}

// target returns the worker that the order is for.
func (o *order) target() worker.Target { return worker.Target{ID: o.Worker, Address: o.Address} }

// collectRequest is the body of MethodCollect.
type collectRequest struct {
	Session uint64        `cbor:"1,keyasint"`
	Wait    time.Duration `cbor:"2,keyasint"`
}

// collectResponse is the response to a collectRequest.
type collectResponse struct {
	Answers []answer `cbor:"1,keyasint,omitempty"`
}

// outcome is how an order was answered.
type outcome uint8

const (
	outcomeOK outcome = iota + 1
	// outcomeRejected means that the worker rejected the order.
	outcomeRejected
	// outcomeReplaced means that another worker answers at the address.
	outcomeReplaced
	// outcomeNotRun and outcomeUnknown are those of a verdict.Error.
	outcomeNotRun
	outcomeUnknown
	// outcomeDeclined means that the relay has not sent the order to the worker.
	outcomeDeclined
)

// answer is the answer to one order.
type answer struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Outcome outcome
	// Reason is that of the rejection or of the verdict.
	Reason string
	Detail string
	Clock  int64
	// The following are those of a worker.Report.
	StartedAt int64
	Partial   bool
	Running   []runningRun
	Ended     []endedRun
}

// runningRun is a worker.RunStatus.
type runningRun struct {
	_           struct{} `cbor:",toarray"`
	Run         runID
	Checkpoint  string
	Progress    int
	Measurement int
}

// endedRun is a worker.RunEnd.
type endedRun struct {
	_          struct{} `cbor:",toarray"`
	Number     int64
	Run        runID
	Reason     job.EndReason
	Checkpoint string
}

// setReport sets the fields of an answer to a poll.
func (a *answer) setReport(r worker.Report) {
	a.Clock, a.StartedAt, a.Partial = r.Clock, r.StartedAt, r.Partial
	for _, s := range r.Running {
		a.Running = append(a.Running, runningRun{Run: encodeRun(s.Run), Checkpoint: s.Checkpoint, Progress: s.ProgressPercent, Measurement: s.Measurement})
	}
	for _, e := range r.Ended {
		a.Ended = append(a.Ended, endedRun{Number: e.Number, Run: encodeRun(e.Run), Reason: e.Reason, Checkpoint: e.Checkpoint})
	}
}

// report is the inverse of setReport.
func (a *answer) report() worker.Report {
	r := worker.Report{StartedAt: a.StartedAt, Clock: a.Clock, Partial: a.Partial}
	for _, s := range a.Running {
		r.Running = append(r.Running, worker.RunStatus{Run: s.Run.decode(), Checkpoint: s.Checkpoint, ProgressPercent: s.Progress, Measurement: s.Measurement})
	}
	for _, e := range a.Ended {
		r.Ended = append(r.Ended, worker.RunEnd{Number: e.Number, Run: e.Run.decode(), Reason: e.Reason, Checkpoint: e.Checkpoint})
	}
	return r
}

// setError sets how the order was answered.
func (a *answer) setError(err error) {
	var rejection *worker.RejectedError
	var failure *verdict.Error
	switch {
	case err == nil:
		a.Outcome = outcomeOK
	case errors.Is(err, worker.ErrWorkerReplaced):
		a.Outcome = outcomeReplaced
	case errors.As(err, &rejection):
		a.Outcome, a.Reason, a.Clock = outcomeRejected, string(rejection.Reason), rejection.Clock
	case errors.As(err, &failure) && failure.Verdict == verdict.NotRun:
		a.Outcome, a.Reason, a.Detail = outcomeNotRun, string(failure.Reason), failure.Detail
	case errors.As(err, &failure):
		a.Outcome, a.Reason, a.Detail = outcomeUnknown, string(failure.Reason), failure.Detail
	default:
		a.Outcome, a.Reason, a.Detail = outcomeUnknown, string(verdict.ReasonUnproven), err.Error()
	}
}

// err is the inverse of setError. An outcome that this version does not know proves
// nothing.
func (a *answer) err() error {
	switch a.Outcome {
	case outcomeOK:
		return nil
	case outcomeReplaced:
		return worker.ErrWorkerReplaced
	case outcomeRejected:
		return &worker.RejectedError{Reason: worker.Reason(a.Reason), Clock: a.Clock}
	case outcomeNotRun, outcomeDeclined:
		return verdict.NewNotRun(verdict.Reason(a.Reason), "%s", a.Detail)
	default:
		return verdict.NewMayHaveRun(verdict.Reason(a.Reason), "%s", a.Detail)
	}
}
