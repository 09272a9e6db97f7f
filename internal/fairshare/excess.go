package fairshare

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
)

const (
	// burstSeconds is how many seconds' worth of jobs a customer may submit at once.
	burstSeconds = 2
	// minBurst is the least burst, in jobs. With one, a customer of a weight below one
	// would exceed its rate with every job that comes a little early.
	minBurst = 2
)

// Entitlements count the jobs that customers submit to one pool against what their
// weights entitle them to. Times are by any monotonic clock.
type Entitlements struct {
	weights Weights
	buckets map[customer.ID]*bucket
}

// bucket is the token bucket of one customer.
type bucket struct {
	limiter *rate.Limiter
	// last is the latest time that was passed to the limiter, which must not go back.
	last time.Duration
}

// NewEntitlements returns the entitlements by given weights.
func NewEntitlements(w Weights) *Entitlements {
	return &Entitlements{weights: w, buckets: map[customer.ID]*bucket{}}
}

// SetWeights changes the weights. Customers keep what they have used.
func (e *Entitlements) SetWeights(w Weights, known func(customer.ID) bool) {
	e.weights = w
	for id, b := range e.buckets {
		if !known(id) {
			delete(e.buckets, id)
			continue
		}
		at := instant(b.last)
		b.limiter.SetLimitAt(at, rate.Limit(w.Of(id)))
		b.limiter.SetBurstAt(at, burst(w.Of(id)))
	}
}

// burst returns how many jobs a customer may submit at once.
func burst(weight float64) int {
	return int(max(minBurst, min(math.MaxInt32, math.Ceil(burstSeconds*weight))))
}

// instant converts a reading of the clock for the limiters. A reading of 0 is not the zero
// time, which they take for a time in the distant past.
func instant(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

// bucket returns the bucket of a customer and the time to use it with.
func (e *Entitlements) bucket(id customer.ID, at time.Duration) (*bucket, time.Time) {
	b := e.buckets[id]
	if b == nil {
		weight := e.weights.Of(id)
		b = &bucket{limiter: rate.NewLimiter(rate.Limit(weight), burst(weight)), last: at}
		e.buckets[id] = b
	}
	return b, instant(max(at, b.last))
}

// Exceeded reports whether a job that a customer submits is excess.
func (e *Entitlements) Exceeded(id customer.ID, at time.Duration) bool {
	b, t := e.bucket(id, at)
	missing := 1 - b.limiter.TokensAt(t)
	// The limiter too ignores what is there within a nanosecond.
	return missing > 0 && missing/float64(b.limiter.Limit()) >= time.Nanosecond.Seconds()
}

// Submitted counts a job that a customer has submitted. It reports whether the job is
// excess, which uses up nothing.
func (e *Entitlements) Submitted(id customer.ID, at time.Duration) (excess bool) {
	b, t := e.bucket(id, at)
	b.last = max(at, b.last)
	return !b.limiter.AllowN(t, 1)
}

// Work is an amount of resources times the seconds for which they are in use.
type Work struct{ CPU, MemoryMB float64 }

// WorkOf returns the work of a number of equal tasks.
func WorkOf(need job.Resources, tasks int, duration time.Duration) Work {
	seconds := duration.Seconds() * float64(tasks)
	return Work{CPU: seconds * float64(need.CPU), MemoryMB: seconds * float64(need.MemoryMB)}
}

// Add returns the sum of two amounts.
func (w Work) Add(o Work) Work { return Work{CPU: w.CPU + o.CPU, MemoryMB: w.MemoryMB + o.MemoryMB} }

// maxWorkTime bounds the time that Time returns.
const maxWorkTime = time.Hour

// Time returns how long a capacity takes to do the work, at most an hour. Without any
// capacity for it, it is an hour.
func (w Work) Time(capacity job.Resources) time.Duration {
	return min(maxWorkTime, max(timeFor(w.CPU, capacity.CPU), timeFor(w.MemoryMB, capacity.MemoryMB)))
}

func timeFor(work float64, capacity int) time.Duration {
	if work <= 0 {
		return 0
	}
	if capacity <= 0 {
		return maxWorkTime
	}
	return time.Duration(min(maxWorkTime.Seconds(), work/float64(capacity)) * float64(time.Second))
}

// minRetryAfter is the least time after which a rejected caller is to come back.
const minRetryAfter = time.Second

// RetryAfter returns when a rejected caller is to come back, given the time in which the
// work ahead of its job is done. spread is a random number from 0 to 1, so that callers
// do not all come back at once.
func RetryAfter(wait time.Duration, spread float64) time.Duration {
	wait = max(minRetryAfter, wait)
	return wait + time.Duration(spread*float64(wait))
}

const (
	// inflowTime is over how long an Inflow averages, and minInflowTime over how long at
	// least after its start, when a single burst tells little.
	inflowTime    = 10 * time.Second
	minInflowTime = 4 * time.Second
)

// Inflow is the rate at which work comes, with older work counting less. The zero value is
// that of none.
type Inflow struct {
	sum       Work
	start, at time.Duration
	started   bool
}

// Add adds work that comes at a moment.
func (f *Inflow) Add(w Work, now time.Duration) {
	if !f.started {
		f.start, f.at, f.started = now, now, true
	}
	f.sum = f.decayed(now).Add(w)
	f.at = max(f.at, now)
}

// Rate returns the resources that the work takes as it comes.
func (f *Inflow) Rate(now time.Duration) job.Resources {
	w, over := f.decayed(now), inflowTime.Seconds()
	over *= 1 - math.Exp(-max(minInflowTime, now-f.start).Seconds()/over)
	return job.Resources{CPU: int(w.CPU / over), MemoryMB: int(w.MemoryMB / over)}
}

func (f *Inflow) decayed(now time.Duration) Work {
	factor := math.Exp(-max(0, now-f.at).Seconds() / inflowTime.Seconds())
	return Work{CPU: f.sum.CPU * factor, MemoryMB: f.sum.MemoryMB * factor}
}
