package loadgen

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
)

// Demand alternates between a burst at five times the mean rate and a quiet
// phase at a twentieth of it. burstShare is the share of a period spent in the
// burst that keeps the overall rate at the mean.
const (
	burstFactor = 5.0
	quietFactor = 0.05
	burstShare  = (1 - quietFactor) / (burstFactor - quietFactor)
	// maxServiceFactor limits a service time to this multiple of its mean.
	maxServiceFactor = 8
)

// Entry is the demand for one catalogue entry.
type Entry struct {
	Name string `json:"name"`
	// Rate is the mean number of requests a second.
	Rate float64 `json:"rate"`
	// Class is the class that requests declare. Requests without one get the
	// class of the catalogue entry.
	Class      string `json:"class"`
	Idempotent bool   `json:"idempotent"`
	// Service is the mean of the exponentially distributed service time.
	Service time.Duration `json:"service"`
	// Deadline is the caller's timeout.
	Deadline time.Duration `json:"deadline"`
	// BodyBytes is the size of request bodies.
	BodyBytes int `json:"body_bytes"`
	// Period is the length of one cycle of burst and quiet phase; 0 gives a
	// steady rate.
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

// generateArrivals returns the arrivals of all entries in order of time. The
// result, IDs included, depends on seed, entries and length only; start affects
// just the time part of the IDs.
func generateArrivals(seed uint64, entries []Entry, length time.Duration, start time.Time) []arrival {
	var all []arrival
	for i := range entries {
		all = append(all, generateEntryArrivals(seed, &entries[i], length, start)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

func generateEntryArrivals(seed uint64, e *Entry, length time.Duration, start time.Time) []arrival {
	if e.Rate <= 0 {
		return nil
	}
	name := fnv.New64a()
	_, _ = name.Write([]byte(e.Name))
	rng := rand.New(rand.NewPCG(seed, name.Sum64()))
	phase := time.Duration(rng.Float64() * float64(e.Period))
	var out []arrival
	// Thinning: arrivals are drawn at the highest rate, and each is kept with
	// the probability of the rate at its time divided by the highest rate.
	highest := e.Rate * e.rateFactor(0, 0, true)
	for at := interarrivalTime(rng, highest); at < length; at += interarrivalTime(rng, highest) {
		if rng.Float64()*highest > e.Rate*e.rateFactor(at, phase, false) {
			continue
		}
		out = append(out, e.newArrival(rng, at, start))
	}
	return out
}

func interarrivalTime(rng *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
}

// rateFactor returns the rate at a time as a multiple of the mean, or the
// highest multiple that can occur.
func (e *Entry) rateFactor(at, phase time.Duration, highest bool) float64 {
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

func (e *Entry) newArrival(rng *rand.Rand, at time.Duration, start time.Time) arrival {
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
