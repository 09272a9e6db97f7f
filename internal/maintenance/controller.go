package maintenance

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/intent"
	"greengagedeck/internal/platform"
	"greengagedeck/internal/pool"
)

// HostClient reads host reports from the platform and requests operations on
// hosts. Every operation must be idempotent.
type HostClient interface {
	Usage(ctx context.Context, host string) (platform.HostUsage, error)
	Checkpoint(ctx context.Context, host string) error
	Drain(ctx context.Context, host string) error
	Reboot(ctx context.Context, host string) error
}

// Defaults of ControllerOptions.
const (
	DefaultInterval    = time.Second
	DefaultCallTimeout = 5 * time.Second
)

// ControllerOptions configures a Controller. Self, Zone, Appender and Hosts are
// required.
type ControllerOptions struct {
	// Self is the member ID of the daemon and Zone its availability zone.
	Self     string
	Zone     string
	Appender intent.Appender
	Hosts    HostClient
	// Suspects returns the members of the zone that do not answer
	// heartbeats. If nil, no member is suspected.
	Suspects func() []string
	// Timing defaults to DefaultTiming.
	Timing      Timing
	Interval    time.Duration
	CallTimeout time.Duration
	Metrics     tally.Scope
	Logger      zerolog.Logger
}

func (o ControllerOptions) withDefaults() ControllerOptions {
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming
	}
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.Suspects == nil {
		o.Suspects = func() []string { return nil }
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return o
}

// Controller executes the steps that Plan returns for this daemon. It makes all
// platform calls and appends all records sequentially from one goroutine, so no
// call on a host is in flight when the controller returns the host to service.
type Controller struct {
	opts    ControllerOptions
	metrics metrics

	mu        sync.Mutex
	published PublishedState

	// outbox and lastCalls are accessed only by Step.
	outbox    *intent.Outbox
	lastCalls map[string]LastCalls
}

// NewController returns a controller that does nothing until the first Update.
func NewController(opts ControllerOptions) *Controller {
	opts = opts.withDefaults()
	scope := opts.Metrics.SubScope("maintenance")
	return &Controller{
		opts:      opts,
		metrics:   newMetrics(scope),
		lastCalls: map[string]LastCalls{},
		outbox: intent.NewOutbox(intent.Options{
			Author:   opts.Self,
			Appender: opts.Appender,
			Metrics:  scope,
			Logger:   opts.Logger,
		}),
	}
}

// Update sets the published state that the next Step acts on. It does not block.
func (c *Controller) Update(p PublishedState) {
	p.Members = slices.Sorted(slices.Values(p.Members))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.published = p
}

// Run calls Step once per interval until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.Step(ctx, time.Now())
		}
	}
}

// Step plans and executes the steps that are due at now. It does nothing unless
// this daemon is a member. It must not be called concurrently.
func (c *Controller) Step(ctx context.Context, now time.Time) {
	c.mu.Lock()
	p := c.published
	c.mu.Unlock()
	rank, member := slices.BinarySearch(p.Members, c.opts.Self)
	if p.Waves == nil || !member {
		return
	}
	c.dropEndedDrains(p.Pools)
	c.metrics.updateProgress(p)
	steps := Plan(p, now, c.inputs(ctx, p))
	var intents []intent.Intent
	for _, s := range steps {
		if s.Operation != "" {
			c.runOperation(ctx, s, now)
			continue
		}
		intents = append(intents, s.Intent)
	}
	c.outbox.Send(ctx, intents, rank, now)
}

// dropEndedDrains deletes the last calls of drains that have ended.
func (c *Controller) dropEndedDrains(s *pool.State) {
	maps.DeleteFunc(c.lastCalls, func(id string, _ LastCalls) bool {
		_, ok := s.Drains[id]
		return !ok
	})
}

func (c *Controller) inputs(ctx context.Context, p PublishedState) Inputs {
	return Inputs{
		Self:      c.opts.Self,
		Zone:      c.opts.Zone,
		Suspects:  c.opts.Suspects(),
		Usage:     c.usage(ctx, p),
		LastCalls: c.lastCalls,
		Timing:    c.opts.Timing,
	}
}

// usage reads the reports of the hosts that are out of service and whose executor
// is this daemon.
func (c *Controller) usage(ctx context.Context, p PublishedState) map[string]platform.HostUsage {
	reports := map[string]platform.HostUsage{}
	for _, d := range p.Pools.Drains {
		if d.Purpose != pool.PurposeMaintenance || p.Waves.Executor(d) != c.opts.Self {
			continue
		}
		if p.Pools.Hosts[d.Host].Phase != pool.PhaseOutOfService {
			continue
		}
		u, err := c.readUsage(ctx, d.Host)
		if err != nil {
			c.metrics.callErrors.Inc(1)
			continue
		}
		reports[d.Host] = u
	}
	return reports
}

func (c *Controller) readUsage(ctx context.Context, host string) (platform.HostUsage, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	return c.opts.Hosts.Usage(ctx, host)
}

// runOperation requests an operation from the platform. The call is recorded as
// made unless it fails with ErrUnavailable: after any other error it may have taken
// effect.
func (c *Controller) runOperation(ctx context.Context, s Step, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	err := c.callPlatform(ctx, s)
	if err != nil {
		c.metrics.callErrors.Inc(1)
	}
	if eris.Is(err, platform.ErrUnavailable) {
		return
	}
	last := c.lastCalls[s.Drain]
	if s.Operation == OpReboot {
		last.Reboot = now
	} else {
		last.Checkpoint = now
	}
	c.lastCalls[s.Drain] = last
	c.metrics.countCall(s.Operation)
}

// callPlatform requests a checkpoint or, for a reboot, drains the host and then
// reboots it.
func (c *Controller) callPlatform(ctx context.Context, s Step) error {
	if s.Operation == OpCheckpoint {
		return c.opts.Hosts.Checkpoint(ctx, s.Host)
	}
	if err := c.opts.Hosts.Drain(ctx, s.Host); err != nil {
		return err
	}
	return c.opts.Hosts.Reboot(ctx, s.Host)
}
