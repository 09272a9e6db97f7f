package peer_test

import (
	"testing"

	"github.com/fasthttp/websocket"
	. "github.com/onsi/gomega"

	"greengagedeck/internal/peer"
)

// TestCloseWithUnresponsivePeer checks that Close returns although the peer
// neither reads nor closes its end, like a daemon whose process is paused.
func TestCloseWithUnresponsivePeer(t *testing.T) {
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
