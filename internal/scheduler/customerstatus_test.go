package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

// submitFor submits a job of a customer.
func (p *noRunPool) submitFor(c customer.ID, id job.ID, steps ...job.Step) {
	p.c.Submit(&joblog.Submission{
		Spec:  job.Spec{ID: id, Steps: steps},
		Terms: job.Terms{Entry: "e", Pool: simPool, MaxAttempts: 3, Customer: c, Slack: time.Minute}, AcceptedAt: p.now.Wall,
	}, p.now)
}

// waitForShare has a job wait for what its customer may use.
func (p *noRunPool) waitForShare(reason scheduler.NoRunReason) {
	scheduler.SetShares(p.c, scheduler.FakeShares{Waits: map[customer.ID]scheduler.NoRunReason{"labada": reason}})
	p.add("a")
	p.submitFor("labada", noRunJob, task(scriptCapacity+1))
	p.commit()
}

// customers returns the status of the customers, and checks that the query logs nothing.
func (p *noRunPool) customers() []scheduler.CustomerStatus {
	p.holder.PlannedAt = p.now.Now
	before := p.log.Len()
	out := p.c.Customers(p.now.Now, p.holder)
	p.g.Expect(p.log.Len()).To(Equal(before), "a query logs nothing")
	return out
}

// explain returns the explanation of a job, and checks that the query logs nothing.
func (p *noRunPool) explain(id job.ID) scheduler.JobExplanation {
	p.holder.PlannedAt = p.now.Now
	before := p.log.Len()
	x, ok := p.c.Explain(id, p.now, p.holder)
	p.g.Expect(ok).To(BeTrue())
	p.g.Expect(p.log.Len()).To(Equal(before), "a query logs nothing")
	return x
}

// cpuTasks returns a step of tasks that reserve processor time only.
func cpuTasks(count, cpu int) job.Step {
	st := task(cpu)
	st.Count = count
	return st
}

// Guards against work that is counted for the wrong customer or not at all, and against a
// limit that seems to have room because a run that is being stopped is left out.
func TestCustomersRunAndWait(t *testing.T) {
	g := NewWithT(t)
	p := newNoRunPool(g)
	p.add("a")
	half := scriptCapacity / 2
	p.submitFor("labada", "00000000000000a1", cpuTasks(2, half))
	p.start()
	p.submitFor("labada", "00000000000000a2", cpuTasks(3, half))
	p.submitFor("imbak", "00000000000000b1", cpuTasks(1, half))
	p.submit("00000000000000c1", cpuTasks(1, scriptCapacity+1))
	p.commit()
	p.pass(3 * time.Second)
	waits := func(n int) map[scheduler.NoRunReason]int {
		return map[scheduler.NoRunReason]int{scheduler.NoRunNoResources: n}
	}
	g.Expect(p.customers()).To(Equal([]scheduler.CustomerStatus{
		{JobsWaiting: 1, TasksWaiting: 1, Wanted: job.Resources{CPU: scriptCapacity + 1}, OldestWait: 3 * time.Second, Waits: waits(1)},
		{Customer: "imbak", JobsWaiting: 1, TasksWaiting: 1, Wanted: job.Resources{CPU: half}, OldestWait: 3 * time.Second, Waits: waits(1)},
		{
			Customer: "labada", JobsRunning: 1, JobsWaiting: 1, TasksRunning: 2, TasksWaiting: 3, Runs: 2,
			Used: job.Resources{CPU: 2 * half}, Wanted: job.Resources{CPU: 3 * half}, OldestWait: 3 * time.Second, Waits: waits(3),
		},
	}))

	p.c.Cancel("00000000000000a1", p.now)
	s := p.customers()[2]
	g.Expect(s.Runs).To(Equal(2))
	g.Expect(s.Used).To(Equal(job.Resources{CPU: 2 * half}))
	g.Expect([]int{s.JobsRunning, s.TasksRunning}).To(Equal([]int{0, 0}))
}

// Guards against grants and shares that are known and not shown, and against a wait for
// them that is taken for a lack of workers.
func TestCustomersShowSharesAndWaitsForThem(t *testing.T) {
	g := NewWithT(t)
	p := newNoRunPool(g)
	p.waitForShare(scheduler.NoRunCustomerLimit)
	grant := job.Resources{CPU: 100}
	scheduler.SetShares(p.c, scheduler.FakeShares{
		Share: scheduler.CustomerShare{Grant: &grant, Weight: 2, Share: 0.5},
		Waits: map[customer.ID]scheduler.NoRunReason{"labada": scheduler.NoRunCustomerLimit},
	})
	s := p.customers()[0]
	g.Expect(s.Grant).To(Equal(&grant))
	g.Expect([]float64{s.Weight, s.Share}).To(Equal([]float64{2, 0.5}))
	g.Expect(s.Waits).To(Equal(map[scheduler.NoRunReason]int{scheduler.NoRunCustomerLimit: 1}))
	g.Expect(p.explain(noRunJob).Steps[0].Reason).To(Equal(scheduler.NoRunCustomerLimit))
}

