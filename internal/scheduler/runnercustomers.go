package scheduler

import "greengagedeck/internal/limits"

// applyCustomers puts the customers of the configuration in effect into effect here. It
// must be called with mu held.
func (r *Runner) applyCustomers() {
	if r.opt.Customers != nil {
		r.core.SetCustomers(r.opt.Customers())
	}
}

// SetGrants puts grants into effect. Until the first call, limited customers start nothing.
func (r *Runner) SetGrants(g limits.Grants) {
	r.update(StagePlan, func(Times) { r.core.SetGrants(g) })
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
