package scheduler

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// poolGauges describe a pool that this daemon holds. They are 0 while it does not.
type poolGauges struct {
	// noRun are the jobs and lasting tasks that have had no active run for a while, by
	// reason, and longestNoRun is the longest time for which one has had none.
	noRun        map[NoRunReason]tally.Gauge
	longestNoRun tally.Gauge

	accepting, unreachable, unreconciled        tally.Gauge
	ejected, isolated                           tally.Gauge
	cordoned, draining, unlisted, awaitingLease tally.Gauge

	listAge, planAge, appendAge tally.Gauge
	// queued and unstored are the jobs of which no task has started, and those that the log
	// may not hold.
	queued, unstored tally.Gauge
}

// newPoolGauges returns the gauges of the pool whose tag the scope has.
func newPoolGauges(scope tally.Scope) poolGauges {
	workers := func(state string) tally.Gauge {
		return scope.Tagged(map[string]string{"state": state}).Gauge("workers")
	}
	g := poolGauges{
		noRun:         map[NoRunReason]tally.Gauge{},
		longestNoRun:  scope.Gauge("longest_without_run_seconds"),
		accepting:     workers("accepting"),
		unreachable:   workers("unreachable"),
		unreconciled:  workers("unreconciled"),
		ejected:       workers("ejected"),
		isolated:      workers("isolated"),
		cordoned:      workers("cordoned"),
		draining:      workers("draining"),
		unlisted:      workers("unlisted"),
		awaitingLease: scope.Gauge("workers_awaiting_lease"),
		listAge:       scope.Gauge("worker_list_age_seconds"),
		planAge:       scope.Gauge("plan_age_seconds"),
		appendAge:     scope.Gauge("append_in_flight_seconds"),
		queued:        scope.Gauge("jobs_queued"),
		unstored:      scope.Gauge("jobs_unstored"),
	}
	for _, reason := range noRunReasons {
		g.noRun[reason] = scope.Tagged(map[string]string{"reason": string(reason)}).Gauge("jobs_without_run")
	}
	return g
}

// poolChecked sets the gauges of the pool after a check for jobs without a run.
func (m metrics) poolChecked(rep NoRunReport, h HolderState, now time.Duration) {
	g := m.pool
	for reason, gauge := range g.noRun {
		gauge.Update(float64(rep.Reasons[reason]))
	}
	g.longestNoRun.Update(rep.Longest.Seconds())
	g.accepting.Update(float64(rep.Workers.Accepting))
	g.unreachable.Update(float64(rep.Workers.Unreachable))
	g.unreconciled.Update(float64(rep.Workers.Unreconciled))
	g.ejected.Update(float64(rep.Workers.Ejected))
	g.isolated.Update(float64(rep.Workers.Isolated))
	g.cordoned.Update(float64(rep.Workers.Cordoned))
	g.draining.Update(float64(rep.Workers.Draining))
	g.unlisted.Update(float64(rep.Workers.Unlisted))
	g.awaitingLease.Update(float64(rep.Workers.AwaitingLease))
	g.queued.Update(float64(rep.Queued))
	g.unstored.Update(float64(rep.Unstored))
	g.listAge.Update(rep.ListAge.Seconds())
	g.planAge.Update((now - h.PlannedAt).Seconds())
	inFlight := time.Duration(0)
	if h.AppendStarted > 0 {
		inFlight = now - h.AppendStarted
	}
	g.appendAge.Update(inFlight.Seconds())
}

// clearPool sets the gauges of the pool to 0.
func (m metrics) clearPool() { m.poolChecked(NoRunReport{}, HolderState{}, 0) }
