package fleet

import "github.com/uber-go/tally/v4"

// metrics counts what the holder of the fleet duty does.
type metrics struct {
	lists, listsFailed     tally.Counter
	closes, opens          tally.Counter
	moves, upkeeps         tally.Counter
	ordersFailed, notHeard tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("fleet")
	return metrics{
		lists:        scope.Counter("lists"),
		listsFailed:  scope.Counter("lists_failed"),
		closes:       scope.Counter("workers_closed"),
		opens:        scope.Counter("workers_opened"),
		moves:        scope.Counter("moves"),
		upkeeps:      scope.Counter("upkeeps"),
		ordersFailed: scope.Counter("orders_failed"),
		notHeard:     scope.Counter("closes_failed"),
	}
}

func (m metrics) list(err error) {
	m.lists.Inc(1)
	if err != nil {
		m.listsFailed.Inc(1)
	}
}

func (m metrics) closed(k Kind, err error) {
	switch {
	case err != nil:
		m.notHeard.Inc(1)
	case k == Open:
		m.opens.Inc(1)
	default:
		m.closes.Inc(1)
	}
}

func (m metrics) ordered(k Kind, err error) {
	switch {
	case err != nil:
		m.ordersFailed.Inc(1)
	case k == Maintain:
		m.upkeeps.Inc(1)
	default:
		m.moves.Inc(1)
	}
}
