package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/limits"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

// customerPool is a pool with customers whose workers answer every call. Tasks take as long
// as estimated.
type customerPool struct {
	g    *WithT
	c    *scheduler.Core
	now  scheduler.Times
	jobs int
	// owners are the customers of the jobs, running the runs at the workers, and numbers
	// the numbers of their last ends.
	owners  map[job.ID]customer.ID
	specs   map[job.ID]job.Spec
	running []customerRun
	numbers map[string]int64
	listed  []worker.Listing
	// done is the processor time of ended runs by customer, in thousandths of a core times
	// seconds, and last what the last plan did.
	done map[customer.ID]float64
	last *scheduler.Batch
	// arrived are the jobs that have started nothing, with the number of plans made when
	// they came, and waited the most plans that a job of each customer waited for a start.
	arrived map[job.ID]int
	plans   int
	waited  map[customer.ID]int
}

// customerRun is a run at a worker.
type customerRun struct {
	scheduler.PlannedStart
	endsAt time.Duration
}

// newCustomerPool returns a pool of equal workers, each with processor time in thousandths
// of a core and as many megabytes, and customers.
func newCustomerPool(tb testing.TB, workers, cpu int, customers ...customer.Customer) *customerPool {
	p := &customerPool{
		g: NewWithT(tb), now: scheduler.Times{Now: time.Hour, Wall: 1_700_000_000_000},
		owners: map[job.ID]customer.ID{}, specs: map[job.ID]job.Spec{}, numbers: map[string]int64{}, done: map[customer.ID]float64{},
		arrived: map[job.ID]int{}, waited: map[customer.ID]int{},
	}
	p.c = scheduler.NewCore(scheduler.Options{
		Pool: simPool, Token: 2, Lease: simLease, MaxLease: simMaxLease, StopTimeout: simStopTimeout,
		DutyLease: simDutyLease, StatusRetention: time.Minute, Logger: zerolog.Nop(),
	}, p.now.Now)
	p.c.SetCustomers(newDirectory(customers...))
	for i := range workers {
		p.listed = append(p.listed, worker.Listing{
			Incarnation: job.Incarnation{ID: fmt.Sprintf("w%03d", i), StartedAt: 1}, Address: fmt.Sprintf("a%03d", i),
			Pool: simPool, Capacity: job.Resources{CPU: cpu, MemoryMB: cpu},
		})
	}
	p.listWorkers()
	return p
}

// newDirectory returns a directory of customers, each with the weight 1 if it has none.
func newDirectory(customers ...customer.Customer) *customer.Directory {
	var rows []customer.Row
	for _, c := range customers {
		if c.Weight == 0 {
			c.Weight = 1
		}
		rows = append(rows, customer.Row{Customer: c})
	}
	return customer.NewDirectory(rows)
}

// listWorkers has the list read and every worker answer a poll.
func (p *customerPool) listWorkers() {
	p.c.UpdateWorkers(p.listed, nil, p.now)
	for _, l := range p.listed {
		p.answer(l.Incarnation.ID)
	}
}

// answer has a worker answer a poll with what runs there.
func (p *customerPool) answer(id string) {
	rep := worker.Report{StartedAt: 1, Clock: p.now.Now.Milliseconds()}
	for _, r := range p.running {
		if r.Worker == id {
			rep.Running = append(rep.Running, worker.RunStatus{Run: r.Run, ProgressPercent: worker.FullSpeed})
		}
	}
	p.c.PollSucceeded(p.c.Poll(id, p.now.Now, simDutyLease), rep, p.now)
}

// grant puts grants into effect.
func (p *customerPool) grant(amounts map[customer.ID]job.Resources) {
	p.c.SetGrants(limits.Grants{ByCustomer: amounts})
}

// newJob returns a new job of steps for a customer with a priority.
func (p *customerPool) newJob(owner customer.ID, priority int, steps ...job.Step) *joblog.Submission {
	p.jobs++
	spec := job.Spec{ID: job.ID(fmt.Sprintf("%016x", p.jobs)), Steps: steps}
	return &joblog.Submission{Spec: spec, AcceptedAt: p.now.Wall, Terms: job.Terms{
		Entry: "e", Pool: simPool, Priority: priority, MaxAttempts: 3, StretchFactor: 2, Slack: time.Second, Customer: owner,
	}}
}

