package e2e_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/standin/loadgen"
)

// TestAllCallersAtOneDaemon sends one daemon nearly twice the load that its share of
// the zone's slots can serve: 16 slots between 3 daemons are 5 to 6 each, which serve at
// most 300 requests of 20 ms a second. The slots of the whole zone suffice for all of
// the load.
func TestAllCallersAtOneDaemon(t *testing.T) {
	c := start(t)
	const perSecond = 550
	r := c.startLoadWith(func(o *loadgen.Options) {
		o.Daemons = c.fleet.LoadgenDaemons()[:1]
		o.Entries = []loadgen.Entry{{
			Name: "stock", Class: "short", Rate: perSecond, Idempotent: true,
			Service: 20 * time.Millisecond, Deadline: 2 * time.Second, BodyBytes: 100,
		}}
	})
	c.awaitExecutions(8 * perSecond)
	sum := c.finishLoad(r)
	const maxRefused = 0.01
	c.Expect(float64(sum.ByVerdict[loadgen.VerdictNotRun]) / float64(sum.Requests)).To(BeNumerically("<=", maxRefused))
	c.Expect(sum.Interrupted()).To(BeZero())
	t.Logf("%+v", sum)
}
