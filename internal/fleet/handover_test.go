package fleet

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
)

// Guards against two holders whose orders for one host come too close (ONE): a holder that ended
// during its own takeover told the next one that it had given no orders, though the one before it
// had.
func TestHolderThatEndsDuringItsTakeoverHandsNothingOver(t *testing.T) {
	for _, stepDown := range []bool{true, false} {
		for phase := time.Duration(0); phase < time.Second; phase += 130 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				clock := bubbleClock{time.Now()}
				cloud, log := newTestCloud(clock), logtest.New()
				pools := &testPools{cloud: cloud}
				first := newTestController("first", cloud, pools, log)
				second := newTestController("second", cloud, &testPools{cloud: cloud}, log)
				thirdPools := &testPools{cloud: cloud}
				third := newTestController("third", cloud, thirdPools, log)
				if stepDown {
					thirdPools.predecessor = second
				}
				killed := 6*time.Second + phase
				var runs sync.WaitGroup
				ctx1, kill := context.WithCancel(t.Context())
				// A killed process writes no handover record: its log is cut off.
				runs.Go(func() { first.Run(ctx1, 1, testLeaseUntil{clock, killed}, Predecessor{}) })
				time.Sleep(killed - time.Millisecond)
				log.SetFault(func(c logtest.Call) logtest.Fault {
					if c.Client == "first" {
						return logtest.Fault{Rejected: true}
					}
					return logtest.Fault{}
				})
				kill()
				time.Sleep(300 * time.Millisecond)
				ctx2, release := context.WithCancel(t.Context())
				runs.Go(func() {
					second.Run(ctx2, 2, testLeaseUntil{clock, time.Hour}, Predecessor{Holder: "first", ID: "first#1", LeaseRemaining: 0})
				})
				time.Sleep(200 * time.Millisecond)
				if !stepDown {
					release()
				}
				time.Sleep(100 * time.Millisecond)
				ctx3, cancel := context.WithCancel(t.Context())
				runs.Go(func() {
					third.Run(ctx3, 3, testLeaseUntil{clock, time.Hour}, Predecessor{Holder: "second", ID: "second#1", Token: 2, Released: !stepDown})
				})
				time.Sleep(10 * time.Second)
				release()
				cancel()
				runs.Wait()
				NewWithT(t).Expect(cloud.breaches).To(BeEmpty(), "step down %v, phase %v", stepDown, phase)
			})
		}
	}
}

// Guards against two holders whose orders for one host come too close (ONE): the handover record
// of an earlier period of the same host was taken for that of the last one, which was not written.
func TestHandoverRecordOfEarlierPeriodIsNotBelieved(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			clock := bubbleClock{time.Now()}
			cloud, log := newTestCloud(clock), logtest.New()
			old := newTestController("old", cloud, &testPools{cloud: cloud}, log)
			after := newTestController("new", cloud, &testPools{cloud: cloud}, log)
			e, err := handoverEntry(handoverRecord{Holder: "old"})
			g.Expect(err).NotTo(HaveOccurred())
			_, err = log.Client("old").Append(t.Context(), fleetPartition, []logstore.Entry{e}, logstore.Condition{})
			g.Expect(err).NotTo(HaveOccurred())
			var runs sync.WaitGroup
			ctx1, release := context.WithCancel(t.Context())
			runs.Go(func() { old.Run(ctx1, 5, testLeaseUntil{clock, time.Hour}, Predecessor{}) })
			time.Sleep(6*time.Second + phase)
			// The handover record does not reach the log in time, the release does.
			log.SetFault(func(c logtest.Call) logtest.Fault {
				if c.Client == "old" {
					return logtest.Fault{Rejected: true}
				}
				return logtest.Fault{}
			})
			release()
			time.Sleep(600 * time.Millisecond)
			ctx2, cancel := context.WithCancel(t.Context())
			runs.Go(func() {
				after.Run(ctx2, 7, testLeaseUntil{clock, time.Hour}, Predecessor{Holder: "old", ID: "old#1", Token: 5, Released: true})
			})
			time.Sleep(10 * time.Second)
			cancel()
			runs.Wait()
			g.Expect(cloud.breaches).To(BeEmpty(), "phase %v", phase)
		})
	}
}

// Guards against two holders whose orders for one host come too close (ONE): a daemon whose claim
// was stored, and which never learned of it, told the next holder that there had been no orders.
func TestDaemonThatNeverBeganKnowsOfNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		clock := bubbleClock{time.Now()}
		cloud := newTestCloud(clock)
		c := newTestController("old", cloud, &testPools{cloud: cloud}, logtest.New())
		_, err := c.StepDown(StepDownRequest{Token: 7, Held: 6})
		g.Expect(err).To(MatchError(errNotTakenOver))
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		c.Run(ctx, 8, testLeaseUntil{clock, time.Hour}, Predecessor{})
		_, err = c.StepDown(StepDownRequest{Token: 10, Held: 9})
		g.Expect(err).To(MatchError(errNotTakenOver), "it has ended an earlier period")
	})
}
