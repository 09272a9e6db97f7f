// Package demand estimates what a pool will need from the jobs that callers submit. It reads no
// clock.
package demand

import (
	"math"
	"time"

	"greengagedeck/internal/job"
)

const (
	// bucketLength is the resolution at which jobs are counted.
	bucketLength = 250 * time.Millisecond
	// trendBuckets is the length of each of the two spans that are compared for
	// the trend.
	trendBuckets = 4
	// bucketCount is how many buckets are kept: both spans and the current
	// bucket.
	bucketCount = 2*trendBuckets + 1
	// meanWorkJobs is over how many jobs the mean work of a job is averaged.
	meanWorkJobs = 30
	// ratioTasks is over how many tasks the ratio of actual to estimated
	// duration is averaged.
	ratioTasks = 100
	// maxRatio bounds that ratio, since a few stragglers say little.
	maxRatio = 3
)

// Estimate estimates the resources that a pool will need. Jobs are counted and multiplied by the mean work of a
// job, since the work of a few jobs varies far more than their number. The zero value is ready
// for use.
type Estimate struct {
	// current is the number of the newest bucket, counted from the clock's
	// start.
	current int64
	jobs    [bucketCount]int
	// meanWork is the mean work of a job, and workSamples the number of jobs it
	// is computed from.
	meanWork    Work
	workSamples int
	// ratio is the mean of actual to estimated duration.
	ratio        float64
	ratioSamples int
}

// Work is an amount of resources multiplied by the seconds for which they
// are in use.
type Work struct{ cpu, memory float64 }

// Add counts a job that was submitted now. A job without estimates is left out.
func (d *Estimate) Add(now time.Duration, w Work) {
	if w.cpu == 0 && w.memory == 0 {
		return
	}
	d.advance(now)
	d.jobs[d.current%bucketCount]++
	d.workSamples = min(d.workSamples+1, meanWorkJobs)
	weight := 1 / float64(d.workSamples)
	d.meanWork.cpu += (w.cpu - d.meanWork.cpu) * weight
	d.meanWork.memory += (w.memory - d.meanWork.memory) * weight
}

// AddRatio adds the ratio of actual to estimated duration of a task.
func (d *Estimate) AddRatio(ratio float64) {
	d.ratioSamples = min(d.ratioSamples+1, ratioTasks)
	d.ratio += (min(maxRatio, ratio) - d.ratio) / float64(d.ratioSamples)
}

// advance moves to the bucket of the present and clears the buckets between.
func (d *Estimate) advance(now time.Duration) {
	bucket := int64(now / bucketLength)
	if bucket-d.current > bucketCount {
		d.current = bucket - bucketCount
	}
	for d.current < bucket {
		d.current++
		d.jobs[d.current%bucketCount] = 0
	}
}

// jobsInSpan returns the number of jobs in one of the two spans before the
// current bucket.
func (d *Estimate) jobsInSpan(spansBack int64) float64 {
	n := 0
	for i := int64(1); i <= trendBuckets; i++ {
		n += d.jobs[(d.current-spansBack*trendBuckets-i+2*bucketCount)%bucketCount]
	}
	return float64(n)
}

// Forecast returns the resources that jobs submitted now need, and those needed
// after lead if the trend continues. The trend counts only as far as it exceeds
// random variation.
func (d *Estimate) Forecast(now, lead time.Duration) (current, expected job.Resources) {
	d.advance(now)
	last, before := d.jobsInSpan(0), d.jobsInSpan(1)
	length := (trendBuckets * bucketLength).Seconds()
	// The middle of the last span lies half its length back.
	ahead := lead.Seconds()/length + 0.5
	trend := last - before
	randomVariation := math.Sqrt(last + before)
	trend = math.Copysign(max(0, math.Abs(trend)-randomVariation), trend)
	return d.resourcesFor(last / length), d.resourcesFor(max(0, last+trend*ahead) / length)
}

// MeanRatio returns the mean of actual to estimated duration.
func (d *Estimate) MeanRatio() float64 {
	if d.ratioSamples == 0 {
		return 1
	}
	return d.ratio
}

// resourcesFor returns the resources that a number of jobs per second needs.
func (d *Estimate) resourcesFor(perSecond float64) job.Resources {
	factor := perSecond * d.MeanRatio()
	return job.Resources{CPU: int(factor * d.meanWork.cpu), MemoryMB: int(factor * d.meanWork.memory)}
}

// WorkOf returns the work of a job, going by its estimates.
func WorkOf(s *job.Spec) Work {
	var w Work
	for _, st := range s.Steps {
		seconds := st.Estimate.Seconds() * float64(st.Count)
		w.cpu += seconds * float64(st.ReservedResources().CPU)
		w.memory += seconds * float64(st.ReservedResources().MemoryMB)
	}
	return w
}
