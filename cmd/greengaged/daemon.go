package main

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/dig"

	"greengagedeck/internal/attempt"
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
	// leaveTimeout bounds the removal of a stopping member.
	leaveTimeout = 5 * time.Second
)

// HTTP limits of the daemon's listeners.
const (
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
)

// stage is where this daemon stands in its life.
type stage struct{ v atomic.Int32 }

// The stages, in order.
const (
	stageStarting int32 = iota
	stageServing
	// stageDraining daemons are not ready, but still serve what reaches
	// them until the balancer has noticed.
	stageDraining
	stageStopped
)

func newStage() *stage { return &stage{} }

func (s *stage) set(v int32) { s.v.Store(v) }

// ready reports whether the balancer should send requests.
func (s *stage) ready() bool { return s.v.Load() == stageServing }

// serving reports whether requests that arrive are served.
func (s *stage) serving() bool {
	v := s.v.Load()
	return v == stageServing || v == stageDraining
}

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
	Moves      *pool.Controller
	Waves      *maintenance.Controller
	Dispatcher *dispatch.Dispatcher
	Callers    *gateway.Callers
	Admin      *gateway.Admin
}

// whileServing runs f if the daemon serves.
func (s *stage) whileServing(f func()) {
	if s.serving() {
		f()
	}
}

// daemon runs its parts in order.
type daemon struct{ parts }

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
}

// servers are the daemon's HTTP listeners.
type servers struct{ callers, admin *fasthttp.Server }

func (d *daemon) listen() (servers, error) {
	s := servers{
		callers: newServer(d.Callers.Handler()),
		admin:   newServer(d.Admin.Handler()),
	}
	peers, err := net.Listen("tcp", d.Settings.PeerAddress)
	if err != nil {
		return s, eris.Wrap(err, "peer-address")
	}
	go func() { _ = d.Node.Serve(peers) }()
	if err := serveHTTP(s.callers, d.Settings.CallerAddress); err != nil {
		return s, eris.Wrap(err, "caller-address")
	}
	return s, eris.Wrap(serveHTTP(s.admin, d.Settings.AdminAddress), "admin-address")
}

func newServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               h,
		Name:                  "greengaged",
		MaxRequestBodySize:    gateway.MaxBodyBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                quietLogger{},
	}
}

// quietLogger drops the HTTP library's own lines: counters tell of bad
// connections.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}

func serveHTTP(s *fasthttp.Server, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrap(err, addr)
	}
	go func() { _ = s.Serve(ln) }()
	return nil
}

// start runs the background loops until ctx ends.
func (d *daemon) start(ctx context.Context) {
	go func() { _ = d.Follower.Run(ctx) }()
	go func() { _ = d.Detector.Run(ctx) }()
	go func() { _ = d.List.Run(ctx) }()
	go func() { _ = d.Snapshots.Run(ctx) }()
	go func() { _ = d.Notebook.Run(ctx) }()
	go func() { _ = d.Claims.Run(ctx) }()
	go func() { _ = d.Moves.Run(ctx) }()
	go func() { _ = d.Waves.Run(ctx) }()
	go func() { _ = d.Dispatcher.Run(ctx) }()
	go d.Attempts.Run(ctx)
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

func newAdmin(s Settings, self membership.Member, f *inForce, fo *replica.Follower, a *replica.Appender, d *membership.Detector, st *stage, rec *recorder, l zerolog.Logger, m metrics) *gateway.Admin {
	page := promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
	return gateway.NewAdmin(gateway.AdminOptions{
		Self:     self.ID,
		Tokens:   s.Tokens,
		State:    f.replica.State,
		Appender: a,
		Status:   func() gateway.Status { return statusOf(f, fo, d, st) },
		Ready:    st.ready,
		Reports:  noReports{},
		Traces:   rec,
		Metrics:  fasthttpadaptor.NewFastHTTPHandler(page),
		Logger:   l,
	})
}

func statusOf(f *inForce, fo *replica.Follower, d *membership.Detector, st *stage) gateway.Status {
	s := f.replica.State()
	out := gateway.Status{
		Daemon:           f.self.ID,
		Host:             f.self.Host,
		Zone:             f.self.Zone,
		Release:          release.String(),
		Ready:            st.ready(),
		Draining:         st.v.Load() == stageDraining,
		LogDown:          fo.LogDown(),
		Offset:           s.Offset,
		CatalogueVersion: s.Catalogue.Version,
	}
	for id, m := range s.Members.Members {
		out.Members = append(out.Members, gateway.MemberStatus{
			ID:       id,
			Host:     m.Host,
			Zone:     m.Zone,
			Live:     d.Live(id),
			Draining: d.Draining(id),
			Offset:   d.OffsetOf(id),
		})
	}
	slices.SortFunc(out.Members, func(a, b gateway.MemberStatus) int { return strings.Compare(a.Host, b.Host) })
	return out
}

// noReports stands until reports are wired.
type noReports struct{}

// Burn implements gateway.Reports.
func (noReports) Burn(string) (string, []byte, error) { return "", nil, eris.New("not available") }

// Measures implements gateway.Reports.
func (noReports) Measures(string) (string, []byte, error) { return "", nil, eris.New("not available") }
