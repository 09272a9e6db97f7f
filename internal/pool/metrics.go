package pool

import "github.com/uber-go/tally/v4"

// controllerMetrics holds the metrics of a controller.
type controllerMetrics struct {
	usageErrors tally.Counter
	draining    tally.Gauge
	out         tally.Gauge
	failed      tally.Gauge
}

func newControllerMetrics(scope tally.Scope) controllerMetrics {
	return controllerMetrics{
		usageErrors: scope.Counter("usage_errors"),
		draining:    scope.Gauge("hosts_draining"),
		out:         scope.Gauge("hosts_out"),
		failed:      scope.Gauge("hosts_failed"),
	}
}

// observe updates the gauges of draining, out-of-service and failed hosts of the
// zone.
func (m controllerMetrics) observe(p PublishedState, zone string) {
	var draining, out, failed float64
	for _, h := range p.Pools.Hosts {
		if h.Zone != zone {
			continue
		}
		switch {
		case h.Phase == PhaseDraining:
			draining++
		case h.Phase == PhaseOutOfService:
			out++
		case h.Failed:
			failed++
		}
	}
	m.draining.Update(draining)
	m.out.Update(out)
	m.failed.Update(failed)
}
