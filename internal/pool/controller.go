package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/intent"
	"greengagedeck/internal/option"
	"greengagedeck/internal/platform"
)

// Usage tells what runs on a host, by its own last report.
type Usage interface {
	Usage(ctx context.Context, host string) (platform.HostUsage, error)
}

// Defaults of ControllerOptions.
const (
	DefaultInterval     = 200 * time.Millisecond
	DefaultUsageTimeout = 2 * time.Second
	DefaultMoveTimeout  = time.Minute
	// DefaultLendingTimeout is about what a move is worth to the spare policy.
	DefaultLendingTimeout = 10 * time.Minute
	// DefaultClockError bounds how far two hosts' clocks differ.
	DefaultClockError = time.Second
)

// ControllerOptions configures a Controller. Gate and Appender are required.
type ControllerOptions struct {
	Gate     *Gate
	Appender intent.Appender
	// Proposals returns what the spare policy proposes for the zone now. Nil
	// proposes nothing.
	Proposals func(p Published, now time.Time) []Move
	// Demand returns the last slot of the zone's demand that has ended, for
	// the record, or nil (Lending.Ended).
	Demand func() *SlotDemand
	// Usage reports what runs on a host. Without it a move does not wait for
	// requests that outlived their daemon.
	Usage Usage
	// Suspects returns the members of the zone that do not answer
	// heartbeats. Nil suspects nobody.
	Suspects func() []string
	// Failed returns the hosts of the zone that have failed, by the
	// platform's list or their own reports. Nil marks no host.
	Failed       func() map[string]bool
	Interval     time.Duration
	UsageTimeout time.Duration
	MoveTimeout  time.Duration
	// LendingTimeout is how long a move of the spare policy may wait.
	LendingTimeout time.Duration
	ClockError     time.Duration
	Metrics        tally.Scope
	Logger         zerolog.Logger
}

func (o ControllerOptions) withDefaults() ControllerOptions {
	option.Default(&o.Interval, DefaultInterval)
	option.Default(&o.UsageTimeout, DefaultUsageTimeout)
	option.Default(&o.MoveTimeout, DefaultMoveTimeout)
	option.Default(&o.LendingTimeout, DefaultLendingTimeout)
	option.Default(&o.ClockError, DefaultClockError)
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Proposals == nil {
		o.Proposals = func(Published, time.Time) []Move { return nil }
	}
	if o.Demand == nil {
		o.Demand = func() *SlotDemand { return nil }
	}
	if o.Suspects == nil {
		o.Suspects = func() []string { return nil }
	}
	if o.Failed == nil {
		o.Failed = func() map[string]bool { return nil }
	}
	return o
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

	// outbox, idle, seen and wants are used by Step alone. wants are those of
	// the state seen last.
	outbox *intent.Outbox
	seen   *State
	wants  []Want
	idle   idleWatch
}

// NewController returns a controller that has seen no state yet.
func NewController(opts ControllerOptions) *Controller {
	opts = opts.withDefaults()
	scope := opts.Metrics.SubScope("pool")
	return &Controller{
		opts:    opts,
		metrics: newControllerMetrics(scope),
		wake:    make(chan struct{}, 1),
		idle:    idleWatch{since: map[string]time.Time{}},
		outbox: intent.NewOutbox(intent.Options{
			Author:   opts.Gate.Self(),
			Appender: opts.Appender,
			Metrics:  scope,
			Logger:   opts.Logger,
		}),
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

// Step carries out what is due at now. It must not be called concurrently.
func (c *Controller) Step(ctx context.Context, now time.Time) {
	c.mu.Lock()
	p := c.pub
	c.mu.Unlock()
	rank, member := slices.BinarySearch(p.Members, c.opts.Gate.Self())
	if p.Pools == nil || !member {
		return
	}
	if p.Pools != c.seen {
		c.metrics.observe(p, c.opts.Gate.Zone())
		c.wants = p.Pools.Wants(p.Catalogue)
		c.seen = p.Pools
	}
	intents := Plan(p, now, c.inputs(ctx, p, now))
	c.outbox.Send(ctx, intents, rank, now)
}

func (c *Controller) inputs(ctx context.Context, p Published, now time.Time) Inputs {
	return Inputs{
		Self:           c.opts.Gate.Self(),
		Zone:           c.opts.Gate.Zone(),
		Drained:        c.drained(ctx, p.Pools, now),
		Suspects:       c.opts.Suspects(),
		Failed:         c.opts.Failed(),
		Wants:          c.wants,
		Demand:         c.opts.Demand(),
		Moves:          c.opts.Proposals(p, now),
		MoveTimeout:    c.opts.MoveTimeout,
		LendingTimeout: c.opts.LendingTimeout,
	}
}
