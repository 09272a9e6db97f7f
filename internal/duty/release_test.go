package duty

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a stopping daemon that makes a claim which it decided on before, and then
// holds a duty that it does not release.
func TestLeavingDaemonClaimsNothing(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster()
		d := n.start(ctx, "a", 0.8)
		advance(2 * time.Second)
		d.Leave()
		d.claimDuty(ctx, pool, 0, false)
		advance(time.Second)
		g.Expect(d.acquired()).To(BeEmpty())
	})
}

// Guards against a duty that stays with a daemon which cannot act for it, whether others are
// there to claim it or not.
func TestDutyGivenUpIsClaimedAnew(t *testing.T) {
	for _, others := range []int{0, 2} {
		inBubble(t, func(ctx context.Context, g *WithT) {
			n := newCluster(pool)
			d := n.start(ctx, "a", 0.8)
			advance(2 * time.Second)
			held, _ := d.lastAcquisition()
			daemons := []*daemon{d}
			for i := range others {
				daemons = append(daemons, n.start(ctx, fmt.Sprintf("b%d", i), 0.8))
			}
			advance(2 * time.Second)
			d.GiveUp(ctx, pool, held.Token)
			g.Expect(d.lostTokens()).To(ConsistOf(held.Token))
			advance(time.Second)
			acting := 0
			for _, o := range daemons {
				if got, _ := o.lastAcquisition(); got.Token > held.Token && o.Remaining(pool, got.Token) > 0 {
					acting++
				}
			}
			g.Expect(acting).To(Equal(1), "with %d other daemons", others)
		})
	}
}
