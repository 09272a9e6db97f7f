package duty

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
)

func TestVacantDutyClaimedByLargestWeight(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool)
		small := []*daemon{n.start(ctx, "s1", 0.1), n.start(ctx, "s2", 0.1)}
		large := n.start(ctx, "l1", 0.8)
		advance(3 * time.Second)
		got, _ := large.lastAcquisition()
		g.Expect(got.Token).NotTo(BeZero())
		g.Expect(large.Remaining(pool, got.Token)).To(BeNumerically(">", 0))
		for _, d := range small {
			c, ok := d.Holder(pool)
			g.Expect(ok).To(BeTrue())
			g.Expect(c.Holder.Host).To(Equal("l1"))
			g.Expect(d.acquired()).To(BeEmpty())
		}
	})
}

// takeoverBound is how long a duty may be without a holder after its holder's
// process has ended: a probe interval and the checks that follow.
const takeoverBound = probeInterval + 2*monitorInterval

// Guards against tasks that run twice: the next holder of a pool took the last one for
// ended whose host refuses connections, as it also does behind an interrupted link.
func TestTakeoverAfterProcessEnds(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool, Fleet)
		first := n.start(ctx, "a", 0.8)
		advance(2 * time.Second)
		second := n.start(ctx, "b", 0.5)
		advance(5 * time.Second)
		g.Expect(second.acquired()).To(BeEmpty())
		n.kill(first)
		killed := n.clock.Now()
		advance(takeoverBound)
		prior := map[Name]time.Duration{}
		acquisitions, at, _ := second.events()
		for i, got := range acquisitions {
			prior[got.Duty] = got.PriorLeaseRemaining
			g.Expect(got.Previous.Holder.Host).To(Equal("a"))
			g.Expect(at[i] - killed).To(BeNumerically("<=", takeoverBound))
		}
		g.Expect(prior).To(Equal(map[Name]time.Duration{pool: DefaultLease, Fleet: 0}))
	})
}

func TestRestartedHolderReclaimsDuty(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool)
		first := n.start(ctx, "a", 0.8)
		advance(2 * time.Second)
		n.kill(first)
		again := n.start(ctx, "a", 0.8)
		advance(startupDelay + time.Second)
		got, _ := again.lastAcquisition()
		g.Expect(got.PriorLeaseRemaining).To(BeZero())
		g.Expect(got.Previous.Holder.Incarnation).To(Equal(first.self.Incarnation))
	})
}

func TestHolderKeptWhenLogSlow(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool)
		hosts := []*daemon{n.start(ctx, "a", 0.8), n.start(ctx, "b", 0.8), n.start(ctx, "c", 0.8)}
		advance(3 * time.Second)
		// No heartbeat is answered, as when they queue behind each other.
		n.log.SetFault(func(c logtest.Call) logtest.Fault {
			return logtest.Fault{NoResponse: c.Op == logtest.Append && c.Partition == heartbeatPartition}
		})
		for range 200 {
			advance(100 * time.Millisecond)
			var acting int
			for _, d := range hosts {
				if got, _ := d.lastAcquisition(); d.Remaining(pool, got.Token) > 0 {
					acting++
				}
			}
			g.Expect(acting).To(Equal(1), "daemons that may act after %v", n.clock.Now())
		}
		for _, d := range hosts {
			g.Expect(d.lostTokens()).To(BeEmpty())
		}
	})
}

// logUnreachableBound is how long a duty may be without a holder that can act
// when the log no longer answers the holder but other daemons reach it.
const logUnreachableBound = maxLogAge + probeInterval + logUnreachableTimeout + 2*monitorInterval

func TestTakeoverWhenLogUnreachableForHolder(t *testing.T) {
	for start := range 10 {
		inBubble(t, func(ctx context.Context, g *WithT) {
			n := newCluster(pool)
			old := n.start(ctx, "a", 0.8)
			advance(2 * time.Second)
			next := n.start(ctx, "b", 0.8)
			advance(4*time.Second + time.Duration(start)*200*time.Millisecond)
			n.log.SetFault(func(c logtest.Call) logtest.Fault { return logtest.Fault{NoResponse: c.Client == "a"} })
			advance(logUnreachableBound)
			g.Expect(next.acquired()).To(HaveLen(1))
			g.Expect(next.acquired()[0].PriorLeaseRemaining).To(Equal(DefaultLease))
			g.Expect(old.lostTokens()).To(BeEmpty())
		})
	}
}

