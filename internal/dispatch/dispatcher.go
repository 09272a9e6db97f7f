package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

// Options holds what a Dispatcher needs.
type Options struct {
	Targets    Targets
	Gate       Gate
	Executor   Executor
	Policy     Policy
	Membership Membership
	// Health and RetryBudget may be nil: then no host is ejected and
	// nothing is retried.
	Health      Health
	RetryBudget RetryBudget
	// Caller and Mux connect the dispatchers of all daemons. Without them
	// every request is served by the daemon that received it.
	Caller peer.Caller
	Mux    peer.Mux
	Logger zerolog.Logger
	// Scope receives the metrics; nil drops them.
	Scope tally.Scope
}

// Dispatcher queues requests and runs them on the hosts of its zone.
type Dispatcher struct {
	opts     Options
	reporter *reporter
	inflight *inflightRequests
	// controlBudget limits the bytes of reports, pulls and load queries of
	// all pools.
	controlBudget *rate.Limiter

	// daemonCount is the number of live daemons in all zones.
	daemonCount atomic.Int64
	quotaMu     sync.Mutex
	quotas      *Quotas

	mu    sync.RWMutex
	pools map[string]*poolQueue
}

// Limits of the control messages: bytes per second, and the burst in bytes.
const (
	controlRate  = 4000
	controlBurst = 2000
)

// New returns a dispatcher; Run must run concurrently with Serve. It registers
// handlers on Mux, so it must be called before the daemon listens.
func New(o Options) *Dispatcher {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	d := &Dispatcher{
		opts:          o,
		reporter:      newReporter(),
		inflight:      newInflightRequests(),
		controlBudget: rate.NewLimiter(controlRate, controlBurst),
		quotas:        NewQuotas(),
		pools:         map[string]*poolQueue{},
	}
	if o.Mux != nil {
		d.register(o.Mux)
	}
	return d
}

// Run reclassifies running jobs, follows changes of the hosts and daemons, and
// reports to the zone peers until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	var reports sync.WaitGroup
	defer reports.Wait()
	if d.opts.Caller != nil {
		reports.Go(func() { d.runReports(ctx) })
	}
	d.countDaemons()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			d.countDaemons()
			for _, p := range d.allPools() {
				if p.tickDue(now) {
					p.tick(now, d.readPoolView(p.name, now))
				}
			}
		}
	}
}

// Serve implements request.Server: it waits for a slot here or at another
// daemon and runs the request.
func (d *Dispatcher) Serve(ctx context.Context, r *request.Request) (*request.Response, error) {
	e, err := d.validate(r)
	if err != nil {
		return nil, err
	}
	if err := d.admitTeam(e.Owner); err != nil {
		d.pool(e.Pool).metrics.countRejection(err.Reason)
		return nil, err
	}
	return d.serve(ctx, e, r, handoverScope{zonePeer: d.opts.Caller != nil, otherZone: d.opts.Caller != nil})
}

// serveHandedOver serves a request that another daemon handed over.
func (d *Dispatcher) serveHandedOver(ctx context.Context, r *request.Request, otherZone bool) (*request.Response, error) {
	e, err := d.validate(r)
	if err != nil {
		return nil, err
	}
	d.pool(e.Pool).metrics.receivedHandovers.Inc(1)
	return d.serve(ctx, e, r, handoverScope{zonePeer: otherZone && r.Hops < maxHops})
}

