// Package keptconn keeps client connections between requests, and finds out before a
// request is sent on one whether it still works.
package keptconn

import (
	"net"
	"syscall"
)

// Probe looks at a connection on which no answer is outstanding. It is not safe for
// concurrent use.
type Probe struct {
	raw syscall.RawConn
	// peek is bound once, so that a check allocates nothing.
	peek       func(fd uintptr)
	wouldBlock bool
}

// NewProbe returns a probe of a connection, or nil if it has no descriptor.
func NewProbe(c net.Conn) *Probe {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	p := &Probe{raw: raw}
	p.peek = func(fd uintptr) { p.wouldBlock = readWouldBlock(fd) }
	return p
}

// OpenAndEmpty reports whether the other end has neither closed the connection nor sent
// anything on it. Bytes on an idle connection belong to no request, so such a connection
// must not be used again.
func (p *Probe) OpenAndEmpty() bool {
	if p == nil {
		return false
	}
	p.wouldBlock = false
	// Control, unlike Read, ignores the deadline set by the last exchange.
	err := p.raw.Control(p.peek)
	return err == nil && p.wouldBlock
}

func readWouldBlock(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}
