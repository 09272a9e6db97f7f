package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/record"
)

// DataMux registers handlers of callers' requests. Their bytes and their
// concurrency are kept apart from those of control, and control goes first.
type DataMux interface {
	Mux
	HandleData(m Method, h Handler)
}

const (
	// defaultDialTimeout bounds a dial with its handshake.
	defaultDialTimeout = time.Second
	// maxControlHandlers and maxDataHandlers bound the handlers that run at
	// once for other daemons.
	maxControlHandlers = 1024
	maxDataHandlers    = 4096
)

// errClosed is returned once Close has been called.
var errClosed = eris.New("peer node closed")

// Options configures a Node.
type Options struct {
	// Self is this daemon's member ID.
	Self string
	// Resolve returns the IP:port of a daemon.
	Resolve func(id string) (addr string, ok bool)
	// Token is a secret that all daemons share; empty admits everyone.
	Token string
	// DialTimeout bounds a dial with its handshake, 0 for one second.
	DialTimeout time.Duration
	Logger      zerolog.Logger
	// Scope receives the counters; nil drops them.
	Scope tally.Scope
}

// Node sends messages to other daemons and answers theirs. It implements
// Caller and DataMux.
type Node struct {
	opts    Options
	metrics *metrics
	ctx     context.Context
	stop    context.CancelFunc
	slots   [classes]chan struct{}

	// handlers is written only before Serve and the first call.
	handlers map[Method]registration

	mu       sync.Mutex
	closed   bool
	listener net.Listener
	links    map[linkKey]*link
	conns    map[*conn]struct{}
	running  sync.WaitGroup
}

type registration struct {
	handler Handler
	class   class
}

// linkKey names a peer by ID, or by address when the ID is not known.
type linkKey struct {
	id   string
	addr string
}

var (
	_ Caller  = (*Node)(nil)
	_ DataMux = (*Node)(nil)
)

// NewNode returns a node that neither listens nor dials yet.
func NewNode(o Options) *Node {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Resolve == nil {
		o.Resolve = func(string) (string, bool) { return "", false }
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{
		opts:     o,
		metrics:  newMetrics(o.Scope),
		ctx:      ctx,
		stop:     stop,
		handlers: map[Method]registration{},
		links:    map[linkKey]*link{},
		conns:    map[*conn]struct{}{},
	}
	n.slots[classControl] = make(chan struct{}, maxControlHandlers)
	n.slots[classData] = make(chan struct{}, maxDataHandlers)
	return n
}

// Handle implements Mux. Every method must be registered before Serve and the
// first call.
func (n *Node) Handle(m Method, h Handler) {
	n.handlers[m] = registration{handler: h, class: classControl}
}

// HandleData implements DataMux.
func (n *Node) HandleData(m Method, h Handler) {
	n.handlers[m] = registration{handler: h, class: classData}
}

func (n *Node) handler(m Method) (registration, bool) {
	r, ok := n.handlers[m]
	return r, ok
}

// classOf returns the class of a method. All daemons register the same
// methods, so the caller's side knows it too.
func (n *Node) classOf(m Method) class { return n.handlers[m].class }

// run calls the handler of a frame and encodes what it returns.
func (n *Node) run(ctx context.Context, from string, f frame) (cbor.RawMessage, error) {
	reg, ok := n.handler(f.Method)
	if !ok {
		return nil, eris.Errorf("unknown method %s", f.Method)
	}
	out, err := reg.handler(ctx, from, f.Body)
	if err != nil || f.Kind == kindOneway {
		return nil, err
	}
	return record.Encode(out)
}

func (n *Node) link(id, addr string) *link {
	key := linkKey{id: id, addr: addr}
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[key]
	if !ok {
		l = newLink(n, id, addr)
		n.links[key] = l
	}
	return l
}

// Forget ends the link to a daemon that has left for good.
func (n *Node) Forget(id string) {
	n.mu.Lock()
	l, ok := n.links[linkKey{id: id}]
	delete(n.links, linkKey{id: id})
	n.mu.Unlock()
	if ok {
		l.close()
	}
}

// spawn runs f in a goroutine that Close waits for. It reports false once the
// node is closed.
func (n *Node) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		f()
	}()
	return true
}

// track lets Close end c. It reports false once the node is closed.
func (n *Node) track(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.running.Add(1)
	n.conns[c] = struct{}{}
	n.metrics.connections.Update(float64(len(n.conns)))
	return true
}

func (n *Node) untrack(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	n.metrics.connections.Update(float64(len(n.conns)))
	n.running.Done()
}

// Close ends the listener, every connection and every handler's context, and
// waits for them.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	if n.listener != nil {
		_ = n.listener.Close()
	}
	conns := make([]*conn, 0, len(n.conns))
	for c := range n.conns {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	n.stop()
	for _, c := range conns {
		c.close()
	}
	n.running.Wait()
}
