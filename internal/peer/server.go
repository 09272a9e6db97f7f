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

// Serve accepts connections of other daemons on ln until Close is called. It may
// be called only once.
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
		Handler:               n.acceptHandshake,
		NoDefaultServerHeader: true,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		// If this were false, closing an accepted connection would have no
		// effect until its reader returns.
		KeepHijackedConns: true,
		Logger:            discardLogger{},
	}
	return eris.Wrap(srv.Serve(ln), "serve peers")
}

// discardLogger discards fasthttp's log lines. Failed handshakes are counted in
// the metrics instead.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (n *Node) acceptHandshake(ctx *fasthttp.RequestCtx) {
	if status := n.checkHandshake(ctx); status != fasthttp.StatusOK {
		n.metrics.rejectedHandshakes.Inc(1)
		ctx.Error(fasthttp.StatusMessage(status), status)
		return
	}
	from := string(ctx.Request.Header.Peek(headerFrom))
	err := upgrader.Upgrade(ctx, func(ws *websocket.Conn) { n.serveConn(ws, from) })
	if err != nil {
		n.metrics.rejectedHandshakes.Inc(1)
	}
}

// checkHandshake returns the HTTP status for a handshake, 200 if it is accepted.
func (n *Node) checkHandshake(ctx *fasthttp.RequestCtx) int {
	if string(ctx.Path()) != peerPath {
		return fasthttp.StatusNotFound
	}
	if !n.authorized(string(ctx.Request.Header.Peek("Authorization"))) {
		return fasthttp.StatusUnauthorized
	}
	// The address may have been reused by another incarnation since the
	// dialling daemon resolved it.
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

// inboundConn is a connection that another daemon dialled.
type inboundConn struct {
	node *Node
	conn *conn
	from string
	ctx  context.Context

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

// serveConn serves an accepted connection until it is closed. The contexts of
// handlers that are still running are then cancelled.
func (n *Node) serveConn(ws *websocket.Conn, from string) {
	c := newConn(ws, false, n.metrics)
	if !n.track(c) {
		c.close()
		return
	}
	defer n.untrack(c)
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	in := &inboundConn{node: n, conn: c, from: from, ctx: ctx, cancels: map[uint64]context.CancelFunc{}}
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeLoop()
	}()
	c.readLoop(in.receive)
	<-written
}

func (in *inboundConn) receive(f frame, size int64) {
	n := in.node
	cl := n.classOf(f.Method)
	n.metrics.countReceived(cl, size)
	switch f.Kind {
	case kindRequest, kindOneway:
		in.startHandler(f, cl)
	case kindCancel:
		in.cancelRequest(f.ID)
	default:
		n.metrics.badFrames.Inc(1)
	}
}

// startHandler runs the frame's handler in a goroutine. It rejects the frame if
// the concurrency limit of its class is reached or the node is closed.
func (in *inboundConn) startHandler(f frame, cl trafficClass) {
	n := in.node
	select {
	case n.handlerSlots[cl] <- struct{}{}:
	default:
		in.rejectBusy(f, cl)
		return
	}
	ctx, cancel := in.handlerContext(f)
	ok := n.spawn(func() {
		defer func() { <-n.handlerSlots[cl] }()
		defer in.cancelRequest(f.ID)
		defer cancel()
		in.handle(ctx, f, cl)
	})
	if !ok {
		cancel()
		<-n.handlerSlots[cl]
		in.rejectBusy(f, cl)
	}
}

// rejectBusy counts a frame that is not handled and answers a request with
// kindBusy.
func (in *inboundConn) rejectBusy(f frame, cl trafficClass) {
	in.node.metrics.rejectedBusy.Inc(1)
	if f.Kind == kindRequest {
		in.conn.reply(frame{ID: f.ID, Kind: kindBusy}, cl)
	}
}

// handlerContext returns a handler's context, which ends with the connection, the
// caller's deadline or a kindCancel frame.
func (in *inboundConn) handlerContext(f frame) (context.Context, context.CancelFunc) {
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

// cancelRequest cancels the context of a request if it is still running.
func (in *inboundConn) cancelRequest(id uint64) {
	in.mu.Lock()
	cancel, ok := in.cancels[id]
	delete(in.cancels, id)
	in.mu.Unlock()
	if ok {
		cancel()
	}
}

func (in *inboundConn) handle(ctx context.Context, f frame, cl trafficClass) {
	out := frame{ID: f.ID, Kind: kindResponse}
	body, err := in.node.runHandler(ctx, in.from, f)
	if err != nil {
		out.Kind = kindError
		out.Error = err.Error()
	}
	out.Body = body
	if f.Kind == kindRequest {
		in.conn.reply(out, cl)
	}
}
