package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/rotisserie/eris"
)

const (
	// sendQueueFrames bounds the frames of one class that wait for a
	// connection's writer.
	sendQueueFrames = 1024
	// sendQueueBytes bounds their size.
	sendQueueBytes = 16 << 20
	// pingInterval is the time between the pings of the dialling side.
	pingInterval = 5 * time.Second
	// readTimeout ends a connection that has been silent for that long.
	readTimeout = 3 * pingInterval
	// writeTimeout bounds the write of one frame.
	writeTimeout = 5 * time.Second
)

// outgoing is a frame on its way to the socket. Exactly one of take and
// withdraw succeeds, which makes ErrNotSent a proof.
type outgoing struct {
	data  []byte
	class class
	taken atomic.Bool
}

func (o *outgoing) take() bool { return o.taken.CompareAndSwap(false, true) }

// withdraw reports whether the frame was kept from ever being written.
func (o *outgoing) withdraw() bool { return o.taken.CompareAndSwap(false, true) }

// conn is one WebSocket with a reader and a writer goroutine.
type conn struct {
	ws      *websocket.Conn
	dialled bool
	metrics *metrics
	queues  [classes]chan *outgoing
	queued  atomic.Int64
	done    chan struct{}
	once    sync.Once
	// check is asked at every ping whether the connection is still wanted.
	check func() bool
}

func newConn(ws *websocket.Conn, dialled bool, m *metrics) *conn {
	c := &conn{ws: ws, dialled: dialled, metrics: m, done: make(chan struct{})}
	for i := range c.queues {
		c.queues[i] = make(chan *outgoing, sendQueueFrames)
	}
	return c
}

// close ends the connection. The writer takes no frame after it has returned
// from a write that was in progress.
func (c *conn) close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.ws.Close()
	})
}

// enqueue hands a frame to the writer. It fails when the queue is full or the
// connection is closed; the frame has not left then.
func (c *conn) enqueue(o *outgoing) error {
	size := int64(len(o.data))
	if c.queued.Add(size) > sendQueueBytes {
		c.queued.Add(-size)
		return eris.New("send queue is full")
	}
	select {
	case <-c.done:
		c.queued.Add(-size)
		return eris.New("connection closed")
	case c.queues[o.class] <- o:
		return nil
	default:
		c.queued.Add(-size)
		return eris.New("send queue is full")
	}
}

// writeLoop writes queued frames until the connection ends. Control goes
// before data, so that a burst of requests does not delay heartbeats.
func (c *conn) writeLoop() {
	defer c.close()
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for {
		var o *outgoing
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
			case o = <-c.queues[classControl]:
			case o = <-c.queues[classData]:
			}
		}
		if !c.write(o) {
			return
		}
	}
}

func (c *conn) ping() bool {
	if !c.dialled {
		return true
	}
	if c.check != nil && !c.check() {
		return false
	}
	deadline := time.Now().Add(writeTimeout)
	return c.ws.WriteControl(websocket.PingMessage, nil, deadline) == nil
}

// write reports whether the connection is still usable.
func (c *conn) write(o *outgoing) bool {
	c.queued.Add(-int64(len(o.data)))
	if !o.take() {
		return true
	}
	if err := c.ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	if err := c.ws.WriteMessage(websocket.BinaryMessage, o.data); err != nil {
		return false
	}
	c.metrics.out(o.class, wireBytes(len(o.data), c.dialled))
	return true
}

// readLoop passes each frame with its size on the wire to handle until the
// connection ends.
func (c *conn) readLoop(handle func(frame, int64)) {
	defer c.close()
	c.ws.SetReadLimit(maxFrameBytes)
	c.extendRead()
	c.ws.SetPongHandler(func(string) error { return c.extendRead() })
	c.ws.SetPingHandler(func(data string) error {
		_ = c.ws.WriteControl(websocket.PongMessage, []byte(data), time.Now().Add(writeTimeout))
		return c.extendRead()
	})
	for {
		_, data, err := c.ws.ReadMessage()
		if err != nil {
			return
		}
		_ = c.extendRead()
		f, err := decodeFrame(data)
		if err != nil {
			c.metrics.badFrames.Inc(1)
			return
		}
		handle(f, wireBytes(len(data), !c.dialled))
	}
}

func (c *conn) extendRead() error {
	return c.ws.SetReadDeadline(time.Now().Add(readTimeout))
}

// reply queues an answer; an answer that cannot be queued is lost to the
// caller, which learns it by its deadline or the end of the connection.
func (c *conn) reply(f frame, cl class) {
	data, err := f.encode()
	if err != nil {
		f = frame{ID: f.ID, Kind: kindError, Error: err.Error()}
		if data, err = f.encode(); err != nil {
			return
		}
	}
	if err := c.enqueue(&outgoing{data: data, class: cl}); err != nil {
		c.close()
	}
}
