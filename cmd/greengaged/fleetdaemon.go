package main

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"github.com/valyala/fasthttp/pprofhandler"
	"go.uber.org/dig"

	"greengagedeck/internal/duty"
	"greengagedeck/internal/fleetview"
	"greengagedeck/internal/intake"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/release"
	"greengagedeck/internal/servedlog"
	"greengagedeck/internal/worker"
	"greengagedeck/platform"
)

const (
	// maxLogAge is the time since the log's last answer after which this daemon is
	// no longer ready for callers. Blocking reads of the log answer within less.
	maxLogAge = 1500 * time.Millisecond
	// drainPollInterval is the interval between checks whether all callers have
	// disconnected.
	drainPollInterval = 50 * time.Millisecond
	// The last parts of the grace period of a planned stop: no request is begun in the last
	// refuseMargin, all are answered before the last answerMargin, and the process has
	// ended before the last exitMargin. It ends before if it has no request in hand: another
	// process may serve on the host then.
	refuseMargin = 1500 * time.Millisecond
	answerMargin = 600 * time.Millisecond
	exitMargin   = 500 * time.Millisecond
	// dutyReleaseTimeout bounds the hand-over of the pools' duties at a planned stop, and then
	// that of the fleet duty.
	dutyReleaseTimeout = 2 * time.Second
)

// fleetComponents are the dependencies of the fleet daemon.
type fleetComponents struct {
	dig.In

	// Work ends with a call of StopWork, when the daemon has stopped.
	Work         context.Context
	StopWork     context.CancelFunc
	Settings     platform.Settings
	Self         duty.Member
	Logger       zerolog.Logger
	Metrics      metrics
	Stage        *stage
	Log          *logstore.Tracked
	Policy       *policy.Current
	Follower     *policy.Follower
	Fetcher      *policy.Fetcher
	Registry     *worker.Registry
	DutyObserver *dutyObserver
	FleetRunner  *fleetRunner
	Served       *servedlog.Log
	Node         *peer.Node
	Intake       *intake.Service
	View         *fleetview.Service
	ViewWatch    *fleetview.Watch
	Frontend     *platform.Frontend
}

// fleetDaemon serves jobs on a fleet platform.
type fleetDaemon struct{ fleetComponents }

// run serves until ctx ends and then stops without interrupting requests.
func (d *fleetDaemon) run(ctx context.Context) error {
	callers, err := d.listen()
	if err != nil {
		return err
	}
	go d.Served.Run(d.Work)
	go d.Follower.Run(d.Work)
	go d.Fetcher.Run(d.Work)
	go d.Registry.Run(d.Work)
	go d.DutyObserver.elector.Run(d.Work)
	go d.ViewWatch.Run(d.Work)
	d.Stage.set(stageServing)
	d.Logger.Info().Str("release", release.String()).Str("callers", d.Settings.Callers.String()).Msg("serving")
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
	addr := internalAddress(d.Settings, adminPort)
	if err := serveHTTP(newServer(d.admin()), addr); err != nil {
		return nil, listenError("operators", addr, err)
	}
	if err := serveHTTP(newServer(platform.ReadyHandler(d.ready)), d.Settings.Ready.String()); err != nil {
		return nil, listenError("balancer", d.Settings.Ready.String(), err)
	}
	callers, err = net.Listen("tcp", d.Settings.Callers.String())
	if err != nil {
		return nil, listenError("callers", d.Settings.Callers.String(), err)
	}
	go d.Frontend.Serve(callers)
	return callers, nil
}

// admin serves operators.
func (d *fleetDaemon) admin() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	page := promhttp.HandlerFor(d.Metrics.registry, promhttp.HandlerOpts{})
	r.GET("/metrics", fasthttpadaptor.NewFastHTTPHandler(page))
	r.GET("/debug/pprof/{name:*}", pprofhandler.PprofHandler)
	d.View.Route(r)
	return r.Handler
}

// ready reports whether the balancer should send callers here.
func (d *fleetDaemon) ready() bool {
	return d.Stage.ready() && d.Policy.Get() != nil && d.Log.Age() < maxLogAge
}

// stop shuts down without interrupting requests: the balancer is told, the duties
// are handed over, and callers are served until they have disconnected or the
// grace period is nearly over. Every request that was read is answered before the process
// ends: clients go on sending on connections that they have open.
func (d *fleetDaemon) stop(callers net.Listener) {
	d.Logger.Info().Dur("grace", d.Settings.Grace).Msg("stopping")
	end := time.Now().Add(d.Settings.Grace)
	d.Stage.set(stageDraining)
	d.Frontend.Drain(platform.Drain{RefuseFrom: end.Add(-refuseMargin), AnswerBy: end.Add(-answerMargin)})
	released := d.startReleasingDuties(end.Add(-exitMargin))
	pollUntil(end.Add(-refuseMargin), func() bool { return isClosed(released) && d.Frontend.OpenConnections() == 0 })
	if err := callers.Close(); err != nil {
		d.Logger.Warn().Err(eris.Wrap(err, "close listener")).Msg("closing the callers' listener failed")
	}
	pollUntil(end.Add(-exitMargin), func() bool { return isClosed(released) && d.Frontend.Busy() == 0 })
	// A daemon that refuses connections counts as ended, so it must not act any more.
	d.StopWork()
	d.Node.Close()
	d.Logger.Info().Int64("open", d.Frontend.OpenConnections()).Int("busy", d.Frontend.Busy()).Dur("left", time.Until(end)).Msg("stopped")
}

// startReleasingDuties begins to give up the duties, which may take until a moment while the
// log does not answer. It returns a channel that is closed at the end.
func (d *fleetDaemon) startReleasingDuties(until time.Time) <-chan struct{} {
	released := make(chan struct{})
	go func() {
		defer close(released)
		ctx, cancel := context.WithDeadline(context.Background(), until)
		defer cancel()
		if err := d.releaseDuties(ctx); err != nil {
			d.Logger.Warn().Err(err).Msg("releasing duties failed")
		}
	}()
	return released
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// pollUntil returns once done does, or at a moment.
func pollUntil(at time.Time, done func() bool) {
	for time.Now().Before(at) && !done() {
		time.Sleep(drainPollInterval)
	}
}

// releaseDuties gives up the duties. No other daemon claims a duty that is not released while
// this one answers, so each pool is scheduled here until its release is stored: workers and the
// log check fencing tokens. Hosts do not, so the fleet controller stops before its duty is
// released.
func (d *fleetDaemon) releaseDuties(ctx context.Context) error {
	elector := d.DutyObserver.elector
	elector.Leave()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.FleetRunner.stop()
	}()
	poolsErr := releaseDutiesOf(ctx, elector, duty.Fleet)
	<-stopped
	return errors.Join(poolsErr, releaseDutiesOf(ctx, elector))
}

// releaseDutiesOf tries for dutyReleaseTimeout to give up every duty but those to keep.
func releaseDutiesOf(ctx context.Context, e *duty.Elector, keep ...duty.Name) error {
	ctx, cancel := context.WithTimeout(ctx, dutyReleaseTimeout)
	defer cancel()
	return e.Release(ctx, keep...)
}
