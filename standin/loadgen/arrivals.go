package loadgen

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
)

// Demand goes by turns: a burst of five times the mean, then a twentieth of
// it. burstShare is the share of a period that makes the mean come out.
const (
	burstFactor = 5.0
	quietFactor = 0.05
	burstShare  = (1 - quietFactor) / (burstFactor - quietFactor)
	// maxServiceFactor cuts the tail of the service times.
	maxServiceFactor = 8
)

// Entry is the demand for one catalogue entry.
type Entry struct {
	Name string `json:"name"`
	// Rate is the mean number of requests a second.
	Rate float64 `json:"rate"`
	// Class is the declared class, and empty for the entry's own.
	Class      string `json:"class"`
	Idempotent bool   `json:"idempotent"`
	// Service is the mean time the work takes, exponentially distributed.
	Service time.Duration `json:"service"`
	// Deadline is the caller's timeout.
	Deadline time.Duration `json:"deadline"`
	// BodyBytes is the size of request bodies.
	BodyBytes int `json:"body_bytes"`
	// Period is the length of a turn of burst and quiet, 0 for steady demand.
	Period time.Duration `json:"period"`
}

// arrival is one request to be sent.
type arrival struct {
	at      time.Duration
	entry   *Entry
	id      string
	service time.Duration
	body    []byte
}

// plan returns the arrivals of all entries in order of time. It depends on
// its arguments only, IDs included but for their time part.
func plan(seed uint64, entries []Entry, length time.Duration, start time.Time) []arrival {
	var all []arrival
	for i := range entries {
		all = append(all, planEntry(seed, &entries[i], length, start)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

func planEntry(seed uint64, e *Entry, length time.Duration, start time.Time) []arrival {
	if e.Rate <= 0 {
		return nil
	}
	name := fnv.New64a()
	_, _ = name.Write([]byte(e.Name))
	rng := rand.New(rand.NewPCG(seed, name.Sum64()))
	phase := time.Duration(rng.Float64() * float64(e.Period))
	var out []arrival
	// Thinning: draw at the highest rate and keep each arrival with the
	// ratio of the rate at its time.
	highest := e.Rate * e.factor(0, 0, true)
	for at := gap(rng, highest); at < length; at += gap(rng, highest) {
		if rng.Float64()*highest > e.Rate*e.factor(at, phase, false) {
			continue
		}
		out = append(out, e.arrival(rng, at, start))
	}
	return out
}

func gap(rng *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
}

// factor is how far the rate is from its mean at a time, or at its highest.
func (e *Entry) factor(at, phase time.Duration, highest bool) float64 {
	switch {
	case e.Period <= 0:
		return 1
	case highest:
		return burstFactor
	case float64((at+phase)%e.Period) < burstShare*float64(e.Period):
		return burstFactor
	default:
		return quietFactor
	}
}

func (e *Entry) arrival(rng *rand.Rand, at time.Duration, start time.Time) arrival {
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(start.Add(at)))
	var entropy [10]byte
	for i := range entropy {
		entropy[i] = byte(rng.Uint32())
	}
	_ = id.SetEntropy(entropy[:])
	body := make([]byte, e.BodyBytes)
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	factor := min(rng.ExpFloat64(), maxServiceFactor)
	return arrival{
		at:      at,
		entry:   e,
		id:      id.String(),
		service: time.Duration(factor * float64(e.Service)),
		body:    body,
	}
}
