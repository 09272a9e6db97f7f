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
	Targets Targets
	Gate    Gate
	Doer    Doer
	Policy  Policy
	Zone    Zone
	// Health and Budget may be nil: no host is ejected, nothing retried.
	Health Health
	Budget Budget
	// Caller and Mux connect the dispatchers of all daemons. Without them
	// every request is served by the daemon that got it.
	Caller peer.Caller
	Mux    peer.Mux
	Logger zerolog.Logger
	// Scope receives the metrics; nil drops them.
	Scope tally.Scope
}

// Dispatcher queues requests and runs them on the hosts of its zone.
type Dispatcher struct {
	opts     Options
	reports  *reporter
	inflight *inflight
	// control bounds the bytes of reports and pulls of all pools.
	control *rate.Limiter

	// daemons is how many live daemons there are in all zones.
	daemons atomic.Int64
	quotaMu sync.Mutex
	quotas  *Quotas

	mu    sync.RWMutex
	pools map[string]*poolQueue
}

// The bytes a second that reports and pulls may take, and how many they may
// save up.
const (
	controlRate  = 4000
	controlBurst = 2000
)

// New returns a dispatcher; Run must run beside Serve. It registers handlers on
// Mux, so it must be called before the daemon listens.
func New(o Options) *Dispatcher {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	d := &Dispatcher{
		opts:     o,
		reports:  newReporter(),
		inflight: newInflight(),
		control:  rate.NewLimiter(controlRate, controlBurst),
		quotas:   NewQuotas(),
		pools:    map[string]*poolQueue{},
	}
	if o.Mux != nil {
		d.register(o.Mux)
	}
	return d
}

// Run reclassifies running work, follows changes of the hosts and daemons, and
// reports to the zone-mates until ctx ends.
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
				if p.due(now) {
					p.tick(now, d.view(p.name, now))
				}
			}
		}
	}
}

// Serve implements request.Server: it waits for a slot here or at another
// daemon and runs the request.
func (d *Dispatcher) Serve(ctx context.Context, r *request.Request) (*request.Response, error) {
	e, err := d.check(r)
	if err != nil {
		return nil, err
	}
	if err := d.admitTeam(e.Owner); err != nil {
		d.pool(e.Pool).metrics.refused(err.Reason)
		return nil, err
	}
	return d.serve(ctx, e, r, route{mate: d.opts.Caller != nil, zone: d.opts.Caller != nil})
}

// serveForeign serves a request that another daemon handed over.
func (d *Dispatcher) serveForeign(ctx context.Context, r *request.Request, otherZone bool) (*request.Response, error) {
	e, err := d.check(r)
	if err != nil {
		return nil, err
	}
	d.pool(e.Pool).metrics.foreign.Inc(1)
	return d.serve(ctx, e, r, route{mate: otherZone && r.Hops < maxHops})
}

func (d *Dispatcher) serve(ctx context.Context, e catalogue.Entry, r *request.Request, to route) (*request.Response, error) {
	if !d.inflight.enter() {
		return nil, verdict.NewNotRun(verdict.ReasonStopping, "daemon is stopping")
	}
	defer d.inflight.leave()
	ctx, cancel := withDeadline(ctx, r.Deadline)
	defer cancel()
	resp, err := d.run(ctx, e, r, to)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// withDeadline returns ctx itself when it ends by the deadline already: another
// timer for every request would cost and change nothing.
func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if d, ok := ctx.Deadline(); ok && !d.After(deadline) {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, deadline)
}

// check refuses what cannot run whatever the load.
func (d *Dispatcher) check(r *request.Request) (catalogue.Entry, error) {
	e, ok := d.opts.Policy.Entry(r.Entry)
	if !ok || e.Disabled {
		return e, verdict.NewNotRun(verdict.ReasonUnknownEntry, "no entry %s in force", r.Entry)
	}
	if err := d.runnable(e, r); err != nil {
		d.pool(e.Pool).metrics.refused(err.Reason)
		return e, err
	}
	return e, nil
}