// Guards against a wait that begins anew with every plan, or that goes back to the arrival
// of a job whose step came to its turn later.
func TestWaitIsCountedFromItsBeginning(t *testing.T) {
	g := NewWithT(t)
	p := newNoRunPool(g)
	p.add("a")
	st := cpuTasks(2, scriptCapacity)
	st.After = []int{0}
	p.submit(noRunJob, task(1000), st)
	s := p.start()[0]
	p.pass(2 * time.Second)
	g.Expect(p.customers()[0].OldestWait).To(BeZero(), "nothing waits")
	p.report("a", worker.Report{Ended: []worker.RunEnd{{Number: 1, Run: s.Run, Reason: job.EndDone}}})
	p.start()
	p.pass(2 * time.Second)
	p.submit("00000000000000bb", task(1000))
	p.commit()
	p.pass(2 * time.Second)
	x := p.explain(noRunJob)
	g.Expect(x.Steps).To(Equal([]scheduler.StepExplanation{
		{Tasks: 1, Done: 1, Need: job.Resources{CPU: 1000}},
		{
			Step: 1, Tasks: 2, Running: 1, Waiting: 1, Need: job.Resources{CPU: scriptCapacity},
			Reason: scheduler.NoRunNoResources, WaitingFor: 4 * time.Second,
		},
	}))
	g.Expect(x.Age).To(Equal(6 * time.Second))
}

// Guards against an explanation that does not say where the runs are, why one is not
// active, or why a task has none.
func TestExplainJob(t *testing.T) {
	g := NewWithT(t)
	p := newNoRunPool(g)
	p.add("a", "b")
	labelled, last := task(1000), task(1000)
	labelled.Label, last.After = "fast", []int{1}
	p.submitFor("labada", noRunJob, cpuTasks(2, scriptCapacity), labelled, last)
	starts := p.start()
	p.silence("b")
	p.pass(time.Second)
	x := p.explain(noRunJob)
	g.Expect(x.Phase).To(Equal(job.Running))
	g.Expect(x.Customer).To(Equal(customer.ID("labada")))
	g.Expect(x.Pool).To(Equal(simPool))
	g.Expect(x.Slack).To(Equal(x.Objective-x.Age-2*time.Minute), "two steps of a minute remain")
	reasons := []scheduler.NoRunReason{}
	for _, s := range x.Steps {
		reasons = append(reasons, s.Reason)
	}
	g.Expect(reasons).To(Equal([]scheduler.NoRunReason{"", scheduler.NoRunNoLabel, scheduler.NoRunEarlierSteps}))
	g.Expect(x.Runs).To(HaveLen(2))
	for i, r := range x.Runs {
		g.Expect(r.Worker).To(Equal(starts[i].Worker))
		g.Expect(r.Active).To(Equal(r.Worker == "a"))
		g.Expect(r.Reason == scheduler.NoRunLease).To(Equal(r.Worker == "b"))
	}

	p.c.Cancel(noRunJob, p.now)
	x = p.explain(noRunJob)
	g.Expect(x.Phase).To(Equal(job.Cancelled))
	g.Expect(x.Steps[1].Reason).To(BeEmpty(), "a cancelled job waits for nothing")
	_, known := p.c.Explain("00000000000000ff", p.now, p.holder)
	g.Expect(known).To(BeFalse())
}

// Guards against a step that needs approval and whose explanation requests one.
func TestExplainRequestsNoApproval(t *testing.T) {
	g := NewWithT(t)
	p := newNoRunPool(g)
	p.submitSpec(job.Spec{ID: noRunJob, Steps: []job.Step{task(1000)}}, &job.ApprovalSettings{})
	p.add("a")
	p.explain(noRunJob)
	p.customers()
	g.Expect(p.c.ApprovalRequests()).To(BeEmpty())
}

// Guards against a query that compares every waiting group with every worker while plans
// wait, against groups that it does not count for that, and against an explanation as large
// as the job.
func TestQueriesAreBounded(t *testing.T) {
	g := NewWithT(t)
	p := newNoRunPool(g)
	p.add("a")
	const jobs = 200
	for n := range jobs {
		st := task(1000)
		st.Label = "fast"
		p.submitFor("labada", job.ID(fmt.Sprintf("%016x", 1000+n)), st)
	}
	p.commit()
	waits := p.customers()[0].Waits
	g.Expect(waits[scheduler.NoRunNotChecked]).To(BeNumerically(">", 0))
	g.Expect(waits[scheduler.NoRunNotChecked] + waits[scheduler.NoRunNoLabel]).To(Equal(jobs))
	p.pass(scheduler.NoRunAfter)
	g.Expect(p.customers()[0].Waits).To(Equal(map[scheduler.NoRunReason]int{scheduler.NoRunNoLabel: jobs}), "the check for jobs without a run has compared all")

	p.submit(noRunJob, cpuTasks(job.MaxTasks+500, 0))
	p.commit()
	x := p.explain(noRunJob)
	g.Expect(x.Runs).To(HaveLen(job.MaxTasks))
	g.Expect(x.RunsLeftOut).To(Equal(500))
	g.Expect(x.Steps[0].Running).To(Equal(job.MaxTasks + 500))
}
