package scheduler

import (
	"time"

	"greengagedeck/internal/job"
)

const (
	// demandBucket is the resolution at which handed in work is counted.
	demandBucket = 250 * time.Millisecond
	// demandBuckets is how many of them are kept.
	demandBuckets = 8
	// trendSpan is the number of buckets in each of the two spans that are
	// compared for the trend.
	trendSpan = 3
)

// demand counts the work that callers hand in, to tell how much room the pool
// will need.
type demand struct {
	// current is the number of the newest bucket, counted from the clock's
	// start.
	current int64
	work    [demandBuckets]work
}

// work is an amount of room over time, in units of a second.
type work struct{ cpu, memory float64 }

// add notes a job that was handed in now.
func (d *demand) add(now time.Duration, w work) {
	d.advance(now)
	b := &d.work[d.current%demandBuckets]
	b.cpu += w.cpu
	b.memory += w.memory
}

func (d *demand) advance(now time.Duration) {
	bucket := int64(now / demandBucket)
	for d.current < bucket {
		d.current++
		if bucket-d.current < demandBuckets {
			d.work[d.current%demandBuckets] = work{}
		}
	}
}

// span returns the rate of handed in work over trendSpan whole buckets that
// end skip buckets before the current one.
func (d *demand) span(skip int64) work {
	var sum work
	for i := int64(1); i <= trendSpan; i++ {
		b := d.work[(d.current-skip-i+demandBuckets)%demandBuckets]
		sum.cpu += b.cpu
		sum.memory += b.memory
	}
	seconds := (trendSpan * demandBucket).Seconds()
	return work{sum.cpu / seconds, sum.memory / seconds}
}

// rate returns the room that work handed in now needs, and the room that it
// will need after lead if the trend goes on.
func (d *demand) rate(now, lead time.Duration) (current, expected job.Resources) {
	d.advance(now)
	last, before := d.span(0), d.span(trendSpan)
	// The middle of the last span lies half its length back.
	ahead := (lead + trendSpan*demandBucket/2).Seconds() / (trendSpan * demandBucket).Seconds()
	return last.room(), work{
		cpu:    max(0, last.cpu+(last.cpu-before.cpu)*ahead),
		memory: max(0, last.memory+(last.memory-before.memory)*ahead),
	}.room()
}

func (w work) room() job.Resources {
	return job.Resources{CPU: int(w.cpu), MemoryMB: int(w.memory)}
}

// workOf returns the work of a job, as far as estimates tell.
func workOf(s *job.Spec) work {
	var w work
	for _, st := range s.Steps {
		seconds := st.Estimate.Seconds() * float64(st.Count)
		w.cpu += seconds * float64(st.Room().CPU)
		w.memory += seconds * float64(st.Room().MemoryMB)
	}
	return w
}
