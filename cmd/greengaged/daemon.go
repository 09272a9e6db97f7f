package main

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
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
	"greengagedeck/internal/pool"
	"greengagedeck/internal/release"
	"greengagedeck/internal/replica"
)

const (
	// startPollInterval is the interval between checks whether the daemon may
	// serve.
	startPollInterval = 20 * time.Millisecond
	// claimsTimeout bounds how long the start waits until claims of new IDs can
	// be granted.
	claimsTimeout = 5 * time.Second
	// leaveTimeout bounds the removal of a stopping member.
	leaveTimeout = 5 * time.Second
)

// components are the dependencies of a daemon.
type components struct {
	dig.In

	Settings              Settings
	Logger                zerolog.Logger
	Self                  membership.Member
	Stage                 *stage
	Node                  *peer.Node
	Replica               *replica.Replica
	Follower              *replica.Follower
	Detector              *membership.Detector
	ListReader            *membership.ListReader
	Joiner                *membership.Joiner
	Snapshotter           *replica.Snapshotter
	Gate                  *pool.Gate
	Attempts              *attempt.Client
	Ejector               *attempt.Ejector
	NoteWriter            *decision.NoteWriter
	Claims                *dedupe.Service
	TraceLog              *decision.TraceLog
	Rollouts              *membership.Rollouts
	BurnPublisher         *burn.Publisher
	BurnReader            *burn.Reader
	PoolController        *pool.Controller
	MaintenanceController *maintenance.Controller
	Dispatcher            *dispatch.Dispatcher
	CallerAPI             *gateway.CallerAPI
	AdminAPI              *gateway.AdminAPI
}

// daemon starts and stops its components in order.
type daemon struct {
	components

	// reporters counts the running loops that flush once more when
	// stopReporters is called.
	reporters     sync.WaitGroup
	stopReporters func()
	// measuredVersion is the newest catalogue version that measureRollout has
	// seen.
	measuredVersion uint64
}

// run serves until ctx ends and then stops without interrupting requests.
func (d *daemon) run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	d.Replica.Observe(d.onStateChange)
	servers, err := d.listen()
	if err != nil {
		return err
	}
	d.start(work)
	d.startReporters(work)
	joinCtx, stopJoining := context.WithCancel(work)
	defer stopJoining()
	if err := d.join(ctx, joinCtx); err != nil {
		return err
	}
	d.Gate.Open()
	d.Stage.set(stageServing)
	d.Logger.Info().Str("release", release.String()).Msg("serving")
	<-ctx.Done()
	return d.stop(servers, stopJoining)
}

// onStateChange passes a new state to the components in a safe order: claims come
// before the detector, because a heartbeat that names an epoch promises to grant
// claims in no lower one; the gate comes before the controllers, because an
// acknowledgement promises that no further request starts.
func (d *daemon) onStateChange(s *replica.State) {
	d.Claims.SetState(&s.Members)
	zoneMembers := s.Members.InZone(d.Self.Zone)
	d.PoolController.Update(pool.PublishedState{Pools: &s.Pools, Catalogue: &s.Catalogue, Members: zoneMembers})
	d.MaintenanceController.Update(maintenance.PublishedState{Waves: &s.Waves, Pools: &s.Pools, Catalogue: &s.Catalogue, Members: zoneMembers})
	d.Detector.SetState(&s.Members, s.Offset)
	d.measureRollout(s)
}

// measureRollout starts to measure the rollout of an edit that has taken effect on
// this daemon.
func (d *daemon) measureRollout(s *replica.State) {
	if s.Catalogue.Version <= d.measuredVersion {
		return
	}
	if edit, ok := s.Decisions.ByOffset(s.Catalogue.Version); ok && d.Follower.Ready() {
		d.Rollouts.Begin(s.Catalogue.Version, edit.At)
	}
	d.measuredVersion = s.Catalogue.Version
}

// start runs the background loops until ctx ends.
func (d *daemon) start(ctx context.Context) {
	go func() { _ = d.Follower.Run(ctx) }()
	go func() { _ = d.Detector.Run(ctx) }()
	go func() { _ = d.ListReader.Run(ctx) }()
	go func() { _ = d.Snapshotter.Run(ctx) }()
	go func() { _ = d.NoteWriter.Run(ctx) }()
	go func() { _ = d.Claims.Run(ctx) }()
	go func() { _ = d.Rollouts.Run(ctx) }()
	go d.BurnReader.Run(ctx)
	go func() { _ = d.PoolController.Run(ctx) }()
	go func() { _ = d.MaintenanceController.Run(ctx) }()
	go func() { _ = d.Dispatcher.Run(ctx) }()
	go d.Attempts.Run(ctx)
}

// startReporters runs the loops that publish the burn counts and the traces of
// requests.
func (d *daemon) startReporters(ctx context.Context) {
	ctx, d.stopReporters = context.WithCancel(ctx)
	d.reporters.Go(func() { d.BurnPublisher.Run(ctx) })
	d.reporters.Go(func() { d.TraceLog.Run(ctx) })
}

// join waits for a current state, starts the joiner, which runs until joinerCtx
// ends, and waits for the admission of this incarnation. Only a member may start requests, so nothing is served before that.
func (d *daemon) join(ctx, joinerCtx context.Context) error {
	for !d.Follower.Ready() {
		if err := sleep(ctx, startPollInterval); err != nil {
			return eris.Wrap(err, "waiting for a current state")
		}
	}
	go func() { _ = d.Joiner.Run(joinerCtx) }()
	for !d.isMember() {
		if err := sleep(ctx, startPollInterval); err != nil {
			return eris.Wrap(err, "waiting for admission")
		}
	}
	return d.awaitClaims(ctx)
}

// awaitClaims waits, for at most claimsTimeout, until claims of new IDs can be
// granted: right after the first daemons of a deployment have started, such claims
// would be rejected.
func (d *daemon) awaitClaims(ctx context.Context) error {
	until := time.Now().Add(claimsTimeout)
	for !d.Claims.Ready() && time.Now().Before(until) {
		if err := sleep(ctx, startPollInterval); err != nil {
			return eris.Wrap(err, "waiting for claims")
		}
	}
	return nil
}

func (d *daemon) isMember() bool {
	_, ok := d.Replica.State().Members.Members[d.Self.ID]
	return ok
}

// stop shuts down without interrupting requests: first the balancer is told, then
// new requests are rejected, then those in progress finish.
func (d *daemon) stop(s servers, stopJoining func()) error {
	d.Logger.Info().Msg("stopping")
	d.Stage.set(stageDraining)
	d.Detector.SetDraining()
	_ = sleep(context.Background(), d.Settings.StopGrace)
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.StopTimeout)
	defer cancel()
	if err := d.Dispatcher.Drain(ctx); err != nil {
		d.Logger.Warn().Err(err).Msg("draining the dispatcher failed")
	}
	err := s.callers.ShutdownWithContext(ctx)
	d.Stage.set(stageStopped)
	d.Gate.Close()
	d.stopReporters()
	d.reporters.Wait()
	stopJoining()
	d.leave()
	d.Attempts.Close()
	_ = s.admin.ShutdownWithContext(ctx)
	d.Node.Close()
	d.Logger.Info().Msg("stopped")
	return eris.Wrap(err, "requests still in progress at stop-timeout")
}

// leave removes this member. If that fails, the other members wait until its host
// is gone from the platform's list.
func (d *daemon) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.Joiner.Leave(ctx); err != nil {
		d.Logger.Warn().Err(err).Msg("recording the removal of this member failed")
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
