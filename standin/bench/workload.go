package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/request"
)

// simRequest is one request of a run.
type simRequest struct {
	entry    string
	team     string
	class    request.Class // declared
	arrive   time.Duration
	service  time.Duration
	deadline time.Duration // from arrival
	limits   dispatch.JobLimits
	short    bool // set if the work is short, whatever class it declares
	daemon   int
	zone     int
	// handedOver is set once the request was handed over to another zone.
	handedOver bool
	// large is set if only the hosts of some zones are large enough for the
	// request.
	large bool
	// sharedQueue puts the requests of all entries and teams into one queue.
	sharedQueue bool
}

// stream is a Poisson stream of requests of one entry.
type stream struct {
	entry string
	team  string
	class request.Class
	// rate returns the requests per second at a virtual time.
	rate func(time.Duration) float64
	// peak is the highest rate.
	peak float64
	// service draws a random service time.
	service  func(*rand.Rand) time.Duration
	deadline time.Duration
	limits   dispatch.JobLimits
	short    bool
	zone     int
}

// Parameters of the generated work.
const (
	shortMean     = 20 * time.Millisecond
	longMean      = 2 * time.Second
	shortDeadline = 2 * time.Second
	longDeadline  = 120 * time.Second
	queueLimit    = 400
)

// generate draws the arrivals of all streams until end and returns them in order of
// time. A request goes to a random daemon; with probability skew it goes to
// daemon 0 instead.
func generate(rng *rand.Rand, streams []stream, daemons int, skew float64, end time.Duration) []*simRequest {
	var all []*simRequest
	for _, st := range streams {
		if st.peak <= 0 {
			continue
		}
		t := time.Duration(0)
		for {
			t += time.Duration(rng.ExpFloat64() / st.peak * float64(time.Second))
			if t >= end {
				break
			}
			if rng.Float64()*st.peak > st.rate(t) {
				continue
			}
			all = append(all, st.draw(rng, t, daemons, skew))
		}
	}
	slices.SortStableFunc(all, func(a, b *simRequest) int { return int(a.arrive - b.arrive) })
	return all
}

func (st *stream) draw(rng *rand.Rand, t time.Duration, daemons int, skew float64) *simRequest {
	req := &simRequest{
		entry:    st.entry,
		team:     st.team,
		class:    st.class,
		arrive:   t,
		service:  st.service(rng),
		deadline: st.deadline,
		limits:   st.limits,
		short:    st.short,
		daemon:   rng.IntN(daemons),
		zone:     st.zone,
	}
	if rng.Float64() < skew {
		req.daemon = 0
	}
	return req
}

// job returns req as a job for a daemon whose queue stands for the queues of the given
// number of daemons.
func (req *simRequest) job(queues int) *dispatch.Job {
	limits := req.limits
	limits.Queue *= queues
	entry, team := req.entry, req.team
	if req.sharedQueue {
		entry, team = "all", "all"
	}
	return &dispatch.Job{
		Entry:    entry,
		Team:     team,
		Class:    req.class,
		Deadline: epoch.Add(req.arrive + req.deadline),
		Limits:   limits,
	}
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Parameters of a stream with bursts. Its rate is five times the mean for
// burstDuration and a twentieth of the mean for the rest of burstCycle; the ratio
// of the two durations keeps the mean.
const (
	burstDuration = 3 * time.Second
	burstCycle    = 15600 * time.Millisecond
	burstFactor   = 5.0
	quietFactor   = 0.05
)

func burstRate(mean float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t%burstCycle < burstDuration {
			return burstFactor * mean
		}
		return quietFactor * mean
	}
}

func exponential(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(rng *rand.Rand) time.Duration {
		return time.Duration(rng.ExpFloat64() * float64(mean))
	}
}

// shortStream returns a stream of short work of one entry.
func shortStream(entry, team string, rate func(time.Duration) float64, peak float64) stream {
	return stream{
		entry:    entry,
		team:     team,
		class:    request.ClassShort,
		rate:     rate,
		peak:     peak,
		service:  exponential(shortMean),
		deadline: shortDeadline,
		limits:   dispatch.JobLimits{Queue: queueLimit},
		short:    true,
	}
}

// longStream returns a stream of long work that declares the given class.
func longStream(entry, team string, rate float64, declared request.Class) stream {
	return stream{
		entry:    entry,
		team:     team,
		class:    declared,
		rate:     constantRate(rate),
		peak:     rate,
		service:  exponential(longMean),
		deadline: longDeadline,
		limits:   dispatch.JobLimits{Queue: queueLimit},
	}
}
