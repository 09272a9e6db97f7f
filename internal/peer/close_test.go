package peer_test

import (
	"testing"

	"github.com/fasthttp/websocket"
	. "github.com/onsi/gomega"

	"greengagedeck/internal/peer"
)

// The other end neither reads nor closes, as a daemon that was paused.
func TestCloseDoesNotWaitForASilentPeer(t *testing.T) {
	g := NewWithT(t)
	a := start(t, &directory{}, peer.Options{Self: "a"}, nil)
	ws, resp, err := websocket.DefaultDialer.Dial("ws://"+a.ln.Addr().String()+"/v1/peer", nil)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		_ = resp.Body.Close()
		_ = ws.Close()
	})
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		a.Close()
	}()
	g.Eventually(closed, "10s").Should(BeClosed())
}
