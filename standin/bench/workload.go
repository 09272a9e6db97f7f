package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/request"
)

// work is one request of a run.
type work struct {
	entry    string
	team     string
	class    request.Class // declared
	arrive   time.Duration
	service  time.Duration
	deadline time.Duration // from arrival
	limits   dispatch.JobLimits
	short    bool // what it really is
	daemon   int
	zone     int
	// handed is set once another zone has it.
	handed bool
	// large is set for work that fits the hosts of some zones only.
	large bool
	// oneQueue is set to put all teams into one queue.
	oneQueue bool
}

// stream is a Poisson stream of requests of one entry.
type stream struct {
	entry string
	team  string
	class request.Class
	// rate returns requests a second at a time.
	rate func(time.Duration) float64
	// peak is the highest rate.
	peak float64
	// service draws a service time.
	service  func(*rand.Rand) time.Duration
	deadline time.Duration
	limits   dispatch.JobLimits
	short    bool
	zone     int
}

// The work that runs are made of.
const (
	shortMean     = 20 * time.Millisecond
	longMean      = 2 * time.Second
	shortDeadline = 2 * time.Second
	longDeadline  = 120 * time.Second
	queueLimit    = 400
)

// generate draws the arrivals of all streams until end, in order of time, each
// at a random daemon.
// skew is the share of requests that go to daemon 0 instead of a random one.
func generate(rng *rand.Rand, streams []stream, daemons int, skew float64, end time.Duration) []*work {
	var all []*work
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
	slices.SortStableFunc(all, func(a, b *work) int { return int(a.arrive - b.arrive) })
	return all
}

func (st *stream) draw(rng *rand.Rand, t time.Duration, daemons int, skew float64) *work {
	w := &work{
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
		w.daemon = 0
	}
	return w
}

// job returns w as a job of a daemon that holds the queue of so many daemons.
func (w *work) job(queues int) *dispatch.Job {
	limits := w.limits
	limits.Queue *= queues
	entry, team := w.entry, w.team
	if w.oneQueue {
		entry, team = "all", "all"
	}
	return &dispatch.Job{
		Entry:    entry,
		Team:     team,
		Class:    w.class,
		Deadline: epoch.Add(w.arrive + w.deadline),
		Limits:   limits,
	}
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// The turns of a burst: five times the mean while on, a twentieth while off,
// and on for the part of the time that keeps the mean.
const (
	burstOn    = 3 * time.Second
	burstCycle = 15600 * time.Millisecond
	burstHigh  = 5.0
	burstLow   = 0.05
)

func bursts(mean float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t%burstCycle < burstOn {
			return burstHigh * mean
		}
		return burstLow * mean
	}
}

func exponential(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(rng *rand.Rand) time.Duration {
		return time.Duration(rng.ExpFloat64() * float64(mean))
	}
}

// shortStream is short work of one entry at a rate.
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

// longStream is long work that declares the given class.
func longStream(entry, team string, rate float64, declared request.Class) stream {
	return stream{
		entry:    entry,
		team:     team,
		class:    declared,
		rate:     constant(rate),
		peak:     rate,
		service:  exponential(longMean),
		deadline: longDeadline,
		limits:   dispatch.JobLimits{Queue: queueLimit},
	}
}
