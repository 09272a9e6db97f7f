package main

import (
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"greengagedeck/internal/gateway"
	"net"
	"time"
)

// HTTP limits of the daemon's listeners.
const (
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
)

// servers are the daemon's HTTP listeners.
type servers struct{ callers, admin *fasthttp.Server }

func (d *daemon) listen() (servers, error) {
	s := servers{
		callers: newServer(d.CallerAPI.Handler()),
		admin:   newServer(d.AdminAPI.Handler()),
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
		Logger:                discardLogger{},
	}
}

// discardLogger drops the HTTP library's own log lines: counters report bad
// connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

func serveHTTP(s *fasthttp.Server, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrap(err, addr)
	}
	go func() { _ = s.Serve(ln) }()
	return nil
}
