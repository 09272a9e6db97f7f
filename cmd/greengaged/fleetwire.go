package main

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/duty"
	"greengagedeck/internal/fleet"
	"greengagedeck/internal/intake"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/limits"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/relay"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/servedlog"
	"greengagedeck/internal/telemetry"
	"greengagedeck/internal/worker"
	"greengagedeck/platform"
)

// Internal ports, as offsets from the settings' FirstPort.
const (
	peerPort = iota
	adminPort
)

// serveFleet builds the fleet daemon and runs it until ctx ends.
func serveFleet(ctx context.Context, settings platform.Settings, m metrics, logger zerolog.Logger, limiter *telemetry.Limiter) error {
	store := platform.NewStore(settings.Store, settings.Log, platform.Metrics{Scope: m.scope, Logger: logger})
	self, err := newFleetMember(ctx, settings, store, logger)
	if err != nil {
		return err
	}
	// A planned stop ends ctx. The work goes on until the duties are handed over.
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	c := dig.New()
	constructors := []any{
		func() context.Context { return work },
		func() context.CancelFunc { return stopWork },
		func() platform.Settings { return settings },
		func() zerolog.Logger { return logger.With().Str("daemon", self.ID()).Logger() },
		func() *telemetry.Limiter { return limiter },
		func() metrics { return m },
		func() duty.Member { return self },
		func() *logstore.Tracked { return logstore.NewTracked(store, clock.System{}) },
		func(t *logstore.Tracked) logstore.Log { return t },
		func() clock.Clock { return clock.System{} },
		func() *policy.Current { return &policy.Current{} },
		newStage,
		newWorkers,
		newControl,
		newApprover,
		newRegistry,
		newMemberResolver,
		newCustomerLimits,
		newDutyObserver,
		fleet.NewWaveSet,
		newFleetNode,
		newFleetRunner,
		newCommitter,
		newServedLog,
		newIntake,
		newFleetView,
		newPolicyFollower,
		newPolicyFetcher,
		newFrontend,
	}
	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return eris.Wrap(err, "provide dependencies")
		}
	}
	return dig.RootCause(c.Invoke(func(p fleetComponents) error { return (&fleetDaemon{fleetComponents: p}).run(ctx) }))
}

// logRetryInterval is how long a starting daemon waits before it queries the log
// again.
const logRetryInterval = 200 * time.Millisecond

// newFleetMember returns this incarnation of the daemon. It waits until the log
// answers or ctx ends.
func newFleetMember(ctx context.Context, settings platform.Settings, l logstore.Log, logger zerolog.Logger) (duty.Member, error) {
	for {
		n, err := duty.NextIncarnation(ctx, l, settings.Host, time.Now())
		if err == nil {
			return duty.Member{
				Host:        settings.Host,
				Incarnation: n,
				Address:     internalAddress(settings, peerPort),
				Zone:        settings.Zone,
				Weight:      dutyWeight(settings),
			}, nil
		}
		logger.Warn().Err(err).Msg("log unavailable, retrying")
		if err := sleep(ctx, logRetryInterval); err != nil {
			return duty.Member{}, eris.Wrap(err, "stopped before the log answered")
		}
	}
}

// linkMbpsPerCore is the bandwidth, in Mbit/s, that a duty holder needs for each
// core.
const linkMbpsPerCore = 100

// dutyWeight returns the capacity of a host for duties, in cores. The scarcer of
// cores and bandwidth decides.
func dutyWeight(settings platform.Settings) float64 {
	return min(settings.Cores, settings.LinkMbps/linkMbpsPerCore)
}

func internalAddress(settings platform.Settings, port uint16) string {
	return netip.AddrPortFrom(settings.IP, settings.FirstPort+port).String()
}

func newWorkers(l zerolog.Logger, m metrics) *platform.Workers {
	return platform.NewWorkers(platform.Metrics{Scope: m.scope, Logger: l})
}

// newControl returns how the orders for workers are sent: by this daemon or by relays, as
// which this daemon serves others.
func newControl(self duty.Member, w *platform.Workers, n *peer.Node, dir *memberResolver, cl clock.Clock, l zerolog.Logger, m metrics) worker.Control {
	o := relay.Options{
		Self:   self,
		Caller: n,
		Idle:   func() []duty.Member { return dir.elector.IdlePeers() },
		Clock:  cl,
		Logger: l,
		Scope:  m.scope,
	}
	relay.NewServer(w, o).Register(n)
	return relay.NewControl(w, o)
}

