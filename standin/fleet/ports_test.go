package fleet_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/standin/fleet"
)

func TestFreePortsReturnsDistinctPorts(t *testing.T) {
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

// Checking whether an address is free must not make a concurrent Listen there fail.
func TestAddressFreeDoesNotBlockListeners(t *testing.T) {
	g := NewWithT(t)
	ports, err := fleet.FreePorts(1)
	g.Expect(err).NotTo(HaveOccurred())
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			default:
				fleet.AddressFree(ports[0])
			}
		}
	}()
	for range 3000 {
		ln, err := net.Listen("tcp", ports[0])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(ln.Close()).To(Succeed())
	}
	close(done)
	<-stopped
}
