package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
)

// equalCustomers returns customers of equal weight.
func equalCustomers(n int, weight float64) []customer.Customer {
	var out []customer.Customer
	for i := range n {
		out = append(out, customer.Customer{ID: customer.ID(fmt.Sprintf("c%03d", i)), Weight: weight})
	}
	return out
}

// load submits one-task jobs of a second at given rates, and lets time pass.
func (p *customerPool) load(d time.Duration, perSecond map[customer.ID]float64) {
	const step = 50 * time.Millisecond
	due := map[customer.ID]float64{}
	p.simulate(d, step, func() {
		for id, rate := range perSecond {
			for due[id] += rate * step.Seconds(); due[id] >= 1; due[id]-- {
				p.submitJob(id, 0, tasks(1, 1000))
			}
		}
	})
}

// Guards against a customer that delays others by sending more. Load: 20 customers of six
// one-second tasks a second, three quarters of the pool, without and with one that sends
// 12 times as many.
func TestHotCustomerDelaysOnlyItself(t *testing.T) {
	customers := equalCustomers(20, 6)
	hot := customers[7].ID
	run := func(factor float64) *customerPool {
		p := newCustomerPool(t, 20, 8000, customers...)
		rates := map[customer.ID]float64{}
		for _, c := range customers {
			rates[c.ID] = 6
		}
		rates[hot] = 6 * factor
		p.load(30*time.Second, rates)
		return p
	}
	usual, busy := run(1), run(12)
	others := 0.0
	for _, c := range customers {
		if c.ID == hot {
			continue
		}
		usual.g.Expect(busy.done[c.ID]).To(BeNumerically("~", usual.done[c.ID], 0.02*usual.done[c.ID]), "work done of %s", c.ID)
		usual.g.Expect(busy.longestWait(c.ID)).To(BeNumerically("<=", usual.longestWait(c.ID)+5), "plans waited by %s", c.ID)
		others += busy.done[c.ID]
	}
	left := 160_000*29 - others
	usual.g.Expect(busy.done[hot]).To(BeNumerically(">", 0.95*left), "the hot customer gets what is left")
}

// Guards against shares that do not follow the weights when everybody sends too much, and
// against work of no customer that counts for nothing. Load: customers of weights 1 to 4,
// most of whose jobs are excess, and of weights 100 to 400 beside work of none, all within
// their rates, each five times what a pool of 100 tasks serves in its share, for 30 s.
func TestOverloadedPoolIsSharedByWeight(t *testing.T) {
	for _, scale := range []float64{1, 100} {
		var customers []customer.Customer
		rates := map[customer.ID]float64{}
		sum := 0.0
		for i := range 4 {
			customers = append(customers, customer.Customer{ID: customer.ID(fmt.Sprintf("w%d", i+1)), Weight: scale * float64(i+1)})
			sum += scale * float64(i+1)
		}
		p := newCustomerPool(t, 25, 4000, customers...)
		if scale > 1 {
			customers = append(customers, customer.Customer{Weight: sum / 4})
			sum *= 1.25
		}
		for _, c := range customers {
			rates[c.ID] = 5 * 100 * c.Weight / sum
		}
		p.load(30*time.Second, rates)
		for _, c := range customers {
			share := 29 * 100_000 * c.Weight / sum
			p.g.Expect(p.done[c.ID]).To(BeNumerically("~", share, 0.05*share), "work done of %q, weight %v", c.ID, c.Weight)
		}
	}
}

// Guards against an unused share that stays unused, also for one plan. Load: an empty pool
// of 80 tasks and two of four customers, one with enough for all.
func TestUnusedShareGoesToOthersInTheSamePlan(t *testing.T) {
	p := newCustomerPool(t, 10, 8000, equalCustomers(4, 1)...)
	p.submitJob("c000", 0, tasks(3, 1000))
	for range 10 {
		p.submitJob("c001", 0, tasks(100, 1000))
	}
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"c000": 3, "c001": 77}))
}

