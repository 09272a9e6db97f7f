package httpplatform

import (
	"errors"

	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/platform"
)

// Values of the outcome tag.
const (
	outcomeOK          = "ok"
	outcomeUnavailable = "unavailable"
	outcomeTruncated   = "truncated"
	outcomeUncertain   = "uncertain"
)

var outcomes = []string{outcomeOK, outcomeUnavailable, outcomeTruncated, outcomeUncertain}

type metrics struct {
	scope       tally.Scope
	appends     map[string]tally.Counter
	reads       map[string]tally.Counter
	appendBytes tally.Counter
	readBytes   tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("platform")
	return metrics{
		scope:       scope,
		appends:     byOutcome(scope, "appends"),
		reads:       byOutcome(scope, "reads"),
		appendBytes: scope.Counter("append_bytes"),
		readBytes:   scope.Counter("read_bytes"),
	}
}

func byOutcome(scope tally.Scope, name string) map[string]tally.Counter {
	counters := make(map[string]tally.Counter, len(outcomes))
	for _, o := range outcomes {
		counters[o] = scope.Tagged(map[string]string{"outcome": o}).Counter(name)
	}
	return counters
}

func outcomeOf(err error) string {
	var truncated *platform.TruncatedError
	switch {
	case err == nil:
		return outcomeOK
	case errors.As(err, &truncated):
		return outcomeTruncated
	case errors.Is(err, platform.ErrUnavailable):
		return outcomeUnavailable
	default:
		return outcomeUncertain
	}
}

func (m metrics) countAppend(bytes int, err error) {
	m.appends[outcomeOf(err)].Inc(1)
	m.appendBytes.Inc(int64(bytes))
}

func (m metrics) countRead(bytes int, err error) {
	m.reads[outcomeOf(err)].Inc(1)
	m.readBytes.Inc(int64(bytes))
}

func (m metrics) countAction(action string, err error) {
	tags := map[string]string{"action": action, "outcome": outcomeOf(err)}
	m.scope.Tagged(tags).Counter("actions").Inc(1)
}
