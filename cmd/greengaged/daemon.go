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
	// startPoll is the time between looks whether the daemon may serve.
	startPoll = 20 * time.Millisecond
	// claimsTimeout bounds how long a start waits until claims can be proved.
	claimsTimeout = 5 * time.Second
	// leaveTimeout bounds the removal of a stopping member.
	leaveTimeout = 5 * time.Second
)

// parts are what a daemon is made of.
type parts struct {
	dig.In

	Settings   Settings
	Logger     zerolog.Logger
	Self       membership.Member
	Stage      *stage
	Node       *peer.Node
	Replica    *replica.Replica
	Follower   *replica.Follower
	Detector   *membership.Detector
	List       *membership.ListReader
	Joiner     *membership.Joiner
	Snapshots  *replica.Snapshotter
	Gate       *pool.Gate
	Attempts   *attempt.Client
	Ejector    *attempt.Ejector
	Notebook   *decision.Notebook
	Claims     *dedupe.Service
	Traces     *decision.TraceLog
	Rollouts   *membership.Rollouts
	Burn       *burn.Publisher
	BurnReader *burn.Reader
	Moves      *pool.Controller
	Waves      *maintenance.Controller
	Dispatcher *dispatch.Dispatcher
	Callers    *gateway.CallerAPI
	Admin      *gateway.AdminAPI
}

// daemon runs its parts in order.
type daemon struct {
	parts

	// reports are the loops that flush once more when stopReports is called.
	reports     sync.WaitGroup
	stopReports func()
	// version is the newest catalogue version that published was shown.
	version uint64
}

// run serves until ctx ends and then stops without cutting a request.
func (d *daemon) run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	d.Replica.Observe(d.published)
	servers, err := d.listen()
	if err != nil {
		return err
	}
	d.start(work)
	d.startReports(work)
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

// published shows a new state to the parts, in an order that is safe: claims
// come before the detector, because a heartbeat that names an epoch is a
// promise to grant in no lower one; the gate comes before the controllers,
// because an acknowledgement promises that no request starts any more.
func (d *daemon) published(s *replica.State) {
	d.Claims.SetState(&s.Members)
	mates := s.Members.InZone(d.Self.Zone)
	d.Moves.Update(pool.Published{Pools: &s.Pools, Catalogue: &s.Catalogue, Members: mates})
	d.Waves.Update(maintenance.Published{Waves: &s.Waves, Pools: &s.Pools, Catalogue: &s.Catalogue, Members: mates})
	d.Detector.SetState(&s.Members, s.Offset)
	d.measureRollout(s)
}

// measureRollout begins to measure an edit that has come in force here.
func (d *daemon) measureRollout(s *replica.State) {
	if s.Catalogue.Version <= d.version {
		return
	}
	if edit, ok := s.Decisions.AtOffset(s.Catalogue.Version); ok && d.Follower.Ready() {
		d.Rollouts.Begin(s.Catalogue.Version, edit.At)
	}
	d.version = s.Catalogue.Version
}

// start runs the background loops until ctx ends.
func (d *daemon) start(ctx context.Context) {
	go func() { _ = d.Follower.Run(ctx) }()
	go func() { _ = d.Detector.Run(ctx) }()
	go func() { _ = d.List.Run(ctx) }()
	go func() { _ = d.Snapshots.Run(ctx) }()
	go func() { _ = d.Notebook.Run(ctx) }()
	go func() { _ = d.Claims.Run(ctx) }()
	go func() { _ = d.Rollouts.Run(ctx) }()
	go d.BurnReader.Run(ctx)
	go func() { _ = d.Moves.Run(ctx) }()
	go func() { _ = d.Waves.Run(ctx) }()
	go func() { _ = d.Dispatcher.Run(ctx) }()
	go d.Attempts.Run(ctx)
}

// startReports runs the loops that keep what requests left behind.
func (d *daemon) startReports(ctx context.Context) {
	ctx, d.stopReports = context.WithCancel(ctx)
	d.reports.Go(func() { d.Burn.Run(ctx) })
	d.reports.Go(func() { d.Traces.Run(ctx) })
}

// join waits for a current state and for the admission of this incarnation.
// Only a member may start requests, so nothing is served before.
func (d *daemon) join(ctx, work context.Context) error {
	for !d.Follower.Ready() {
		if err := wait(ctx, startPoll); err != nil {
			return eris.Wrap(err, "waiting for a current state")
		}
	}
	go func() { _ = d.Joiner.Run(work) }()
	for !d.member() {
		if err := wait(ctx, startPoll); err != nil {
			return eris.Wrap(err, "waiting for admission")
		}
	}
	return d.awaitClaims(ctx)
}

// awaitClaims waits, within a bound, until claims of new IDs can be proved:
// right after the first daemons of all have started they would be refused.
func (d *daemon) awaitClaims(ctx context.Context) error {
	until := time.Now().Add(claimsTimeout)
	for !d.Claims.Ready() && time.Now().Before(until) {
		if err := wait(ctx, startPoll); err != nil {
			return eris.Wrap(err, "waiting for claims")
		}
	}
	return nil
}

func (d *daemon) member() bool {
	_, ok := d.Replica.State().Members.Members[d.Self.ID]
	return ok
}

// stop ends in an order that cuts nothing: first the balancer is told, then
// new requests are refused, then those in progress finish.
func (d *daemon) stop(s servers, stopJoining func()) error {
	d.Logger.Info().Msg("stopping")
	d.Stage.set(stageDraining)
	d.Detector.SetDraining()
	_ = wait(context.Background(), d.Settings.StopGrace)
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.StopTimeout)
	defer cancel()
	if err := d.Dispatcher.Drain(ctx); err != nil {
		d.Logger.Warn().Err(err).Msg("dispatcher not drained")
	}
	err := s.callers.ShutdownWithContext(ctx)
	d.Stage.set(stageStopped)
	d.Gate.Close()
	d.stopReports()
	d.reports.Wait()
	stopJoining()
	d.leave()
	d.Attempts.Close()
	_ = s.admin.ShutdownWithContext(ctx)
	d.Node.Close()
	d.Logger.Info().Msg("stopped")
	return eris.Wrap(err, "requests still in progress at stop-timeout")
}

// leave removes this member. Should it fail, the others wait for its host to
// leave the platform's list.
func (d *daemon) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := d.Joiner.Leave(ctx); err != nil {
		d.Logger.Warn().Err(err).Msg("removal not recorded")
	}
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
