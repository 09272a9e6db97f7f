package relay

import "github.com/uber-go/tally/v4"

// serverMetrics count what a relay does for other daemons.
type serverMetrics struct {
	orders, rejected tally.Counter
}

func newServerMetrics(scope tally.Scope) serverMetrics {
	scope = scope.SubScope("relay")
	return serverMetrics{orders: scope.Counter("orders_carried_out"), rejected: scope.Counter("orders_rejected")}
}

// controlMetrics count the orders that relays carry out for this daemon.
type controlMetrics struct {
	relayed, lost, declined tally.Counter
}

func newControlMetrics(scope tally.Scope) controlMetrics {
	scope = scope.SubScope("relay")
	return controlMetrics{relayed: scope.Counter("orders_handed_over"), lost: scope.Counter("orders_lost"), declined: scope.Counter("orders_declined")}
}