func (d *Dispatcher) serve(ctx context.Context, e catalogue.Entry, r *request.Request, scope handoverScope) (*request.Response, error) {
	if !d.inflight.enter() {
		return nil, verdict.NewNotRun(verdict.ReasonStopping, "daemon is stopping")
	}
	defer d.inflight.leave()
	ctx, cancel := withDeadline(ctx, r.Deadline)
	defer cancel()
	resp, err := d.execute(ctx, e, r, scope)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// withDeadline returns a context that ends at the deadline. If ctx already ends by
// then, it returns ctx itself and saves the cost of a timer for each request.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if d, ok := ctx.Deadline(); ok && !d.After(deadline) {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}

// validate rejects requests that cannot run at any load.
func (d *Dispatcher) validate(r *request.Request) (catalogue.Entry, error) {
	e, ok := d.opts.Policy.Entry(r.Entry)
	if !ok || e.Disabled {
		return e, verdict.NewNotRun(verdict.ReasonUnknownEntry, "no entry %s in force", r.Entry)
	}
	if err := d.checkLimits(e, r); err != nil {
		d.pool(e.Pool).metrics.countRejection(err.Reason)
		return e, err
	}
	return e, nil
}

// admitTeam enforces this daemon's part of a team's quota.
func (d *Dispatcher) admitTeam(name string) *verdict.Error {
	t, ok := d.opts.Policy.Team(name)
	if !ok || t.Rate <= 0 {
		return nil
	}
	d.quotaMu.Lock()
	defer d.quotaMu.Unlock()
	return d.quotas.Admit(time.Now(), name, DaemonQuota(t.Rate, t.Burst, int(d.daemonCount.Load())))
}

// countDaemons updates the number of daemons that share the quotas.
func (d *Dispatcher) countDaemons() {
	n := len(d.opts.Membership.ZoneMembers())
	for _, ids := range d.opts.Membership.OtherZoneMembers() {
		n += len(ids)
	}
	d.daemonCount.Store(int64(n))
}

// checkLimits rejects a request that no host could ever run.
func (d *Dispatcher) checkLimits(e catalogue.Entry, r *request.Request) *verdict.Error {
	if e.Limits.BodyBytes > 0 && len(r.Body) > e.Limits.BodyBytes {
		return verdict.NewNotRun(verdict.ReasonNeverRunnable,
			"body of %d bytes is over the entry's limit of %d", len(r.Body), e.Limits.BodyBytes)
	}
	cores, memory := d.opts.Policy.LargestHost(e.Pool)
	if cores > 0 && e.Limits.Cores > cores {
		return verdict.NewNotRun(verdict.ReasonNeverRunnable,
			"needs %d cores, the largest host of %s has %d", e.Limits.Cores, e.Pool, cores)
	}
	if memory > 0 && e.Limits.MemoryGB > memory {
		return verdict.NewNotRun(verdict.ReasonNeverRunnable,
			"needs %d GB of memory, the largest host of %s has %d", e.Limits.MemoryGB, e.Pool, memory)
	}
	return nil
}

// execute makes attempts here, or hands the request over to another daemon,
// until the request succeeds or no further step is allowed.
func (d *Dispatcher) execute(ctx context.Context, e catalogue.Entry, r *request.Request, scope handoverScope) (*request.Response, error) {
	p := d.pool(e.Pool)
	t := &requestExecution{dispatcher: d, pool: p, entry: e, req: r, scope: scope, startedAt: time.Now()}
	for {
		resp, again, err := t.step(ctx)
		if err == nil {
			return resp, nil
		}
		if !again {
			return nil, t.finalError(err)
		}
		t.mayHaveRun = t.mayHaveRun || verdict.Of(err) != verdict.NotRun
	}
}

func (d *Dispatcher) newJob(e catalogue.Entry, r *request.Request) *Job {
	j := &Job{
		Entry:      e.Name,
		Team:       e.Owner,
		Class:      r.Class,
		Deadline:   r.Deadline,
		NoHandover: r.Hops > 0,
		Limits: JobLimits{
			Slots:    e.Limits.Slots,
			Queue:    e.Limits.Queue,
			Cores:    e.Limits.Cores,
			MemoryGB: e.Limits.MemoryGB,
		},
	}
	if t, ok := d.opts.Policy.Team(e.Owner); ok {
		j.Limits.Weight = t.Weight
	}
	return j
}

// readPoolView reads the configuration, hosts and daemons that a pool's queue
// depends on.
func (d *Dispatcher) readPoolView(pool string, now time.Time) poolView {
	cfg, _ := d.opts.Policy.Pool(pool)
	zoneDaemons := slices.Sorted(slices.Values(d.opts.Membership.ZoneMembers()))
	v := poolView{
		config:  SchedulerConfig{LongShare: cfg.LongShare},
		targets: d.targets(pool, now, zoneDaemons),
	}
	if d.opts.Caller != nil {
		v.zonePeers = excluding(zoneDaemons, d.opts.Membership.Self())
		v.otherZones = d.opts.Membership.OtherZoneMembers()
	}
	return v
}

// targets returns the hosts of a pool with this daemon's part of their slots.
func (d *Dispatcher) targets(pool string, now time.Time, zoneDaemons []string) []Target {
	all := d.opts.Targets.Targets(pool)
	out := make([]Target, 0, len(all))
	for _, t := range all {
		if d.opts.Health != nil && d.opts.Health.Ejected(t.Host, now) {
			continue
		}
		t.Slots = SplitSlots(t.Slots, t.Host, zoneDaemons, d.opts.Membership.Self())
		out = append(out, t)
	}
	return out
}

func (d *Dispatcher) zonePeers() []string {
	return excluding(d.opts.Membership.ZoneMembers(), d.opts.Membership.Self())
}

func (d *Dispatcher) isZonePeer(id string) bool {
	return slices.Contains(d.opts.Membership.ZoneMembers(), id)
}

func excluding(ids []string, self string) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		if id != self {
			out = append(out, id)
		}
	}
	return out
}

func (d *Dispatcher) pool(name string) *poolQueue {
	d.mu.RLock()
	p, ok := d.pools[name]
	d.mu.RUnlock()
	if ok {
		return p
	}
	v := d.readPoolView(name, time.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.pools[name]; ok {
		return p
	}
	p = newPoolQueue(name, v, d.controlBudget, newPoolMetrics(d.opts.Scope, name), d.reporter.mark)
	d.pools[name] = p
	return p
}

// Loads returns how busy this daemon's share of each pool is.
func (d *Dispatcher) Loads() map[string]Load {
	loads := map[string]Load{}
	for _, p := range d.allPools() {
		loads[p.name] = p.load()
	}
	return loads
}

func (d *Dispatcher) allPools() []*poolQueue {
	d.mu.RLock()
	defer d.mu.RUnlock()
	all := make([]*poolQueue, 0, len(d.pools))
	for _, p := range d.pools {
		all = append(all, p)
	}
	return all
}

// contextError returns the rejection of a request whose context ended before it
// started.
func contextError(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.NewNotRun(verdict.ReasonDeadline, "deadline passed in the queue")
	}
	return verdict.NewNotRun(verdict.ReasonCancelled, "caller went away")
}