// admitTeam holds a team to this daemon's part of its quota.
func (d *Dispatcher) admitTeam(name string) *verdict.Error {
	t, ok := d.opts.Policy.Team(name)
	if !ok || t.Rate <= 0 {
		return nil
	}
	d.quotaMu.Lock()
	defer d.quotaMu.Unlock()
	return d.quotas.Admit(time.Now(), name, Share(t.Rate, t.Burst, int(d.daemons.Load())))
}

// countDaemons notes how many daemons share the quotas.
func (d *Dispatcher) countDaemons() {
	n := len(d.opts.Zone.Mates())
	for _, ids := range d.opts.Zone.Others() {
		n += len(ids)
	}
	d.daemons.Store(int64(n))
}

// runnable refuses a request that no host could ever run.
func (d *Dispatcher) runnable(e catalogue.Entry, r *request.Request) *verdict.Error {
	if e.Limits.BodyBytes > 0 && len(r.Body) > e.Limits.BodyBytes {
		return verdict.NewNotRun(verdict.ReasonNeverRunnable,
			"body of %d bytes is over the entry's limit of %d", len(r.Body), e.Limits.BodyBytes)
	}
	cores, memory := d.opts.Policy.Largest(e.Pool)
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

// run makes attempts here, or hands the request to another daemon, until the
// request is settled.
func (d *Dispatcher) run(ctx context.Context, e catalogue.Entry, r *request.Request, to route) (*request.Response, error) {
	p := d.pool(e.Pool)
	t := &try{d: d, p: p, entry: e, req: r, route: to, began: time.Now()}
	for {
		resp, again, err := t.next(ctx)
		if err == nil {
			return resp, nil
		}
		if !again {
			return nil, t.settle(err)
		}
		t.unsure = t.unsure || verdict.Of(err) != verdict.NotRun
	}
}

func (d *Dispatcher) job(e catalogue.Entry, r *request.Request) *Job {
	j := &Job{
		Entry:    e.Name,
		Team:     e.Owner,
		Class:    r.Class,
		Deadline: r.Deadline,
		Foreign:  r.Hops > 0,
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

// view reads what a pool's queue depends on.
func (d *Dispatcher) view(pool string, now time.Time) view {
	cfg, _ := d.opts.Policy.Pool(pool)
	mates := slices.Sorted(slices.Values(d.opts.Zone.Mates()))
	v := view{
		cfg:     SchedulerConfig{LongShare: cfg.LongShare},
		targets: d.targets(pool, now, mates),
	}
	if d.opts.Caller != nil {
		v.mates = without(mates, d.opts.Zone.Self())
		v.others = d.opts.Zone.Others()
	}
	return v
}

// targets returns this daemon's part of the slots of each host.
func (d *Dispatcher) targets(pool string, now time.Time, mates []string) []Target {
	all := d.opts.Targets.Targets(pool)
	out := make([]Target, 0, len(all))
	for _, t := range all {
		if d.opts.Health != nil && d.opts.Health.Ejected(t.Host, now) {
			continue
		}
		t.Slots = SplitSlots(t.Slots, t.Host, mates, d.opts.Zone.Self())
		out = append(out, t)
	}
	return out
}

func (d *Dispatcher) mates() []string {
	return without(d.opts.Zone.Mates(), d.opts.Zone.Self())
}

func (d *Dispatcher) isMate(id string) bool { return slices.Contains(d.opts.Zone.Mates(), id) }

func without(ids []string, self string) []string {
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
	v := d.view(name, time.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.pools[name]; ok {
		return p
	}
	p = newPoolQueue(name, v, d.control, newPoolMetrics(d.opts.Scope, name), d.reports.mark)
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

// contextError is the refusal of a request whose context ended before it
// started.
func contextError(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.NewNotRun(verdict.ReasonDeadline, "deadline passed in the queue")
	}
	return verdict.NewNotRun(verdict.ReasonCancelled, "caller went away")
}
