package fleet_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/standin/fleet"
)

func TestPortsAreNotGivenTwice(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]bool{}
	for range 300 {
		ports, err := fleet.FreePorts(20)
		g.Expect(err).NotTo(HaveOccurred())
		for _, p := range ports {
			g.Expect(seen[p]).To(BeFalse(), p)
			seen[p] = true
		}
	}
}

// Looking whether a port is free must not keep anybody from listening there.
func TestLookForAFreePortTakesNone(t *testing.T) {
	g := NewWithT(t)
	ports, err := fleet.FreePorts(1)
	g.Expect(err).NotTo(HaveOccurred())
	done := make(chan struct{})
	looked := make(chan struct{})
	go func() {
		defer close(looked)
		for {
			select {
			case <-done:
				return
			default:
				fleet.Free(ports[0])
			}
		}
	}()
	for range 3000 {
		ln, err := net.Listen("tcp", ports[0])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ln.Close()).To(Succeed())
	}
	close(done)
	<-looked
}
