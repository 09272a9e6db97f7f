package scheduler

import (
	"math/rand/v2"
	"time"

	"greengagedeck/internal/fairshare"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/limits"
	"greengagedeck/internal/stage"
	"greengagedeck/internal/verdict"
)

// applyCustomers puts the customers of the configuration in effect into effect here. It
// must be called with mu held.
func (r *Runner) applyCustomers() {
	if r.opt.Customers != nil {
		r.core.SetCustomers(r.opt.Customers())
	}
}

// rejectExcess returns the rejection of an excess job that would not meet its objective, or
// nil. It must be called with mu held.
func (r *Runner) rejectExcess(s *joblog.Submission, t Times) error {
	wait, reject := r.core.RejectsExcess(s, t)
	if !reject {
		return nil
	}
	r.metrics.excessRejected.Inc(1)
	err := verdict.NewNotRun(verdict.ReasonQuota, "customer %s submits more jobs than its weight entitles it to, and the work ahead of this one takes %v",
		s.Terms.Customer, wait.Round(time.Millisecond))
	err.RetryAfter = fairshare.RetryAfter(wait, rand.Float64())
	return err
}

// SetGrants puts grants into effect. Until the first call, limited customers start nothing.
func (r *Runner) SetGrants(g limits.Grants) {
	r.update(stage.Plan, func(Times) { r.core.SetGrants(g) })
}

// CustomerDemand returns what each limited customer uses and wants, or false before the
// pool is taken over: earlier holders' runs are not all known then.
func (r *Runner) CustomerDemand() ([]limits.Demand, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready {
		return nil, false
	}
	return r.core.CustomerDemand(), true
}

// GrantWanted returns a channel that receives when a plan has found a task that its
// customer's grant does not allow and that a worker may have room for.
func (r *Runner) GrantWanted() <-chan struct{} { return r.grantWanted }
