package main

import (
	"context"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/dig"

	"greengagedeck/internal/duty"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/release"
	"greengagedeck/internal/worker"
	"greengagedeck/platform"
)

const (
	// logSilence is how long the log may not have answered for this daemon to
	// take callers.
	logSilence = 3 * time.Second
	// drainPoll is the time between looks whether callers have left.
	drainPoll = 50 * time.Millisecond
	// exitMargin is kept of the grace at a planned stop.
	exitMargin = 1500 * time.Millisecond
	// releaseTimeout bounds the hand-over of duties at a planned stop.
	releaseTimeout = 2 * time.Second
)

// fleetParts are what the fleet daemon is made of.
type fleetParts struct {
	dig.In

	Place    platform.Settings
	Self     duty.Member
	Logger   zerolog.Logger
	Metrics  metrics
	Stage    *stage
	Policy   *policy.InForce
	Follower *policy.Follower
	Registry *worker.Registry
	Duties   *duties
	Fleet    *fleetDuty
	Node     *peer.Node
	Front    *platform.Frontend
}

// fleetDaemon serves jobs on a fleet platform.
type fleetDaemon struct{ fleetParts }

// run serves until ctx ends and then stops without cutting a request.
func (d *fleetDaemon) run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	callers, err := d.listen()
	if err != nil {
		return err
	}
	go d.Follower.Run(work)
	go d.Registry.Run(work)
	go d.Duties.keeper.Run(work)
	d.Stage.set(stageServing)
	d.Logger.Info().Str("release", release.String()).Str("callers", d.Place.Callers.String()).Msg("serving")
	<-ctx.Done()
	d.stop(callers)
	return nil
}

// listen opens every listener of the daemon.
func (d *fleetDaemon) listen() (callers net.Listener, err error) {
	peers, err := net.Listen("tcp", d.Self.Address)
	if err != nil {
		return nil, listenError("daemons", d.Self.Address, err)
	}
	go func() { _ = d.Node.Serve(peers) }()
	addr := internalAddress(d.Place, adminPort)
	if err := serveHTTP(newServer(d.admin()), addr); err != nil {
		return nil, listenError("operators", addr, err)
	}
	if err := serveHTTP(newServer(platform.ReadyHandler(d.ready)), d.Place.Ready.String()); err != nil {
		return nil, listenError("balancer", d.Place.Ready.String(), err)
	}
	callers, err = net.Listen("tcp", d.Place.Callers.String())
	if err != nil {
		return nil, listenError("callers", d.Place.Callers.String(), err)
	}
	go func() {
		if err := d.Front.Serve(callers); err != nil {
			d.Logger.Error().Err(err).Msg("callers no longer accepted")
		}
	}()
	return callers, nil
}

// admin serves operators.
func (d *fleetDaemon) admin() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	page := promhttp.HandlerFor(d.Metrics.registry, promhttp.HandlerOpts{})
	r.GET("/metrics", fasthttpadaptor.NewFastHTTPHandler(page))
	return r.Handler
}

// ready reports whether the balancer should send callers here.
func (d *fleetDaemon) ready() bool {
	return d.Stage.ready() && d.Policy.Get() != nil && d.Duties.keeper.LogAge() < logSilence
}

// stop ends in an order that cuts nothing: the balancer is told, the duties
// are handed over, and callers are served until they have left or the grace is
// nearly over.
func (d *fleetDaemon) stop(callers net.Listener) {
	d.Logger.Info().Msg("stopping")
	end := time.Now().Add(d.Place.Grace - exitMargin)
	d.Stage.set(stageDraining)
	d.Front.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	d.Duties.keeper.Leave()
	d.Fleet.stop()
	if err := d.Duties.keeper.Release(ctx); err != nil {
		d.Logger.Warn().Err(err).Msg("duties not handed over")
	}
	for time.Now().Before(end) && d.Front.OpenConnections() > 0 {
		time.Sleep(drainPoll)
	}
	if err := callers.Close(); err != nil {
		d.Logger.Warn().Err(eris.Wrap(err, "callers")).Msg("listener not closed")
	}
	d.Node.Close()
	d.Logger.Info().Int64("open", d.Front.OpenConnections()).Msg("stopped")
}
