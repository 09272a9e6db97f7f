package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/limits"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

// limitedTo returns a customer with a limit of processor time.
func limitedTo(id customer.ID, cpu int) customer.Customer {
	return customer.Customer{ID: id, Limit: job.Resources{CPU: cpu}}
}

// cpuGrant returns a grant of processor time for the customer "a".
func cpuGrant(cpu int) map[customer.ID]job.Resources {
	return map[customer.ID]job.Resources{"a": {CPU: cpu}}
}

// Guards against starts beyond a grant, tasks that wait although the grant allows them, and
// a resource that counts though it has no limit. Load: ten tasks of a limited customer and
// two of one without a limit, with room for all.
func TestGroupStartsAsFarAsGrantAllows(t *testing.T) {
	p := newCustomerPool(t, 4, 8000, limitedTo("a", 9000), customer.Customer{ID: "b"})
	p.submitJob("a", 0, job.Step{Count: 10, Need: job.Resources{CPU: 1000, MemoryMB: 100, GPU: 0}, Estimate: time.Second})
	p.submitJob("b", 0, tasks(2, 1000))
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"b": 2}), "no grant is known")
	p.g.Expect(p.last.AwaitsGrant).To(BeTrue())
	p.g.Expect(p.c.CustomerDemand()).To(Equal([]limits.Demand{{Customer: "a", Wanted: job.Resources{CPU: 10000, MemoryMB: 1000}}}))
	p.grant(cpuGrant(4500))
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"a": 4}))
	p.g.Expect(p.last.GrantWaits).To(BeEquivalentTo(4))
	p.g.Expect(p.plan()).To(BeEmpty())
	p.g.Expect(p.c.CustomerDemand()).To(Equal([]limits.Demand{
		{Customer: "a", Used: job.Resources{CPU: 4000, MemoryMB: 400}, Wanted: job.Resources{CPU: 6000, MemoryMB: 600}, Started: 4},
	}))
	p.grant(cpuGrant(20000))
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"a": 6}))
	p.g.Expect(p.last.AwaitsGrant).To(BeFalse())
}

// Guards against starts of a customer whose limit was lowered below its use, and against
// runs that are stopped for it. Load: eight running and eight waiting tasks, the grant
// lowered from eight to three tasks.
func TestNothingStartsUntilUseIsBelowLoweredGrant(t *testing.T) {
	p := newCustomerPool(t, 4, 8000, limitedTo("a", 8000))
	p.grant(cpuGrant(8000))
	p.submitJob("a", 0, tasks(8, 1000))
	p.submitJob("a", 0, tasks(8, 1000))
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"a": 8}))
	p.grant(cpuGrant(3000))
	for left := 7; left >= 3; left-- {
		ended := false
		p.end(job.EndDone, func(customerRun) bool { first := !ended; ended = true; return first })
		p.g.Expect(p.plan()).To(BeEmpty(), "%d tasks run", left)
		p.g.Expect(p.c.StopOrders()).To(BeEmpty())
	}
	p.end(job.EndDone, func(customerRun) bool { return true })
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"a": 3}))
}

// Guards against a gang that starts in part, or above the grant. Load: a gang of four tasks
// under a grant for three, beside single tasks of its customer and room for all.
func TestGangStartsOnlyWithinGrantAsAWhole(t *testing.T) {
	p := newCustomerPool(t, 4, 8000, limitedTo("a", 8000))
	p.grant(cpuGrant(3500))
	gang := tasks(4, 1000)
	gang.Gang = true
	p.submitJob("a", 0, gang)
	p.submitJob("a", 0, tasks(1, 1000))
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"a": 1}), "the single task")
	p.grant(cpuGrant(4999))
	p.g.Expect(p.plan()).To(BeEmpty())
	p.grant(cpuGrant(5000))
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"a": 4}))
}

// Guards against copies of overdue runs above the grant. Load: two overdue runs under a
// grant for three.
func TestCopiesCountAgainstGrant(t *testing.T) {
	p := newCustomerPool(t, 4, 8000, limitedTo("a", 8000))
	p.grant(cpuGrant(3000))
	st := tasks(2, 1000)
	st.Speculative = true
	p.submitJob("a", 0, st)
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"a": 2}))
	p.pass(30 * time.Second)
	p.listWorkers()
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"a": 1}), "one of two copies")
}

