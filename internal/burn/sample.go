// Package burn tells how much of each service's and entry's availability
// budget has been used, by what, and over which windows.
//
// Each daemon counts the requests that it answers by minute and appends one
// summary a minute to the burn stream of the platform's log. Readers merge the
// summaries of all daemons. Before the log drops old summaries, they are rolled
// up by the hour and appended again, so that a fleet in which every daemon has
// been replaced still knows the month.
package burn

import (
	"errors"
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

// Cause is why a request counts against the budget.
type Cause uint8

// The causes, in the order of Counts.Bad. The order is part of the format of
// the burn stream: append only.
const (
	// CauseRefused requests were refused, as not run, for lack of room.
	CauseRefused Cause = iota
	// CauseFailed requests got an error, no whole answer or none in time.
	CauseFailed
	// CauseLate requests were answered after the objective's latency.
	CauseLate
	// CauseMaintenance requests failed or were refused while maintenance
	// had hosts of their pool out.
	CauseMaintenance
	// CauseLostHost requests failed because a host or daemon was lost.
	CauseLostHost
	// CauseUnproven requests were refused because it could not be proved
	// that they had not run before.
	CauseUnproven

	numCauses = 6
)

// Causes lists every cause.
var Causes = []Cause{CauseRefused, CauseFailed, CauseLate, CauseMaintenance, CauseLostHost, CauseUnproven}

var causeNames = [numCauses]string{"refused", "failed", "late", "maintenance", "lost-host", "unproven"}

// String returns the cause's name in reports.
func (c Cause) String() string { return causeNames[c] }

// MarshalText implements encoding.TextMarshaler.
func (c Cause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// statusServerError is the first HTTP status by which a target says that the
// failure is its own.
const statusServerError = 500

// Sample is one finished request.
type Sample struct {
	Entry string
	Pool  string
	Class request.Class
	// Err is how the request ended; nil is a whole answer. A whole answer
	// by which a target reports its own failure is an error here.
	Err error
	// Took is from the request's arrival to its answer, Queued the part of
	// it that the request waited for a slot.
	Took   time.Duration
	Queued time.Duration
	// Objective is the entry's, as in force when the request arrived.
	Objective catalogue.Objective
}

// errTargetFailed stands for a whole answer with a status of 500 or more.
var errTargetFailed = errors.New("target reported its own failure")

// NewSample returns the sample of a finished request. resp is nil when err is
// not.
func NewSample(r *request.Request, resp *request.Response, err error, took time.Duration, o catalogue.Objective) Sample {
	s := Sample{Entry: r.Entry, Pool: r.Pool, Class: r.Class, Err: err, Took: took, Objective: o}
	if resp == nil {
		return s
	}
	s.Queued = resp.Queued
	if err == nil && resp.Status >= statusServerError {
		s.Err = errTargetFailed
	}
	return s
}

// outcome is how a sample counts.
type outcome uint8

const (
	outcomeGood outcome = iota
	outcomeBad
	// outcomeExcluded samples are the caller's own doing and neither good
	// nor bad.
	outcomeExcluded
)

// classify says how s counts and, when it is bad, why. maintenance is set
// while maintenance has hosts of the pool out.
func classify(s Sample, maintenance bool) (outcome, Cause) {
	if s.Err == nil {
		if s.Objective.Latency > 0 && s.Took > s.Objective.Latency {
			return outcomeBad, CauseLate
		}
		return outcomeGood, 0
	}
	var verr *verdict.Error
	if !errors.As(s.Err, &verr) {
		return outcomeBad, CauseFailed
	}
	cause, ok := causeOf[verr.Reason]
	switch {
	case excluded[verr.Reason]:
		return outcomeExcluded, 0
	case !ok:
		return outcomeBad, CauseFailed
	case maintenance && (cause == CauseRefused || cause == CauseLostHost):
		return outcomeBad, CauseMaintenance
	default:
		return outcomeBad, cause
	}
}

// excluded are the reasons that lie with the caller: what it asked for is not
// allowed, or it withdrew the request.
var excluded = map[verdict.Reason]bool{
	verdict.ReasonBadRequest:    true,
	verdict.ReasonUnknownEntry:  true,
	verdict.ReasonNeverRunnable: true,
	verdict.ReasonQuota:         true,
	verdict.ReasonCancelled:     true,
	verdict.ReasonDuplicate:     true,
}

// causeOf gives the cause of each reason; other reasons count as failed.
var causeOf = map[verdict.Reason]Cause{
	verdict.ReasonQueueFull:      CauseRefused,
	verdict.ReasonDeadline:       CauseRefused,
	verdict.ReasonNotReady:       CauseRefused,
	verdict.ReasonStopping:       CauseRefused,
	verdict.ReasonNoTarget:       CauseLostHost,
	verdict.ReasonConnect:        CauseLostHost,
	verdict.ReasonConnectionLost: CauseLostHost,
	verdict.ReasonPeerLost:       CauseLostHost,
	verdict.ReasonUnproven:       CauseUnproven,
}
