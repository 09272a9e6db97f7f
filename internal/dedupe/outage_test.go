package dedupe

import (
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	. "github.com/onsi/gomega"

	"greengagedeck/internal/membership"
	"greengagedeck/internal/request"
)

const requestsPerStep = 2000

// countRejected sends requests through the daemons in turn and returns how many are
// rejected, of those with a caller's ID and of those without an ID.
func (r *rig) countRejected(ids []string) (own, minted int) {
	for i := range requestsPerStep {
		n := r.nodes[ids[i%len(ids)]]
		if _, err := n.send(ulid.Make()); err != nil {
			own++
		}
		if _, err := n.guard.Serve(r.ctx, &request.Request{}); err != nil {
			minted++
		}
	}
	return own, minted
}

// TestRejectedShareDuringOutages reports the share of requests that are rejected as
// unproven while daemons, a zone or the log are unavailable.
func TestRejectedShareDuringOutages(t *testing.T) {
	runInRig(t, 9, 4, func(r *rig) {
		g := NewWithT(t)
		report := func(when string, ids []string) (own, minted int) {
			own, minted = r.countRejected(ids)
			t.Logf("%-42s caller's ID %5.1f%%  no ID %5.1f%%", when,
				100*float64(own)/requestsPerStep, 100*float64(minted)/requestsPerStep)
			return own, minted
		}
		own, minted := report("all daemons up, log unavailable", r.order)
		g.Expect(own + minted).To(BeZero())
		r.logAvailable = true
		r.kill("n00")
		left := r.others("n00")
		time.Sleep(5 * time.Second)
		_, minted = report("one daemon lost", left)
		g.Expect(minted).To(BeZero())
		r.applyRecord(membership.KindSuspend, membership.Suspend{ID: "n00"})
		r.publishState(left...)
		own, minted = report("one daemon lost, just suspended", left)
		g.Expect(minted).To(BeZero())
		g.Expect(own).To(BeZero())
		gone := r.state.InZone("z1")
		r.kill(gone...)
		left = r.others(append(gone, "n00")...)
		time.Sleep(5 * time.Second)
		report("a daemon and another zone lost", left)
		r.logAvailable = false
		report("and the log unavailable", left)
		r.logAvailable = true
		for _, id := range gone {
			r.applyRecord(membership.KindSuspend, membership.Suspend{ID: id})
		}
		r.publishState(left...)
		report("the zone just suspended", left)
		time.Sleep(10 * time.Second)
		own, minted = report("10 s later", left)
		g.Expect(own + minted).To(BeZero())
	})
}
