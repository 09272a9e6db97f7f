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

// poolQueue is this daemon's part of one pool: its queue and slots, and the
// reported state of zone peers and other zones.
type poolQueue struct {
	name    string
	metrics *poolMetrics
	// notifyReporter tells the reporter that a report or a pull may be due.
	notifyReporter func(*poolQueue)

	mu           sync.Mutex
	scheduler    *Scheduler
	balancer     *PeerBalancer
	zoneSelector *ZoneSelector
	// otherZones holds the live daemons of each other zone.
	otherZones map[string][]string
	// loadReceived is closed and replaced when another zone reports its
	// load.
	loadReceived chan struct{}
	// draining is set once this daemon takes no more work.
	draining bool

	// lastTick is the time of the last tick, in nanoseconds since the Unix
	// epoch.
	lastTick atomic.Int64
}

// poolView is the configuration, hosts and daemons that a poolQueue reads again
// at every tick.
type poolView struct {
	config     SchedulerConfig
	targets    []Target
	zonePeers  []string // without this daemon
	otherZones map[string][]string
}

// handoverScope limits where a job may be handed over.
type handoverScope struct {
	zonePeer  bool // to a zone peer
	otherZone bool // to another zone
}

func newPoolQueue(name string, v poolView, budget *rate.Limiter, m *poolMetrics, notifyReporter func(*poolQueue)) *poolQueue {
	p := &poolQueue{
		name:           name,
		metrics:        m,
		notifyReporter: notifyReporter,
		scheduler:      NewScheduler(v.config),
		balancer:       NewPeerBalancer(budget),
		zoneSelector:   NewZoneSelector(budget),
		loadReceived:   make(chan struct{}),
	}
	p.apply(v)
	return p
}

// apply must be called with mu held, or before p is shared.
func (p *poolQueue) apply(v poolView) {
	p.scheduler.SetConfig(v.config)
	p.scheduler.SetTargets(v.targets)
	p.balancer.SetZonePeers(v.zonePeers)
	names := make([]string, 0, len(v.otherZones))
	for zone := range v.otherZones {
		names = append(names, zone)
	}
	slices.Sort(names)
	p.zoneSelector.SetZones(names)
	p.otherZones = v.otherZones
}

// acquire waits until the job gets a slot, which release gives back, or is to
// be handed over. An error is a rejection: the job has not started. query is
// called with the daemons to query for their load, by zone, if there are any.
func (p *poolQueue) acquire(ctx context.Context, j *Job, r handoverScope, query func(map[string]string)) (Decision, error) {
	granted := make(chan Decision, 1)
	j.OnDecision = func(s Decision) { granted <- s }
	a := p.admit(j, r)
	if len(a.queries) > 0 {
		query(a.queries)
	}
	if a.err != nil {
		return Decision{}, a.err
	}
	if a.handOverTo != "" {
		return Decision{Job: j, HandOverTo: a.handOverTo}, nil
	}
	select {
	case s := <-granted:
		return decisionResult(s)
	case <-ctx.Done():
	}
	if p.cancel(j) {
		p.metrics.cancelled.Inc(1)
		return Decision{}, contextError(ctx)
	}
	// The decision came before the cancellation: give back a slot that was
	// granted.
	s := <-granted
	if s.Rejection != nil {
		return Decision{}, s.Rejection
	}
	if s.HandOverTo == "" {
		p.release(j, false)
	}
	return Decision{}, contextError(ctx)
}

func decisionResult(s Decision) (Decision, error) {
	if s.Rejection != nil {
		return Decision{}, s.Rejection
	}
	return s, nil
}

// admission is the outcome of admitting a new job: it is queued, unless
// handOverTo names the daemon that should take it or err rejects it.
type admission struct {
	handOverTo string
	err        error
	queries    map[string]string // daemon to query for its load, by zone
}

func (p *poolQueue) admit(j *Job, r handoverScope) admission {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.draining {
		return admission{err: verdict.NewNotRun(verdict.ReasonStopping, "daemon is stopping")}
	}
	var a admission
	if p.scheduler.MustWait(j) {
		a = p.findOtherDaemon(now, j, r)
		if a.handOverTo != "" {
			return a
		}
	}
	if !p.scheduler.FitsAnyHost(j) {
		a.err = verdict.NewNotRun(verdict.ReasonNoTarget, "no host of %s in this zone takes the request", p.name)
		return a
	}
	if e := p.scheduler.Enqueue(now, j); e != nil {
		a.err = e
		return a
	}
	p.dispatchReady(now)
	return a
}

// findOtherDaemon looks for a daemon that would start a job sooner.
func (p *poolQueue) findOtherDaemon(now time.Time, j *Job, r handoverScope) admission {
	if r.zonePeer {
		if to, ok := p.balancer.ReserveSlot(p.scheduler.IsLong(j)); ok {
			p.metrics.handedToPeers.Inc(1)
			return admission{handOverTo: to}
		}
	}
	if !r.otherZone || len(p.otherZones) == 0 {
		return admission{}
	}
	wait, runTime := p.scheduler.EstimateWait(j)
	if !p.scheduler.FitsAnyHost(j) {
		wait = j.Deadline.Sub(now)
	}
	a := admission{queries: p.loadQueries(now, wait)}
	if zone, ok := p.zoneSelector.Choose(now, wait, runTime, nil); ok {
		a.handOverTo = p.randomDaemon(zone)
	}
	if a.handOverTo != "" {
		p.metrics.handedToZones.Inc(1)
	}
	return a
}

