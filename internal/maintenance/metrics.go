package maintenance

import "github.com/uber-go/tally/v4"

// metrics counts what a controller does.
type metrics struct {
	scope      tally.Scope
	callErrors tally.Counter
	done       tally.Gauge
	failed     tally.Gauge
	halted     tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:      scope,
		callErrors: scope.Counter("call_errors"),
		done:       scope.Gauge("hosts_done"),
		failed:     scope.Gauge("hosts_failed"),
		halted:     scope.Gauge("waves_halted"),
	}
}

// called counts an operation asked of the platform.
func (m metrics) called(op Operation) {
	m.scope.Tagged(map[string]string{"operation": string(op)}).Counter("calls").Inc(1)
}

// observe publishes the progress of all waves.
func (m metrics) observe(p Published) {
	var done, failed, halted int
	for _, w := range p.Catalogue.Waves {
		progress := p.Waves.Progress(w.Value)
		done += len(progress.Done)
		failed += len(progress.Failures)
		if p.Waves.Halted(w) != "" {
			halted++
		}
	}
	m.done.Update(float64(done))
	m.failed.Update(float64(failed))
	m.halted.Update(float64(halted))
}
