package limits

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
)

// inRig runs a test with a fleet of four pools whose customer may use 20 cores, and fails it if
// a task was started above the limit.
func inRig(t *testing.T, test func(g *WithT, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		r := newRig(ctx, 4, 20)
		defer r.work.Wait()
		defer cancel()
		test(g, r)
		r.mu.Lock()
		defer r.mu.Unlock()
		g.Expect(r.violations).To(BeEmpty())
	})
}

// mostStarts is how many tasks 20 cores can start in a time at most.
func mostStarts(d time.Duration) int { return 20 * int(d/(400*time.Millisecond)) }

// Guards against this failure: the services and clients do not get quota to a pool that needs it, or not back.
func TestQuotaFollowsLoadThroughTheServices(t *testing.T) {
	inRig(t, func(g *WithT, r *rig) {
		for turn := range 6 {
			started := r.load(4*time.Second, turn%4)
			g.Expect(started).To(BeNumerically(">", mostStarts(4*time.Second)*8/10), "turn %d", turn)
		}
		g.Expect(r.load(4*time.Second, 0, 1, 2, 3)).To(BeNumerically(">", mostStarts(4*time.Second)*8/10))
	})
}

// Guards against this failure: without limits the daemons call each other or the log; or they do not begin to once a
// customer has a limit.
func TestNothingRunsWithoutLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		r := newRig(ctx, 4, 0)
		defer r.work.Wait()
		defer cancel()
		g.Expect(r.load(10*time.Second, 0, 1)).To(BeNumerically(">", 0))
		g.Expect(r.calls + r.log.Calls(logtest.Append) + r.log.Calls(logtest.Read) + r.log.Calls(logtest.Newest)).To(BeZero())
		r.load(0)
		time.Sleep(time.Second)
		r.setLimit(20)
		g.Expect(r.load(4*time.Second, 0, 1)).To(BeNumerically(">", mostStarts(3*time.Second)*8/10))
		r.setLimit(0)
		time.Sleep(time.Second)
		r.mu.Lock()
		calls := r.calls
		r.mu.Unlock()
		r.load(5*time.Second, 0, 1)
		g.Expect(r.calls).To(Equal(calls))
		g.Expect(r.violations).To(BeEmpty())
	})
}

// Guards against this failure: a client calls the allocator of its own daemon over the network.
func TestOwnAllocatorIsCalledDirectly(t *testing.T) {
	inRig(t, func(g *WithT, r *rig) {
		r.setLink(func(from, _ string) linkFault { return linkFault{cut: from == daemonName(0)} })
		g.Expect(r.load(4*time.Second, 0)).To(BeNumerically(">", mostStarts(3*time.Second)*8/10))
	})
}

// Guards against this failure: the allocator's process ends before its append is carried out, or after it and before
// the response, and its successor gives the same quota away twice or none.
func TestAllocatorLostAroundItsAppend(t *testing.T) {
	for _, executed := range []bool{false, true} {
		inRig(t, func(g *WithT, r *rig) {
			r.load(2*time.Second, 0, 1)
			hit := false
			r.logFault(func(c logtest.Call) logtest.Fault {
				if c.Op == logtest.Append && c.Partition == Partition && c.Client == daemonName(0) {
					hit = true
					return logtest.Fault{NoResponse: true, Executed: executed}
				}
				return logtest.Fault{}
			})
			r.load(600*time.Millisecond, 2, 3)
			r.takeFleet(1, 0)
			g.Expect(r.load(4*time.Second, 2, 3)).To(BeNumerically(">", mostStarts(3*time.Second)*8/10))
			g.Expect(hit).To(BeTrue())
		})
	}
}

// Guards against this failure: an append takes effect although its answer is lost, at once or late, and the allocator
// decides from what it knew before.
func TestAnswerOfAppendLost(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond} {
		inRig(t, func(g *WithT, r *rig) {
			r.load(2*time.Second, 0, 1)
			n := 0
			r.logFault(func(c logtest.Call) logtest.Fault {
				if c.Op != logtest.Append {
					return logtest.Fault{}
				}
				n++
				return logtest.Fault{Delay: delay, NoResponse: n%2 == 0, Executed: true}
			})
			for turn := range 6 {
				r.load(2*time.Second, turn%4, (turn+1)%4)
			}
			r.logFault(func(logtest.Call) logtest.Fault { return logtest.Fault{} })
			r.load(2*time.Second, 2, 3)
			g.Expect(r.load(4*time.Second, 2, 3)).To(BeNumerically(">", mostStarts(4*time.Second)*8/10))
		})
	}
}

// Guards against this failure: responses that are lost, late or reordered raise grants beyond the limit, or keep a
// pool from ever getting a newer version.
func TestResponsesLostLateAndReordered(t *testing.T) {
	for _, f := range []linkFault{{lost: true}, {back: 200 * time.Millisecond}, {back: 500 * time.Millisecond}, {delay: 400 * time.Millisecond}} {
		inRig(t, func(g *WithT, r *rig) {
			r.load(2*time.Second, 0, 1)
			n := 0
			r.setLink(func(string, string) linkFault {
				if n++; n%3 == 0 {
					return linkFault{}
				}
				return f
			})
			for turn := range 5 {
				g.Expect(r.load(4*time.Second, turn%4)).To(BeNumerically(">", mostStarts(4*time.Second)/3), "%+v, turn %d", f, turn)
			}
		})
	}
}

