package e2e_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/standin/loadgen"
)

func TestSameRequestSentToTwoDaemonsAtOnce(t *testing.T) {
	c := start(t)
	r := c.loadWith(func(o *loadgen.Options) { o.Duplicates = 0.5 })
	c.ranMore(400)
	sum := c.finish(r)
	c.Expect(sum.Copies).To(BeNumerically(">", 0))
}

func TestRequestsResentAfterTheirDaemonWasKilled(t *testing.T) {
	c := start(t)
	r := c.loadWith(func(o *loadgen.Options) { o.ResendUnknown, o.Resends = true, 3 })
	for _, victim := range c.fleet.Daemons[:3] {
		c.ranMore(100)
		victim.Kill()
		c.ranMore(100)
		c.Expect(victim.Start()).To(Succeed())
		c.Expect(c.fleet.WaitReady(patience)).To(Succeed())
	}
	sum := c.finish(r)
	c.Expect(sum.Resent).To(BeNumerically(">", 0))
}
