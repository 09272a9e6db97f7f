package fairshare_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/fairshare"
	"greengagedeck/internal/job"
)

// newWeights returns weights of customers.
func newWeights(weights map[customer.ID]float64) fairshare.Weights {
	var rows []customer.Row
	for id, w := range weights {
		rows = append(rows, customer.Row{Customer: customer.Customer{ID: id, Weight: w}})
	}
	return fairshare.NewWeights(customer.NewDirectory(rows))
}

// Guards against shares that follow the number of tasks or one resource only. Load: two
// customers of equal weight without end of work, one of whose tasks take processor and the
// other's memory, in a pool of 90 cores and 180 GB, and a third of twice the weight.
func TestTurnsEqualizeDominantShares(t *testing.T) {
	g := NewWithT(t)
	capacity := job.Resources{CPU: 90, MemoryMB: 180}
	needs := map[customer.ID]job.Resources{"cpu": {CPU: 3, MemoryMB: 1}, "memory": {CPU: 1, MemoryMB: 4}, "double": {CPU: 1, MemoryMB: 1}}
	weights := newWeights(map[customer.ID]float64{"cpu": 1, "memory": 1, "double": 2})
	used := map[customer.ID]job.Resources{}
	var turns fairshare.Turns[customer.ID]
	key := func(id customer.ID) fairshare.Key {
		return fairshare.Key{Excess: fairshare.Share(used[id], capacity) / weights.Of(id), Sequence: int64(len(id))}
	}
	for id := range needs {
		turns.Add(key(id), id)
	}
	turns.Order()
	for free := capacity; needs[turns.First()].FitsIn(free); {
		id := turns.First()
		used[id] = used[id].Add(needs[id])
		free = free.Sub(needs[id])
		turns.Update(key(id), id)
	}
	shares := map[customer.ID]float64{}
	for id := range needs {
		shares[id] = fairshare.Share(used[id], capacity)
	}
	g.Expect(shares["cpu"]).To(BeNumerically("~", shares["memory"], 0.05))
	g.Expect(shares["double"]).To(BeNumerically("~", 2*shares["cpu"], 0.05))
}

// Guards against a customer that is dropped or taken twice when others leave the order.
// Load: 50 customers with random shares, each removed in its turn.
func TestTurnsRemoveInOrder(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var turns fairshare.Turns[float64]
	for range 50 {
		share := float64(rng.IntN(20))
		turns.Add(fairshare.Key{Excess: share}, share)
	}
	turns.Order()
	last := -1.0
	for n := 50; n > 0; n-- {
		g.Expect(turns.Len()).To(Equal(n))
		g.Expect(turns.First()).To(BeNumerically(">=", last))
		last = turns.First()
		if next, ok := turns.RunnerUp(); ok {
			g.Expect(next.Excess).To(BeNumerically(">=", last))
		}
		turns.Remove()
	}
}

// Guards against a turn that is longer or shorter than until the runner-up's share is
// passed. Load: tasks of one core and 4 GB in a pool of 100 cores and 200 GB.
func TestTasksUntilPassesRunnerUp(t *testing.T) {
	g := NewWithT(t)
	capacity, need := job.Resources{CPU: 100_000, MemoryMB: 200_000}, job.Resources{CPU: 1000, MemoryMB: 4000}
	for _, limit := range []float64{0, 0.02, 0.1, 0.11} {
		n := fairshare.TasksUntil(limit, job.Resources{}, need, capacity)
		g.Expect(fairshare.Share(need.Times(n), capacity)).To(BeNumerically(">", limit))
		g.Expect(n == 1 || fairshare.Share(need.Times(n-1), capacity) <= limit).To(BeTrue(), "limit %v: %d tasks", limit, n)
	}
	g.Expect(fairshare.TasksUntil(0, need.Times(50), need, capacity)).To(Equal(1))
}

