package main

import (
	"context"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/dig"

	"greengagedeck/internal/attempt"
	"greengagedeck/internal/burn"
	"greengagedeck/internal/decision"
	"greengagedeck/internal/dedupe"
	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/gateway"
	"greengagedeck/internal/maintenance"
	"greengagedeck/internal/membership"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/platform"
	"greengagedeck/internal/platform/httpplatform"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/record"
	"greengagedeck/internal/replica"
)

// metricsInterval is the interval at which counters are reported to the metrics
// page.
const metricsInterval = time.Second

// serve builds the daemon and runs it until ctx ends.
func serve(ctx context.Context, s Settings, logger zerolog.Logger) error {
	c := dig.New()
	self := membership.NewMember(s.Host, s.Zone, s.PeerAddress)
	constructors := []any{
		func() Settings { return s },
		func() zerolog.Logger { return logger.With().Str("daemon", self.ID).Logger() },
		func() membership.Member { return self },
		newMetrics,
		newStage,
		newPlatform,
		replica.New,
		newStateView,
		newNode,
		newAppender,
		newPeerSource,
		newMembersAhead,
		newFollower,
		newDetector,
		newListReader,
		newJoiner,
		newSnapshotter,
		newGate,
		newNoteWriter,
		newEjector,
		newAttemptClient,
		newDedupeService,
		newZoneDemand,
		newRejectedDemand,
		newLendingPlanner,
		newPoolController,
		newMaintenanceController,
		newDispatcher,
		decision.NewTraceStore,
		newRollouts,
		newBurnCounter,
		burn.NewStore,
		newBurnPublisher,
		newBurnReader,
		newReporter,
		newTraceLog,
		newRecorder,
		newCallerAPI,
		newAdminAPI,
	}
	for _, f := range constructors {
		if err := c.Provide(f); err != nil {
			return eris.Wrap(err, "provide dependencies")
		}
	}
	return dig.RootCause(c.Invoke(func(p components) error { return (&daemon{components: p}).run(ctx) }))
}

// metrics holds the root scope of all metrics and the registry that exports them.
type metrics struct {
	scope    tally.Scope
	registry *prometheus.Registry
}

func newMetrics() metrics {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "greengaged",
		Separator:      promreporter.DefaultSeparator,
		CachedReporter: reporter,
	}, metricsInterval)
	return metrics{scope, registry}
}

func newPlatform(s Settings, l zerolog.Logger, m metrics) (platform.Log, platform.Hosts, platform.Tasks) {
	c := httpplatform.New(httpplatform.Options{BaseURL: s.PlatformURL, Logger: l, Scope: m.scope})
	return c.Log(), c.Hosts(), c.Tasks()
}

func newNode(s Settings, self membership.Member, view *stateView, l zerolog.Logger, m metrics) *peer.Node {
	return peer.NewNode(peer.Options{
		Self:    self.ID,
		Resolve: view.peerAddress,
		Token:   s.PeerToken,
		Logger:  l,
		Scope:   m.scope,
	})
}

func newAppender(log platform.Log, r *replica.Replica, m metrics) *replica.Appender {
	return replica.NewAppender(log, r, m.scope)
}

func newPeerSource(r *replica.Replica, n *peer.Node, m metrics) *replica.PeerSource {
	src := replica.NewPeerSource(r, n, n, m.scope)
	src.Register(n)
	return src
}

// membersAhead breaks the dependency cycle between follower and detector: each
// reads the other, but only once both run.
type membersAhead struct{ detector *membership.Detector }

// MembersAhead implements replica.PeerProgress.
func (a *membersAhead) MembersAhead(offset uint64) []string { return a.detector.MembersAhead(offset) }

func newMembersAhead() *membersAhead { return &membersAhead{} }

func newFollower(s Settings, self membership.Member, log platform.Log, r *replica.Replica, src *replica.PeerSource, a *membersAhead, l zerolog.Logger, m metrics) *replica.Follower {
	return replica.NewFollower(replica.FollowerOptions{
		Replica: r,
		Log:     log,
		Source:  src,
		Peers:   a,
		Seeds:   func() []string { return membership.SeedAddresses(s.Peers, &r.State().Members, nil, self) },
		Logger:  l,
		Scope:   m.scope,
	})
}

