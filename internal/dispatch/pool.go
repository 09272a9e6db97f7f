package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"greengagedeck/internal/verdict"
)

// poolQueue is this daemon's part of one pool: its queue and slots, and what it
// knows of the parts of others.
type poolQueue struct {
	name    string
	metrics *poolMetrics
	// changed tells the reporter that the state may have changed in kind.
	changed func(*poolQueue)

	mu      sync.Mutex
	sched   *Scheduler
	lending *Lending
	zones   *Zones
	// others holds the live daemons of each other zone.
	others map[string][]string
	// answer is closed and replaced when another zone tells its load.
	answer chan struct{}
	// draining is set once this daemon takes no more work.
	draining bool

	// applied is when the last tick was, in nanoseconds of the Unix time.
	applied atomic.Int64
}

// view is what a poolQueue reads again at every tick.
type view struct {
	cfg     SchedulerConfig
	targets []Target
	mates   []string // without this daemon
	others  map[string][]string
}

// route limits where a job may go.
type route struct {
	mate bool // to a zone-mate
	zone bool // to another zone
}

func newPoolQueue(name string, v view, budget *rate.Limiter, m *poolMetrics, changed func(*poolQueue)) *poolQueue {
	p := &poolQueue{
		name:    name,
		metrics: m,
		changed: changed,
		sched:   NewScheduler(v.cfg),
		lending: NewLending(budget),
		zones:   NewZones(budget),
		answer:  make(chan struct{}),
	}
	p.apply(v)
	return p
}

// apply must be called with mu held, or before p is shared.
func (p *poolQueue) apply(v view) {
	p.sched.SetConfig(v.cfg)
	p.sched.SetTargets(v.targets)
	p.lending.SetMates(v.mates)
	names := make([]string, 0, len(v.others))
	for zone := range v.others {
		names = append(names, zone)
	}
	slices.Sort(names)
	p.zones.SetZones(names)
	p.others = v.others
}

// acquire waits until the job gets a slot, which release gives back, or is to
// be handed over. An error is a refusal: the job has not started. ask is called
// with a daemon to ask in each zone where asking is worth it.
func (p *poolQueue) acquire(ctx context.Context, j *Job, r route, ask func(map[string]string)) (Start, error) {
	granted := make(chan Start, 1)
	j.Granted = func(s Start) { granted <- s }
	a := p.admit(j, r)
	if len(a.ask) > 0 {
		ask(a.ask)
	}
	if a.err != nil {
		return Start{}, a.err
	}
	if a.to != "" {
		return Start{Job: j, HandTo: a.to}, nil
	}
	select {
	case s := <-granted:
		return settle(s)
	case <-ctx.Done():
	}
	if p.cancel(j) {
		p.metrics.cancelled.Inc(1)
		return Start{}, contextError(ctx)
	}
	// The decision came first; a slot that was given is given back.
	s := <-granted
	if s.Refusal != nil {
		return Start{}, s.Refusal
	}
	if s.HandTo == "" {
		p.release(j, false)
	}
	return Start{}, contextError(ctx)
}

func settle(s Start) (Start, error) {
	if s.Refusal != nil {
		return Start{}, s.Refusal
	}
	return s, nil
}

// admission is what becomes of a new job: it is queued, unless to names the
// daemon that should have it or err refuses it.
type admission struct {
	to  string
	err error
	ask map[string]string // daemon to ask by zone
}

func (p *poolQueue) admit(j *Job, r route) admission {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.draining {
		return admission{err: verdict.NewNotRun(verdict.ReasonStopping, "daemon is stopping")}
	}
	var a admission
	if p.sched.Full(j) {
		a = p.elsewhere(now, j, r)
		if a.to != "" {
			return a
		}
	}
	if !p.sched.Fits(j) {
		a.err = verdict.NewNotRun(verdict.ReasonNoTarget, "no host of %s in this zone takes the request", p.name)
		return a
	}
	if e := p.sched.Offer(now, j); e != nil {
		a.err = e
		return a
	}
	p.pump(now)
	return a
}

// elsewhere looks for a daemon that would start a job sooner.
func (p *poolQueue) elsewhere(now time.Time, j *Job, r route) admission {
	if r.mate {
		if to, ok := p.lending.LendTo(p.sched.Long(j)); ok {
			p.metrics.lent.Inc(1)
			return admission{to: to}
		}
	}
	if !r.zone || len(p.others) == 0 {
		return admission{}
	}
	wait, size := p.sched.Wait(j)
	if !p.sched.Fits(j) {
		wait = j.Deadline.Sub(now)
	}
	a := admission{ask: p.questions(now, wait)}
	if zone, ok := p.zones.Choose(now, wait, size, nil); ok {
		a.to = p.anyOf(zone)
	}
	if a.to != "" {
		p.metrics.handedOn.Inc(1)
	}
	return a
}

