// Package sparebench compares policies for spare hosts under simulated demand of
// the two example deployments: bursts of five times the mean for some seconds, a
// twentieth of the mean in between, and peaks that last hours. The policies and
// the state machine of host moves are the code that the daemon runs; the queues
// of a pool in a zone are a fluid model.
package sparebench

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// The demand alternates between bursts and quiet phases. A burst lasts between
// minBurst and maxBurst, and a quiet phase quietPerBurst times as long as a burst,
// which keeps the mean.
const (
	burstFactor   = 5.0
	quietFactor   = 0.05
	minBurst      = 6 * time.Second
	maxBurst      = 18 * time.Second
	quietPerBurst = (burstFactor - 1) / (1 - quietFactor)
)

// Peak raises a pool's mean demand for some hours of the day.
type Peak struct {
	Pool string
	// Start is the time of day at which the peak begins, Length its duration.
	Start, Length time.Duration
	// Factor is the mean demand during the peak as a multiple of the mean
	// outside peaks.
	Factor float64
	// Jitter is the largest daily deviation from Start, and Chance the
	// probability that a day has the peak.
	Jitter time.Duration
	Chance float64
}

// ramp is the time in which the demand rises at the start of a peak, and in which
// it falls at the end.
const ramp = 30 * time.Minute

// demand generates the work offered to one pool for each second, as the number of
// hosts that it would occupy.
type demand struct {
	rng  *rand.Rand
	mean float64
	// peaks holds the peaks of the pool, peakStarts their start times on the
	// current day, or -1 for a peak that does not occur on this day.
	peaks      []Peak
	peakStarts []time.Duration
	day        int
	// burst is set during a burst. The current burst or quiet phase ends at
	// phaseEnd.
	burst    bool
	phaseEnd time.Duration
}

func newDemand(seed uint64, pool string, mean float64, peaks []Peak) *demand {
	h := fnv.New64a()
	h.Write([]byte(pool))
	d := &demand{rng: rand.New(rand.NewPCG(seed, h.Sum64())), mean: mean, day: -1}
	for _, p := range peaks {
		if p.Pool == pool {
			d.peaks = append(d.peaks, p)
		}
	}
	d.peakStarts = make([]time.Duration, len(d.peaks))
	return d
}

// at returns the offered work and its mean at time t. Calls must not go back in
// time.
func (d *demand) at(t time.Duration) (offered, mean float64) {
	mean = d.mean * d.peakFactor(t)
	if t >= d.phaseEnd {
		d.nextPhase(t)
	}
	if d.burst {
		return mean * burstFactor, mean
	}
	return mean * quietFactor, mean
}

func (d *demand) nextPhase(t time.Duration) {
	d.burst = !d.burst
	length := minBurst + time.Duration(d.rng.Int64N(int64(maxBurst-minBurst)))
	if !d.burst {
		length = time.Duration(float64(length) * quietPerBurst)
	}
	d.phaseEnd = t + length
}

func (d *demand) peakFactor(t time.Duration) float64 {
	const day = 24 * time.Hour
	if n := int(t / day); n != d.day {
		d.day = n
		d.drawDay()
	}
	factor := 1.0
	for i, p := range d.peaks {
		if d.peakStarts[i] >= 0 {
			factor = max(factor, p.factor(t%day-d.peakStarts[i]))
		}
	}
	return factor
}

func (d *demand) drawDay() {
	for i, p := range d.peaks {
		d.peakStarts[i] = -1
		if d.rng.Float64() < p.Chance {
			shift := (2*d.rng.Float64() - 1) * float64(p.Jitter)
			d.peakStarts[i] = p.Start + time.Duration(shift)
		}
	}
}

// factor returns the multiple of the mean demand at a time since the peak's start.
func (p Peak) factor(since time.Duration) float64 {
	if since < 0 || since > p.Length {
		return 1
	}
	edge := min(since, p.Length-since, ramp)
	return 1 + (p.Factor-1)*edge.Seconds()/ramp.Seconds()
}
