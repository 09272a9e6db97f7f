package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
)

// offer submits a job unless it is rejected as excess.
func (p *customerPool) offer(s *joblog.Submission) (wait time.Duration, rejected bool) {
	if wait, rejected = p.c.RejectsExcess(s, p.now); !rejected {
		p.accept(s)
	}
	return wait, rejected
}

// Guards against a hot customer whose excess jobs are queued without end, against customers
// within their rate that are rejected, and against excess jobs that take the place of
// others'. Load: 20 customers of six one-second tasks a second, three quarters of the pool,
// one of which sends 12 times as many, for 30 s.
func TestExcessJobsGetWhatIsLeftOrAreRejected(t *testing.T) {
	customers := equalCustomers(20, 6)
	hot := customers[3].ID
	p := newCustomerPool(t, 20, 8000, customers...)
	accepted, rejected := map[customer.ID]int{}, map[customer.ID]int{}
	due := map[customer.ID]float64{}
	p.simulate(30*time.Second, 50*time.Millisecond, func() {
		for _, c := range customers {
			rate := 6.0
			if c.ID == hot {
				rate *= 12
			}
			for due[c.ID] += rate * 0.05; due[c.ID] >= 1; due[c.ID]-- {
				if _, no := p.offer(p.newJob(c.ID, 0, tasks(1, 1000))); no {
					rejected[c.ID]++
				} else {
					accepted[c.ID]++
				}
			}
		}
	})
	p.g.Expect(rejected).To(HaveLen(1))
	p.g.Expect(rejected[hot]).To(BeNumerically(">", 300))
	p.g.Expect(accepted[hot]).To(BeNumerically("~", 30*(160-19*6), 250), "what the others leave, and what may wait for its objective")
	for _, c := range customers {
		most := 5
		if c.ID == hot {
			// Its objective leaves a job two seconds.
			most = 45
		}
		p.g.Expect(p.longestWait(c.ID)).To(BeNumerically("<=", most), "plans waited by %s", c.ID)
	}
}

// Guards against a Retry-After that does not tell when the work ahead is done. Load: a pool
// of 80 tasks that run for 1 s, 720 waiting and as many of a less urgent priority.
func TestRetryAfterTellsWhenTheQueueIsDone(t *testing.T) {
	p := newCustomerPool(t, 10, 8000, equalCustomers(2, 1)...)
	for range 800 {
		p.submitJob("c000", 1, tasks(1, 1000))
		p.submitJob("c001", 2, tasks(1, 1000))
	}
	p.plan()
	wait, rejected := p.offer(p.newJob("c000", 1, tasks(1, 1000)))
	p.g.Expect(rejected).To(BeTrue())
	took := time.Duration(0)
	p.simulate(30*time.Second, 50*time.Millisecond, func() {
		if scheduler.CountWaiting(p.c, "c000") > 0 {
			took += 50 * time.Millisecond
		}
	})
	p.g.Expect(wait.Seconds()).To(BeNumerically("~", took.Seconds(), 1))
	p.g.Expect(wait).To(BeNumerically("~", 9*time.Second, time.Second))
}

// Guards against rejections of jobs that must be accepted. Load: a full pool with 100 s of
// queued work, and one job each of several kinds, of a customer beyond its rate unless the
// kind says otherwise.
func TestOnlyExcessJobsThatMissTheirObjectiveAreRejected(t *testing.T) {
	fill := func(p *customerPool) {
		for range 8000 {
			p.submitJob("c000", 0, tasks(1, 1000))
		}
		p.plan()
	}
	offered := func(p *customerPool, change func(*joblog.Submission)) bool {
		s := p.newJob("c000", 0, tasks(1, 1000))
		change(s)
		_, rejected := p.c.RejectsExcess(s, p.now)
		return rejected
	}
	p := newCustomerPool(t, 10, 8000, equalCustomers(2, 1)...)
	fill(p)
	p.g.Expect(offered(p, func(*joblog.Submission) {})).To(BeTrue())
	for name, change := range map[string]func(*joblog.Submission){
		"within its rate":       func(s *joblog.Submission) { s.Terms.Customer = "c001" },
		"of no customer":        func(s *joblog.Submission) { s.Terms.Customer = "" },
		"known already":         func(s *joblog.Submission) { s.Spec.ID = "0000000000000001" },
		"long-running":          func(s *joblog.Submission) { s.Spec.Steps[0].LongRunning = true },
		"with a long objective": func(s *joblog.Submission) { s.Terms.Slack = 3 * time.Minute },
		"without an objective":  func(s *joblog.Submission) { s.Terms.Slack, s.Terms.StretchFactor = 0, 0 },
		"more urgent":           func(s *joblog.Submission) { s.Terms.Priority = -1 },
	} {
		p.g.Expect(offered(p, change)).To(BeFalse(), name)
	}
	p.pass(2 * time.Second)
	p.g.Expect(offered(p, func(*joblog.Submission) {})).To(BeFalse(), "later")
	p.submitJob("c000", 0, tasks(1, 1000))
	p.submitJob("c000", 0, tasks(1, 1000))
	p.g.Expect(offered(p, func(*joblog.Submission) {})).To(BeTrue(), "after two more")
	p.c.SetCustomers(nil)
	p.g.Expect(offered(p, func(*joblog.Submission) {})).To(BeFalse(), "without customers")
	p = newCustomerPool(t, 0, 8000, equalCustomers(2, 1)...)
	fill(p)
	p.g.Expect(offered(p, func(*joblog.Submission) {})).To(BeFalse(), "without known capacity")
}

// Guards against excess jobs that go before others, preempt others, or count as excess for
// the next holder. Load: a full pool, ten jobs of a customer beyond its rate, and one of a
// customer that uses more of the pool.
func TestExcessJobsComeAfterOthersAndPreemptNothing(t *testing.T) {
	p := newCustomerPool(t, 1, 8000, equalCustomers(3, 2)...)
	long := tasks(8, 1000)
	long.Estimate = 20 * time.Second
	p.submitJob("c000", 1, long)
	p.plan()
	for range 4 {
		p.submitJob("c001", 1, tasks(1, 1000))
	}
	excess := p.newJob("c001", 0, tasks(1, 1000))
	excess.Terms.Slack = time.Minute
	p.accept(excess)
	p.pass(time.Second)
	p.listWorkers()
	p.plan()
	p.g.Expect(p.c.StopOrders()).To(BeEmpty())
	usual := p.submitJob("c000", 0, tasks(1, 1000))
	ended := false
	p.end(job.EndDone, func(customerRun) bool { first := !ended; ended = true; return first })
	p.plan()
	p.g.Expect(p.running[len(p.running)-1].Run.Task.Job).To(Equal(usual), "its customer has the larger share")

	next := newCustomerPool(t, 1, 8000, equalCustomers(3, 2)...)
	var records []joblog.ProgressRecord
	for range 10 {
		s := p.newJob("c001", 0, tasks(1, 1000))
		j := job.New(s.Spec, s.Terms)
		next.owners[s.Spec.ID], next.specs[s.Spec.ID] = "c001", s.Spec
		records = append(records, joblog.ProgressRecord{ID: s.Spec.ID, Progress: &j.Progress}, joblog.ProgressRecord{ID: s.Spec.ID, Submission: s})
	}
	next.c.Restore(records, next.now)
	next.plan()
	next.g.Expect(next.last.ExcessJobs).To(BeZero())
}
