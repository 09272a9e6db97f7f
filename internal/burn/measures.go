package burn

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// measuresWindow is the period that the measures cover.
const measuresWindow = day

// Buffer is the spare capacity that is currently held.
type Buffer struct {
	SpareHosts int
	TotalHosts int
}

// BufferSource reports how many hosts are held as spares.
type BufferSource interface {
	Buffer() Buffer
}

// RolloutSource reports how long each accepted change took to take effect on
// every daemon.
type RolloutSource interface {
	Rollouts(since time.Time) []time.Duration
}

// MoveSource counts the moves of hosts between pools.
type MoveSource interface {
	Moves(since time.Time) int
}

// Measures holds the four measures of the quality of control decisions. Lower is
// better for each.
type Measures struct {
	GeneratedAt time.Time `json:"generated_at"`
	// Stale is the reason why the newest counts may be missing, or empty.
	Stale  string    `json:"stale,omitempty"`
	Values []Measure `json:"measures"`
	Scores []Score   `json:"scores"`
}

// Measure is one measure. A value equal to Reference contributes 1 to a score
// before weighting.
type Measure struct {
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	Value     float64 `json:"value"`
	Reference float64 `json:"reference"`
}

// Score is the weighted sum of the measures, each divided by its reference, with
// the weights of one user.
type Score struct {
	User    string    `json:"user"`
	Weights []float64 `json:"weights"`
	Value   float64   `json:"value"`
}

// Reference values of the measures.
const (
	referenceBufferShare    = 0.2 // spare hosts over all hosts
	referenceRolloutSeconds = 5.0
	referenceMovesPerHost   = 1.0  // a day
	referenceBlockedMillis  = 10.0 // for each short request
)

// userWeights lists weights in the order of Measures.Values: buffer, roll-out,
// moves, blocking. Kumot's demand is predictable, so cost and roll-out weigh
// most; at Ruedasol blocking weighs most, because a late quote keeps a patient
// at home.
var userWeights = []Score{
	{User: "Kumot", Weights: []float64{0.35, 0.35, 0.1, 0.2}},
	{User: "Ruedasol", Weights: []float64{0.15, 0.15, 0.2, 0.5}},
}

// Measures renders the four measures as "json" or "table".
func (r *Reporter) Measures(format string) (contentType string, body []byte, err error) {
	m := r.MeasuresReport(context.Background(), time.Now())
	switch format {
	case "json":
		return renderJSON(m)
	case "table", "":
		return contentTypeText, renderMeasuresTable(m), nil
	default:
		return "", nil, eris.Errorf("no format %q: there are json and table", format)
	}
}

// MeasuresReport returns the measures of the last 24 hours.
func (r *Reporter) MeasuresReport(ctx context.Context, now time.Time) Measures {
	m := Measures{GeneratedAt: now.UTC(), Stale: r.refresh(ctx)}
	since := now.Add(-measuresWindow)
	buffer := r.opts.Buffer.Buffer()
	hosts := max(1, buffer.TotalHosts)
	m.Values = []Measure{
		{"buffer cost", "share of hosts", float64(buffer.SpareHosts) / float64(hosts), referenceBufferShare},
		{"roll-out time", "s, 99th percentile", rolloutP99(r.opts.Rollouts.Rollouts(since)), referenceRolloutSeconds},
		{"host moves", "per host and day", float64(r.opts.Moves.Moves(since)) / float64(hosts), referenceMovesPerHost},
		{"short work blocked by long", "ms per request", r.meanBlockedMillis(since, now), referenceBlockedMillis},
	}
	m.Scores = scores(m.Values)
	return m
}

func scores(values []Measure) []Score {
	var out []Score
	for _, s := range userWeights {
		for i, v := range values {
			s.Value += s.Weights[i] * v.Value / v.Reference
		}
		out = append(out, s)
	}
	return out
}

// rolloutP99 returns the 99th percentile of durations in seconds, or 0 if there
// were no changes.
func rolloutP99(durations []time.Duration) float64 {
	if len(durations) == 0 {
		return 0
	}
	durations = slices.Sorted(slices.Values(durations))
	return durations[(len(durations)*99-1)/100].Seconds()
}

// meanBlockedMillis returns the average time, in milliseconds, that an urgent or
// short request waited while long requests held slots of its pool.
func (r *Reporter) meanBlockedMillis(from, to time.Time) float64 {
	var total Counts
	for _, c := range r.opts.Store.between(from, to) {
		total.Add(*c)
	}
	if total.Short == 0 {
		return 0
	}
	return float64(total.ShortBlocked) / float64(total.Short)
}