func newDetector(s Settings, self membership.Member, n *peer.Node, r *replica.Replica, f *replica.Follower, a *membersAhead, g *pool.Gate, st *stage, l zerolog.Logger, m metrics) *membership.Detector {
	d := membership.NewDetector(membership.DetectorOptions{
		Self:           self,
		Caller:         n,
		LogConfirmed:   f.LogConfirmed,
		OnPause:        func(time.Duration) { g.Close() },
		OnResume:       func() { st.whileServing(g.Open) },
		PauseThreshold: s.PauseThreshold,
		Logger:         l,
		Scope:          m.scope,
	})
	d.Register(n)
	a.detector = d
	return d
}

func newListReader(h platform.Hosts, d *membership.Detector, n *peer.Node, l zerolog.Logger, m metrics) *membership.ListReader {
	r := membership.NewListReader(membership.ListReaderOptions{Hosts: h, Detector: d, Caller: n, Logger: l, Scope: m.scope})
	r.Register(n)
	return r
}

func newJoiner(s Settings, self membership.Member, a *replica.Appender, r *replica.Replica, d *membership.Detector, lr *membership.ListReader, f *replica.Follower, l zerolog.Logger, m metrics) *membership.Joiner {
	return membership.NewJoiner(membership.JoinerOptions{
		Self: self,
		Append: func(ctx context.Context, rec record.Record) error {
			_, err := a.Append(ctx, rec)
			return err
		},
		State:        func() *membership.State { return &r.State().Members },
		Detector:     d,
		List:         lr,
		LogConfirmed: f.LogConfirmed,
		ListLag:      s.HostListLag,
		Logger:       l,
		Scope:        m.scope,
	})
}

func newSnapshotter(s Settings, log platform.Log, r *replica.Replica, d *membership.Detector, l zerolog.Logger, m metrics) *replica.Snapshotter {
	return &replica.Snapshotter{Replica: r, Log: log, Leader: d, MaxAge: s.SnapshotAge, Logger: l, Scope: m.scope}
}

func newGate(self membership.Member) *pool.Gate { return pool.NewGate(self.ID, self.Zone) }

func newNoteWriter(self membership.Member, a *replica.Appender, l zerolog.Logger, m metrics) *decision.NoteWriter {
	return decision.NewNoteWriter(self.ID, a, l, m.scope)
}

func newEjector(n *decision.NoteWriter, view *stateView, l zerolog.Logger, m metrics) *attempt.Ejector {
	return attempt.NewEjector(attempt.EjectorOptions{
		OnChange: func(c attempt.Change) { recordEjection(n, view, l, c) },
		Metrics:  m.scope,
	})
}

func newAttemptClient(self membership.Member, e *attempt.Ejector, m metrics) *attempt.Client {
	return attempt.New(attempt.Options{Daemon: self.ID, Health: e, Metrics: m.scope})
}

func newDedupeService(self membership.Member, n *peer.Node, d *membership.Detector, fo *replica.Follower, src *replica.PeerSource, l zerolog.Logger, m metrics) *dedupe.Service {
	s := dedupe.NewService(dedupe.ServiceOptions{
		Options:      dedupe.Options{Self: self.ID},
		Caller:       n,
		Members:      d,
		LogConfirmed: fo.LogConfirmed,
		CatchUp:      src.Fetch,
		Logger:       l,
		Scope:        m.scope,
	})
	s.Register(n)
	return s
}

// submitter lets controllers append a record without waiting until it is applied.
type submitter struct{ *replica.Appender }

// Append implements intent.Appender.
func (s submitter) Append(ctx context.Context, r record.Record) error { return s.Submit(ctx, r) }

// suspects returns the members of this daemon's zone that do not answer
// heartbeats.
func suspects(self membership.Member, r *replica.Replica, d *membership.Detector) func() []string {
	return func() []string {
		return slices.DeleteFunc(r.State().Members.InZone(self.Zone), d.Live)
	}
}