func TestHolderKeptDuringLogOutage(t *testing.T) {
	for _, fault := range []logtest.Fault{{Rejected: true}, {NoResponse: true}} {
		for length := 3 * time.Second; length < 8*time.Second; length += 230 * time.Millisecond {
			inBubble(t, func(ctx context.Context, g *WithT) {
				n := newCluster(pool)
				old := n.start(ctx, "a", 0.8)
				advance(2 * time.Second)
				next := n.start(ctx, "b", 0.8)
				advance(3 * time.Second)
				n.log.SetFault(func(logtest.Call) logtest.Fault { return fault })
				advance(length)
				n.log.SetFault(nil)
				advance(10 * time.Second)
				held, _ := old.lastAcquisition()
				g.Expect(next.acquired()).To(BeEmpty(), "%+v for %v", fault, length)
				g.Expect(old.Remaining(pool, held.Token)).To(BeNumerically(">", 0))
			})
		}
	}
}

// Guards against a daemon that knows of no other one once it has not reached the log for
// longer than heartbeats are valid, and cannot ask them for a configuration.
func TestOthersAreKnownDuringALogOutage(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster()
		a, b, gone := n.start(ctx, "a", 0.8), n.start(ctx, "b", 0.8), n.start(ctx, "c", 0.8)
		advance(5 * time.Second)
		n.kill(gone)
		advance(maxHeartbeatAge + heartbeatReadInterval + monitorInterval)
		n.log.SetFault(func(c logtest.Call) logtest.Fault { return logtest.Fault{Rejected: c.Client == "a"} })
		advance(time.Minute)
		g.Expect(a.LivePeers()).To(ConsistOf(b.self.ID()))
	})
}

func TestPartitionedHolderStopsBeforeSuccessorActs(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool)
		old := n.start(ctx, "a", 0.8)
		advance(2 * time.Second)
		held, _ := old.lastAcquisition()
		next := n.start(ctx, "b", 0.8)
		advance(3 * time.Second)
		n.setIsolated("a", true)
		n.log.SetFault(func(c logtest.Call) logtest.Fault { return logtest.Fault{NoResponse: c.Client == "a"} })
		for range 100 {
			advance(100 * time.Millisecond)
			got, at := next.lastAcquisition()
			if got.Token != 0 && n.clock.Now() >= at+DefaultLease {
				g.Expect(old.Remaining(pool, held.Token)).To(BeZero())
			}
		}
		got, _ := next.lastAcquisition()
		g.Expect(got.Token).To(BeNumerically(">", held.Token))
		g.Expect(got.PriorLeaseRemaining).To(Equal(DefaultLease))
		// Once reconnected, the old holder learns that it has lost the duty.
		n.setIsolated("a", false)
		n.log.SetFault(nil)
		advance(5 * time.Second)
		g.Expect(old.lostTokens()).To(ConsistOf(held.Token))
	})
}

func TestLeaseBoundWithDelayedClaimRead(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool)
		old := n.start(ctx, "a", 0.8)
		advance(2 * time.Second)
		held, _ := old.lastAcquisition()
		next := n.start(ctx, "b", 0.8)
		advance(2 * time.Second)
		// An answer that carries another duty's claim is still in transit to the
		// holder while its own duty is claimed.
		var waiting atomic.Bool
		n.log.SetFault(func(c logtest.Call) logtest.Fault {
			if c.Client != "a" || c.Op != logtest.Read || c.Partition != claimPartition {
				return logtest.Fault{}
			}
			waiting.Store(true)
			return logtest.Fault{ResponseDelay: 400 * time.Millisecond}
		})
		for !waiting.Load() {
			advance(10 * time.Millisecond)
		}
		next.claimDuty(ctx, OfPool("other"), 0, true)
		synctest.Wait()
		n.log.SetFault(func(c logtest.Call) logtest.Fault { return logtest.Fault{NoResponse: c.Client == "a"} })
		next.claimDuty(ctx, pool, held.Token, false)
		advance(DefaultLease)
		g.Expect(next.acquired()).To(HaveLen(2))
		g.Expect(old.lostTokens()).To(BeEmpty())
		g.Expect(old.Remaining(pool, held.Token)).To(BeZero())
	})
}

