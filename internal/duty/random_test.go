package duty

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"greengagedeck/internal/logstore/logtest"
)

// TestExclusiveHolderUnderRandomFaults checks that, once the leases of earlier
// holders have expired, only one daemon acts for a duty, whatever faults the
// log and the network have.
func TestExclusiveHolderUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) { runRandomFaults(rt) })
	})
}

func runRandomFaults(rt *rapid.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer synctest.Wait()
	defer cancel()
	n := newCluster(pool, Fleet)
	// Each host is in a zone of its own.
	hosts := []string{"a", "b", "c", "d", "e"}
	for _, h := range hosts {
		n.startInZone(ctx, h, "zone "+h, 0.8)
	}
	for range rapid.IntRange(3, 12).Draw(rt, "events") {
		h := rapid.SampledFrom(hosts).Draw(rt, "host")
		switch rapid.IntRange(0, 5).Draw(rt, "event") {
		case 0:
			n.setIsolated(h, true)
		case 1:
			n.setIsolated(h, false)
		case 2:
			delay := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "delay_ms")) * time.Millisecond
			back := time.Duration(rapid.IntRange(0, 1500).Draw(rt, "back_ms")) * time.Millisecond
			silent, late := rapid.Bool().Draw(rt, "silent"), rapid.Bool().Draw(rt, "late")
			early := rapid.Bool().Draw(rt, "looks_early")
			n.log.SetFault(func(c logtest.Call) logtest.Fault {
				if c.Client != h {
					return logtest.Fault{}
				}
				return logtest.Fault{Delay: delay, ResponseDelay: back, NoResponse: silent, Executed: late, LooksEarly: early}
			})
		case 3:
			n.log.SetFault(nil)
		case 4:
			if d := n.daemons[h]; d != nil {
				n.kill(d)
			}
			n.startInZone(ctx, h, "zone "+h, 0.8)
		case 5:
			n.setZoneCut("zone "+h, rapid.Bool().Draw(rt, "cut"))
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			advance(100 * time.Millisecond)
			n.checkExclusive(rt)
		}
	}
}

// checkExclusive fails if a daemon may still act for a duty although another
// one acquired it and the lease of earlier holders has expired since.
func (n *cluster) checkExclusive(rt *rapid.T) {
	now := n.clock.Now()
	for host, d := range n.daemons {
		acquisitions, at, _ := d.events()
		for i, got := range acquisitions {
			if now < at[i]+got.PriorLeaseRemaining {
				continue
			}
			for other, o := range n.daemons {
				for _, theirs := range o.acquired() {
					if other != host && theirs.Duty == got.Duty && theirs.Token < got.Token && o.Remaining(got.Duty, theirs.Token) > 0 {
						rt.Fatalf("%s may act for %s under token %d, %v after %s acquired it under %d", other, got.Duty, theirs.Token, now-at[i], host, got.Token)
					}
				}
			}
		}
	}
}