// Guards against a holder that takes over and starts tasks above the grant beside runs of
// the earlier one, which no worker has confirmed. Load: two adopted runs and one waiting
// task under a grant for two and then for three.
func TestAdoptedRunsCountAgainstGrant(t *testing.T) {
	p := newCustomerPool(t, 2, 8000, limitedTo("a", 8000))
	spec := job.Spec{ID: "00000000000000aa", Steps: []job.Step{tasks(3, 1000)}}
	p.owners[spec.ID], p.specs[spec.ID] = "a", spec
	earlier := job.New(spec, job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3, Customer: "a"})
	for k := range 2 {
		at := job.Location{Worker: job.Incarnation{ID: "w000", StartedAt: -1}, Address: "a000"}
		earlier.Place(job.TaskID{Job: spec.ID, Index: k}, at)
	}
	p.c.Restore([]joblog.ProgressRecord{
		{ID: spec.ID, Progress: &earlier.Progress},
		{ID: spec.ID, Submission: &joblog.Submission{Spec: spec, Terms: earlier.Terms}},
	}, p.now)
	p.g.Expect(scheduler.CheckUsage(p.c)).To(BeEmpty())
	p.g.Expect(p.plan()).To(BeEmpty(), "the grants are not known yet")
	p.grant(cpuGrant(2999))
	p.g.Expect(p.plan()).To(BeEmpty(), "the adopted runs may be at their worker")
	p.grant(cpuGrant(3000))
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"a": 1}))
	p.listWorkers()
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"a": 2}), "their worker has restarted and does not have the adopted runs")
}

// Guards against tasks that are stopped to be moved and then not started again since their
// customer uses more than its grant, and against a host that is asked for such a task.
// Load: two long-running tasks on a worker that drains, the grant lowered below them.
func TestTasksAboveGrantAreNotMoved(t *testing.T) {
	p := newCustomerPool(t, 2, 8000, limitedTo("a", 8000))
	p.grant(cpuGrant(2000))
	st := tasks(2, 1000)
	st.LongRunning, st.MaxUnavailable, st.Estimate = true, 2, 0
	p.submitJob("a", 0, st)
	p.plan()
	at := p.running[0].Worker
	for i := range p.listed {
		p.listed[i].Draining = p.listed[i].Incarnation.ID == at
	}
	p.grant(cpuGrant(1500))
	p.pass(100 * time.Millisecond)
	p.listWorkers()
	p.plan()
	p.g.Expect(p.c.StopOrders()).To(BeEmpty())
	p.g.Expect(p.c.Report(p.now.Now, time.Second).HostsNeeded).To(BeZero())
	p.grant(cpuGrant(2000))
	p.plan()
	stops := p.c.StopOrders()
	p.g.Expect(stops).To(HaveLen(2))
	for _, s := range stops {
		p.c.StopAnswered(s, p.now.Now.Milliseconds(), nil, p.now)
	}
	p.grant(cpuGrant(1500))
	p.end(job.EndStopped, func(customerRun) bool { return true })
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"a": 1}), "the other promised place is above the grant")
	p.grant(cpuGrant(2000))
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"a": 1}))
}

// Guards against runs that are stopped, hosts that are asked for and groups of others that
// wait because of tasks that only wait for a grant. Load: a full worker of less urgent
// tasks and four tasks of a more urgent customer that has no grant, later one for a task.
func TestTasksThatWaitForGrantDisturbNoOthers(t *testing.T) {
	p := newCustomerPool(t, 2, 4000, limitedTo("a", 8000), customer.Customer{ID: "b"})
	st := tasks(8, 1000)
	st.Estimate = time.Minute
	p.submitJob("b", 1, st)
	p.g.Expect(p.plan()).To(Equal(map[customer.ID]int{"b": 8}))
	p.submitJob("a", 0, tasks(4, 1000))
	lasting := tasks(4, 1000)
	lasting.LongRunning, lasting.Estimate = true, 0
	p.submitJob("a", 0, lasting)
	for range 30 {
		p.pass(100 * time.Millisecond)
		p.listWorkers()
		p.g.Expect(p.plan()).To(BeEmpty())
	}
	p.g.Expect(p.c.StopOrders()).To(BeEmpty(), "no run is preempted")
	p.g.Expect(p.last.AwaitsGrant).To(BeFalse(), "no worker has room either")
	rep := p.c.Report(p.now.Now, time.Second)
	p.g.Expect(rep.Waiting).To(Equal(job.Resources{}))
	p.g.Expect([]any{rep.HostsNeeded, len(rep.Unplaced), rep.LongRunning}).To(Equal([]any{0, 0, job.Resources{}}))
	p.grant(cpuGrant(1000))
	p.plan()
	p.g.Expect(p.c.StopOrders()).To(HaveLen(1), "the one that the grant allows preempts")
	p.g.Expect(p.c.Report(p.now.Now, time.Second).Waiting.CPU).To(Equal(1000))
}

