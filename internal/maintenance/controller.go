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

// Tasks is what a controller asks of the platform. Every operation must be
// idempotent.
type Tasks interface {
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

// ControllerOptions configures a Controller. Self, Zone, Appender and Tasks are
// required.
type ControllerOptions struct {
	// Self is the member ID of the daemon and Zone its availability zone.
	Self     string
	Zone     string
	Appender intent.Appender
	Tasks    Tasks
	// Suspects returns the members of the zone that do not answer
	// heartbeats. Nil suspects nobody.
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

// Controller carries out the steps that Plan returns for this daemon. All its
// calls on hosts and all its records come from one goroutine, one after the
// other: when it puts a host back in service, it has no call on it under way.
type Controller struct {
	opts    ControllerOptions
	metrics metrics

	mu  sync.Mutex
	pub Published

	// outbox and calls are used by Step alone.
	outbox *intent.Outbox
	calls  map[string]Calls
}

// NewController returns a controller that has seen no state yet.
func NewController(opts ControllerOptions) *Controller {
	opts = opts.withDefaults()
	scope := opts.Metrics.SubScope("maintenance")
	return &Controller{
		opts:    opts,
		metrics: newMetrics(scope),
		calls:   map[string]Calls{},
		outbox: intent.NewOutbox(intent.Options{
			Author:   opts.Self,
			Appender: opts.Appender,
			Metrics:  scope,
			Logger:   opts.Logger,
		}),
	}
}

// Update shows the controller a newly published state. It does not block.
func (c *Controller) Update(p Published) {
	p.Members = slices.Sorted(slices.Values(p.Members))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pub = p
}

// Run steps on every interval until ctx is done.
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

// Step carries out what is due at now. It must not be called concurrently.
func (c *Controller) Step(ctx context.Context, now time.Time) {
	c.mu.Lock()
	p := c.pub
	c.mu.Unlock()
	rank, member := slices.BinarySearch(p.Members, c.opts.Self)
	if p.Waves == nil || !member {
		return
	}
	c.forget(p.Pools)
	c.metrics.observe(p)
	steps := Plan(p, now, c.inputs(ctx, p))
	var intents []intent.Intent
	for _, s := range steps {
		if s.Operation != "" {
			c.call(ctx, s, now)
			continue
		}
		intents = append(intents, s.Intent)
	}
	c.outbox.Send(ctx, intents, rank, now)
}

// forget drops the calls of drains that have ended.
func (c *Controller) forget(s *pool.State) {
	maps.DeleteFunc(c.calls, func(id string, _ Calls) bool {
		_, ok := s.Drains[id]
		return !ok
	})
}

func (c *Controller) inputs(ctx context.Context, p Published) Inputs {
	return Inputs{
		Self:     c.opts.Self,
		Zone:     c.opts.Zone,
		Suspects: c.opts.Suspects(),
		Usage:    c.usage(ctx, p),
		Calls:    c.calls,
		Timing:   c.opts.Timing,
	}
}

// usage reads the reports of the hosts that this daemon maintains.
func (c *Controller) usage(ctx context.Context, p Published) map[string]platform.HostUsage {
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
	return c.opts.Tasks.Usage(ctx, host)
}

// call asks the platform for an operation. Unless the platform says that it
// did nothing, the call may have taken effect and counts as made.
func (c *Controller) call(ctx context.Context, s Step, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	err := c.operate(ctx, s)
	if err != nil {
		c.metrics.callErrors.Inc(1)
	}
	if eris.Is(err, platform.ErrUnavailable) {
		return
	}
	calls := c.calls[s.Drain]
	if s.Operation == OpReboot {
		calls.Reboot = now
	} else {
		calls.Checkpoint = now
	}
	c.calls[s.Drain] = calls
	c.metrics.called(s.Operation)
}

func (c *Controller) operate(ctx context.Context, s Step) error {
	if s.Operation == OpCheckpoint {
		return c.opts.Tasks.Checkpoint(ctx, s.Host)
	}
	if err := c.opts.Tasks.Drain(ctx, s.Host); err != nil {
		return err
	}
	return c.opts.Tasks.Reboot(ctx, s.Host)
}