// accept submits a job, which is not rejected.
func (p *customerPool) accept(s *joblog.Submission) job.ID {
	id := s.Spec.ID
	p.owners[id], p.specs[id] = s.Terms.Customer, s.Spec
	p.arrived[id] = p.plans
	p.c.Submit(s, p.now)
	return id
}

// submitJob submits a job of steps for a customer with a priority.
func (p *customerPool) submitJob(owner customer.ID, priority int, steps ...job.Step) job.ID {
	return p.accept(p.newJob(owner, priority, steps...))
}

// tasks returns a step of count tasks of one second.
func tasks(count, cpu int) job.Step {
	return job.Step{Count: count, Need: job.Resources{CPU: cpu, MemoryMB: 1}, Estimate: time.Second}
}

// plan makes a plan and carries it out. It returns the number of started tasks by customer.
func (p *customerPool) plan() map[customer.ID]int {
	b, err := p.c.Plan(p.now)
	p.g.Expect(err).NotTo(HaveOccurred())
	p.c.Committed(b, p.now)
	p.last = b
	p.plans++
	out := map[customer.ID]int{}
	for _, s := range scheduler.BatchStarts(b) {
		o, send := p.c.StartOrder(s.Run, s.Worker, p.now.Now, simDutyLease)
		if send == scheduler.SendLater {
			// The worker was idle, and is polled first.
			p.answer(s.Worker)
			o, send = p.c.StartOrder(s.Run, s.Worker, p.now.Now, simDutyLease)
		}
		p.g.Expect(send).To(Equal(scheduler.SendNow))
		p.c.StartAnswered(o, p.now.Now.Milliseconds(), nil, p.now)
		st := p.specs[s.Run.Task.Job].Steps[s.Run.Task.Step]
		p.running = append(p.running, customerRun{s, p.now.Now + st.Estimate})
		owner := p.owners[s.Run.Task.Job]
		out[owner]++
		if at, first := p.arrived[s.Run.Task.Job]; first {
			delete(p.arrived, s.Run.Task.Job)
			p.waited[owner] = max(p.waited[owner], p.plans-1-at)
		}
	}
	p.g.Expect(scheduler.CheckUsage(p.c)).To(BeEmpty())
	return out
}

// end has the runs end that a condition holds for, with a reason.
func (p *customerPool) end(reason job.EndReason, ends func(customerRun) bool) {
	p.running = slices.DeleteFunc(p.running, func(r customerRun) bool {
		if !ends(r) {
			return false
		}
		p.numbers[r.Worker]++
		st := p.specs[r.Run.Task.Job].Steps[r.Run.Task.Step]
		p.done[p.owners[r.Run.Task.Job]] += float64(st.Need.CPU) * st.Estimate.Seconds()
		p.c.PollSucceeded(p.c.Poll(r.Worker, p.now.Now, simDutyLease), worker.Report{
			StartedAt: 1, Clock: p.now.Now.Milliseconds(), Partial: true,
			Ended: []worker.RunEnd{{Number: p.numbers[r.Worker], Run: r.Run, Reason: reason}},
		}, p.now)
		return true
	})
}

// endAll has all runs end.
func (p *customerPool) endAll() { p.end(job.EndDone, func(customerRun) bool { return true }) }

// pass lets time pass.
func (p *customerPool) pass(d time.Duration) {
	p.now.Now += d
	p.now.Wall += d.Milliseconds()
}

// simulate lets time pass in steps of a plan each, with runs that end when they are due,
// and calls each before every plan.
func (p *customerPool) simulate(d, step time.Duration, each func()) {
	for end := p.now.Now + d; p.now.Now < end; {
		p.pass(step)
		p.c.UpdateWorkers(nil, nil, p.now)
		p.end(job.EndDone, func(r customerRun) bool { return p.now.Now >= r.endsAt })
		each()
		p.plan()
	}
}

// longestWait returns the most plans for which a job of a customer has waited that has started
// nothing, or that one waited.
func (p *customerPool) longestWait(id customer.ID) int {
	longest := p.waited[id]
	for j, at := range p.arrived {
		if p.owners[j] == id {
			longest = max(longest, p.plans-at)
		}
	}
	return longest
}

// used returns what the runs of a customer reserve.
func (p *customerPool) used(id customer.ID) job.Resources {
	var out job.Resources
	for _, r := range p.running {
		if p.owners[r.Run.Task.Job] == id {
			out = out.Add(p.specs[r.Run.Task.Job].Steps[r.Run.Task.Step].ReservedResources())
		}
	}
	return out
}
