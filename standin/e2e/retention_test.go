package e2e_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/platform"
	"greengagedeck/internal/platform/httpplatform"
	"greengagedeck/standin/platformsim"
)

func TestAllDaemonsLostAfterRetention(t *testing.T) {
	const kept = 5
	c := start(t, "-snapshot-interval", "1s")
	c.standin.Platform.SetLogSwitches(platformsim.LogSwitches{Retain: kept})
	for i := range 4 * kept {
		edit, err := c.fleet.Apply(nil, c.file("wave.yaml", wave(i+1)))
		c.Expect(err).NotTo(HaveOccurred())
		c.version = edit.Version
	}
	c.Eventually(func() uint64 { return c.snapshots() }, patience).Should(BeNumerically(">", 0))
	for _, d := range c.fleet.Daemons {
		d.Kill()
	}
	c.Expect(c.fleet.Start()).To(Succeed())
	c.Expect(c.fleet.WaitReady(patience)).To(Succeed())
	c.Expect(c.fleet.WaitCatalogueVersion(c.version, patience)).To(Succeed())
	r := c.load()
	c.ranMore(50)
	c.finish(r)
}

// snapshots returns how many snapshots the platform's log has taken.
func (c *cluster) snapshots() uint64 {
	client := httpplatform.New(httpplatform.Options{BaseURL: c.standin.URL()})
	defer client.Close()
	_, next, err := client.Log().Bounds(c.t.Context(), platform.StreamSnapshot)
	c.Expect(err).NotTo(HaveOccurred())
	return next - 1
}
