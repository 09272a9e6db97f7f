package burn

import (
	"math"
	"time"
)

// Bounds of latency buckets grow by a factor of the square root of 2 from 1 ms,
// so that the last bucket begins above a minute. A general-purpose histogram
// library would take about 10 KB for each entry, minute and shard; this takes
// 128 bytes.
const (
	latencyBuckets = 34
	latencyUnit    = time.Millisecond
)

// latencyBucket returns the bucket of d.
func latencyBucket(d time.Duration) int {
	if d <= latencyUnit {
		return 0
	}
	b := int(math.Ceil(2 * math.Log2(float64(d)/float64(latencyUnit))))
	return min(b, latencyBuckets-1)
}

// latencyBound returns the upper bound of a bucket. The last bucket is
// unbounded.
func latencyBound(bucket int) time.Duration {
	return time.Duration(float64(latencyUnit) * math.Pow(2, float64(bucket)/2))
}

// Counts holds the numbers of finished requests of one entry in a time range.
type Counts struct {
	Good uint64 `cbor:"1,keyasint,omitempty"`
	// Bad is indexed by Cause; trailing zeros are cut off.
	Bad []uint64 `cbor:"2,keyasint,omitempty"`
	// Excluded counts the requests that are neither good nor bad.
	Excluded uint64 `cbor:"3,keyasint,omitempty"`
	// Latency counts complete responses by latency bucket; trailing zeros are
	// cut off.
	Latency []uint64 `cbor:"4,keyasint,omitempty"`
	// ShortQueued is the total time that urgent and short requests waited for
	// a slot, and ShortBlocked the part of it during which long requests held
	// slots of their pool. Both are in milliseconds.
	ShortQueued  uint64 `cbor:"5,keyasint,omitempty"`
	ShortBlocked uint64 `cbor:"6,keyasint,omitempty"`
	// Short counts the good and bad requests that are urgent or short.
	Short uint64 `cbor:"7,keyasint,omitempty"`
}

// Add adds d to c.
func (c *Counts) Add(d Counts) {
	c.Good += d.Good
	c.Excluded += d.Excluded
	c.ShortQueued += d.ShortQueued
	c.ShortBlocked += d.ShortBlocked
	c.Short += d.Short
	c.Bad = addElementwise(c.Bad, d.Bad)
	c.Latency = addElementwise(c.Latency, d.Latency)
}

// addElementwise adds b to a element by element. It may reuse the memory of a,
// but never that of b.
func addElementwise(a, b []uint64) []uint64 {
	for len(a) < len(b) {
		a = append(a, 0)
	}
	for i, n := range b {
		a[i] += n
	}
	return a
}

// scaled returns c with every count multiplied by f and rounded.
func (c Counts) scaled(f float64) Counts {
	scale := func(n uint64) uint64 { return uint64(math.Round(float64(n) * f)) }
	all := func(ns []uint64) []uint64 {
		out := make([]uint64, len(ns))
		for i, n := range ns {
			out[i] = scale(n)
		}
		return out
	}
	return Counts{
		Good: scale(c.Good), Bad: all(c.Bad), Excluded: scale(c.Excluded), Latency: all(c.Latency),
		ShortQueued: scale(c.ShortQueued), ShortBlocked: scale(c.ShortBlocked), Short: scale(c.Short),
	}
}

// BadTotal returns the number of requests that count against the budget.
func (c Counts) BadTotal() uint64 {
	var n uint64
	for _, b := range c.Bad {
		n += b
	}
	return n
}

// BadBy returns the number of requests that count against the budget for one
// cause.
func (c Counts) BadBy(cause Cause) uint64 {
	if int(cause) >= len(c.Bad) {
		return 0
	}
	return c.Bad[cause]
}

// Requests returns the number of good and bad requests.
func (c Counts) Requests() uint64 { return c.Good + c.BadTotal() }

// Quantile returns the upper bound of the bucket that holds the q-quantile of
// the latencies, or 0 if there are none.
func (c Counts) Quantile(q float64) time.Duration {
	var total uint64
	for _, n := range c.Latency {
		total += n
	}
	rank := uint64(math.Ceil(q * float64(total)))
	var seen uint64
	for i, n := range c.Latency {
		seen += n
		if n > 0 && seen >= rank {
			return latencyBound(i)
		}
	}
	return 0
}
