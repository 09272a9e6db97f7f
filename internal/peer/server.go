package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"strings"
	"sync"

	"github.com/fasthttp/websocket"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	peerPath   = "/v1/peer"
	headerFrom = "X-Greengage-From"
	headerTo   = "X-Greengage-To"
)

var upgrader = websocket.FastHTTPUpgrader{}

// Serve accepts other daemons on ln until Close. It may be called once.
func (n *Node) Serve(ln net.Listener) error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return errClosed
	}
	n.listener = ln
	n.mu.Unlock()
	srv := &fasthttp.Server{
		Name:                  "greengaged",
		Handler:               n.upgrade,
		NoDefaultServerHeader: true,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		// Without it, closing an accepted connection would have no effect
		// until its reader returns.
		KeepHijackedConns: true,
		Logger:            discardLogger{},
	}
	return eris.Wrap(srv.Serve(ln), "serve peers")
}

// discardLogger drops fasthttp's lines; failed handshakes are counted.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (n *Node) upgrade(ctx *fasthttp.RequestCtx) {
	if status := n.admit(ctx); status != fasthttp.StatusOK {
		n.metrics.refusedPeers.Inc(1)
		ctx.Error(fasthttp.StatusMessage(status), status)
		return
	}
	from := string(ctx.Request.Header.Peek(headerFrom))
	err := upgrader.Upgrade(ctx, func(ws *websocket.Conn) { n.serveConn(ws, from) })
	if err != nil {
		n.metrics.refusedPeers.Inc(1)
	}
}

// admit returns the status of a handshake, 200 when it may go on.
func (n *Node) admit(ctx *fasthttp.RequestCtx) int {
	if string(ctx.Path()) != peerPath {
		return fasthttp.StatusNotFound
	}
	if !n.authorized(string(ctx.Request.Header.Peek("Authorization"))) {
		return fasthttp.StatusUnauthorized
	}
	// The address may have passed to another incarnation since the dialling
	// daemon learnt it.
	if to := string(ctx.Request.Header.Peek(headerTo)); to != "" && to != n.opts.Self {
		return fasthttp.StatusMisdirectedRequest
	}
	return fasthttp.StatusOK
}

func (n *Node) authorized(header string) bool {
	if n.opts.Token == "" {
		return true
	}
	got := sha256.Sum256([]byte(strings.TrimPrefix(header, "Bearer ")))
	want := sha256.Sum256([]byte(n.opts.Token))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

// inbound is a connection that another daemon dialled.
type inbound struct {
	node *Node
	conn *conn
	from string
	ctx  context.Context

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

// serveConn runs an accepted connection until it ends. Handlers that still run
// are told by their context.
func (n *Node) serveConn(ws *websocket.Conn, from string) {
	c := newConn(ws, false, n.metrics)
	if !n.track(c) {
		c.close()
		return
	}
	defer n.untrack(c)
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	in := &inbound{node: n, conn: c, from: from, ctx: ctx, cancels: map[uint64]context.CancelFunc{}}
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeLoop()
	}()
	c.readLoop(in.receive)
	<-written
}

func (in *inbound) receive(f frame, size int64) {
	n := in.node
	cl := n.classOf(f.Method)
	n.metrics.in(cl, size)
	switch f.Kind {
	case kindRequest, kindOneway:
		in.start(f, cl)
	case kindCancel:
		in.cancel(f.ID)
	default:
		n.metrics.badFrames.Inc(1)
	}
}

// start runs the frame's handler in a goroutine, or turns the frame down when
// too many of its class run.
func (in *inbound) start(f frame, cl class) {
	n := in.node
	select {
	case n.slots[cl] <- struct{}{}:
	default:
		in.turnDown(f, cl)
		return
	}
	ctx, cancel := in.context(f)
	ok := n.spawn(func() {
		defer func() { <-n.slots[cl] }()
		defer in.cancel(f.ID)
		defer cancel()
		in.handle(ctx, f, cl)
	})
	if !ok {
		cancel()
		<-n.slots[cl]
		in.turnDown(f, cl)
	}
}

func (in *inbound) turnDown(f frame, cl class) {
	in.node.metrics.busy.Inc(1)
	if f.Kind == kindRequest {
		in.conn.reply(frame{ID: f.ID, Kind: kindBusy}, cl)
	}
}

func (in *inbound) context(f frame) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(in.ctx)
	if f.Timeout > 0 {
		cancel()
		ctx, cancel = context.WithTimeout(in.ctx, f.Timeout)
	}
	if f.Kind == kindRequest {
		in.mu.Lock()
		in.cancels[f.ID] = cancel
		in.mu.Unlock()
	}
	return ctx, cancel
}

// cancel ends the context of a request, if it still runs.
func (in *inbound) cancel(id uint64) {
	in.mu.Lock()
	cancel, ok := in.cancels[id]
	delete(in.cancels, id)
	in.mu.Unlock()
	if ok {
		cancel()
	}
}

func (in *inbound) handle(ctx context.Context, f frame, cl class) {
	out := frame{ID: f.ID, Kind: kindResponse}
	body, err := in.node.run(ctx, in.from, f)
	if err != nil {
		out.Kind = kindError
		out.Error = err.Error()
	}
	out.Body = body
	if f.Kind == kindRequest {
		in.conn.reply(out, cl)
	}
}