// anyOf returns a daemon of another zone at random, so that a zone's daemons
// share what others hand on.
func (p *poolQueue) anyOf(zone string) string {
	ids := p.others[zone]
	if len(ids) == 0 {
		return ""
	}
	return ids[rand.IntN(len(ids))]
}

// questions returns a daemon to ask for its load in each zone where asking is
// worth it.
func (p *poolQueue) questions(now time.Time, wait time.Duration) map[string]string {
	var out map[string]string
	for _, zone := range p.zones.Ask(now, wait) {
		id := p.anyOf(zone)
		if id == "" {
			continue
		}
		if out == nil {
			out = map[string]string{}
		}
		out[zone] = id
	}
	return out
}

func (p *poolQueue) answered(zone string, l Load, roundTrip time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zones.Observe(time.Now(), zone, l, roundTrip)
	close(p.answer)
	p.answer = make(chan struct{})
}

// nextAnswer returns a channel that is closed when a zone answers.
func (p *poolQueue) nextAnswer() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answer
}

func (p *poolQueue) load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return Load{}
	}
	return p.sched.Load()
}

func (p *poolQueue) cancel(j *Job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sched.Cancel(j) {
		return false
	}
	p.note(time.Now())
	return true
}

// release gives a slot back; ran tells whether the host ran the job.
func (p *poolQueue) release(j *Job, ran bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.sched.Finish(now, j, ran)
	p.pump(now)
}

// pump hands out every decision that can be made now. Granted must not block.
func (p *poolQueue) pump(now time.Time) {
	for {
		s, ok := p.sched.Next(now)
		if !ok {
			break
		}
		s.Job.Granted(s)
	}
	p.note(now)
}

// note tells the reporter if the zone-mates should hear of the state.
func (p *poolQueue) note(now time.Time) {
	if p.lending.Due(now, p.state()) {
		p.changed(p)
	}
}

// push hands waiting jobs to zone-mates with free slots.
func (p *poolQueue) push() {
	for _, long := range []bool{false, true} {
		for p.sched.State().Waits(long) {
			to, ok := p.lending.LendTo(long)
			if !ok || !p.surrender(to, long) {
				break
			}
		}
	}
}

// surrender hands the next waiting job to a zone-mate.
func (p *poolQueue) surrender(to string, long bool) bool {
	j, ok := p.sched.Surrender(long)
	if !ok {
		return false
	}
	p.metrics.lent.Inc(1)
	j.Granted(Start{Job: j, HandTo: to})
	return true
}

// observe takes in a zone-mate's state.
func (p *poolQueue) observe(mate string, s State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lending.Observe(mate, s)
	if !p.draining {
		p.push()
	}
	p.note(time.Now())
}

// pulled gives a waiting job to the zone-mate that asks for one.
func (p *poolQueue) pulled(mate string, long bool, s State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lending.Observe(mate, s)
	p.surrender(mate, long)
	p.note(time.Now())
}

// state is what zone-mates are told; a stopping daemon has nothing to lend.
func (p *poolQueue) state() State {
	s := p.sched.State()
	if p.draining {
		s.Free, s.LongFree = 0, 0
	}
	return s
}

func (p *poolQueue) currentState() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state()
}

// report is what to send to zone-mates now.
type report struct {
	send  bool
	state State
	again time.Duration
	// pull names a zone-mate to ask for a waiting job, if any.
	pull     string
	pullLong bool
}

func (p *poolQueue) report(now time.Time) report {
	p.mu.Lock()
	defer p.mu.Unlock()
	var r report
	r.state = p.state()
	r.send, r.again = p.lending.Report(now, r.state)
	if p.draining {
		return r
	}
	if mate, long, ok := p.lending.Pull(now, r.state); ok {
		r.pull, r.pullLong = mate, long
	}
	return r
}

// drain gives every waiting job away: to the mates in turn, and refuses those
// that came from another daemon, which keeps them.
func (p *poolQueue) drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
	mates := p.lending.Mates()
	for i, j := range p.sched.Waiting() {
		p.sched.Cancel(j)
		if j.Foreign || len(mates) == 0 {
			e := verdict.NewNotRun(verdict.ReasonStopping, "daemon is stopping")
			e.RetryAfter = minRetryAfter
			j.Granted(Start{Job: j, Refusal: e})
			continue
		}
		p.metrics.lent.Inc(1)
		j.Granted(Start{Job: j, HandTo: mates[i%len(mates)]})
	}
	p.note(time.Now())
}
