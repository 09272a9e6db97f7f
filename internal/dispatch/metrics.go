package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/verdict"
)

// poolMetrics are the metrics of one pool. docs/operations/dispatch.md
// describes each of them.
type poolMetrics struct {
	scope             tally.Scope
	started           tally.Counter
	cancelled         tally.Counter
	gateMisses        tally.Counter
	retries           tally.Counter
	handedToPeers     tally.Counter
	handedToZones     tally.Counter
	receivedHandovers tally.Counter
	peerLost          tally.Counter
	free              tally.Gauge
	queued            tally.Gauge
	wait              tally.Histogram
}

// waitBuckets are the bucket bounds of the histogram of waits for a slot.
var waitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

func newPoolMetrics(scope tally.Scope, pool string) *poolMetrics {
	s := scope.SubScope("dispatch").Tagged(map[string]string{"pool": pool})
	return &poolMetrics{
		scope:             s,
		started:           s.Counter("started"),
		cancelled:         s.Counter("cancelled"),
		gateMisses:        s.Counter("gate_shut"),
		retries:           s.Counter("retries"),
		handedToPeers:     s.Counter("lent"),
		handedToZones:     s.Counter("handed_on"),
		receivedHandovers: s.Counter("foreign"),
		peerLost:          s.Counter("peer_lost"),
		free:              s.Gauge("free_slots"),
		queued:            s.Gauge("queued"),
		wait:              s.Histogram("wait", waitBuckets),
	}
}

// countRejection counts a rejection by its reason.
func (m *poolMetrics) countRejection(r verdict.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("refused").Inc(1)
}
