package dedupe

import (
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	. "github.com/onsi/gomega"

	"greengagedeck/internal/membership"
	"greengagedeck/internal/request"
)

const measured = 2000

// refused sends requests through the daemons in turn and returns how many are
// refused, with an ID of the caller and without one.
func (r *rig) refused(ids []string) (own, minted int) {
	for i := range measured {
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

// TestShareRefusedUnderLoss measures what the proof costs while daemons are
// gone.
func TestShareRefusedUnderLoss(t *testing.T) {
	inRig(t, 9, 4, func(r *rig) {
		g := NewWithT(t)
		report := func(when string, ids []string) (own, minted int) {
			own, minted = r.refused(ids)
			t.Logf("%-42s caller's ID %5.1f%%  no ID %5.1f%%", when,
				100*float64(own)/measured, 100*float64(minted)/measured)
			return own, minted
		}
		own, minted := report("all up, log down", r.order)
		g.Expect(own + minted).To(BeZero())
		r.logUp = true
		r.kill("n00")
		left := r.others("n00")
		time.Sleep(5 * time.Second)
		_, minted = report("one daemon lost", left)
		g.Expect(minted).To(BeZero())
		r.change(membership.KindSuspend, membership.Suspend{ID: "n00"})
		r.fold(left...)
		own, minted = report("one daemon lost, just suspended", left)
		g.Expect(minted).To(BeZero())
		g.Expect(own).To(BeZero())
		gone := r.state.InZone("z1")
		r.kill(gone...)
		left = r.others(append(gone, "n00")...)
		time.Sleep(5 * time.Second)
		report("a daemon and another zone lost", left)
		r.logUp = false
		report("and the log down", left)
		r.logUp = true
		for _, id := range gone {
			r.change(membership.KindSuspend, membership.Suspend{ID: id})
		}
		r.fold(left...)
		report("the zone just suspended", left)
		time.Sleep(10 * time.Second)
		own, minted = report("10 s later", left)
		g.Expect(own + minted).To(BeZero())
	})
}
