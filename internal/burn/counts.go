package burn

import (
	"math"
	"time"
)

// Latency buckets grow by the square root of 2 from 1 ms, so that the last
// begins above a minute. A histogram of the usual library would take some 10 KB
// for each entry, minute and shard; this takes 128 bytes.
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

// latencyBound returns the upper bound of a bucket. The last has none.
func latencyBound(bucket int) time.Duration {
	return time.Duration(float64(latencyUnit) * math.Pow(2, float64(bucket)/2))
}

// Counts are the finished requests of one entry in some span of time.
type Counts struct {
	Good uint64 `cbor:"1,keyasint,omitempty"`
	// Bad is indexed by Cause; trailing zeros are cut off.
	Bad []uint64 `cbor:"2,keyasint,omitempty"`
	// Excluded requests count for neither side.
	Excluded uint64 `cbor:"3,keyasint,omitempty"`
	// Latency counts answers by latency bucket; trailing zeros are cut off.
	Latency []uint64 `cbor:"4,keyasint,omitempty"`
	// ShortQueued is how long urgent and short requests waited for a slot,
	// and ShortBlocked the part of it while long work held slots of their
	// pool, in milliseconds.
	ShortQueued  uint64 `cbor:"5,keyasint,omitempty"`
	ShortBlocked uint64 `cbor:"6,keyasint,omitempty"`
	// Short counts the urgent and short requests among these.
	Short uint64 `cbor:"7,keyasint,omitempty"`
}

// Add adds d to c.
func (c *Counts) Add(d Counts) {
	c.Good += d.Good
	c.Excluded += d.Excluded
	c.ShortQueued += d.ShortQueued
	c.ShortBlocked += d.ShortBlocked
	c.Short += d.Short
	c.Bad = addAll(c.Bad, d.Bad)
	c.Latency = addAll(c.Latency, d.Latency)
}

// addAll adds b to a element by element. It may reuse a, but never b.
func addAll(a, b []uint64) []uint64 {
	for len(a) < len(b) {
		a = append(a, 0)
	}
	for i, n := range b {
		a[i] += n
	}
	return a
}

// scaled returns c times f.
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

// BadTotal returns the requests that count against the budget.
func (c Counts) BadTotal() uint64 {
	var n uint64
	for _, b := range c.Bad {
		n += b
	}
	return n
}

// BadBy returns the requests that count against the budget by one cause.
func (c Counts) BadBy(cause Cause) uint64 {
	if int(cause) >= len(c.Bad) {
		return 0
	}
	return c.Bad[cause]
}

// Requests returns the requests that count for or against the budget.
func (c Counts) Requests() uint64 { return c.Good + c.BadTotal() }

// Quantile returns the upper bound of the bucket that holds the q-quantile of
// latencies, or 0 without any.
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
