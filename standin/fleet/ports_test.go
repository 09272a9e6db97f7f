package fleet_test

import (
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
