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
	// sent counts the bytes of the current request that the kernel took.
	// While it is 0, nothing has left for the target.
	sent int64
	// reusable is set while the connection is between two whole exchanges.
	reusable bool
	// echoes is set once the target has named the attempt in an answer; from
	// then on an answer that names none is not accepted.
	echoes    bool
	idleSince time.Time

	// interrupt and peek are made once, because each is used for every
	// request. silent is the result of peek.
	interrupt func()
	peek      func(fd uintptr)
	silent    bool
}

func newConn(c net.Conn, address string) *conn {
	cn := &conn{Conn: c, address: address}
	if sc, ok := c.(syscall.Conn); ok {
		cn.raw, _ = sc.SyscallConn()
	}
	cn.br = bufio.NewReaderSize(c, readBufferBytes)
	cn.bw = bufio.NewWriter(cn)
	cn.interrupt = func() { _ = cn.SetDeadline(aLongTimeAgo) }
	cn.peek = func(fd uintptr) { cn.silent = nothingToRead(fd) }
	return cn
}

// Write implements io.Writer for the buffered writer and counts.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

// quiet reports whether the target has neither closed an idle connection nor
// sent anything on it. Bytes on an idle connection answer no request of ours,
// so such a connection is not used again.
func (c *conn) quiet() bool {
	if c.raw == nil {
		return false
	}
	c.silent = false
	// Control, unlike Read, does not heed the deadline of the last exchange.
	err := c.raw.Control(c.peek)
	return err == nil && c.silent
}

func nothingToRead(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// dial opens a connection. No byte of a request can have left when it fails.
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
	c.metrics.dialed.Inc(1)
	return newConn(nc, address), nil
}
