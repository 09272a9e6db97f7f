package scheduler

import (
	"slices"
	"time"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/fairshare"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
)

const (
	// queuedWorkInterval is for how long a sum over the jobs of the pool is used. Excess
	// jobs may come far more often.
	queuedWorkInterval = 100 * time.Millisecond
	// minServedShare is the least part of the pool's capacity that counts as left for excess
	// jobs.
	minServedShare = 10
)

// queuedWork is the work of tasks that have not started.
type queuedWork struct {
	at    time.Duration
	known bool
	// onTime is, by priority, that of jobs that can be done in time, and late that of the
	// others. Jobs of customers that are held back by their grants are left out.
	onTime, late map[int]fairshare.Work
	// byCustomer is that of each limited customer.
	byCustomer map[customer.ID]fairshare.Work
}

// usualInflow is, by priority, the rate at which work of jobs comes that are not excess.
type usualInflow map[int]*fairshare.Inflow

// add adds the work of a job.
func (u usualInflow) add(priority int, w fairshare.Work, now time.Duration) {
	f := u[priority]
	if f == nil {
		f = &fairshare.Inflow{}
		u[priority] = f
	}
	f.Add(w, now)
}

// noteSubmitted records a job that was not known before.
func (c *Core) noteSubmitted(j *trackedJob, now time.Duration) {
	c.countDemand(j, now)
	if c.mayBeExcess(&j.Spec, j.Terms.Customer) && j.arrived > now-maxAge {
		// When a job came that has waited for longer is not known.
		j.excess = c.accounts.entitlements.Submitted(j.Terms.Customer, j.arrived)
	}
	if c.accounts.directory == nil {
		return
	}
	w := totalWork(&j.Spec)
	switch {
	case j.excess:
		c.excessJobs++
	case !c.accountOf(j).heldBack:
		c.inflow.add(j.Terms.Priority, w, now)
	}
	if c.queued.known {
		c.queued.add(c, j, w, false)
	}
}

// mayBeExcess reports whether a job can be excess: it has an owner and ends by itself.
func (c *Core) mayBeExcess(s *job.Spec, owner customer.ID) bool {
	return c.accounts.directory != nil && owner != "" && !slices.ContainsFunc(s.Steps, func(st job.Step) bool { return st.LongRunning })
}

// RejectsExcess reports whether a job that is submitted now is to be rejected, and in what
// time the work ahead of it is done: its customer has submitted more jobs than it is
// entitled to, and the job would not start soon enough to meet its objective.
func (c *Core) RejectsExcess(s *joblog.Submission, t Times) (wait time.Duration, reject bool) {
	id := s.Terms.Customer
	if !c.mayBeExcess(&s.Spec, id) || c.index.capacity.CPU == 0 {
		return 0, false
	}
	if _, known := c.Lookup(s.Spec.ID); known {
		return 0, false
	}
	waited := sinceAccepted(s.AcceptedAt, t.Wall)
	target := objective(&s.Spec, s.Terms)
	if target <= 0 || !c.accounts.entitlements.Exceeded(id, t.Now-waited) {
		return 0, false
	}
	wait = c.waitAhead(id, s.Terms.Priority, t.Now)
	return wait, wait > 0 && wait > target-criticalPath(&s.Spec)-waited
}

// waitAhead returns how long the pool takes for the work that is queued ahead of an excess
// job of a customer: all of more urgent priorities, and what is on time of its own. Jobs
// that are not excess go on coming meanwhile and are served first.
func (c *Core) waitAhead(id customer.ID, priority int, now time.Duration) time.Duration {
	q := c.queuedWorkAt(now)
	ahead := q.onTime[priority]
	for p, w := range q.onTime {
		if p < priority {
			ahead = ahead.Add(w).Add(q.late[p])
		}
	}
	capacity := c.capacityLeft(priority, now)
	wait := ahead.Time(capacity)
	if acc := c.accounts.of(id); acc.heldBack {
		wait = max(wait, q.byCustomer[id].Time(acc.capacityWithin(capacity)))
	}
	return time.Duration(float64(wait) * c.demand.MeanRatio())
}

