package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/rotisserie/eris"
)

const (
	// sendQueueFrames limits the frames of one class that are queued for a
	// connection's writer.
	sendQueueFrames = 1024
	// sendQueueBytes limits the total size of the queued frames of a connection.
	sendQueueBytes = 16 << 20
	// pingInterval is the interval between pings, which the dialling side sends.
	pingInterval = 5 * time.Second
	// readTimeout is how long a connection may receive nothing before it is
	// closed.
	readTimeout = 3 * pingInterval
	// checkTimeout is how long a connection over which a call was not answered in time may
	// receive nothing more: it may have gone silent, while a new one would work.
	checkTimeout = 1500 * time.Millisecond
	// writeTimeout limits the write of one frame.
	writeTimeout = 5 * time.Second
)

// outgoingFrame is a frame that is queued for writing. Exactly one of take and
// withdraw succeeds, so a withdrawn frame is known not to have been written and
// ErrNotSent can be relied on.
type outgoingFrame struct {
	data  []byte
	class trafficClass
	taken atomic.Bool
}

// take reports whether the writer may write the frame.
func (o *outgoingFrame) take() bool { return o.taken.CompareAndSwap(false, true) }

// withdraw reports whether the frame was withdrawn before the writer took it. A
// withdrawn frame is never written.
func (o *outgoingFrame) withdraw() bool { return o.taken.CompareAndSwap(false, true) }

// conn is one WebSocket connection with a reader and a writer goroutine.
type conn struct {
	ws          *websocket.Conn
	dialled     bool
	metrics     *metrics
	queues      [numClasses]chan *outgoingFrame
	queuedBytes atomic.Int64
	done        chan struct{}
	closeOnce   sync.Once
	// pingNow has the writer send a ping.
	pingNow chan struct{}

	deadlineMu sync.Mutex
	// checked is set from a call of check until something is received.
	checked bool
	// stillWanted is called before each ping. If it returns false, the connection
	// is closed. It may be nil.
	stillWanted func() bool
}

func newConn(ws *websocket.Conn, dialled bool, m *metrics) *conn {
	c := &conn{ws: ws, dialled: dialled, metrics: m, done: make(chan struct{}), pingNow: make(chan struct{}, 1)}
	for i := range c.queues {
		c.queues[i] = make(chan *outgoingFrame, sendQueueFrames)
	}
	return c
}

// close closes the connection. A write that is in progress may still finish;
// the writer takes no frame after it.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.ws.Close()
	})
}

// enqueue queues a frame for the writer. It fails if the queue is full or the
// connection is closed; the frame is not sent in that case.
func (c *conn) enqueue(o *outgoingFrame) error {
	size := int64(len(o.data))
	if c.queuedBytes.Add(size) > sendQueueBytes {
		c.queuedBytes.Add(-size)
		return eris.New("send queue is full")
	}
	select {
	case <-c.done:
		c.queuedBytes.Add(-size)
		return eris.New("connection closed")
	case c.queues[o.class] <- o:
		return nil
	default:
		c.queuedBytes.Add(-size)
		return eris.New("send queue is full")
	}
}

// writeLoop writes queued frames until the connection is closed. Control frames
// take priority over data frames so that a burst of requests does not delay
// heartbeats.
func (c *conn) writeLoop() {
	defer c.close()
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for {
		var o *outgoingFrame
		select {
		case o = <-c.queues[classControl]:
		default:
			select {
			case <-c.done:
				return
			case <-ping.C:
				if !c.ping() {
					return
				}
				continue
			case <-c.pingNow:
				if !c.ping() {
					return
				}
				continue
			case o = <-c.queues[classControl]:
			case o = <-c.queues[classData]:
			}
		}
		if !c.write(o) {
			return
		}
	}
}

// ping sends a ping if this side dialled. It reports whether the connection is
// still usable and wanted.
func (c *conn) ping() bool {
	if !c.dialled {
		return true
	}
	if c.stillWanted != nil && !c.stillWanted() {
		return false
	}
	deadline := time.Now().Add(writeTimeout)
	return c.ws.WriteControl(websocket.PingMessage, nil, deadline) == nil
}

// write writes the frame unless it was withdrawn. It reports whether the
// connection is still usable.
func (c *conn) write(o *outgoingFrame) bool {
	c.queuedBytes.Add(-int64(len(o.data)))
	if !o.take() {
		return true
	}
	if err := c.ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	if err := c.ws.WriteMessage(websocket.BinaryMessage, o.data); err != nil {
		return false
	}
	c.metrics.countSent(o.class, wireBytes(len(o.data), c.dialled))
	return true
}

// readLoop passes each frame and its size on the wire to handle until the
// connection is closed.
func (c *conn) readLoop(handle func(frame, int64)) {
	defer c.close()
	c.ws.SetReadLimit(maxFrameBytes)
	c.extendReadDeadline()
	c.ws.SetPongHandler(func(string) error { return c.extendReadDeadline() })
	c.ws.SetPingHandler(func(data string) error {
		_ = c.ws.WriteControl(websocket.PongMessage, []byte(data), time.Now().Add(writeTimeout))
		return c.extendReadDeadline()
	})
	for {
		_, data, err := c.ws.ReadMessage()
		if err != nil {
			return
		}
		_ = c.extendReadDeadline()
		f, err := decodeFrame(data)
		if err != nil {
			c.metrics.badFrames.Inc(1)
			return
		}
		handle(f, wireBytes(len(data), !c.dialled))
	}
}

// extendReadDeadline records that something was received.
func (c *conn) extendReadDeadline() error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.checked = false
	return c.ws.SetReadDeadline(time.Now().Add(readTimeout))
}

// check has the connection closed unless something is received within checkTimeout. The
// other side answers a ping at once, however long its handlers take.
func (c *conn) check() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.checked {
		return
	}
	c.checked = true
	// If it fails, the connection is closed.
	_ = c.ws.SetReadDeadline(time.Now().Add(checkTimeout))
	select {
	case c.pingNow <- struct{}{}:
	default:
	}
}

// reply queues an answer. If it cannot be queued, the connection is closed so
// that the caller's pending calls fail instead of waiting for their deadlines. An
// error that cannot be encoded is dropped; the caller waits for its deadline.
func (c *conn) reply(f frame, cl trafficClass) {
	data, err := f.encode()
	if err != nil {
		f = frame{ID: f.ID, Kind: kindError, Error: err.Error()}
		if data, err = f.encode(); err != nil {
			return
		}
	}
	if err := c.enqueue(&outgoingFrame{data: data, class: cl}); err != nil {
		c.close()
	}
}