func newLendingPlanner(self membership.Member, zd *zoneDemand, m metrics) *pool.LendingPlanner {
	return pool.NewLendingPlanner(pool.LendingPlannerOptions{Zone: self.Zone, Demand: zd.totalDemand, Metrics: m.scope})
}

func newPoolController(self membership.Member, g *pool.Gate, le *pool.LendingPlanner, lr *membership.ListReader, a *replica.Appender, r *replica.Replica, d *membership.Detector, t platform.Tasks, l zerolog.Logger, m metrics) *pool.Controller {
	return pool.NewController(pool.ControllerOptions{
		Gate:        g,
		Appender:    submitter{a},
		Usage:       t,
		FailedHosts: failedHosts{self.Zone, r, lr}.names,
		Proposals:   le.Proposals,
		Demand:      le.LastEndedSlot,
		Suspects:    suspects(self, r, d),
		Metrics:     m.scope,
		Logger:      l,
	})
}

func newMaintenanceController(self membership.Member, a *replica.Appender, r *replica.Replica, d *membership.Detector, t platform.Tasks, l zerolog.Logger, m metrics) *maintenance.Controller {
	return maintenance.NewController(maintenance.ControllerOptions{
		Self:     self.ID,
		Zone:     self.Zone,
		Appender: submitter{a},
		Hosts:    t,
		Suspects: suspects(self, r, d),
		Metrics:  m.scope,
		Logger:   l,
	})
}

func newDispatcher(view *stateView, n *peer.Node, g *pool.Gate, a *attempt.Client, e *attempt.Ejector, d *membership.Detector, lr *membership.ListReader, l zerolog.Logger, m metrics) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Options{
		Targets:     zoneTargets{view, g, lr, d},
		Gate:        pauseAwareGate{g, d},
		Executor:    executor{a, g},
		Policy:      view,
		Membership:  d,
		Health:      e,
		RetryBudget: attempt.NewRetryBudget(attempt.RetryBudgetOptions{}),
		Caller:      n,
		Mux:         n,
		Logger:      l,
		Scope:       m.scope,
	})
}

func newTraceLog(t *decision.TraceStore, log platform.Log, n *peer.Node, d *membership.Detector, m metrics) *decision.TraceLog {
	l := decision.NewTraceLog(t, log, n, d, m.scope)
	l.Register(n)
	return l
}

func newRollouts(d *membership.Detector) *membership.Rollouts { return membership.NewRollouts(d) }

func newBurnCounter(r *replica.Replica, d *dispatch.Dispatcher) *burn.Counter {
	return burn.NewCounter(poolConditions{r, d})
}

func newBurnPublisher(self membership.Member, c *burn.Counter, log platform.Log, l zerolog.Logger, m metrics) *burn.Publisher {
	return burn.NewPublisher(burn.PublisherOptions{Daemon: self.ID, Counter: c, Log: log, Metrics: m.scope, Logger: l})
}

func newBurnReader(s *burn.Store, log platform.Log, d *membership.Detector, m metrics) *burn.Reader {
	return burn.NewReader(burn.ReaderOptions{Store: s, Log: log, IsLeader: d.IsLeader, Metrics: m.scope})
}

func newReporter(s *burn.Store, rd *burn.Reader, r *replica.Replica, ro *membership.Rollouts) *burn.Reporter {
	src := reportSources{r}
	return burn.NewReporter(burn.ReporterOptions{
		Store:     s,
		Refresher: rd,
		Entries:   src,
		Decisions: src,
		Buffer:    src,
		Rollouts:  ro,
		Moves:     src,
	})
}

func newCallerAPI(view *stateView, c *dedupe.Service, d *dispatch.Dispatcher, st *stage, rec *recorder, m metrics) *gateway.CallerAPI {
	return gateway.NewCallerAPI(gateway.CallerOptions{
		Entries:          view,
		Server:           dedupe.NewGuard(c, d),
		Ready:            st.serving,
		CloseConnections: func() bool { return !st.ready() },
		Recorder:         rec,
		Scope:            m.scope,
	})
}