func newRegistry(log logstore.Log, l zerolog.Logger, m metrics) *worker.Registry {
	return worker.NewRegistry(worker.RegistryOptions{
		Log:       log,
		Partition: platform.WorkerPartition,
		Decode:    platform.DecodeWorker,
		Logger:    l,
		Scope:     m.scope,
	})
}

// dutyObserver starts the schedulers and the fleet controller for the duties that
// the elector acquires, and stops them for those that it loses.
type dutyObserver struct {
	elector    *duty.Elector
	schedulers *scheduler.Manager
	// fleet moves and maintains hosts, and intake answers for jobs. Both are set before
	// the elector runs.
	fleet  *fleetRunner
	intake *intake.Service
}

// Acquired implements duty.Observer.
func (d *dutyObserver) Acquired(g duty.Acquisition) {
	d.schedulers.Acquired(g)
	d.fleet.acquired(g)
}

// Lost implements duty.Observer.
func (d *dutyObserver) Lost(n duty.Name, t duty.Token) {
	d.schedulers.Lost(n, t)
	d.fleet.lost(n)
}

// fleetRunner runs the fleet controller and the allocator of customers' limits while this
// daemon holds the fleet duty.
type fleetRunner struct {
	ctx        context.Context
	host       string
	elector    *duty.Elector
	controller *fleet.Controller
	limits     *limits.Service
	served     *servedlog.Log
	policy     *policy.Current

	mu     sync.Mutex
	cancel context.CancelFunc
	runs   sync.WaitGroup
}

// fleetLease is the lease of the fleet duty under one token.
type fleetLease struct {
	elector *duty.Elector
	token   duty.Token
}

// Remaining implements fleet.Lease.
func (l fleetLease) Remaining() time.Duration { return l.elector.Remaining(duty.Fleet, l.token) }

func (f *fleetRunner) acquired(g duty.Acquisition) {
	if g.Duty != duty.Fleet {
		return
	}
	ctx, cancel := context.WithCancel(f.ctx)
	f.cancelRun()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = cancel
	predecessor := fleet.Predecessor{Holder: g.Previous.Holder.Host, ID: g.Previous.Holder.ID(), Token: int64(g.Previous.HolderToken), Released: g.Previous.Released, LeaseRemaining: g.PriorLeaseRemaining}
	if predecessor.Holder == f.host {
		predecessor.Holder = ""
	}
	lease := fleetLease{f.elector, g.Token}
	f.runs.Go(func() { f.controller.Run(ctx, int64(g.Token), lease, predecessor) })
	f.runs.Go(func() { f.limits.Run(ctx, int64(g.Token), lease) })
	f.runs.Go(func() { f.served.Prune(ctx, f.policy, lease) })
}

// stop cancels the controller and waits until no order is in progress.
func (f *fleetRunner) stop() {
	f.cancelRun()
	f.runs.Wait()
}

func (f *fleetRunner) lost(n duty.Name) {
	if n == duty.Fleet {
		f.cancelRun()
	}
}

// cancelRun stops the controller from giving further orders.
func (f *fleetRunner) cancelRun() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
		f.cancel = nil
	}
}

func newFleetRunner(ctx context.Context, settings platform.Settings, self duty.Member, d *dutyObserver, cu *customerLimits, sv *servedlog.Log, n *peer.Node, w *fleet.WaveSet, p *policy.Current, log logstore.Log, cl clock.Clock, l zerolog.Logger, m metrics) *fleetRunner {
	agent := fleet.NewAgent(d.schedulers)
	d.fleet = &fleetRunner{
		ctx:     ctx,
		host:    self.Host,
		elector: d.elector,
		limits:  cu.service,
		served:  sv,
		policy:  p,
		controller: fleet.NewController(fleet.ControllerOptions{
			Holder:          self.Host,
			Cloud:           platform.NewCloud(settings.Cloud, platform.Metrics{Scope: m.scope, Logger: l}),
			Pools:           &fleet.PoolClient{Self: self, Holders: d.elector, Agent: agent, Caller: n},
			Waves:           w,
			Policy:          p,
			Log:             log,
			Clock:           cl,
			Params:          fleet.DefaultParams,
			LeadTime:        settings.Move,
			MinOutage:       min(settings.Move, settings.Upkeep),
			OrderSeparation: settings.HolderLease,
			OrderRate:       settings.DutyRate,
			WaveStatus:      platform.WaveStatus,
			Logger:          l,
			Scope:           m.scope,
		}),
	}
	agent.StepDown = d.fleet.controller.StepDown
	agent.Register(n)
	return d.fleet
}

// taskLease is the duration of task leases.
const taskLease = 5 * time.Second

