package limits

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
)

// maxStartWait is within what time a task has to start whose customer uses under half of its
// limit.
const maxStartWait = 3 * time.Second

// turnLength is for how long load stays at one pool.
const turnLength = 4 * time.Second

func cores(n int) job.Resources { return job.Resources{CPU: 1000 * n} }

// halfSecond queues tasks of one core and half a second.
func halfSecond(f *simFleet, pool int, c customer.ID, n int) {
	f.queue(pool, c, n, cores(1), 500*time.Millisecond)
}

// Guards against a customer at twelve times its usual load that delays the others: 20
// customers with limits of twice their usual load, in four pools.
func TestHotCustomerOfTwentyDelaysItselfOnly(t *testing.T) {
	limits := map[customer.ID]job.Resources{}
	var ids []customer.ID
	for i := range 20 {
		id := customer.ID(fmt.Sprintf("c%02d", i))
		ids = append(ids, id)
		limits[id] = cores(20)
	}
	f := newSimFleet(t, 4, limits)
	f.run(time.Second, nil)
	f.run(12*time.Second, func() {
		for i, id := range ids {
			// Ten cores: 20 tasks of half a second each second, 12 times that for the hot one.
			n := f.times(20, simTick)
			if i == 0 {
				n = f.times(240, simTick)
			}
			halfSecond(f, f.turnOf(turnLength), id, n)
		}
	})
	f.g.Expect(f.used("c00").CPU).To(BeNumerically(">", 15_000), "the hot customer uses its limit")
	for id, waits := range f.waitsOf {
		if id != "c00" {
			f.g.Expect(quantile(waits, 0.5)).To(BeNumerically("<", 100*time.Millisecond), "%s", id)
			f.g.Expect(quantile(waits, 1)).To(BeNumerically("<", maxStartWait), "%s", id)
		}
	}
}

// Guards against room that is lost, or a pool that starves, when all customers want five
// times their limits in all pools.
func TestAllCustomersAtFiveTimes(t *testing.T) {
	limits := map[customer.ID]job.Resources{"a": cores(40), "b": cores(40), "c": cores(8)}
	f := newSimFleet(t, 4, limits)
	f.run(8*time.Second, func() {
		for id, l := range limits {
			for pool := range 4 {
				if len(f.pools[pool].queues[id]) < 200 {
					halfSecond(f, pool, id, f.times(5*2*float64(l.CPU)/1000/4, simTick))
				}
			}
		}
	})
	for id, l := range limits {
		f.g.Expect(f.used(id).CPU).To(BeNumerically(">=", l.CPU*8/10), "%s", id)
		for pool := range 4 {
			f.g.Expect(f.pools[pool].startedOf[id]).To(BeNumerically(">", 0), "%s in pool %d", id, pool)
		}
	}
}

// Guards against starts over a limit that falls far below what runs while demand turns, and
// against a customer that stays below it afterwards. simFleet checks every start.
func TestLimitLoweredWhileDemandTurns(t *testing.T) {
	f := newSimFleet(t, 4, map[customer.ID]job.Resources{"a": cores(100)})
	load := func() { halfSecond(f, f.turnOf(turnLength), "a", f.times(180, simTick)) }
	f.run(6*time.Second, load)
	f.setLimits(map[customer.ID]job.Resources{"a": cores(10)})
	f.run(3*time.Second, load)
	f.g.Expect(f.used("a").CPU).To(And(BeNumerically("<=", 10_000), BeNumerically(">=", 7_000)))
	f.setLimits(map[customer.ID]job.Resources{"a": cores(100)})
	f.run(3*time.Second, load)
	f.g.Expect(f.used("a").CPU).To(BeNumerically(">", 60_000))
}

// Guards against small users of a limit that starve beside large ones, and the other way
// round: 18 pools with a task now and then beside two that want more than the limit.
func TestManySmallBesideFewLarge(t *testing.T) {
	f := newSimFleet(t, 20, map[customer.ID]job.Resources{"a": cores(100)})
	f.run(10*time.Second, func() {
		for pool := range 20 {
			switch {
			case pool < 2 && len(f.pools[pool].queues["a"]) < 500:
				halfSecond(f, pool, "a", 5)
			case pool >= 2 && f.rand.IntN(100) == 0:
				halfSecond(f, pool, "a", 1)
			}
		}
	})
	for pool := 2; pool < 20; pool++ {
		f.g.Expect(len(f.pools[pool].queues["a"])).To(BeNumerically("<", 4), "pool %d", pool)
	}
	f.g.Expect(f.used("a").CPU).To(BeNumerically(">", 80_000))
}

