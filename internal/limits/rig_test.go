package limits

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/duty"
	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/record"
)

// bubbleClock reads the virtual time of a synctest bubble. It starts at an hour.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() time.Duration { return time.Hour + time.Since(c.start) }
func (c bubbleClock) Wall() time.Time    { return time.Now() }

// linkFault is what happens to the messages from one daemon to another.
type linkFault struct {
	// cut messages do not arrive. The responses to lost ones do not.
	cut, lost bool
	// delay is the time that a message takes, and back that of its response.
	delay, back time.Duration
}

const (
	rigDaemons = 4
	rigTick    = 10 * time.Millisecond
	// rigCapacity is how many tasks the workers of a pool can run.
	rigCapacity = 40
	// effectTime is the time in which a configuration comes into effect on every daemon. A start
	// may be within any limit that was in effect within it.
	effectTime = 3 * time.Second
)

// rig is a fleet of daemons with real services and clients in a synctest bubble. The daemon that
// holds pool N is number N modulo rigDaemons.
type rig struct {
	ctx    context.Context
	clock  bubbleClock
	log    *logtest.Log
	policy *policy.Current
	config *Config
	pools  []*rigPool
	work   sync.WaitGroup

	mu        sync.Mutex
	services  map[string]*Service
	fleet     duty.Claim
	stopFleet context.CancelFunc
	// views are claims of the fleet duty that some daemons know instead of the last one.
	views map[string]duty.Claim
	link  func(from, to string) linkFault
	calls int
	// limits are those that were in effect, with when each was replaced.
	limits     []rigLimit
	starts     int
	violations []string
}

type rigLimit struct {
	cores int
	until time.Duration
}

// rigPool is a pool with what really runs on its workers.
type rigPool struct {
	rig  *rig
	name string
	// epoch is the token of the holder whose plans the pool's progress log takes.
	epoch   int64
	holder  *rigHolder
	queued  int
	running []time.Duration
	// startedTasks counts the tasks that the pool has started.
	startedTasks int64
	// duration is how long tasks take.
	duration time.Duration
}

// rigHolder is a holder of a pool. One that the progress log has fenced off reports that nothing
// runs, the worst that it can.
type rigHolder struct {
	pool    *rigPool
	token   int64
	grants  Grants
	blocked chan struct{}
	stop    context.CancelFunc
}

// rigTask is what a task of customer x needs.
var rigTask = job.Resources{CPU: 1000, MemoryMB: 2000}

func daemonName(i int) string { return fmt.Sprintf("d%d", i%rigDaemons) }

func member(name string) duty.Member { return duty.Member{Host: name, Incarnation: 1} }

// newRig returns a running fleet whose customer x may use a number of cores.
func newRig(ctx context.Context, pools, cores int) *rig {
	r := &rig{
		ctx: ctx, clock: bubbleClock{time.Now()}, log: logtest.New(), policy: &policy.Current{},
		services: map[string]*Service{}, views: map[string]duty.Claim{},
	}
	r.config = NewConfig(r.policy)
	r.logFault(func(logtest.Call) logtest.Fault { return logtest.Fault{} })
	for i := range pools {
		r.pools = append(r.pools, &rigPool{rig: r, name: fmt.Sprintf("p%d", i), duration: 400 * time.Millisecond})
	}
	for i := range rigDaemons {
		name := daemonName(i)
		r.services[member(name).ID()] = NewService(ServiceOptions{
			Log: r.log.Client(name), Config: r.config, Clock: r.clock, Held: func(string) bool { return true },
			RetireAfter: 10 * time.Second, Logger: zerolog.Nop(), Scope: tally.NoopScope,
		})
	}
	r.setLimit(cores)
	r.takeFleet(0, 0)
	for i := range r.pools {
		r.takePool(i, 0)
	}
	r.work.Go(r.run)
	return r
}

// logFault sets the faults of calls to the log, which take 6 ms otherwise.
func (r *rig) logFault(f func(logtest.Call) logtest.Fault) {
	r.log.SetFault(func(c logtest.Call) logtest.Fault {
		out := f(c)
		if out == (logtest.Fault{}) {
			out = logtest.Fault{Delay: 3 * time.Millisecond, ResponseDelay: 3 * time.Millisecond}
		}
		return out
	})
}

