package pool

import (
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/record"
)

// controllerMetrics counts what a controller does.
type controllerMetrics struct {
	scope        tally.Scope
	appendErrors tally.Counter
	usageErrors  tally.Counter
	draining     tally.Gauge
	out          tally.Gauge
	failed       tally.Gauge
}

func newControllerMetrics(scope tally.Scope) controllerMetrics {
	scope = scope.SubScope("pool")
	return controllerMetrics{
		scope:        scope,
		appendErrors: scope.Counter("append_errors"),
		usageErrors:  scope.Counter("usage_errors"),
		draining:     scope.Gauge("hosts_draining"),
		out:          scope.Gauge("hosts_out"),
		failed:       scope.Gauge("hosts_failed"),
	}
}

// appended counts an appended record by its kind.
func (m controllerMetrics) appended(kind record.Kind) {
	m.scope.Tagged(map[string]string{"kind": string(kind)}).Counter("records_appended").Inc(1)
}

// observe publishes how many hosts of the zone are in each phase.
func (m controllerMetrics) observe(p Published, zone string) {
	var draining, out, failed float64
	for _, h := range p.Pools.Hosts {
		if h.Zone != zone {
			continue
		}
		switch {
		case h.Phase == PhaseDraining:
			draining++
		case h.Phase == PhaseOut:
			out++
		case h.Failed:
			failed++
		}
	}
	m.draining.Update(draining)
	m.out.Update(out)
	m.failed.Update(failed)
}
