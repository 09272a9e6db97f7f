package scheduler

import "github.com/uber-go/tally/v4"

// RecordIncarnations makes a plan and adds what was learnt of incarnations since the last one to
// the counters of a scope.
func RecordIncarnations(c *Core, t Times, scope tally.Scope) {
	newIncarnationCounters(scope).record(c.Decide(t).incarnations)
}

// CountStopAnswer counts the answer to a stop in the metrics of a scope.
func CountStopAnswer(scope tally.Scope, err error) { newMetrics(scope, "p").stopAnswered(err) }
