package attempt

import "time"

// The sliding window over which attempts are counted.
const (
	bucketLength  = 5 * time.Second
	windowBuckets = 6
	windowLength  = windowBuckets * bucketLength
)

// counts holds the number of attempts and how many of them failed.
type counts struct {
	Attempts int `cbor:"1,keyasint"`
	Failures int `cbor:"2,keyasint"`
}

func (c counts) plus(d counts) counts {
	return counts{Attempts: c.Attempts + d.Attempts, Failures: c.Failures + d.Failures}
}

func (c counts) minus(d counts) counts {
	return counts{Attempts: c.Attempts - d.Attempts, Failures: c.Failures - d.Failures}
}

// failureRatio returns 0 if there were no attempts.
func (c counts) failureRatio() float64 {
	if c.Attempts == 0 {
		return 0
	}
	return float64(c.Failures) / float64(c.Attempts)
}

// window counts the attempts within the last windowLength.
type window struct {
	buckets [windowBuckets]counts
	// last is the number of the newest bucket, counted from the Unix epoch.
	last int64
}

func (w *window) add(failed bool, now time.Time) {
	w.advance(now)
	b := &w.buckets[w.last%windowBuckets]
	b.Attempts++
	if failed {
		b.Failures++
	}
}

// advance clears the buckets that have left the window. It does nothing if the
// clock has gone backwards.
func (w *window) advance(now time.Time) {
	n := now.UnixNano() / int64(bucketLength)
	if n-w.last >= windowBuckets {
		*w = window{last: n}
		return
	}
	for w.last < n {
		w.last++
		w.buckets[w.last%windowBuckets] = counts{}
	}
}

func (w *window) sum(now time.Time) counts {
	w.advance(now)
	var total counts
	for _, b := range w.buckets {
		total = total.plus(b)
	}
	return total
}