// Guards against two holders of a pool at once (TWICE): the log had looked for claims when the
// holder's read came, and its empty answer at the end of the wait was taken to tell of that end.
func TestEmptyAnswerDoesNotTellWhenTheLogLooked(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool)
		old := n.start(ctx, "a", 0.8)
		advance(2 * time.Second)
		held, _ := old.lastAcquisition()
		next := n.start(ctx, "b", 0.8)
		advance(2 * time.Second)
		var looked atomic.Bool
		n.log.SetFault(func(c logtest.Call) logtest.Fault {
			if c.Client != "a" || c.Op != logtest.Read || c.Partition != claimPartition {
				return logtest.Fault{}
			}
			if looked.Swap(true) {
				return logtest.Fault{NoResponse: true}
			}
			return logtest.Fault{LooksEarly: true}
		})
		for !looked.Load() {
			advance(time.Millisecond)
		}
		next.claimDuty(ctx, pool, held.Token, false)
		got, at := next.lastAcquisition()
		g.Expect(got.Duty).To(Equal(pool))
		for n.clock.Now() < at+2*DefaultLease {
			if n.clock.Now() >= at+got.PriorLeaseRemaining {
				g.Expect(old.Remaining(pool, held.Token)).To(BeZero(), "%v after the claim", n.clock.Now()-at)
			}
			advance(50 * time.Millisecond)
		}
	})
}

func TestSuccessorWaitsForEarlierLease(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool)
		first := n.start(ctx, "a", 0.8)
		advance(2 * time.Second)
		held, _ := first.lastAcquisition()
		second := n.start(ctx, "b", 0.8)
		third := n.start(ctx, "c", 0.1)
		advance(2 * time.Second)
		second.claimDuty(ctx, pool, held.Token, false)
		n.log.SetFault(func(c logtest.Call) logtest.Fault { return logtest.Fault{NoResponse: c.Client == "a"} })
		n.setIsolated("a", true)
		n.kill(second)
		advance(takeoverBound)
		got, at := third.lastAcquisition()
		g.Expect(got.Duty).To(Equal(pool))
		g.Expect(got.PriorLeaseRemaining).To(BeNumerically(">", 0))
		advance(at + got.PriorLeaseRemaining - n.clock.Now())
		g.Expect(first.Remaining(pool, held.Token)).To(BeZero())
	})
}

func TestHolderKeptWhenOnePeerIsolated(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool)
		old := n.start(ctx, "a", 0.8)
		advance(2 * time.Second)
		alone := n.start(ctx, "b", 0.8)
		n.setIsolated("b", true)
		advance(20 * time.Second)
		g.Expect(alone.acquired()).To(BeEmpty())
		g.Expect(old.lostTokens()).To(BeEmpty())
	})
}

// readLag is how much later than it was appended a claim may be read.
const readLag = 300 * time.Millisecond

// Guards against released duties that wait for a lease, and against a next holder of a
// pool that does not know that the last one acts until it reads its release.
func TestReleasedDutyClaimedWithoutLeaseWait(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool, Fleet)
		old := n.start(ctx, "a", 0.8)
		advance(2 * time.Second)
		next := n.start(ctx, "b", 0.8)
		advance(2 * time.Second)
		g.Expect(old.Release(ctx)).To(Succeed())
		releasedAt := n.clock.Now()
		released := map[Name]Token{}
		for _, a := range old.acquired() {
			released[a.Duty] = a.Token
		}
		advance(time.Second)
		g.Expect(next.acquired()).To(HaveLen(2))
		acquisitions, at, _ := next.events()
		for i, got := range acquisitions {
			if got.Duty == Fleet {
				g.Expect(got.PriorLeaseRemaining).To(BeZero())
			} else {
				g.Expect(releasedAt + DefaultLease - at[i]).To(BeNumerically("~", got.PriorLeaseRemaining, readLag))
			}
			g.Expect(got.Previous.Released).To(BeTrue())
			g.Expect(released).To(HaveKeyWithValue(got.Duty, got.Previous.HolderToken))
			g.Expect(at[i] - releasedAt).To(BeNumerically("<", time.Second))
		}
		g.Expect(old.lostTokens()).To(HaveLen(2))
	})
}

