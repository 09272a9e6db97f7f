package fleet

import "github.com/uber-go/tally/v4"

// metrics holds the counters of the holder of the fleet duty.
type metrics struct {
	lists, listsFailed          tally.Counter
	cordons, uncordons          tally.Counter
	moves, maintenances         tally.Counter
	ordersFailed, cordonsFailed tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("fleet")
	return metrics{
		lists:         scope.Counter("lists"),
		listsFailed:   scope.Counter("lists_failed"),
		cordons:       scope.Counter("workers_closed"),
		uncordons:     scope.Counter("workers_opened"),
		moves:         scope.Counter("moves"),
		maintenances:  scope.Counter("upkeeps"),
		ordersFailed:  scope.Counter("orders_failed"),
		cordonsFailed: scope.Counter("closes_failed"),
	}
}

func (m metrics) countList(err error) {
	m.lists.Inc(1)
	if err != nil {
		m.listsFailed.Inc(1)
	}
}

func (m metrics) countCordons(changes []CordonChange, err error) {
	for _, c := range changes {
		switch {
		case err != nil:
			m.cordonsFailed.Inc(1)
		case c.Uncordon:
			m.uncordons.Inc(1)
		default:
			m.cordons.Inc(1)
		}
	}
}

func (m metrics) countOrder(k ActionKind, err error) {
	switch {
	case err != nil:
		m.ordersFailed.Inc(1)
	case k == Maintain:
		m.maintenances.Inc(1)
	default:
		m.moves.Inc(1)
	}
}
