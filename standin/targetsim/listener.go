package targetsim

import (
	"net"
	"sync"
)

// limitListener closes connections above a limit at once.
type limitListener struct {
	net.Listener
	limit int

	mu      sync.Mutex
	conns   map[*limitedConn]struct{}
	most    int
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
		c := &limitedConn{Conn: raw, l: l}
		if l.add(c) {
			return c, nil
		}
		c.reset()
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
	l.most = max(l.most, len(l.conns))
	return true
}

func (l *limitListener) counts() (most, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.most, l.refused
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
		c.reset()
		_ = c.Close()
	}
}

type limitedConn struct {
	net.Conn
	l *limitListener
}

// reset makes the next Close send a reset in place of an orderly end.
func (c *limitedConn) reset() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}