// Guards against customers that are marked excess within their rate, or not beyond it,
// also with weights below one job a second and when submissions come out of order. Load:
// weights 5, 0.4 and of no customer, each at its rate and at five times of it for 100 s.
func TestOnlyJobsBeyondTheRateAreExcess(t *testing.T) {
	g := NewWithT(t)
	weights := newWeights(map[customer.ID]float64{"five": 5, "slow": 0.4})
	for id, rate := range map[customer.ID]float64{"five": 5, "slow": 0.4, "unknown": 2.7} {
		for _, factor := range []float64{1, 5} {
			e := fairshare.NewEntitlements(weights)
			excess, jobs := 0, int(100*rate*factor)
			for i := range jobs {
				at := time.Hour + time.Duration(float64(i)/(rate*factor)*float64(time.Second))
				if i%7 == 0 {
					at -= 50 * time.Millisecond
				}
				exceeded := e.Exceeded(id, at)
				g.Expect(e.Submitted(id, at)).To(Equal(exceeded))
				if exceeded {
					excess++
				}
			}
			within := float64(jobs-excess) / 100
			g.Expect(within).To(BeNumerically("~", rate, 0.05*rate+0.03), "%s at %v times its rate", id, factor)
		}
	}
}

// Guards against a change of the configuration that resets what a customer has used, or
// does not apply its weight. Load: a burst, a configuration with half the weight, a burst.
func TestChangedWeightAppliesToTheNextJobs(t *testing.T) {
	g := NewWithT(t)
	e := fairshare.NewEntitlements(newWeights(map[customer.ID]float64{"a": 10}))
	burst := func(at time.Duration) (within int) {
		for range 100 {
			if !e.Submitted("a", at) {
				within++
			}
		}
		return within
	}
	g.Expect(burst(time.Hour)).To(Equal(20))
	e.SetWeights(newWeights(map[customer.ID]float64{"a": 5}), func(customer.ID) bool { return true })
	g.Expect(burst(time.Hour)).To(BeZero())
	g.Expect(burst(time.Hour + time.Second)).To(Equal(5))
	g.Expect(burst(2 * time.Hour)).To(Equal(10))
}

// Guards against callers that are told to come back too early, all at once, or never.
// Load: 120 core-seconds and 60 GB-seconds of queued work in pools of several sizes.
func TestRetryAfterIsWhenTheWorkIsDone(t *testing.T) {
	g := NewWithT(t)
	work := fairshare.WorkOf(job.Resources{CPU: 2000, MemoryMB: 1000}, 6, 10*time.Second)
	g.Expect(work.Time(job.Resources{CPU: 10_000, MemoryMB: 1 << 30})).To(Equal(12 * time.Second))
	g.Expect(work.Time(job.Resources{CPU: 1 << 30, MemoryMB: 20_000})).To(Equal(3 * time.Second))
	g.Expect(work.Time(job.Resources{CPU: 1000})).To(Equal(time.Hour))
	g.Expect(fairshare.Work{}.Time(job.Resources{})).To(BeZero())
	g.Expect(fairshare.RetryAfter(0, 0)).To(Equal(time.Second))
	g.Expect(fairshare.RetryAfter(12*time.Second, 0)).To(Equal(12 * time.Second))
	g.Expect(fairshare.RetryAfter(12*time.Second, 1)).To(Equal(24 * time.Second))
}

// Guards against a rate of entitled work that is far off at the start, after a burst or
// after the end of a load. Load: 20 jobs a second of one core-second each.
func TestInflowFollowsSteadyLoad(t *testing.T) {
	g := NewWithT(t)
	var f fairshare.Inflow
	job1 := fairshare.WorkOf(job.Resources{CPU: 1000, MemoryMB: 10}, 1, time.Second)
	g.Expect(f.Rate(time.Hour)).To(Equal(job.Resources{}))
	for i := range 40 * 20 {
		now := time.Hour + time.Duration(i)*50*time.Millisecond
		f.Add(job1, now)
		if i > 4*20 {
			g.Expect(f.Rate(now).CPU).To(BeNumerically("~", 20_000, 1500), "after %d jobs", i)
		}
	}
	g.Expect(f.Rate(time.Hour + 80*time.Second).CPU).To(BeNumerically("<", 500))
	var burst fairshare.Inflow
	for range 8 {
		burst.Add(job1, time.Hour)
	}
	g.Expect(burst.Rate(time.Hour).CPU).To(BeNumerically("<", 2500))
}
