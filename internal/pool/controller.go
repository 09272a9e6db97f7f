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

// UsageReader reads the last usage report of a host.
type UsageReader interface {
	Usage(ctx context.Context, host string) (platform.HostUsage, error)
}

// Defaults of ControllerOptions.
const (
	DefaultInterval     = 200 * time.Millisecond
	DefaultUsageTimeout = 2 * time.Second
	DefaultMoveTimeout  = time.Minute
	// DefaultLendingTimeout is about the MoveCost of the spare policy.
	DefaultLendingTimeout = 10 * time.Minute
	// DefaultMaxClockSkew bounds the difference between the clocks of two hosts.
	DefaultMaxClockSkew = time.Second
)

// ControllerOptions configures a Controller. Gate and Appender are required.
type ControllerOptions struct {
	Gate     *Gate
	Appender intent.Appender
	// Proposals returns the moves that the spare policy proposes for the zone.
	// Nil proposes none.
	Proposals func(p PublishedState, now time.Time) []Move
	// Demand returns the zone's demand in the last time slot that has ended, to
	// be recorded, or nil (LendingPlanner.LastEndedSlot).
	Demand func() *SlotDemand
	// Usage reports what runs on a host. If nil, a move does not wait for
	// requests that outlived their daemon.
	Usage UsageReader
	// Suspects returns the members of the zone that do not answer
	// heartbeats. Nil suspects none.
	Suspects func() []string
	// FailedHosts returns the hosts of the zone that have failed according to
	// the platform's list or their own reports. Nil marks no host.
	FailedHosts  func() map[string]bool
	Interval     time.Duration
	UsageTimeout time.Duration
	MoveTimeout  time.Duration
	// LendingTimeout limits how long a move of the spare policy may wait for
	// requests to end.
	LendingTimeout time.Duration
	// MaxClockSkew is the largest difference between the clocks of two hosts.
	MaxClockSkew time.Duration
	Metrics      tally.Scope
	Logger       zerolog.Logger
}

func (o ControllerOptions) withDefaults() ControllerOptions {
	option.Default(&o.Interval, DefaultInterval)
	option.Default(&o.UsageTimeout, DefaultUsageTimeout)
	option.Default(&o.MoveTimeout, DefaultMoveTimeout)
	option.Default(&o.LendingTimeout, DefaultLendingTimeout)
	option.Default(&o.MaxClockSkew, DefaultMaxClockSkew)
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Proposals == nil {
		o.Proposals = func(PublishedState, time.Time) []Move { return nil }
	}
	if o.Demand == nil {
		o.Demand = func() *SlotDemand { return nil }
	}
	if o.Suspects == nil {
		o.Suspects = func() []string { return nil }
	}
	if o.FailedHosts == nil {
		o.FailedHosts = func() map[string]bool { return nil }
	}
	return o
}

// Controller appends the records that Plan returns for this daemon. Several
// controllers may run in a zone; the order of the control stream resolves
// conflicts between them.
type Controller struct {
	opts    ControllerOptions
	metrics controllerMetrics
	wake    chan struct{}

	mu        sync.Mutex
	published PublishedState

	// outbox, lastState, requestedDrains and idle are used by Step only.
	// requestedDrains are those of lastState.
	outbox          *intent.Outbox
	lastState       *State
	requestedDrains []RequestedDrain
	idle            idleTracker
}

// NewController returns a controller that has not received a state yet.
func NewController(opts ControllerOptions) *Controller {
	opts = opts.withDefaults()
	scope := opts.Metrics.SubScope("pool")
	return &Controller{
		opts:    opts,
		metrics: newControllerMetrics(scope),
		wake:    make(chan struct{}, 1),
		idle:    idleTracker{since: map[string]time.Time{}},
		outbox: intent.NewOutbox(intent.Options{
			Author:   opts.Gate.Self(),
			Appender: opts.Appender,
			Metrics:  scope,
			Logger:   opts.Logger,
		}),
	}
}

// Update passes a newly published state to the gate and then to the controller.
// It does not block.
func (c *Controller) Update(p PublishedState) {
	p.Members = slices.Sorted(slices.Values(p.Members))
	_, member := slices.BinarySearch(p.Members, c.opts.Gate.Self())
	c.opts.Gate.Update(p.Pools, member)
	c.mu.Lock()
	c.published = p
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run calls Step on every new state and after every interval until ctx is done.
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

// Step plans with the last published state and appends the planned records. It
// must not be called concurrently.
func (c *Controller) Step(ctx context.Context, now time.Time) {
	c.mu.Lock()
	p := c.published
	c.mu.Unlock()
	rank, member := slices.BinarySearch(p.Members, c.opts.Gate.Self())
	if p.Pools == nil || !member {
		return
	}
	if p.Pools != c.lastState {
		c.metrics.observe(p, c.opts.Gate.Zone())
		c.requestedDrains = p.Pools.RequestedDrains(p.Catalogue)
		c.lastState = p.Pools
	}
	intents := Plan(p, now, c.inputs(ctx, p, now))
	c.outbox.Send(ctx, intents, rank, now)
}

func (c *Controller) inputs(ctx context.Context, p PublishedState, now time.Time) PlanInputs {
	return PlanInputs{
		Self:            c.opts.Gate.Self(),
		Zone:            c.opts.Gate.Zone(),
		AckableDrains:   c.ackableDrains(ctx, p.Pools, now),
		Suspects:        c.opts.Suspects(),
		FailedHosts:     c.opts.FailedHosts(),
		RequestedDrains: c.requestedDrains,
		Demand:          c.opts.Demand(),
		Moves:           c.opts.Proposals(p, now),
		MoveTimeout:     c.opts.MoveTimeout,
		LendingTimeout:  c.opts.LendingTimeout,
	}
}
