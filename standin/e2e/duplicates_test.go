package e2e_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/standin/loadgen"
)

func TestDuplicateRequestsToTwoDaemons(t *testing.T) {
	c := start(t)
	r := c.startLoadWith(func(o *loadgen.Options) { o.Duplicates = 0.5 })
	c.awaitExecutions(400)
	sum := c.finishLoad(r)
	c.Expect(sum.Duplicates).To(BeNumerically(">", 0))
}

func TestResendAfterDaemonKilled(t *testing.T) {
	c := start(t)
	r := c.startLoadWith(func(o *loadgen.Options) { o.ResendUnknown, o.Resends = true, 3 })
	for _, killed := range c.fleet.Daemons[:3] {
		c.awaitExecutions(100)
		killed.Kill()
		c.awaitExecutions(100)
		c.Expect(killed.Start()).To(Succeed())
		c.Expect(c.fleet.WaitReady(waitTimeout)).To(Succeed())
	}
	sum := c.finishLoad(r)
	c.Expect(sum.Resent).To(BeNumerically(">", 0))
}
