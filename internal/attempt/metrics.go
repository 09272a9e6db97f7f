package attempt

import (
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/verdict"
)

// metrics counts attempts by verdict and connection events.
type metrics struct {
	ran        tally.Counter
	notRun     tally.Counter
	mayHaveRun tally.Counter
	opened     tally.Counter
	reused     tally.Counter
	stale      tally.Counter
	abandoned  tally.Counter
	malformed  tally.Counter
}

func newMetrics(s tally.Scope) *metrics {
	s = s.SubScope("attempt")
	byVerdict := func(v verdict.Verdict) tally.Counter {
		return s.Tagged(map[string]string{"verdict": v.String()}).Counter("tries")
	}
	return &metrics{
		ran:        byVerdict(verdict.Ran),
		notRun:     byVerdict(verdict.NotRun),
		mayHaveRun: byVerdict(verdict.MayHaveRun),
		opened:     s.Counter("connections_opened"),
		reused:     s.Counter("connections_reused"),
		stale:      s.Counter("connections_stale"),
		abandoned:  s.Counter("connections_abandoned"),
		malformed:  s.Counter("answers_malformed"),
	}
}

func (m *metrics) countVerdict(err *verdict.Error) {
	if err != nil && err.Reason == verdict.ReasonMalformed {
		m.malformed.Inc(1)
	}
	switch {
	case err == nil:
		m.ran.Inc(1)
	case err.Verdict == verdict.NotRun:
		m.notRun.Inc(1)
	default:
		m.mayHaveRun.Inc(1)
	}
}
