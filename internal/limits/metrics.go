package limits

import "github.com/uber-go/tally/v4"

// serviceMetrics count what the allocator does.
type serviceMetrics struct {
	appends, appendsFailed, appendedBytes tally.Counter
	exchanges, rejected                   tally.Counter
	raised, lowered                       tally.Counter
}

func newServiceMetrics(scope tally.Scope) serviceMetrics {
	scope = scope.SubScope("limits")
	return serviceMetrics{
		appends:       scope.Counter("appends"),
		appendsFailed: scope.Counter("appends_failed"),
		appendedBytes: scope.Counter("appended_bytes"),
		exchanges:     scope.Counter("exchanges"),
		rejected:      scope.Counter("exchanges_rejected"),
		raised:        scope.Counter("raised"),
		lowered:       scope.Counter("lowered"),
	}
}

// clientMetrics count the calls of the holders of pools.
type clientMetrics struct {
	calls, unanswered tally.Counter
}

func newClientMetrics(scope tally.Scope) clientMetrics {
	scope = scope.SubScope("limits")
	return clientMetrics{calls: scope.Counter("calls"), unanswered: scope.Counter("unanswered")}
}
