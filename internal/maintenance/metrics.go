package maintenance

import "github.com/uber-go/tally/v4"

// metrics holds the metrics of a controller.
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

// countCall counts an operation requested from the platform.
func (m metrics) countCall(op Operation) {
	m.scope.Tagged(map[string]string{"operation": string(op)}).Counter("calls").Inc(1)
}

// updateProgress sets the gauges to the progress of all waves.
func (m metrics) updateProgress(p PublishedState) {
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