func newApprover(settings platform.Settings, l zerolog.Logger, m metrics) scheduler.Approver {
	return platform.NewApprovalClient(settings.Advice, platform.Metrics{Scope: m.scope, Logger: l})
}

func newDutyObserver(ctx context.Context, settings platform.Settings, self duty.Member, log logstore.Log, cl clock.Clock, p *policy.Current, cu *customerLimits, w worker.Control, a scheduler.Approver, n *peer.Node, dir *memberResolver, r *worker.Registry, l zerolog.Logger, limiter *telemetry.Limiter, m metrics) *dutyObserver {
	d := &dutyObserver{}
	d.elector = duty.NewElector(duty.Options{
		Self:     self,
		Log:      log,
		Clock:    cl,
		Wanted:   func() []duty.Name { return wantedDuties(p) },
		Observer: d,
		Prober:   duty.PeerProber{Caller: n},
		Logger:   l,
		Scope:    m.scope,
	})
	d.elector.Register(n)
	dir.elector = d.elector
	d.schedulers = scheduler.NewManager(ctx, scheduler.ManagerOptions{
		Lease:  d.elector,
		GiveUp: d.elector.GiveUp,
		Logger: l,
		NewRunner: func(pool string, acquired duty.Acquisition, dt scheduler.Duty) *scheduler.Runner {
			return scheduler.NewRunner(scheduler.RunnerOptions{
				Options: scheduler.Options{
					Pool:            pool,
					Token:           int64(acquired.Token),
					Tokens:          acquired.Tokens,
					PreviousToken:   int64(acquired.Previous.HolderToken),
					Lease:           taskLease,
					MaxLease:        settings.MaxLease,
					StopTimeout:     settings.StopTime,
					DutyLease:       duty.DefaultLease,
					EarlierHolders:  acquired.PriorLeaseRemaining,
					StatusRetention: settings.StatusTime,
					LogLimits:       settings.Log,
					Admits:          limiter.Admits,
				},
				Log:               log,
				Clock:             cl,
				Control:           w,
				Approver:          a,
				AcceptedElsewhere: d.intake.AcceptedElsewhere,
				Customers:         p.Customers,
				Grants:            cu.grantsOf(pool, acquired.Token, p),
				Registry:          r,
				Duty:              dt,
				Logger:            l.With().Str("pool", pool).Logger(),
				Scope:             m.scope,
			})
		},
	})
	return d
}

// wantedDuties returns the duties that the current policy requires.
func wantedDuties(p *policy.Current) []duty.Name {
	cur := p.Get()
	if cur == nil {
		return nil
	}
	out := []duty.Name{duty.Fleet}
	for _, pool := range cur.WorkerPools() {
		out = append(out, duty.OfPool(pool))
	}
	return out
}

func newFleetNode(self duty.Member, d *memberResolver, l zerolog.Logger, m metrics) *peer.Node {
	return peer.NewNode(peer.Options{Self: self.ID(), Resolve: d.address, Logger: l, Scope: m.scope})
}

// memberResolver resolves the addresses of daemons through the elector, which is
// created after the node because it depends on the node.
type memberResolver struct{ elector *duty.Elector }

func newMemberResolver() *memberResolver { return &memberResolver{} }

func (d *memberResolver) address(id string) (string, bool) { return d.elector.Address(id) }

func newCommitter(log logstore.Log, m metrics) *joblog.Committer {
	return joblog.NewCommitter(log, m.scope)
}

func newServedLog(log logstore.Log, p *policy.Current, cl clock.Clock, l zerolog.Logger, m metrics) *servedlog.Log {
	return servedlog.New(servedlog.Options{Log: log, Learned: p.AddServed, Clock: cl, Logger: l, Scope: m.scope})
}

func newIntake(self duty.Member, p *policy.Current, c *joblog.Committer, log *logstore.Tracked, sv *servedlog.Log, d *dutyObserver, n *peer.Node, cl clock.Clock, l zerolog.Logger, m metrics) *intake.Service {
	s := intake.NewService(intake.Options{
		Self:      self,
		Policy:    p,
		Committer: c,
		Log:       log,
		Holders:   d.elector,
		Local:     d.schedulers,
		Served:    sv,
		Caller:    n,
		LogAge:    log.Age,
		Daemons:   d.elector.LiveDaemons,
		Clock:     cl,
		Logger:    l,
		Scope:     m.scope,
	})
	s.Register(n)
	d.intake = s
	return s
}

// listenError adds the purpose and the address of a listener to err.
func listenError(purpose, addr string, err error) error {
	return eris.Wrap(err, fmt.Sprintf("listen for %s on %s", purpose, addr))
}