// Guards against this failure: a pool that is partitioned from the allocator loses the quota that it goes on to use,
// or its partition stops all other pools.
func TestHolderPartitionedFromAllocator(t *testing.T) {
	inRig(t, func(g *WithT, r *rig) {
		r.load(2*time.Second, 1, 2)
		r.setLink(func(from, _ string) linkFault { return linkFault{cut: from == daemonName(1)} })
		g.Expect(r.load(10*time.Second, 1, 2, 3)).To(BeNumerically(">", mostStarts(10*time.Second)*7/10))
		g.Expect(r.load(4*time.Second, 1)).To(BeNumerically(">", mostStarts(4*time.Second)/4), "pool 1 goes on with its grants")
		r.setLink(nil)
		r.load(time.Second, 3)
		g.Expect(r.load(4*time.Second, 3)).To(BeNumerically(">", mostStarts(4*time.Second)*8/10))
	})
}

// Guards against this failure: an earlier allocator goes on to raise grants beside a later one. Half of the pools
// call one of them, and half the other.
func TestTwoAllocators(t *testing.T) {
	inRig(t, func(g *WithT, r *rig) {
		r.load(2*time.Second, 0, 1, 2)
		r.mu.Lock()
		r.views[daemonName(1)], r.views[daemonName(2)] = r.fleet, r.fleet
		r.mu.Unlock()
		r.takeFleet(3, 8*time.Second)
		for turn := range 4 {
			r.load(2*time.Second, turn%4, (turn+1)%4)
		}
		r.mu.Lock()
		clear(r.views)
		r.mu.Unlock()
		r.load(time.Second, 1, 2)
		g.Expect(r.load(4*time.Second, 1, 2)).To(BeNumerically(">", mostStarts(4*time.Second)*8/10))
	})
}

// Guards against this failure: the client of an earlier holder of a pool acknowledges lower grants after a later
// holder has started from the bounds in the log.
func TestTwoHoldersOfPool(t *testing.T) {
	inRig(t, func(g *WithT, r *rig) {
		r.load(2*time.Second, 1)
		r.setLink(func(from, _ string) linkFault {
			if from == daemonName(1) {
				return linkFault{delay: 150 * time.Millisecond}
			}
			return linkFault{}
		})
		for turn := range 6 {
			r.takePool(1, 3*time.Second)
			r.load(time.Duration(100+70*turn)*time.Millisecond, 2, 3)
			r.load(time.Second, 1, 2)
		}
		r.setLink(nil)
		r.load(time.Second, 1, 2)
		g.Expect(r.load(4*time.Second, 1, 2)).To(BeNumerically(">", mostStarts(4*time.Second)*8/10))
	})
}

// Guards against this failure: without the log tasks do not start within the grants that pools have, or the grants
// are raised; or they are not raised again afterwards.
func TestLogDownFor20Seconds(t *testing.T) {
	for _, fault := range []logtest.Fault{{Rejected: true}, {NoResponse: true}, {NoResponse: true, Executed: true}} {
		inRig(t, func(g *WithT, r *rig) {
			r.load(3*time.Second, 0, 1)
			r.logFault(func(logtest.Call) logtest.Fault { return fault })
			g.Expect(r.load(10*time.Second, 0, 1)).To(BeNumerically(">", mostStarts(10*time.Second)*8/10))
			r.load(10*time.Second, 2, 3)
			r.logFault(func(logtest.Call) logtest.Fault { return logtest.Fault{} })
			r.load(3*time.Second, 2, 3)
			g.Expect(r.load(4*time.Second, 2, 3)).To(BeNumerically(">", mostStarts(4*time.Second)*8/10))
		})
	}
}

// Guards against this failure: records that were read before are no longer kept, and the allocator misses a
// registration or stops.
func TestHistoryTruncated(t *testing.T) {
	inRig(t, func(g *WithT, r *rig) {
		for range 5 {
			r.load(time.Second, 0, 1)
			r.takePool(2, 0)
			r.log.Truncate(Partition, 1<<40)
			g.Expect(r.load(3*time.Second, 2)).To(BeNumerically(">", mostStarts(2*time.Second)*8/10))
		}
	})
}

// Guards against this failure: a limit that is lowered while the load turns lets tasks start above it.
func TestLimitLoweredThroughTheServices(t *testing.T) {
	inRig(t, func(g *WithT, r *rig) {
		for _, p := range r.pools {
			p.duration = 3 * time.Second
		}
		r.load(5*time.Second, 0, 1)
		r.setLimit(4)
		r.load(2*time.Second, 1, 2)
		r.takePool(1, 0)
		r.takeFleet(2, time.Second)
		r.load(10*time.Second, 1, 2)
		g.Expect(r.load(6*time.Second, 1, 2)).To(BeNumerically(">=", 6))
	})
}

// Guards against this failure: a damaged record stops the allocator or a client.
func TestMalformedRecordCostsItselfOnly(t *testing.T) {
	inRig(t, func(g *WithT, r *rig) {
		r.load(2*time.Second, 0, 1)
		r.log.Put(Partition, logstore.Entry{Key: kindBounds + "p1", Value: []byte("?")})
		r.log.Put(Partition, logstore.Entry{Key: "?", Value: []byte("?")})
		r.takeFleet(1, 0)
		r.load(2*time.Second, 1, 2)
		g.Expect(r.load(4*time.Second, 1, 2)).To(BeNumerically(">", mostStarts(4*time.Second)*8/10))
	})
}
