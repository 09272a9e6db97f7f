package e2e_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/platform"
	"greengagedeck/internal/platform/httpplatform"
	"greengagedeck/standin/platformsim"
)

func TestFullRestartAfterRetention(t *testing.T) {
	const kept = 5
	c := start(t, "-snapshot-interval", "1s")
	c.standin.Platform.SetLogSwitches(platformsim.LogSwitches{Retain: kept})
	for i := range 4 * kept {
		edit, err := c.fleet.Apply(nil, c.writeCatalogue("wave.yaml", waveDocument(i+1)))
		c.Expect(err).NotTo(HaveOccurred())
		c.version = edit.Version
	}
	c.Eventually(func() uint64 { return c.snapshotCount() }, waitTimeout).Should(BeNumerically(">", 0))
	for _, d := range c.fleet.Daemons {
		d.Kill()
	}
	c.Expect(c.fleet.Start()).To(Succeed())
	c.Expect(c.fleet.WaitReady(waitTimeout)).To(Succeed())
	c.Expect(c.fleet.WaitCatalogueVersion(c.version, waitTimeout)).To(Succeed())
	r := c.startLoad()
	c.awaitExecutions(50)
	c.finishLoad(r)
}

// snapshotCount returns how many snapshots have been appended to the platform's log.
func (c *cluster) snapshotCount() uint64 {
	client := httpplatform.New(httpplatform.Options{BaseURL: c.standin.URL()})
	defer client.Close()
	_, next, err := client.Log().Bounds(c.t.Context(), platform.StreamSnapshot)
	c.Expect(err).NotTo(HaveOccurred())
	return next - 1
}