// setLimit sets the limit of customer x; 0 is none.
func (r *rig) setLimit(cores int) {
	var limits map[customer.ID]job.Resources
	if cores > 0 {
		limits = map[customer.ID]job.Resources{"x": {CPU: 1000 * cores}}
	}
	var names []string
	for _, p := range r.pools {
		names = append(names, p.name)
	}
	version := int64(1)
	if p := r.policy.Get(); p != nil {
		version = p.Version + 1
	}
	r.mu.Lock()
	if n := len(r.limits); n > 0 {
		r.limits[n-1].until = r.clock.Now()
	}
	r.limits = append(r.limits, rigLimit{cores: cores, until: 1 << 62})
	r.mu.Unlock()
	r.policy.Set(testPolicy(version, names, limits))
}

// allowed returns the highest limit that may be in effect.
func (r *rig) allowed() int {
	highest := 0
	for _, l := range r.limits {
		switch {
		case r.clock.Now() >= l.until+effectTime:
		case l.cores == 0:
			return math.MaxInt
		default:
			highest = max(highest, l.cores)
		}
	}
	return highest
}

// lease is a lease that ends at a time.
type lease struct {
	clock bubbleClock
	until time.Duration
}

func (l lease) Remaining() time.Duration { return max(0, l.until-l.clock.Now()) }

// takeFleet has a daemon take over the fleet duty. The earlier holder acts for overlap longer.
func (r *rig) takeFleet(daemon int, overlap time.Duration) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.mu.Lock()
	stop := r.stopFleet
	name := daemonName(daemon)
	r.fleet = duty.Claim{Duty: duty.Fleet, Holder: member(name), Token: r.fleet.Token + 1}
	token, s := int64(r.fleet.Token), r.services[member(name).ID()]
	r.stopFleet = cancel
	r.mu.Unlock()
	if stop != nil {
		r.work.Go(func() { time.Sleep(overlap); stop() })
	}
	r.work.Go(func() { s.Run(ctx, token, lease{r.clock, 1 << 62}) })
}

// takePool has a new holder take over a pool. The client of the earlier one goes on for overlap.
func (r *rig) takePool(i int, overlap time.Duration) {
	p := r.pools[i]
	ctx, cancel := context.WithCancel(r.ctx)
	r.mu.Lock()
	earlier := p.holder
	p.epoch++
	h := &rigHolder{pool: p, token: p.epoch, blocked: make(chan struct{}, 1), stop: cancel}
	p.holder = h
	r.mu.Unlock()
	if earlier != nil {
		r.work.Go(func() { time.Sleep(overlap); earlier.stop() })
	}
	name := daemonName(i)
	c := NewClient(ClientOptions{
		PoolName: p.name, Token: h.token, Pool: h, Self: member(name), Holders: rigView{r, name}, Caller: rigCaller{r, name},
		Local: r.services[member(name).ID()], Log: r.log.Client(name), Config: r.config, Clock: r.clock,
		Logger: zerolog.Nop(), Scope: tally.NoopScope,
	})
	r.work.Go(func() { _ = c.Run(ctx) })
}

// rigView is what a daemon knows of the holder of the fleet duty.
type rigView struct {
	rig  *rig
	name string
}

func (v rigView) Holder(duty.Name) (duty.Claim, bool) {
	v.rig.mu.Lock()
	defer v.rig.mu.Unlock()
	if c, ok := v.rig.views[v.name]; ok {
		return c, true
	}
	return v.rig.fleet, true
}

// rigCaller sends the messages of a daemon.
type rigCaller struct {
	rig  *rig
	from string
}

func (c rigCaller) Send(context.Context, string, peer.Method, any) error { return nil }

