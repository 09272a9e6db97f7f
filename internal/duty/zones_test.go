package duty

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startZones starts a number of equal daemons in each zone.
func (n *cluster) startZones(ctx context.Context, zones []string, perZone int) []*daemon {
	var out []*daemon
	for _, zone := range zones {
		for i := range perZone {
			out = append(out, n.startInZone(ctx, fmt.Sprintf("%s%d", zone, i), zone, 0.8))
		}
	}
	return out
}

// holderOf returns the daemon that holds a duty, according to any daemon of a zone
// that is not cut.
func holderOf(daemons []*daemon, n Name, in string) *daemon {
	for _, d := range daemons {
		if d.self.Zone != in {
			continue
		}
		c, _ := d.Holder(n)
		for _, h := range daemons {
			if h.self == c.Holder {
				return h
			}
		}
	}
	return nil
}

// cutTakeoverBound is how long a duty may be without a holder that can act after
// the holder's zone was cut off.
const cutTakeoverBound = time.Second

func TestTakeoverWithinASecondWhenZoneIsCutOff(t *testing.T) {
	for phase := range 12 {
		inBubble(t, func(ctx context.Context, g *WithT) {
			n := newCluster(pool)
			daemons := n.startZones(ctx, []string{"a", "b", "c", "d"}, 3)
			advance(4*time.Second + time.Duration(phase)*70*time.Millisecond)
			old := holderOf(daemons, pool, "a")
			g.Expect(old).NotTo(BeNil())
			n.setZoneCut(old.self.Zone, true)
			cut := n.clock.Now()
			advance(cutTakeoverBound)
			other := "a"
			if old.self.Zone == "a" {
				other = "b"
			}
			next := holderOf(daemons, pool, other)
			g.Expect(next.self.Zone).NotTo(Equal(old.self.Zone))
			got, at := next.lastAcquisition()
			g.Expect(at).To(BeNumerically(">", cut))
			g.Expect(got.PriorLeaseRemaining).To(Equal(DefaultLease), "the old holder may act for its lease")
		})
	}
}

// A zone that is cut off from the other zones, but not from the log, takes no duty
// over: the holder is not cut off, the zone is.
func TestZoneCutOffFromOthersTakesNoDutyOver(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool)
		daemons := n.startZones(ctx, []string{"a", "b", "c", "d"}, 3)
		advance(4 * time.Second)
		old := holderOf(daemons, pool, "a")
		for _, zone := range []string{"a", "b", "c", "d"} {
			if zone != old.self.Zone {
				n.setZoneCut(zone, true)
				break
			}
		}
		n.log.SetFault(nil)
		advance(20 * time.Second)
		g.Expect(old.lostTokens()).To(BeEmpty())
	})
}

func TestDutiesAreSpreadOverHostsAndZones(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		duties := []Name{Fleet, OfPool("a"), OfPool("b"), OfPool("c"), OfPool("d")}
		n := newCluster(duties...)
		daemons := n.startZones(ctx, []string{"a", "b", "c", "d", "e", "f"}, 3)
		advance(5 * time.Second)
		hosts, zones := map[string]int{}, map[string]int{}
		for _, name := range duties {
			d := holderOf(daemons, name, "a")
			g.Expect(d).NotTo(BeNil(), string(name))
			hosts[d.self.Host]++
			zones[d.self.Zone]++
		}
		g.Expect(hosts).To(HaveLen(len(duties)), "one duty a host: %v", hosts)
		for zone, count := range zones {
			g.Expect(count).To(BeNumerically("<=", 2), "duties in zone %s: %v", zone, zones)
		}
	})
}
