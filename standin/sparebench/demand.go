// Package sparebench compares spare policies on the demand of the two
// deployments: turns of five times the mean for some seconds, a twentieth in
// between, and peaks of hours. It drives the policies and the fold of moves
// that the daemon runs; the queues of a pool in a zone are a fluid model.
package sparebench

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// The shape of a turn.
const (
	turnFactor     = 5.0
	betweenFactor  = 0.05
	shortestTurn   = 6 * time.Second
	longestTurn    = 18 * time.Second
	betweenPerTurn = (turnFactor - 1) / (1 - betweenFactor)
)

// Peak raises a pool's mean demand for some hours of each day.
type Peak struct {
	Pool string
	// Start is the time of day and Length how long the peak lasts.
	Start, Length time.Duration
	// Factor multiplies the mean demand at the peak.
	Factor float64
	// Jitter is how far Start varies from day to day, and Chance the share
	// of the days that have the peak.
	Jitter time.Duration
	Chance float64
}

// ramp is how long a peak takes to rise and to fall.
const ramp = 30 * time.Minute

// demand produces one pool's offered work, in hosts that it fills, second by
// second.
type demand struct {
	rng  *rand.Rand
	mean float64
	// peaks holds the peaks of the pool; today their start, or -1 for none.
	peaks []Peak
	today []time.Duration
	day   int
	// turn is whether the pool has its turn, until the time ends.
	turn bool
	ends time.Duration
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
	d.today = make([]time.Duration, len(d.peaks))
	return d
}

// at returns the offered work and its mean, at a time that never goes back.
func (d *demand) at(t time.Duration) (offered, mean float64) {
	mean = d.mean * d.peakFactor(t)
	if t >= d.ends {
		d.nextTurn(t)
	}
	if d.turn {
		return mean * turnFactor, mean
	}
	return mean * betweenFactor, mean
}

func (d *demand) nextTurn(t time.Duration) {
	d.turn = !d.turn
	length := shortestTurn + time.Duration(d.rng.Int64N(int64(longestTurn-shortestTurn)))
	if !d.turn {
		length = time.Duration(float64(length) * betweenPerTurn)
	}
	d.ends = t + length
}

func (d *demand) peakFactor(t time.Duration) float64 {
	const day = 24 * time.Hour
	if n := int(t / day); n != d.day {
		d.day = n
		d.drawDay()
	}
	factor := 1.0
	for i, p := range d.peaks {
		if d.today[i] >= 0 {
			factor = max(factor, p.factor(t%day-d.today[i]))
		}
	}
	return factor
}

func (d *demand) drawDay() {
	for i, p := range d.peaks {
		d.today[i] = -1
		if d.rng.Float64() < p.Chance {
			shift := (2*d.rng.Float64() - 1) * float64(p.Jitter)
			d.today[i] = p.Start + time.Duration(shift)
		}
	}
}

// factor returns the peak's factor at a time since its start.
func (p Peak) factor(since time.Duration) float64 {
	if since < 0 || since > p.Length {
		return 1
	}
	edge := min(since, p.Length-since, ramp)
	return 1 + (p.Factor-1)*edge.Seconds()/ramp.Seconds()
}
