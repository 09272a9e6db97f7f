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
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
	"greengagedeck/platform"
)

// Ports for traffic between daemons, counted from the first that is free.
const (
	peerPort = iota
	adminPort
)

// serveFleet builds the fleet daemon and runs it until ctx ends.
func serveFleet(ctx context.Context, place platform.Settings, m metrics, logger zerolog.Logger) error {
	store := platform.NewStore(place.Store, platform.Metrics{Scope: m.scope})
	self, err := newFleetMember(ctx, place, store, logger)
	if err != nil {
		return err
	}
	c := dig.New()
	constructors := []any{
		func() context.Context { return ctx },
		func() platform.Settings { return place },
		func() zerolog.Logger { return logger.With().Str("daemon", self.ID()).Logger() },
		func() metrics { return m },
		func() duty.Member { return self },
		func() logstore.Log { return store },
		func() clock.Clock { return clock.Boot{} },
		func() *policy.InForce { return &policy.InForce{} },
		newStage,
		newWorkers,
		newAdvisor,
		newRegistry,
		newDutyDirectory,
		newDuties,
		fleet.NewWaves,
		newFleetNode,
		newFleetDuty,
		newCommitter,
		newIntake,
		newPolicyFollower,
		newFront,
	}
	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return eris.Wrap(err, "wire")
		}
	}
	return dig.RootCause(c.Invoke(func(p fleetParts) error { return (&fleetDaemon{fleetParts: p}).run(ctx) }))
}

// startRetry is the wait before a daemon that starts asks the log again.
const startRetry = 200 * time.Millisecond

// newFleetMember returns this life of the daemon.
func newFleetMember(ctx context.Context, place platform.Settings, l logstore.Log, logger zerolog.Logger) (duty.Member, error) {
	for {
		n, err := duty.NextIncarnation(ctx, l, place.Host, time.Now())
		if err == nil {
			return duty.Member{
				Host:        place.Host,
				Incarnation: n,
				Address:     internalAddress(place, peerPort),
				Zone:        place.Zone,
				Weight:      weight(place),
			}, nil
		}
		logger.Warn().Err(err).Msg("waiting for the log")
		if err := wait(ctx, startRetry); err != nil {
			return duty.Member{}, eris.Wrap(err, "stopped before the log answered")
		}
	}
}

// holderLink is the bandwidth, in Mbit/s, that goes with a core of a host that
// holds a duty.
const holderLink = 100

// weight returns how much of the work of duties a host can carry, as a share of
// a core. What it has least of decides.
func weight(place platform.Settings) float64 {
	return min(place.Cores, place.LinkMbps/holderLink)
}

func internalAddress(place platform.Settings, port uint16) string {
	return netip.AddrPortFrom(place.IP, place.FirstPort+port).String()
}

func newWorkers(m metrics) worker.Control {
	return platform.NewWorkers(platform.Metrics{Scope: m.scope})
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

// duties are the keeper and what runs for the duties that it holds.
type duties struct {
	keeper *duty.Elector
	pools  *scheduler.Manager
	// fleet moves and maintains hosts. It is set before the keeper runs.
	fleet *fleetDuty
}

// Acquired implements duty.Observer.
func (d *duties) Acquired(g duty.Acquisition) {
	d.pools.Acquired(g)
	d.fleet.gained(g)
}

// Lost implements duty.Observer.
func (d *duties) Lost(n duty.Name, t duty.Token) {
	d.pools.Lost(n, t)
	d.fleet.lost(n)
}

// fleetDuty runs the fleet's controller while the duty for it is held here.
type fleetDuty struct {
	ctx        context.Context
	host       string
	keeper     *duty.Elector
	controller *fleet.Controller

	mu     sync.Mutex
	cancel context.CancelFunc
	runs   sync.WaitGroup
}

// fleetLease is the lease of the fleet duty under one token.
type fleetLease struct {
	keeper *duty.Elector
	token  duty.Token
}

// Remaining implements fleet.Lease.
func (l fleetLease) Remaining() time.Duration { return l.keeper.Remaining(duty.Fleet, l.token) }

func (f *fleetDuty) gained(g duty.Acquisition) {
	if g.Duty != duty.Fleet {
		return
	}
	ctx, cancel := context.WithCancel(f.ctx)
	f.end()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel = cancel
	before := fleet.Predecessor{Holder: g.Previous.Holder.Host, Released: g.Previous.Released, ActsFor: g.PriorLeaseRemaining}
	if before.Holder == f.host {
		before.Holder = ""
	}
	f.runs.Go(func() { f.controller.Run(ctx, int64(g.Token), fleetLease{f.keeper, g.Token}, before) })
}

// stop ends the controller and waits until no order is under way.
func (f *fleetDuty) stop() {
	f.end()
	f.runs.Wait()
}

func (f *fleetDuty) lost(n duty.Name) {
	if n == duty.Fleet {
		f.end()
	}
}

// end has the controller give no further order.
func (f *fleetDuty) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
		f.cancel = nil
	}
}

