package main

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/dig"

	"greengagedeck/internal/attempt"
	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/gateway"
	"greengagedeck/internal/membership"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/record"
	"greengagedeck/internal/release"
	"greengagedeck/internal/replica"
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
	Appender   *replica.Appender
	Gate       *pool.Gate
	Attempts   *attempt.Client
	Dispatcher *dispatch.Dispatcher
	Callers    *gateway.Callers
	Admin      *gateway.Admin
}

// daemon runs its parts in order.
type daemon struct{ parts }

// run serves until ctx ends and then stops without cutting a request.
func (d *daemon) run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	servers, err := d.listen()
	if err != nil {
		return err
	}
	d.start(work)
	if err := d.join(ctx); err != nil {
		return err
	}
	d.Gate.Open()
	d.Stage.set(stageServing)
	d.Logger.Info().Str("release", release.String()).Msg("serving")
	<-ctx.Done()
	return d.stop(servers)
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
	go func() { _ = d.Dispatcher.Run(ctx) }()
	go d.Attempts.Run(ctx)
}

// join waits for a current state and appends this incarnation's admission.
// Only a member may start requests, so nothing is served before.
func (d *daemon) join(ctx context.Context) error {
	for !d.Follower.Ready() {
		if err := wait(ctx, 20*time.Millisecond); err != nil {
			return eris.Wrap(err, "waiting for a current state")
		}
	}
	rec, err := record.New(membership.KindJoin, d.Self.ID, time.Now(), record.Cause{Object: "daemon/" + d.Self.ID, Reason: "started"}, membership.Join{Member: d.Self})
	if err != nil {
		return err
	}
	for {
		wctx, cancel := context.WithTimeout(ctx, joinTimeout)
		got, err := d.Appender.Append(wctx, rec)
		cancel()
		switch {
		case err == nil && got.Outcome.Accepted:
			return nil
		case err == nil:
			return eris.Errorf("admission refused: %s", got.Outcome.Reason)
		case !errors.Is(err, replica.ErrUndecided) || ctx.Err() != nil:
			return err
		}
	}
}

// stop ends in an order that cuts nothing: first the balancer is told, then
// new requests are refused, then those in progress finish.
func (d *daemon) stop(s servers) error {
	d.Logger.Info().Msg("stopping")
	d.Stage.set(stageDraining)
	_ = wait(context.Background(), d.Settings.StopGrace)
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.StopTimeout)
	defer cancel()
	err := s.callers.ShutdownWithContext(ctx)
	d.Stage.set(stageStopped)
	d.Gate.Close()
	d.leave()
	d.Attempts.Close()
	_ = s.admin.ShutdownWithContext(ctx)
	d.Node.Close()
	d.Logger.Info().Msg("stopped")
	return eris.Wrap(err, "requests still in progress at stop-timeout")
}

// leaveTimeout bounds the removal of a stopping member. Without it the other
// members wait for its host to leave the platform's list.
const leaveTimeout = 5 * time.Second

func (d *daemon) leave() {
	rec, err := record.New(membership.KindRemove, d.Self.ID, time.Now(), record.Cause{Object: "daemon/" + d.Self.ID, Reason: "planned stop"}, membership.Remove{ID: d.Self.ID})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if _, err := d.Appender.Append(ctx, rec); err != nil {
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

func newAdmin(s Settings, self membership.Member, f *inForce, fo *replica.Follower, a *replica.Appender, st *stage, rec *recorder, l zerolog.Logger, m metrics) *gateway.Admin {
	page := promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
	return gateway.NewAdmin(gateway.AdminOptions{
		Self:     self.ID,
		Tokens:   s.Tokens,
		State:    f.replica.State,
		Appender: a,
		Status:   func() gateway.Status { return statusOf(f, fo, st) },
		Ready:    st.ready,
		Reports:  noReports{},
		Traces:   rec,
		Metrics:  fasthttpadaptor.NewFastHTTPHandler(page),
		Logger:   l,
	})
}

func statusOf(f *inForce, fo *replica.Follower, st *stage) gateway.Status {
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
		ms := gateway.MemberStatus{ID: id, Host: m.Host, Zone: m.Zone, Live: id == f.self.ID}
		if ms.Live {
			ms.Offset = s.Offset
		}
		out.Members = append(out.Members, ms)
	}
	slices.SortFunc(out.Members, func(a, b gateway.MemberStatus) int { return compare(a.Host, b.Host) })
	return out
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// noReports stands until reports are wired.
type noReports struct{}

// Burn implements gateway.Reports.
func (noReports) Burn(string) (string, []byte, error) { return "", nil, eris.New("not available") }

// Measures implements gateway.Reports.
func (noReports) Measures(string) (string, []byte, error) { return "", nil, eris.New("not available") }
