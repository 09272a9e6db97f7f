package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

// tickInterval is how often running work is reclassified and the hosts are
// read again.
const tickInterval = 50 * time.Millisecond

// maxAttempts bounds the tries of one request.
const maxAttempts = 3

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
	Logger zerolog.Logger
	// Scope receives the metrics; nil drops them.
	Scope tally.Scope
}

// Dispatcher queues requests and runs them on the hosts of its zone.
type Dispatcher struct {
	opts Options

	mu    sync.Mutex
	pools map[string]*poolQueue
}

// New returns a dispatcher; Run must run beside Serve.
func New(o Options) *Dispatcher {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Dispatcher{opts: o, pools: map[string]*poolQueue{}}
}

// Run reclassifies running work and follows changes of the hosts until ctx
// ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			for _, p := range d.allPools() {
				p.tick(now, d.targets(p.name, now))
			}
		}
	}
}

// Serve implements request.Server: it waits for a slot and runs the request.
func (d *Dispatcher) Serve(ctx context.Context, r *request.Request) (*request.Response, error) {
	e, ok := d.opts.Policy.Entry(r.Entry)
	if !ok || e.Disabled {
		return nil, verdict.Refuse(verdict.ReasonUnknownEntry, "no entry %s in force", r.Entry)
	}
	if err := d.runnable(e, r); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	resp, err := d.run(ctx, e, r)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// runnable refuses a request that no host could ever run.
func (d *Dispatcher) runnable(e catalogue.Entry, r *request.Request) *verdict.Error {
	if e.Limits.BodyBytes > 0 && len(r.Body) > e.Limits.BodyBytes {
		return verdict.Refuse(verdict.ReasonNeverRunnable,
			"body of %d bytes is over the entry's limit of %d", len(r.Body), e.Limits.BodyBytes)
	}
	cores, memory := d.opts.Policy.Largest(e.Pool)
	if cores > 0 && e.Limits.Cores > cores {
		return verdict.Refuse(verdict.ReasonNeverRunnable,
			"needs %d cores, the largest host of %s has %d", e.Limits.Cores, e.Pool, cores)
	}
	if memory > 0 && e.Limits.MemoryGB > memory {
		return verdict.Refuse(verdict.ReasonNeverRunnable,
			"needs %d GB of memory, the largest host of %s has %d", e.Limits.MemoryGB, e.Pool, memory)
	}
	return nil
}

// run makes attempts until one settles the request.
func (d *Dispatcher) run(ctx context.Context, e catalogue.Entry, r *request.Request) (*request.Response, error) {
	p := d.pool(e.Pool)
	began := time.Now()
	avoid := ""
	for n := 1; ; n++ {
		start, err := p.acquire(ctx, d.job(e, r, avoid))
		if err != nil {
			return nil, err
		}
		queued := time.Since(began)
		resp, err := d.attempt(ctx, p, start, r, n)
		if err == nil {
			resp.Attempts = n
			resp.Queued = queued
			return resp, nil
		}
		if n >= maxAttempts || !d.mayRetry(ctx, e.Pool, r, err) {
			return nil, err
		}
		avoid = start.Target.Host
	}
}

// attempt runs the request on the host it was given. The host's gate is held
// until the attempt is over, so that the host cannot change hands under it.
func (d *Dispatcher) attempt(ctx context.Context, p *poolQueue, s Start, r *request.Request, n int) (*request.Response, error) {
	leave, ok := d.opts.Gate.Enter(s.Target.Host, p.name)
	if !ok {
		now := time.Now()
		p.release(s.Job, false)
		p.tick(now, d.targets(p.name, now))
		return nil, verdict.Refuse(verdict.ReasonNoTarget, "host %s left the pool", s.Target.Host)
	}
	defer leave()
	if n == 1 && d.opts.Budget != nil {
		d.opts.Budget.Request(p.name)
	}
	resp, err := d.opts.Doer.Do(ctx, s.Target, r)
	p.release(s.Job, verdict.Of(err) != verdict.NotRun)
	return resp, err
}

// mayRetry reports whether a failed attempt may be followed by another: the
// request did not run or may run twice, there is time, and the budget allows.
func (d *Dispatcher) mayRetry(ctx context.Context, pool string, r *request.Request, err error) bool {
	if ctx.Err() != nil || d.opts.Budget == nil {
		return false
	}
	if verdict.Of(err) != verdict.NotRun && !r.Idempotent {
		return false
	}
	return d.opts.Budget.Retry(pool)
}

func (d *Dispatcher) job(e catalogue.Entry, r *request.Request, avoid string) *Job {
	j := &Job{
		Entry:    e.Name,
		Team:     e.Owner,
		Class:    r.Class,
		Deadline: r.Deadline,
		Avoid:    avoid,
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

// targets returns this daemon's part of the slots of each host.
func (d *Dispatcher) targets(pool string, now time.Time) []Target {
	all := d.opts.Targets.Targets(pool)
	mates := d.opts.Zone.Mates()
	out := make([]Target, 0, len(all))
	for i, t := range all {
		if d.opts.Health != nil && d.opts.Health.Ejected(t.Host, now) {
			continue
		}
		t.Slots = splitSlots(t.Slots, i, mates, d.opts.Zone.Self())
		out = append(out, t)
	}
	return out
}

func (d *Dispatcher) pool(name string) *poolQueue {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[name]
	if !ok {
		cfg, _ := d.opts.Policy.Pool(name)
		p = newPoolQueue(name, SchedulerConfig{LongShare: cfg.LongShare})
		p.sched.SetTargets(d.targets(name, time.Now()))
		d.pools[name] = p
	}
	return p
}

func (d *Dispatcher) allPools() []*poolQueue {
	d.mu.Lock()
	defer d.mu.Unlock()
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
		return verdict.Refuse(verdict.ReasonDeadline, "deadline passed in the queue")
	}
	return verdict.Refuse(verdict.ReasonCancelled, "caller went away")
}
