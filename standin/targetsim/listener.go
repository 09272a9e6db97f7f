package targetsim

import (
	"net"
	"sync"
)

// limitListener immediately closes connections above a limit.
type limitListener struct {
	net.Listener
	limit int

	mu      sync.Mutex
	conns   map[*limitedConn]struct{}
	maxOpen int
	refused int
}

func newLimitListener(ln net.Listener, limit int) *limitListener {
	return &limitListener{Listener: ln, limit: limit, conns: map[*limitedConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &limitedConn{Conn: raw, listener: l}
		if l.add(c) {
			return c, nil
		}
		c.resetOnClose()
		_ = raw.Close()
	}
}

func (l *limitListener) add(c *limitedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit {
		l.refused++
		return false
	}
	l.conns[c] = struct{}{}
	l.maxOpen = max(l.maxOpen, len(l.conns))
	return true
}

func (l *limitListener) connectionCounts() (maxOpen, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxOpen, l.refused
}

// closeAll closes every connection.
func (l *limitListener) closeAll() {
	l.mu.Lock()
	conns := make([]*limitedConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.resetOnClose()
		_ = c.Close()
	}
}

// limitedConn is a connection that its listener counts until Close.
type limitedConn struct {
	net.Conn
	listener *limitListener
}

// resetOnClose makes the next Close send a TCP reset instead of an orderly shutdown.
func (c *limitedConn) resetOnClose() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