// Guards against a pool that asks for hosts by the jobs that a customer submits though its
// limit keeps them from running. Load: 20 jobs a second of a customer at its limit.
func TestForecastLeavesOutWorkAboveLimits(t *testing.T) {
	p := newCustomerPool(t, 2, 8000, limitedTo("a", 2000))
	p.grant(cpuGrant(2000))
	p.simulate(5*time.Second, 50*time.Millisecond, func() { p.submitJob("a", 0, tasks(1, 1000)) })
	rep := p.c.Report(p.now.Now, time.Second)
	p.g.Expect(rep.ExpectedDemand.CPU).To(Equal(2000))
	p.g.Expect(rep.Waiting).To(Equal(job.Resources{}))
	p.g.Expect(p.used("a").CPU).To(Equal(2000))
}

// Guards against a pool that keeps quota which it cannot use: what its waiting tasks want
// while it is full, of which a customer's limit would be missing in other pools. Load: 100
// waiting tasks of a customer, in a pool that is full of another's tasks.
func TestFullPoolWantsWhatMaySoonStart(t *testing.T) {
	p := newCustomerPool(t, 10, 8000, limitedTo("a", 1_000_000), customer.Customer{ID: "b"})
	p.submitJob("b", 0, tasks(80, 1000))
	p.plan()
	p.submitJob("a", 0, tasks(100, 1000))
	p.g.Expect(p.c.CustomerDemand()[0].Wanted.CPU).To(Equal(10_000), "an eighth of the pool")
	p.endAll()
	p.g.Expect(p.c.CustomerDemand()[0].Wanted.CPU).To(Equal(90_000), "and what is free")
	p.submitJob("a", 0, job.Step{Count: 1, Need: job.Resources{CPU: 1000, GPU: 3}})
	p.g.Expect(p.c.CustomerDemand()[0].Wanted.GPU).To(Equal(3), "never less than a task needs")
}

// Guards against a line for every task that waits for a grant, and against a change that is
// not logged. Load: 3 s at a limit with a task that ends every 50 ms, then none.
func TestHeldBackCustomerIsLoggedOnChange(t *testing.T) {
	g := NewWithT(t)
	p := newNoRunPool(g)
	p.add("w")
	p.c.SetCustomers(newDirectory(limitedTo("a", 1000)))
	p.c.SetGrants(limits.Grants{ByCustomer: cpuGrant(1000)})
	p.submitFor("a", noRunJob, job.Step{Count: 60, Need: job.Resources{CPU: 1000}, Estimate: time.Second})
	for n := range 60 {
		run := p.start()[0].Run
		p.now.Now += 50 * time.Millisecond
		p.report("w", worker.Report{Ended: []worker.RunEnd{{Number: int64(n + 1), Run: run, Reason: job.EndDone}}})
		p.c.UpdateWorkers(nil, nil, p.now)
	}
	g.Expect(p.lines("customer is held back by its limit")).To(HaveLen(1))
	for range 30 {
		p.now.Now += 50 * time.Millisecond
		p.commit()
	}
	g.Expect(p.lines("customer is held back by its limit")).To(HaveLen(1))
	g.Expect(p.lines("customer is not held back by its limit any more")).To(HaveLen(1))
	g.Expect(p.lines("tasks cannot be placed")[0]).To(HaveKeyWithValue("limit", "the customer's limit"))
}
