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

// DataMux also registers handlers for data messages, which carry callers'
// requests. Data and control messages are counted and limited separately, and
// control messages are sent first.
type DataMux interface {
	Mux
	HandleData(m Method, h Handler)
}

const (
	// defaultDialTimeout limits a dial including its handshake.
	defaultDialTimeout = time.Second
	// maxControlHandlers and maxDataHandlers limit the handlers that run
	// concurrently for other daemons.
	maxControlHandlers = 1024
	maxDataHandlers    = 4096
)

// errClosed is returned after Close has been called.
var errClosed = eris.New("peer node closed")

// Options configures a Node.
type Options struct {
	// Self is this daemon's member ID.
	Self string
	// Resolve returns the IP:port of a daemon.
	Resolve func(id string) (addr string, ok bool)
	// Token is a secret shared by all daemons. If it is empty, connections are
	// not authenticated.
	Token string
	// DialTimeout limits a dial including its handshake; 0 means one second.
	DialTimeout time.Duration
	Logger      zerolog.Logger
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

// Node sends messages to other daemons and handles the messages they send. It
// implements Caller and DataMux.
type Node struct {
	opts         Options
	metrics      *metrics
	ctx          context.Context
	stop         context.CancelFunc
	handlerSlots [numClasses]chan struct{}

	// handlers must not be modified after Serve or the first call.
	handlers map[Method]registration

	mu         sync.Mutex
	closed     bool
	listener   net.Listener
	links      map[linkKey]*link
	conns      map[*conn]struct{}
	goroutines sync.WaitGroup
}

// registration is the handler of a method and the traffic class of its messages.
type registration struct {
	handler Handler
	class   trafficClass
}

// linkKey identifies a peer by ID, or by address if the ID is not known.
type linkKey struct {
	id   string
	addr string
}

var (
	_ Caller  = (*Node)(nil)
	_ DataMux = (*Node)(nil)
)

// NewNode returns a node that does not listen and has no connections.
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
	n.handlerSlots[classControl] = make(chan struct{}, maxControlHandlers)
	n.handlerSlots[classData] = make(chan struct{}, maxDataHandlers)
	return n
}

// Handle implements Mux. All methods must be registered before Serve and the
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

// classOf returns the traffic class of a method. All daemons register the same
// methods, so the calling side knows the class too.
func (n *Node) classOf(m Method) trafficClass { return n.handlers[m].class }

// runHandler calls the handler for a frame and encodes its result.
func (n *Node) runHandler(ctx context.Context, from string, f frame) (cbor.RawMessage, error) {
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

func (n *Node) linkTo(id, addr string) *link {
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

// Disconnect removes and closes the link to a daemon that has left permanently.
func (n *Node) Disconnect(id string) {
	n.mu.Lock()
	l, ok := n.links[linkKey{id: id}]
	delete(n.links, linkKey{id: id})
	n.mu.Unlock()
	if ok {
		l.close()
	}
}

// spawn runs f in a goroutine that Close waits for. It returns false if the node
// is closed.
func (n *Node) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		f()
	}()
	return true
}

// track registers c so that Close closes it and waits for it. It returns false
// if the node is closed.
func (n *Node) track(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.goroutines.Add(1)
	n.conns[c] = struct{}{}
	n.metrics.connections.Update(float64(len(n.conns)))
	return true
}

func (n *Node) untrack(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	n.metrics.connections.Update(float64(len(n.conns)))
	n.goroutines.Done()
}

// Close closes the listener and all connections, cancels the contexts of all
// handlers and waits for them to finish.
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
	n.goroutines.Wait()
}
