package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// CustomerStatus is what a customer runs and waits for in one pool.
type CustomerStatus struct {
	Customer customer.ID `cbor:"1,keyasint,omitempty"`
	// JobsRunning counts the jobs with a run that may be active, and JobsWaiting those
	// without one whose tasks wait.
	JobsRunning int `cbor:"2,keyasint,omitempty"`
	JobsWaiting int `cbor:"3,keyasint,omitempty"`
	// TasksRunning counts the tasks with a run that may be active, and TasksWaiting those
	// that could start.
	TasksRunning int `cbor:"4,keyasint,omitempty"`
	TasksWaiting int `cbor:"5,keyasint,omitempty"`
	// Runs counts all runs that reserve resources. Besides the tasks that run these are
	// copies and runs that are being stopped.
	Runs int `cbor:"6,keyasint,omitempty"`
	// Used is what the runs reserve, and Wanted what the waiting tasks need.
	Used   job.Resources `cbor:"7,keyasint"`
	Wanted job.Resources `cbor:"8,keyasint"`
	// OldestWait is for how long the tasks have waited that have waited longest.
	OldestWait time.Duration `cbor:"9,keyasint,omitempty"`
	// Waits counts the waiting tasks by reason.
	Waits map[NoRunReason]int `cbor:"10,keyasint,omitempty"`
	// Grant is the part of the customer's limit that the pool may use, or nil if there is
	// none or it is not known here.
	Grant *job.Resources `cbor:"11,keyasint,omitempty"`
	// Weight is the customer's weight, and Share the part of the pool's processor or
	// memory that it uses, whichever is larger. Both are 0 if they are not known here.
	Weight float64 `cbor:"12,keyasint,omitempty"`
	Share  float64 `cbor:"13,keyasint,omitempty"`
}

// Customers returns what each customer with open jobs or runs uses and waits for, by
// customer. The result is nil before the pool is taken over, and not nil after that.
func (r *Runner) Customers() []CustomerStatus {
	h := r.holderState()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready {
		return nil
	}
	return r.core.Customers(r.opt.Clock.Now(), h)
}

// Customers does what Runner.Customers does. It changes nothing.
func (c *Core) Customers(now time.Duration, h HolderState) []CustomerStatus {
	v := customerView{
		core: c, now: now, explainer: c.newWaitExplainer(h, now),
		byID: map[customer.ID]*CustomerStatus{}, running: map[*trackedJob]bool{},
	}
	v.addRuns()
	v.addWaits()
	out := make([]CustomerStatus, 0, len(v.byID))
	for _, s := range v.byID {
		v.addShare(s)
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b CustomerStatus) int { return cmp.Compare(a.Customer, b.Customer) })
	return out
}

// customerView collects what customers use and wait for.
type customerView struct {
	core      *Core
	now       time.Duration
	explainer *waitExplainer
	byID      map[customer.ID]*CustomerStatus
	// running are the jobs with a run that may be active.
	running map[*trackedJob]bool
}

// of returns the status of a job's customer.
func (v *customerView) of(j *trackedJob) *CustomerStatus {
	s := v.byID[j.Terms.Customer]
	if s == nil {
		s = &CustomerStatus{Customer: j.Terms.Customer, Waits: map[NoRunReason]int{}}
		v.byID[j.Terms.Customer] = s
	}
	return s
}

// addRuns adds the runs at all workers.
func (v *customerView) addRuns() {
	for _, ws := range v.core.workers {
		for _, r := range ws.Runs {
			if j := v.core.jobs[r.ID.Task.Job]; j != nil {
				v.addRun(j, r)
			}
		}
	}
}

// addRun adds a run. A task with copies counts once.
func (v *customerView) addRun(j *trackedJob, r *worker.Run) {
	s := v.of(j)
	s.Runs++
	s.Used = s.Used.Add(r.Resources)
	if j.Redundant(r.ID) {
		return
	}
	if runs := j.Task(r.ID.Task).Runs; len(runs) > 0 && runs[0].Number == r.ID.Number {
		s.TasksRunning++
	}
	if !v.running[j] {
		v.running[j] = true
		s.JobsRunning++
	}
}

// addWaits adds the groups of tasks that wait.
func (v *customerView) addWaits() {
	for j := range v.core.openJobs.all() {
		if j.Phase.Final() {
			continue
		}
		waits := false
		for g := range j.waitingGroups() {
			waits = true
			v.addWait(j, g)
		}
		if waits && !v.running[j] {
			v.of(j).JobsWaiting++
		}
	}
}

// addWait adds a group of tasks that wait.
func (v *customerView) addWait(j *trackedJob, g job.TaskGroup) {
	s, n := v.of(j), len(g.Waiting)
	s.TasksWaiting += n
	s.Wanted = s.Wanted.Add(j.Spec.Steps[g.Step].ReservedResources().Times(n))
	s.OldestWait = max(s.OldestWait, v.now-j.waitingSince(g, v.now))
	reason, _ := v.explainer.explain(j, g)
	s.Waits[reason] += n
}

// addShare adds what a customer may use, if the core knows.
func (v *customerView) addShare(s *CustomerStatus) {
	share := v.core.shares.customerShare(s.Customer)
	s.Grant, s.Weight, s.Share = share.Grant, share.Weight, share.Share
}

// nameCustomer adds the customer of the job to a line, if it has one.
func (j *trackedJob) nameCustomer(e *zerolog.Event) *zerolog.Event {
	if j.Terms.Customer == "" {
		return e
	}
	return e.Str("customer", string(j.Terms.Customer))
}
