package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

// Appender appends records to the control stream. After an error the record
// may or may not have been appended; appending the same record again is safe.
type Appender interface {
	Append(ctx context.Context, r record.Record) error
}

// Usage tells what runs on a host, by its own last report.
type Usage interface {
	Usage(ctx context.Context, host string) (platform.HostUsage, error)
}

// Defaults of ControllerOptions.
const (
	DefaultInterval      = 200 * time.Millisecond
	DefaultAppendTimeout = 2 * time.Second
	DefaultMoveTimeout   = time.Minute
	// DefaultHandover is how long each member leaves a shared intent to the
	// members that come before it.
	DefaultHandover = 5 * time.Second
	// DefaultHold is how long an appended record may take to be folded here
	// before what it intended is tried again.
	DefaultHold = 5 * time.Second
	// DefaultClockError bounds how far two hosts' clocks differ.
	DefaultClockError = time.Second
)

// ControllerOptions configures a Controller. Gate and Appender are required.
type ControllerOptions struct {
	Gate     *Gate
	Appender Appender
	// Proposals returns what the spare policy proposes for the zone now. Nil
	// proposes nothing.
	Proposals func(p Published, now time.Time) []Move
	// Usage reports what runs on a host. Without it a move does not wait for
	// requests that outlived their daemon.
	Usage Usage
	// Suspects returns the members of the zone that do not answer
	// heartbeats. Nil suspects nobody.
	Suspects      func() []string
	Interval      time.Duration
	AppendTimeout time.Duration
	MoveTimeout   time.Duration
	Handover      time.Duration
	Hold          time.Duration
	ClockError    time.Duration
	Metrics       tally.Scope
	Logger        zerolog.Logger
}

func (o ControllerOptions) withDefaults() ControllerOptions {
	setDefault(&o.Interval, DefaultInterval)
	setDefault(&o.AppendTimeout, DefaultAppendTimeout)
	setDefault(&o.MoveTimeout, DefaultMoveTimeout)
	setDefault(&o.Handover, DefaultHandover)
	setDefault(&o.Hold, DefaultHold)
	setDefault(&o.ClockError, DefaultClockError)
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Proposals == nil {
		o.Proposals = func(Published, time.Time) []Move { return nil }
	}
	if o.Suspects == nil {
		o.Suspects = func() []string { return nil }
	}
	return o
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Controller carries out this daemon's share of moves and drains: it appends
// what Plan returns. Several controllers may run in a zone; the order of the
// control stream settles their races.
type Controller struct {
	opts    ControllerOptions
	metrics controllerMetrics
	wake    chan struct{}

	mu  sync.Mutex
	pub Published

	// pending and idle are used by Step alone.
	pending map[string]*pending
	idle    idleWatch
}

// pending is an intent that this daemon carries out. It keeps its record, so
// that a retry after a lost answer repeats the same record ID.
type pending struct {
	record    record.Record
	built     bool
	firstSeen time.Time
	notBefore time.Time
	appended  bool
}

// NewController returns a controller that has seen no state yet.
func NewController(opts ControllerOptions) *Controller {
	opts = opts.withDefaults()
	return &Controller{
		opts:    opts,
		metrics: newControllerMetrics(opts.Metrics),
		wake:    make(chan struct{}, 1),
		pending: map[string]*pending{},
		idle:    idleWatch{since: map[string]time.Time{}},
	}
}

// Update shows a newly published state to the gate and to the controller, in
// that order. It does not block.
func (c *Controller) Update(p Published) {
	p.Members = slices.Sorted(slices.Values(p.Members))
	_, member := slices.BinarySearch(p.Members, c.opts.Gate.Self())
	c.opts.Gate.Update(p.Pools, member)
	c.mu.Lock()
	c.pub = p
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run steps on every new state and on every interval until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		case <-ticker.C:
		}
		c.Step(ctx, time.Now())
	}
}

// Step carries out what is due at now. It must not be called concurrently. It
// stops at the first append that fails: the log is then likely to be down.
func (c *Controller) Step(ctx context.Context, now time.Time) {
	c.mu.Lock()
	p := c.pub
	c.mu.Unlock()
	rank, member := slices.BinarySearch(p.Members, c.opts.Gate.Self())
	if p.Pools == nil || !member {
		return
	}
	intents := Plan(p, now, c.inputs(ctx, p, now))
	c.forget(intents)
	c.metrics.observe(p, c.opts.Gate.Zone())
	for _, intent := range intents {
		if !c.carryOut(ctx, intent, rank, now) {
			return
		}
	}
}

func (c *Controller) inputs(ctx context.Context, p Published, now time.Time) Inputs {
	return Inputs{
		Self:        c.opts.Gate.Self(),
		Zone:        c.opts.Gate.Zone(),
		Drained:     c.drained(ctx, p.Pools, now),
		Suspects:    c.opts.Suspects(),
		Moves:       c.opts.Proposals(p, now),
		MoveTimeout: c.opts.MoveTimeout,
	}
}

// forget drops what is no longer intended.
func (c *Controller) forget(intents []Intent) {
	wanted := make(map[string]bool, len(intents))
	for _, intent := range intents {
		wanted[intent.Key] = true
	}
	for key := range c.pending {
		if !wanted[key] {
			delete(c.pending, key)
		}
	}
}

// carryOut appends the intent's record when it is due. It reports false when
// an append failed.
func (c *Controller) carryOut(ctx context.Context, intent Intent, rank int, now time.Time) bool {
	p := c.pendingFor(intent, rank, now)
	if now.Before(p.notBefore) {
		return true
	}
	if p.appended {
		// The record was folded and turned down, or it is lost to this
		// daemon's view: it is time for another one.
		p.built, p.appended = false, false
	}
	if !p.built && !c.build(p, intent, now) {
		return true
	}
	return c.append(ctx, p, now)
}

func (c *Controller) pendingFor(intent Intent, rank int, now time.Time) *pending {
	p, ok := c.pending[intent.Key]
	if ok {
		return p
	}
	p = &pending{firstSeen: now, notBefore: now}
	if intent.Shared {
		p.notBefore = now.Add(time.Duration(rank) * c.opts.Handover)
	}
	c.pending[intent.Key] = p
	return p
}

func (c *Controller) build(p *pending, intent Intent, now time.Time) bool {
	r, err := record.New(intent.Kind, c.opts.Gate.Self(), now, intent.Cause, intent.Body)
	if err != nil {
		c.opts.Logger.Error().Err(err).Str("kind", string(intent.Kind)).Msg("cannot build record")
		return false
	}
	p.record, p.built = r, true
	return true
}

func (c *Controller) append(ctx context.Context, p *pending, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, c.opts.AppendTimeout)
	defer cancel()
	if err := c.opts.Appender.Append(ctx, p.record); err != nil {
		c.metrics.appendErrors.Inc(1)
		p.notBefore = now.Add(c.opts.Interval)
		return false
	}
	c.metrics.appended(p.record.Kind)
	p.appended = true
	p.notBefore = now.Add(c.opts.Hold)
	return true
}