func newFleetDuty(ctx context.Context, place platform.Settings, self duty.Member, d *duties, n *peer.Node, w *fleet.Waves, p *policy.InForce, log logstore.Log, cl clock.Clock, l zerolog.Logger, m metrics) *fleetDuty {
	agent := fleet.NewAgent(d.pools)
	agent.Register(n)
	d.fleet = &fleetDuty{
		ctx:    ctx,
		host:   self.Host,
		keeper: d.keeper,
		controller: fleet.NewController(fleet.ControllerOptions{
			Holder:      self.Host,
			Cloud:       platform.NewCloud(place.Cloud, platform.Metrics{Scope: m.scope}),
			Pools:       &fleet.Pools{Self: self, Holders: d.keeper, Agent: agent, Caller: n},
			Waves:       w,
			Policy:      p,
			Log:         log,
			Clock:       cl,
			Rates:       fleet.DefaultRates,
			Lead:        place.Move,
			HolderLease: place.HolderLease,
			Status:      platform.WaveStatus,
			Logger:      l,
			Scope:       m.scope,
		}),
	}
	return d.fleet
}

// taskLease is the length of the leases that tasks get.
const taskLease = 5 * time.Second

func newAdvisor(place platform.Settings, m metrics) scheduler.Approver {
	return platform.NewApprovalClient(place.Advice, platform.Metrics{Scope: m.scope})
}

func newDuties(ctx context.Context, place platform.Settings, self duty.Member, log logstore.Log, cl clock.Clock, p *policy.InForce, w worker.Control, a scheduler.Approver, n *peer.Node, dir *dutyDirectory, r *worker.Registry, l zerolog.Logger, m metrics) *duties {
	d := &duties{}
	d.keeper = duty.NewElector(duty.Options{
		Self:     self,
		Log:      log,
		Clock:    cl,
		Wanted:   func() []duty.Name { return wantedDuties(p) },
		Observer: d,
		Prober:   duty.PeerProber{Caller: n},
		Logger:   l,
		Scope:    m.scope,
	})
	d.keeper.Register(n)
	dir.keeper = d.keeper
	d.pools = scheduler.NewManager(ctx, scheduler.ManagerOptions{
		Lease:  d.keeper,
		Logger: l,
		NewRunner: func(pool string, t duty.Token, dt scheduler.Duty) *scheduler.Runner {
			return scheduler.NewRunner(scheduler.RunnerOptions{
				Options: scheduler.Options{
					Pool:            pool,
					Token:           int64(t),
					Lease:           taskLease,
					MaxLease:        place.MaxLease,
					StopTimeout:     place.StopTime,
					DutyLease:       duty.DefaultLease,
					StatusRetention: place.StatusTime,
				},
				Log:      log,
				Clock:    cl,
				Control:  w,
				Approver: a,
				Registry: r,
				Duty:     dt,
				Logger:   l.With().Str("pool", pool).Logger(),
				Scope:    m.scope,
			})
		},
	})
	return d
}

// wantedDuties returns the duties that the policy in force calls for.
func wantedDuties(p *policy.InForce) []duty.Name {
	cur := p.Get()
	if cur == nil {
		return nil
	}
	out := []duty.Name{duty.Fleet}
	for _, pool := range cur.Working() {
		out = append(out, duty.OfPool(pool))
	}
	return out
}

func newFleetNode(self duty.Member, d *dutyDirectory, l zerolog.Logger, m metrics) *peer.Node {
	return peer.NewNode(peer.Options{Self: self.ID(), Resolve: d.address, Logger: l, Scope: m.scope})
}

// dutyDirectory resolves daemons by the keeper, which needs the node first.
type dutyDirectory struct{ keeper *duty.Elector }

func newDutyDirectory() *dutyDirectory { return &dutyDirectory{} }

func (d *dutyDirectory) address(id string) (string, bool) { return d.keeper.Address(id) }

func newCommitter(log logstore.Log, m metrics) *joblog.Committer {
	return joblog.NewCommitter(log, m.scope)
}

func newIntake(self duty.Member, p *policy.InForce, c *joblog.Committer, log logstore.Log, d *duties, n *peer.Node, cl clock.Clock, l zerolog.Logger, m metrics) *intake.Service {
	s := intake.NewService(intake.Options{
		Self:      self,
		Policy:    p,
		Committer: c,
		Log:       log,
		Holders:   d.keeper,
		Local:     d.pools,
		Caller:    n,
		LogAge:    d.keeper.LogAge,
		Clock:     cl,
		Logger:    l,
		Scope:     m.scope,
	})
	s.Register(n)
	return s
}

func newPolicyFollower(log logstore.Log, p *policy.InForce, w *fleet.Waves, cl clock.Clock, l zerolog.Logger) *policy.Follower {
	return &policy.Follower{
		Log:       log,
		Partition: platform.OperatorPartition,
		Logger:    l,
		Apply: func(r logstore.Record) error {
			wave, ok, err := platform.DecodeWave(r)
			if ok {
				w.Add(wave, cl.Now())
			}
			if ok || err != nil {
				return err
			}
			next, err := platform.DecodePolicy(r)
			if err != nil || next == nil {
				return err
			}
			if p.Set(next) {
				l.Info().Int64("version", next.Version).Int("entries", len(next.Entries)).Int("pools", len(next.Pools)).Msg("configuration in force")
			}
			return nil
		},
	}
}

func newFront(p *policy.InForce, s *intake.Service, l zerolog.Logger) *platform.Frontend {
	return platform.NewFrontend(p, s, l)
}

// listenError names the address that could not be listened on.
func listenError(what, addr string, err error) error {
	return eris.Wrap(err, fmt.Sprintf("%s on %s", what, addr))
}
