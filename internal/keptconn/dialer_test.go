package keptconn_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/keptconn"
)

// ends are both ends of a connection that a Dialer has opened.
type ends struct {
	client net.Conn
	server *net.TCPConn
}

// answer has the server's end send bytes, and the client's end read them.
func (e ends) answer(g *WithT) {
	_, err := e.server.Write([]byte("a"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = e.client.Read(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
}

func (e ends) write() error {
	_, err := e.client.Write([]byte("q"))
	return err
}

// open opens n connections by one Dialer to one address.
func open(t *testing.T, g *WithT, n int) []ends {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	d := keptconn.NewDialer(func(addr string) (net.Conn, error) { return net.Dial("tcp", addr) }, time.Minute, tally.NoopScope)
	var out []ends
	for range n {
		client, err := d.Dial(ln.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		server, err := ln.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _, _ = client.Close(), server.Close() })
		out = append(out, ends{client, server.(*net.TCPConn)})
	}
	return out
}

// Guards against requests that are sent on connections which the other end has closed.
func TestKeptConnectionThatWasClosedIsUnusable(t *testing.T) {
	for name, end := range map[string]func(ends) error{
		"closed": func(e ends) error { return e.server.Close() },
		"reset": func(e ends) error {
			_ = e.server.SetLinger(0)
			return e.server.Close()
		},
		"last words": func(e ends) error {
			_, err := e.server.Write([]byte("timeout"))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := open(t, g, 1)[0]
			g.Expect(c.write()).To(Succeed())
			c.answer(g)
			g.Expect(c.write()).To(Succeed(), "nothing has happened")
			c.answer(g)
			g.Expect(end(c)).To(Succeed())
			time.Sleep(20 * time.Millisecond)
			g.Expect(c.write()).To(MatchError(keptconn.ErrUnusable))
		})
	}
}

// Guards against requests that fail one after the other on connections that were lost
// together, and against dropping those that have answered since.
func TestKeptConnectionIsUnusableAfterAnotherHasFailed(t *testing.T) {
	g := NewWithT(t)
	all := open(t, g, 3)
	failing, kept, working := all[0], all[1], all[2]
	for _, c := range all {
		g.Expect(c.write()).To(Succeed())
	}
	kept.answer(g)
	g.Expect(failing.client.SetReadDeadline(time.Now())).To(Succeed())
	_, err := failing.client.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	working.answer(g)
	g.Expect(kept.write()).To(MatchError(keptconn.ErrUnusable))
	g.Expect(working.write()).To(Succeed())
}

// Guards against a request that is broken off in the middle because another connection
// has failed meanwhile.
func TestOnlyTheFirstWriteOfARequestIsChecked(t *testing.T) {
	g := NewWithT(t)
	all := open(t, g, 2)
	failing, c := all[0], all[1]
	g.Expect(c.write()).To(Succeed())
	c.answer(g)
	g.Expect(c.write()).To(Succeed())
	g.Expect(failing.client.SetReadDeadline(time.Now())).To(Succeed())
	_, err := failing.client.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	g.Expect(c.write()).To(Succeed())
}
