package attempt

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"greengagedeck/internal/verdict"
)

const readBufferBytes = 8 << 10

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	address string
	raw     syscall.RawConn
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

	// interrupt and peek are created once per connection, because both are
	// used for every request. peekWouldBlock is the result of peek.
	interrupt      func()
	peek           func(fd uintptr)
	peekWouldBlock bool
}

func newConn(c net.Conn, address string) *conn {
	cn := &conn{Conn: c, address: address}
	if sc, ok := c.(syscall.Conn); ok {
		cn.raw, _ = sc.SyscallConn()
	}
	cn.br = bufio.NewReaderSize(c, readBufferBytes)
	cn.bw = bufio.NewWriter(cn)
	cn.interrupt = func() { _ = cn.SetDeadline(aLongTimeAgo) }
	cn.peek = func(fd uintptr) { cn.peekWouldBlock = readWouldBlock(fd) }
	return cn
}

// Write implements io.Writer for the buffered writer and counts the bytes sent.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesSent += int64(n)
	return n, err
}

// openAndEmpty reports whether the target has neither closed an idle connection
// nor sent anything on it. Bytes on an idle connection belong to no request of
// this client, so such a connection is not used again.
func (c *conn) openAndEmpty() bool {
	if c.raw == nil {
		return false
	}
	c.peekWouldBlock = false
	// Control, unlike Read, ignores the deadline set by the last exchange.
	err := c.raw.Control(c.peek)
	return err == nil && c.peekWouldBlock
}

func readWouldBlock(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
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
