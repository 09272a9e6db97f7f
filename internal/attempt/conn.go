package attempt

import (
	"bufio"
	"context"
	"net"
	"time"

	"greengagedeck/internal/keptconn"
	"greengagedeck/internal/verdict"
)

const readBufferBytes = 8 << 10

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	address string
	probe   *keptconn.Probe
	br      *bufio.Reader
	bw      *bufio.Writer
	// bytesSent counts the bytes of the current request that the kernel
	// accepted. While it is 0, nothing can have reached the target.
	bytesSent int64
	// reusable is set when the last exchange was complete, so that the
	// connection can carry another request.
	reusable bool
	// echoesAttempt is set once the target has returned the attempt ID in a
	// response. From then on, a response without one is not accepted.
	echoesAttempt bool
	idleSince     time.Time

	// interrupt is created once per connection, because it is used for every request.
	interrupt func()
}

func newConn(c net.Conn, address string) *conn {
	cn := &conn{Conn: c, address: address, probe: keptconn.NewProbe(c)}
	cn.br = bufio.NewReaderSize(c, readBufferBytes)
	cn.bw = bufio.NewWriter(cn)
	cn.interrupt = func() { _ = cn.SetDeadline(aLongTimeAgo) }
	return cn
}

// Write implements io.Writer for the buffered writer and counts the bytes sent.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesSent += int64(n)
	return n, err
}

// dial opens a connection. If it fails, no byte of the request has been sent.
func (c *Client) dial(ctx context.Context, deadline time.Time, address string) (*conn, *verdict.Error) {
	ctx, cancel := withDeadline(ctx, deadline)
	defer cancel()
	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if cerr := contextError(ctx, verdict.NotRun); cerr != nil {
			return nil, cerr
		}
		return nil, verdict.NewNotRun(verdict.ReasonConnect, "%v", err)
	}
	c.metrics.opened.Inc(1)
	return newConn(nc, address), nil
}