// Guards against starts that wait for grants when the load of a customer turns from pool to
// pool, at four fifths of its limit.
func TestLoadTurnsFromPoolToPool(t *testing.T) {
	f := newSimFleet(t, 4, map[customer.ID]job.Resources{"a": cores(100)})
	f.run(time.Second, nil)
	f.run(32*time.Second, func() { halfSecond(f, f.turnOf(turnLength), "a", f.times(160, simTick)) })
	f.g.Expect(quantile(f.waitsOf["a"], 0.5)).To(BeNumerically("<=", simTick))
	f.g.Expect(quantile(f.waitsOf["a"], 1)).To(BeNumerically("<", time.Second))
	f.g.Expect(f.maxCalls()).To(BeNumerically("<=", 8), "exchanges that a task waited for")
}

// Guards against the first task of a customer in a pool that waits for an exchange although its
// limit is unused.
func TestPoolsHaveGrantsBeforeTheFirstTask(t *testing.T) {
	f := newSimFleet(t, 4, map[customer.ID]job.Resources{"a": cores(100)})
	f.run(3*time.Second, nil)
	for pool := range 4 {
		halfSecond(f, pool, "a", 5)
	}
	f.run(simTick, nil)
	for pool := range 4 {
		f.g.Expect(f.pools[pool].startedOf["a"]).To(Equal(5), "pool %d", pool)
	}
}

// Guards against a limit that is split into parts of which none fits a task: ten pools want
// single tasks of a core, and four fit.
func TestLimitOfFewTasksInManyPools(t *testing.T) {
	f := newSimFleet(t, 10, map[customer.ID]job.Resources{"a": cores(4)})
	for pool := range 10 {
		f.queue(pool, "a", 8, cores(1), 500*time.Millisecond)
	}
	f.run(40*time.Second, nil)
	for pool := range 10 {
		f.g.Expect(f.pools[pool].startedOf["a"]).To(Equal(8), "pool %d", pool)
	}
}

// Guards against a task that never starts since it needs more than its pool's part, while
// other pools want all they can get.
func TestLargeTaskBesideGreedyPools(t *testing.T) {
	f := newSimFleet(t, 6, map[customer.ID]job.Resources{"a": cores(100)})
	greedy := func() {
		for pool := range 5 {
			if len(f.pools[pool].queues["a"]) < 200 {
				halfSecond(f, pool, "a", 5)
			}
		}
	}
	f.run(3*time.Second, greedy)
	f.queue(5, "a", 1, cores(40), time.Second)
	f.run(maxStartWait, greedy)
	f.g.Expect(f.pools[5].startedOf["a"]).To(Equal(1))
}

// Guards against cost that does not bear the size to design for: 57 pools and 250 customers,
// each at three quarters of its limit in up to eight pools. Appends, messages and bytes are
// counted over two simulated seconds.
func TestCostOfExchangesAtTargetSize(t *testing.T) {
	limits := map[customer.ID]job.Resources{}
	var ids []customer.ID
	for i := range 250 {
		id := customer.ID(fmt.Sprintf("customer-%03d", i))
		ids = append(ids, id)
		limits[id] = cores(40)
	}
	f := newSimFleet(t, 57, limits)
	f.run(time.Second, nil)
	appends, messages, bytes := f.appends, f.messages, f.messageBytes+f.bytes
	const period = 2 * time.Second
	f.run(period, func() {
		for i, id := range ids {
			for range f.times(60, simTick) {
				halfSecond(f, (i+f.rand.IntN(8))%57, id, 1)
			}
		}
	})
	seconds := int(period / time.Second)
	t.Logf("a second: %d appends, %d messages, %d bytes", (f.appends-appends)/seconds, (f.messages-messages)/seconds, (f.messageBytes+f.bytes-bytes)/seconds)
	f.g.Expect((f.appends - appends) / seconds).To(BeNumerically("<=", 25))
	// A pool calls every blockedInterval at most, and acknowledges a lowered grant once more.
	f.g.Expect((f.messages - messages) / seconds).To(BeNumerically("<=", 57*2*int(time.Second/blockedInterval)))
	f.g.Expect(quantile(f.allWaits(), 0.99)).To(BeNumerically("<", maxStartWait))
}