func TestReleaseReportsLogError(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool)
		d := n.start(ctx, "a", 0.8)
		advance(2 * time.Second)
		n.log.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Rejected: true} })
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		g.Expect(d.Release(short)).To(MatchError(ContainSubstring("release pool/a")))
	})
}

func TestConcurrentClaimsHaveOneWinner(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool)
		// Both appends are in flight before either daemon reads a claim.
		n.log.SetFault(func(c logtest.Call) logtest.Fault {
			if c.Op == logtest.Append {
				return logtest.Fault{Delay: 100 * time.Millisecond}
			}
			return logtest.Fault{}
		})
		a, b := n.start(ctx, "a", 0.8), n.start(ctx, "b", 0.8)
		go a.claimDuty(ctx, pool, 0, false)
		go b.claimDuty(ctx, pool, 0, false)
		synctest.Wait()
		advance(5 * time.Second)
		g.Expect(len(a.acquired()) + len(b.acquired())).To(Equal(1))
	})
}

func TestOutdatedClaimDropped(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool)
		old := n.start(ctx, "a", 0.8)
		advance(2 * time.Second)
		late := n.start(ctx, "b", 0.8)
		advance(2 * time.Second)
		// The claim rests on an outdated finding that the duty has no holder.
		late.claimDuty(ctx, pool, 0, true)
		g.Expect(late.appendClaim(ctx, pool, 0, claimRecord{Holder: late.self, Released: true})).To(BeFalse())
		advance(2 * time.Second)
		g.Expect(late.acquired()).To(BeEmpty())
		g.Expect(old.lostTokens()).To(BeEmpty())
	})
}

func TestDelayedClaimDetected(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool)
		n.log.SetFault(func(c logtest.Call) logtest.Fault {
			if c.Op != logtest.Append || c.Partition != claimPartition {
				return logtest.Fault{}
			}
			return logtest.Fault{NoResponse: true, Executed: true, Delay: time.Second}
		})
		d := n.start(ctx, "a", 0.8)
		advance(startupDelay + 6*time.Second)
		got, _ := d.lastAcquisition()
		g.Expect(got.Duty).To(Equal(pool))
		g.Expect(d.Remaining(pool, got.Token)).To(BeNumerically(">", 0))
	})
}

func TestIncarnationMonotonicWithClockStepBack(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool)
		n.lastIncarnation = 1_000_000
		n.start(ctx, "a", 0.8)
		advance(time.Second)
		next, err := NextIncarnation(ctx, n.log.Client("a"), "a", time.UnixMilli(5))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(next).To(Equal(n.lastIncarnation + 1))
	})
}

func TestUnreadableRecordsIgnored(t *testing.T) {
	inBubble(t, func(ctx context.Context, g *WithT) {
		n := newCluster(pool)
		foreign := n.log.Client("x")
		for _, p := range []logstore.Partition{claimPartition, heartbeatPartition} {
			for i, v := range []string{"", "\xff\x00", "{}", "text"} {
				_, err := foreign.Append(ctx, p, []logstore.Entry{{Key: fmt.Sprintf("k%d", i), Value: []byte(v)}, {Key: string(pool), Value: []byte(v)}}, logstore.Condition{})
				g.Expect(err).NotTo(HaveOccurred())
			}
		}
		d := n.start(ctx, "a", 0.8)
		advance(3 * time.Second)
		got, _ := d.lastAcquisition()
		g.Expect(got.Duty).To(Equal(pool))
	})
}