func (c rigCaller) Call(ctx context.Context, to string, _ peer.Method, req, resp any) error {
	c.rig.mu.Lock()
	c.rig.calls++
	var f linkFault
	if c.rig.link != nil {
		f = c.rig.link(c.from, to)
	}
	s := c.rig.services[to]
	c.rig.mu.Unlock()
	body, err := record.Encode(req)
	if err != nil || f.cut {
		<-ctx.Done()
		return peer.ErrLost
	}
	answer := make(chan error, 1)
	c.rig.work.Go(func() {
		time.Sleep(f.delay + time.Millisecond)
		var q ExchangeRequest
		err := record.Decode(body, &q)
		if err == nil {
			// The caller may give up before.
			handlerCtx, cancel := context.WithTimeout(c.rig.ctx, time.Second)
			defer cancel()
			var r ExchangeResponse
			r, err = s.Exchange(handlerCtx, q)
			body, _ = record.Encode(r)
		}
		time.Sleep(f.back + time.Millisecond)
		if !f.lost {
			answer <- err
		}
	})
	select {
	case <-ctx.Done():
		return peer.ErrLost
	case err := <-answer:
		if err != nil {
			return &peer.RemoteError{Message: err.Error()}
		}
		return record.Decode(body, resp)
	}
}

// Demand implements Pool.
func (h *rigHolder) Demand() (int64, []Demand) {
	r := h.pool.rig
	r.mu.Lock()
	defer r.mu.Unlock()
	version := r.policy.Get().Version
	if h.token != h.pool.epoch {
		return version, nil
	}
	used, wanted := rigTask.Times(len(h.pool.running)), rigTask.Times(h.pool.queued)
	return version, []Demand{{Customer: "x", Used: used, Wanted: wanted, Started: h.pool.startedTasks}}
}

// Apply implements Pool.
func (h *rigHolder) Apply(g Grants) bool {
	h.pool.rig.mu.Lock()
	defer h.pool.rig.mu.Unlock()
	h.grants = g
	return true
}

// Blocked implements Pool.
func (h *rigHolder) Blocked() <-chan struct{} { return h.blocked }

// fits reports whether a task fits in the grant. It must be called with the rig's mu held.
func (h *rigHolder) fits() bool {
	if e, _ := h.pool.rig.config.Get(); len(e.Limits) == 0 {
		return true
	}
	return (len(h.pool.running)+1)*rigTask.CPU <= h.grants.ByCustomer["x"].CPU
}

// run runs the tasks of all pools until the rig's context ends.
func (r *rig) run() {
	for r.ctx.Err() == nil {
		time.Sleep(rigTick)
		r.mu.Lock()
		for _, p := range r.pools {
			p.step(r.clock.Now())
		}
		r.mu.Unlock()
	}
}

// step ends and starts tasks. A start above the limit is a violation.
func (p *rigPool) step(now time.Duration) {
	p.running = slices.DeleteFunc(p.running, func(end time.Duration) bool { return end <= now })
	for p.queued > 0 && len(p.running) < rigCapacity && p.holder.fits() {
		p.queued--
		p.running = append(p.running, now+p.duration)
		p.rig.starts++
		p.startedTasks++
		if used, allowed := p.rig.used(), p.rig.allowed(); used > allowed {
			p.rig.violations = append(p.rig.violations, fmt.Sprintf("%v: a start in %s makes %d of %d cores", now-time.Hour, p.name, used, allowed))
		}
	}
	if p.queued > 0 {
		notify(p.holder.blocked)
	}
}

// used returns the cores that are in use. It must be called with mu held.
func (r *rig) used() int {
	n := 0
	for _, p := range r.pools {
		n += len(p.running)
	}
	return n
}

// load runs the fleet for a time with tasks that wait in some pools all the time, and returns how
// many were started.
func (r *rig) load(d time.Duration, pools ...int) int {
	r.mu.Lock()
	before := r.starts
	for i, p := range r.pools {
		p.queued = 0
		if slices.Contains(pools, i) {
			p.queued = 1 << 20
		}
	}
	r.mu.Unlock()
	time.Sleep(d)
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts - before
}

// setLink sets the faults of messages between daemons.
func (r *rig) setLink(f func(from, to string) linkFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link = f
}
