// Package burn reports how much of the error budget of each service and entry
// has been used, for which causes and over which time windows.
//
// Each daemon counts the requests that it answers by minute and appends one
// summary a minute to the burn stream of the platform's log. Readers merge the
// summaries of all daemons. Before the log drops old summaries, they are rolled
// up by the hour and appended again, so that the counts of the month survive
// even when every daemon of the fleet has been replaced.
package burn

import (
	"errors"
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

// Cause is the reason why a request counts against the budget.
type Cause uint8

// Causes in the order of Counts.Bad. The order is part of the record format of
// the burn stream, so new causes may only be added at the end.
const (
	// CauseRejected requests were rejected without having run, because no
	// capacity was available.
	CauseRejected Cause = iota
	// CauseFailed requests got an error, an incomplete response or no response
	// in time.
	CauseFailed
	// CauseLate requests were answered later than the objective's latency.
	CauseLate
	// CauseMaintenance requests failed or were rejected while hosts of their
	// pool were out for maintenance.
	CauseMaintenance
	// CauseLostHost requests failed because a host or daemon was lost.
	CauseLostHost
	// CauseUnproven requests were rejected because it could not be proved that
	// they had not run before.
	CauseUnproven

	numCauses = 6
)

// Causes lists every cause.
var Causes = []Cause{CauseRejected, CauseFailed, CauseLate, CauseMaintenance, CauseLostHost, CauseUnproven}

var causeNames = [numCauses]string{"refused", "failed", "late", "maintenance", "lost-host", "unproven"}

// String returns the cause's name in reports.
func (c Cause) String() string { return causeNames[c] }

// MarshalText implements encoding.TextMarshaler.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// statusServerError is the lowest HTTP status with which a target reports a
// failure of its own.
const statusServerError = 500

// Sample is one finished request.
type Sample struct {
	Entry string
	Pool  string
	Class request.Class
	// Err is nil for a complete response. A complete response with which the
	// target reports its own failure counts as an error here.
	Err error
	// Duration is the time from the request's arrival to its response, and
	// Queued the part of it that the request waited for a slot.
	Duration time.Duration
	Queued   time.Duration
	// Objective is the entry's objective at the time the request arrived.
	Objective catalogue.Objective
}

// errTargetFailed represents a complete response with a status of 500 or more.
var errTargetFailed = errors.New("target reported its own failure")

// NewSample returns the sample of a finished request. resp is nil if err is not
// nil.
func NewSample(r *request.Request, resp *request.Response, err error, took time.Duration, o catalogue.Objective) Sample {
	s := Sample{Entry: r.Entry, Pool: r.Pool, Class: r.Class, Err: err, Duration: took, Objective: o}
	if resp == nil {
		return s
	}
	s.Queued = resp.Queued
	if err == nil && resp.Status >= statusServerError {
		s.Err = errTargetFailed
	}
	return s
}

// outcome is how a sample counts towards the budget.
type outcome uint8

const (
	outcomeGood outcome = iota
	outcomeBad
	// outcomeExcluded samples are due to the caller and count as neither good
	// nor bad.
	outcomeExcluded
)

// classify returns how s counts and, if it is bad, the cause. maintenance is set
// while hosts of the pool are out for maintenance.
func classify(s Sample, maintenance bool) (outcome, Cause) {
	if s.Err == nil {
		if s.Objective.Latency > 0 && s.Duration > s.Objective.Latency {
			return outcomeBad, CauseLate
		}
		return outcomeGood, 0
	}
	var verr *verdict.Error
	if !errors.As(s.Err, &verr) {
		return outcomeBad, CauseFailed
	}
	cause, ok := causeByReason[verr.Reason]
	switch {
	case excludedReasons[verr.Reason]:
		return outcomeExcluded, 0
	case !ok:
		return outcomeBad, CauseFailed
	case maintenance && (cause == CauseRejected || cause == CauseLostHost):
		return outcomeBad, CauseMaintenance
	default:
		return outcomeBad, cause
	}
}

// excludedReasons are the reasons that are due to the caller: its request is not
// allowed, or it cancelled the request.
var excludedReasons = map[verdict.Reason]bool{
	verdict.ReasonBadRequest:    true,
	verdict.ReasonUnknownEntry:  true,
	verdict.ReasonNeverRunnable: true,
	verdict.ReasonQuota:         true,
	verdict.ReasonCancelled:     true,
	verdict.ReasonDuplicate:     true,
}

// causeByReason maps reasons to causes. Reasons without an entry count as
// CauseFailed.
var causeByReason = map[verdict.Reason]Cause{
	verdict.ReasonQueueFull:      CauseRejected,
	verdict.ReasonDeadline:       CauseRejected,
	verdict.ReasonNotReady:       CauseRejected,
	verdict.ReasonStopping:       CauseRejected,
	verdict.ReasonNoTarget:       CauseLostHost,
	verdict.ReasonConnect:        CauseLostHost,
	verdict.ReasonConnectionLost: CauseLostHost,
	verdict.ReasonPeerLost:       CauseLostHost,
	verdict.ReasonUnproven:       CauseUnproven,
}