// randomDaemon returns a random daemon of another zone, so that the zone's
// daemons share the requests handed over to it.
func (p *poolQueue) randomDaemon(zone string) string {
	ids := p.otherZones[zone]
	if len(ids) == 0 {
		return ""
	}
	return ids[rand.IntN(len(ids))]
}

// loadQueries returns the daemons to query for their load, one in each zone for
// which DueQueries allows a query, by zone.
func (p *poolQueue) loadQueries(now time.Time, wait time.Duration) map[string]string {
	var out map[string]string
	for _, zone := range p.zoneSelector.DueQueries(now, wait) {
		id := p.randomDaemon(zone)
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

func (p *poolQueue) observeZoneLoad(zone string, l Load, roundTrip time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zoneSelector.Observe(time.Now(), zone, l, roundTrip)
	close(p.loadReceived)
	p.loadReceived = make(chan struct{})
}

// nextZoneLoad returns a channel that is closed when a zone reports its load.
func (p *poolQueue) nextZoneLoad() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loadReceived
}

func (p *poolQueue) load() Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return Load{}
	}
	return p.scheduler.Load()
}

func (p *poolQueue) cancel(j *Job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.scheduler.Cancel(j) {
		return false
	}
	p.notifyIfDue(time.Now())
	return true
}

// release gives a slot back. ran is true if the host ran the job.
func (p *poolQueue) release(j *Job, ran bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.scheduler.Finish(now, j, ran)
	p.dispatchReady(now)
}

// dispatchReady makes every decision that can be made now and calls OnDecision,
// which must not block.
func (p *poolQueue) dispatchReady(now time.Time) {
	for {
		s, ok := p.scheduler.Next(now)
		if !ok {
			break
		}
		s.Job.OnDecision(s)
	}
	p.notifyIfDue(now)
}

// notifyIfDue tells the reporter if a report to the zone peers or a pull is
// due.
func (p *poolQueue) notifyIfDue(now time.Time) {
	if p.balancer.ActionDue(now, p.state()) {
		p.notifyReporter(p)
	}
}

// handOverToPeers hands waiting jobs over to zone peers with free slots.
func (p *poolQueue) handOverToPeers() {
	for _, long := range []bool{false, true} {
		for p.scheduler.State().HasQueued(long) {
			to, ok := p.balancer.ReserveSlot(long)
			if !ok || !p.handOverNext(to, long) {
				break
			}
		}
	}
}

// handOverNext hands the next waiting job over to a zone peer.
func (p *poolQueue) handOverNext(to string, long bool) bool {
	j, ok := p.scheduler.TakeForHandover(long)
	if !ok {
		return false
	}
	p.metrics.handedToPeers.Inc(1)
	j.OnDecision(Decision{Job: j, HandOverTo: to})
	return true
}

// observePeer records a zone peer's state and hands over waiting jobs to free
// zone peers.
func (p *poolQueue) observePeer(zonePeer string, s PoolState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Observe(zonePeer, s)
	if !p.draining {
		p.handOverToPeers()
	}
	p.notifyIfDue(time.Now())
}

// servePull hands a waiting job over to the zone peer that asks for one.
func (p *poolQueue) servePull(zonePeer string, long bool, s PoolState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Observe(zonePeer, s)
	p.handOverNext(zonePeer, long)
	p.notifyIfDue(time.Now())
}

// state returns the state to report to zone peers. A draining daemon reports no
// free slots.
func (p *poolQueue) state() PoolState {
	s := p.scheduler.State()
	if p.draining {
		s.Free, s.FreeLong = 0, 0
	}
	return s
}

func (p *poolQueue) currentState() PoolState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state()
}

// reportPlan holds the messages to send to zone peers now.
type reportPlan struct {
	send    bool
	state   PoolState
	retryIn time.Duration
	// pullFrom names a zone peer to ask for a waiting job, if any.
	pullFrom string
	pullLong bool
}

func (p *poolQueue) report(now time.Time) reportPlan {
	p.mu.Lock()
	defer p.mu.Unlock()
	var r reportPlan
	r.state = p.state()
	r.send, r.retryIn = p.balancer.ReportDue(now, r.state)
	if p.draining {
		return r
	}
	if zonePeer, long, ok := p.balancer.NextPull(now, r.state); ok {
		r.pullFrom, r.pullLong = zonePeer, long
	}
	return r
}

// drain hands the waiting jobs over to the zone peers in turn. It rejects jobs
// that must stay on this daemon, such as those that another daemon handed over and
// still holds. If there are no zone peers, it rejects all jobs.
func (p *poolQueue) drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
	zonePeers := p.balancer.ZonePeers()
	for i, j := range p.scheduler.WaitingJobs() {
		p.scheduler.Cancel(j)
		if j.NoHandover || len(zonePeers) == 0 {
			e := verdict.NewNotRun(verdict.ReasonStopping, "daemon is stopping")
			e.RetryAfter = minRetryAfter
			j.OnDecision(Decision{Job: j, Rejection: e})
			continue
		}
		p.metrics.handedToPeers.Inc(1)
		j.OnDecision(Decision{Job: j, HandOverTo: zonePeers[i%len(zonePeers)]})
	}
	p.notifyIfDue(time.Now())
}