// Guards against a plan that gives all that is free to whoever comes first. Load: four
// customers with more work each than the pool of 80 tasks has room for, in large groups and
// in single tasks.
func TestOnePlanInterleavesCustomers(t *testing.T) {
	p := newCustomerPool(t, 10, 8000, equalCustomers(4, 1000)...)
	for i, size := range []int{1, 7, 40, 200} {
		for range 200 / size {
			p.submitJob(customer.ID(fmt.Sprintf("c%03d", i)), 0, tasks(size, 1000))
		}
	}
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"c000": 20, "c001": 20, "c002": 20, "c003": 20}))
}

// Guards against a customer with a single job that is starved by large ones, even if the
// job can no longer be done in time. Load: two customers that keep a pool of 16 tasks full
// of tasks of two seconds, and one with a single job, on time in one run and late in another.
func TestSingleJobIsNotStarvedByLargeCustomers(t *testing.T) {
	for _, late := range []bool{false, true} {
		p := newCustomerPool(t, 2, 8000, equalCustomers(3, 1)...)
		long := tasks(4, 1000)
		long.Estimate = 2 * time.Second
		keepFull := func() {
			for len(p.arrived) < 40 {
				p.submitJob("c000", 0, long)
				p.submitJob("c001", 0, long)
			}
		}
		p.simulate(5*time.Second, 50*time.Millisecond, keepFull)
		single := p.submitJob("c002", 0, tasks(1, 1000))
		if late {
			p.makeLate(single)
		}
		p.simulate(10*time.Second, 50*time.Millisecond, keepFull)
		most := 45
		if late {
			most += 100
		}
		p.g.Expect(p.longestWait("c002")).To(BeNumerically("<=", most), "plans, late %t", late)
	}
}

// makeLate has a job's objective be over.
func (p *customerPool) makeLate(id job.ID) { scheduler.SetObjective(p.c, id, -time.Hour) }

// Guards against large jobs that never find room since small ones take whatever becomes
// free, and against small ones that wait for large ones. Load: 16 customers that keep a pool
// of ten workers full of small tasks of 0.5 s to 1.5 s, and two that from time to time have
// a task as large as a worker, or a gang as large as three, for 40 s.
func TestManySmallBesideFewLargeStarveNeither(t *testing.T) {
	for name, large := range map[string]job.Step{
		"worker": {Count: 1, Need: job.Resources{CPU: 8000, MemoryMB: 8}, Estimate: 2 * time.Second},
		"gang":   {Count: 6, Need: job.Resources{CPU: 4000, MemoryMB: 8}, Estimate: 2 * time.Second, Gang: true},
	} {
		rng := newSeededRand(1)
		customers := equalCustomers(18, 1)
		p := newCustomerPool(t, 10, 8000, customers...)
		larges := map[customer.ID]int{}
		p.simulate(40*time.Second, 50*time.Millisecond, func() {
			for _, c := range customers[2:] {
				for scheduler.CountWaiting(p.c, c.ID) < 8 {
					small := tasks(1, 1000)
					small.Estimate = time.Duration(500+rng.IntN(1000)) * time.Millisecond
					p.submitJob(c.ID, 0, small)
				}
			}
			for _, c := range customers[:2] {
				if p.plans > 100 && scheduler.CountWaiting(p.c, c.ID) == 0 && p.used(c.ID).CPU == 0 && rng.IntN(20) == 0 {
					larges[c.ID]++
					p.submitJob(c.ID, 0, large)
				}
			}
		})
		for _, c := range customers[:2] {
			p.g.Expect(p.longestWait(c.ID)).To(BeNumerically("<=", 70), "plans waited for a large job: %s", name)
			p.g.Expect(larges[c.ID]).To(BeNumerically(">=", 5), "large jobs: %s", name)
		}
		for _, c := range customers[2:] {
			p.g.Expect(p.done[c.ID]).To(BeNumerically(">=", 40*80_000/18*0.6), "work done in small tasks of %s: %s", c.ID, name)
		}
	}
}