// capacityLeft returns the capacity of the workers that accept tasks, without what is kept
// by long-running tasks and customers at their limits, and what jobs need that are not
// excess as they come.
func (c *Core) capacityLeft(priority int, now time.Duration) job.Resources {
	all, kept := c.index.capacity, c.accounts.lasting.Add(c.heldBackUse(now))
	for p, f := range c.inflow {
		if p <= priority {
			kept = kept.Add(f.Rate(now))
		}
	}
	return job.Resources{
		CPU:      max(all.CPU-kept.CPU, all.CPU/minServedShare),
		MemoryMB: max(all.MemoryMB-kept.MemoryMB, all.MemoryMB/minServedShare),
	}
}

// capacityWithin returns the part of a capacity that a customer has while it is held back:
// its grant, or what it uses if that is more.
func (acc *customerAccount) capacityWithin(capacity job.Resources) job.Resources {
	if own := max(acc.grant.CPU, acc.used.CPU); acc.limit.CPU > 0 && own > 0 {
		capacity.CPU = min(capacity.CPU, own)
	}
	if own := max(acc.grant.MemoryMB, acc.used.MemoryMB); acc.limit.MemoryMB > 0 && own > 0 {
		capacity.MemoryMB = min(capacity.MemoryMB, own)
	}
	return capacity
}

// queuedWorkAt returns the work that is queued, as it was queuedWorkInterval ago at most
// and with what has come since.
func (c *Core) queuedWorkAt(now time.Duration) *queuedWork {
	q := &c.queued
	if q.known && now < q.at+queuedWorkInterval {
		return q
	}
	c.waiting.update()
	*q = queuedWork{at: now, known: true, onTime: map[int]fairshare.Work{}, late: map[int]fairshare.Work{}, byCustomer: map[customer.ID]fairshare.Work{}}
	for j := range c.openJobs.all() {
		q.add(c, j, j.queuedWork, now > j.lateAfter)
	}
	return q
}

// add adds the queued work of a job, which may be late.
func (q *queuedWork) add(c *Core, j *trackedJob, w fairshare.Work, late bool) {
	if w == (fairshare.Work{}) {
		return
	}
	acc := c.accountOf(j)
	if acc.limited() {
		q.byCustomer[acc.id] = q.byCustomer[acc.id].Add(w)
	}
	switch p := j.Terms.Priority; {
	case acc.heldBack:
	case late:
		q.late[p] = q.late[p].Add(w)
	default:
		q.onTime[p] = q.onTime[p].Add(w)
	}
}

// latestStart returns when the next tasks of the job must start for it to finish in time,
// going by the estimates.
func (j *trackedJob) latestStart() time.Duration {
	return j.arrived + j.objective - j.RemainingCriticalPath()
}

// totalWork returns the work of all tasks of a job.
func totalWork(s *job.Spec) fairshare.Work {
	var w fairshare.Work
	for _, st := range s.Steps {
		w = w.Add(fairshare.WorkOf(st.ReservedResources(), st.Count, st.Estimate))
	}
	return w
}

// workNotStarted returns the work of the tasks of a job that have not started, given its
// groups that wait.
func (j *trackedJob) workNotStarted(groups []pendingGroup) fairshare.Work {
	var w fairshare.Work
	for i := range groups {
		w = w.Add(fairshare.WorkOf(groups[i].need, groups[i].tasks, j.Spec.Steps[groups[i].group.Step].Estimate))
	}
	j.EachBlockedStep(func(step int) {
		st := j.Spec.Steps[step]
		w = w.Add(fairshare.WorkOf(st.ReservedResources(), st.Count, st.Estimate))
	})
	return w
}
