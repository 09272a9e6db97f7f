package scheduler

import (
	"math"
	"time"

	"greengagedeck/internal/job"
)

const (
	// demandBucket is the resolution at which jobs are counted.
	demandBucket = 250 * time.Millisecond
	// trendBuckets is the length of each of the two spans that are compared for
	// the trend.
	trendBuckets = 4
	// demandBuckets is how many buckets are kept: both spans and the current.
	demandBuckets = 2*trendBuckets + 1
	// meanJobs is over how many jobs the mean work of one is averaged.
	meanJobs = 30
	// ratioTasks is over how many tasks the ratio of the time they take to the
	// estimate is averaged.
	ratioTasks = 100
	// maxRatio bounds that ratio: a few stragglers say little.
	maxRatio = 3
)

// demand tells how much room a pool will need, from the jobs that callers hand
// in. Jobs are counted and multiplied by the mean work of one, since the work of
// a few jobs varies far more than their number.
type demand struct {
	// current is the number of the newest bucket, counted from the clock's
	// start.
	current int64
	jobs    [demandBuckets]int
	// mean is the mean work of a job, and seen how many it is from.
	mean work
	seen int
	// ratio is the mean of actual to estimated time at work.
	ratio float64
	tasks int
}

// work is an amount of room over time, in units of a second.
type work struct{ cpu, memory float64 }

// add notes a job that was handed in now. One without estimates says nothing.
func (d *demand) add(now time.Duration, w work) {
	if w.cpu == 0 && w.memory == 0 {
		return
	}
	d.advance(now)
	d.jobs[d.current%demandBuckets]++
	d.seen = min(d.seen+1, meanJobs)
	share := 1 / float64(d.seen)
	d.mean.cpu += (w.cpu - d.mean.cpu) * share
	d.mean.memory += (w.memory - d.mean.memory) * share
}

// took notes the ratio of actual to estimated time of a task.
func (d *demand) took(ratio float64) {
	d.tasks = min(d.tasks+1, ratioTasks)
	d.ratio += (min(maxRatio, ratio) - d.ratio) / float64(d.tasks)
}

func (d *demand) advance(now time.Duration) {
	bucket := int64(now / demandBucket)
	if bucket-d.current > demandBuckets {
		d.current = bucket - demandBuckets
	}
	for d.current < bucket {
		d.current++
		d.jobs[d.current%demandBuckets] = 0
	}
}

// span returns the jobs of one of the two spans before the current bucket.
func (d *demand) span(back int64) float64 {
	n := 0
	for i := int64(1); i <= trendBuckets; i++ {
		n += d.jobs[(d.current-back*trendBuckets-i+2*demandBuckets)%demandBuckets]
	}
	return float64(n)
}

// rate returns the room that work handed in now needs, and the room that it
// will need after lead if the trend goes on. The trend counts as far as chance
// does not explain it.
func (d *demand) rate(now, lead time.Duration) (current, expected job.Resources) {
	d.advance(now)
	last, before := d.span(0), d.span(1)
	length := (trendBuckets * demandBucket).Seconds()
	// The middle of the last span lies half its length back.
	ahead := lead.Seconds()/length + 0.5
	trend := last - before
	chance := math.Sqrt(last + before)
	trend = math.Copysign(max(0, math.Abs(trend)-chance), trend)
	return d.room(last / length), d.room(max(0, last+trend*ahead) / length)
}

// usual returns the mean of actual to estimated time at work.
func (d *demand) usual() float64 {
	if d.tasks == 0 {
		return 1
	}
	return d.ratio
}

// room returns the room that a number of jobs a second needs.
func (d *demand) room(perSecond float64) job.Resources {
	each := perSecond * d.usual()
	return job.Resources{CPU: int(each * d.mean.cpu), MemoryMB: int(each * d.mean.memory)}
}

// workOf returns the work of a job, as far as estimates tell.
func workOf(s *job.Spec) work {
	var w work
	for _, st := range s.Steps {
		seconds := st.Estimate.Seconds() * float64(st.Count)
		w.cpu += seconds * float64(st.ReservedResources().CPU)
		w.memory += seconds * float64(st.ReservedResources().MemoryMB)
	}
	return w
}
