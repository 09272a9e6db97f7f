package scheduler

import (
	"greengagedeck/internal/customer"
	"greengagedeck/internal/fairshare"
	"greengagedeck/internal/job"
)

// accountShares tells what customers may use from the accounts of a core.
type accountShares struct{ core *Core }

// customerShare implements customerShares.
func (s accountShares) customerShare(id customer.ID) CustomerShare {
	a := &s.core.accounts
	if a.directory == nil {
		return CustomerShare{}
	}
	acc := a.of(id)
	out := CustomerShare{Weight: a.weights.Of(id), Share: fairshare.Share(acc.used, s.core.index.capacity)}
	if acc.limited() {
		grant := acc.grant
		out.Grant = &grant
	}
	return out
}

// customerWait implements customerShares. A group waits for its customer's share if the pool
// is full and another customer that waits has less in proportion to its weight.
func (s accountShares) customerWait(j *trackedJob, g job.TaskGroup) NoRunReason {
	a := &s.core.accounts
	if a.directory == nil {
		return ""
	}
	for _, pg := range j.queued {
		if pg.group.Occurrence == g.Occurrence && pg.group.Step == g.Step && !s.core.grantAllowsGroup(pg) {
			return NoRunCustomerLimit
		}
	}
	if s.core.index.nodes.MayFit(j.Spec.Steps[g.Step].ReservedResources()) {
		return ""
	}
	own := s.weighted(a.of(j.Terms.Customer))
	for _, acc := range a.byID {
		if acc.waiting > 0 && s.weighted(acc) < own {
			return NoRunCustomerShare
		}
	}
	return ""
}

// weighted returns a customer's share divided by its weight.
func (s accountShares) weighted(acc *customerAccount) float64 {
	return fairshare.Share(acc.used, s.core.index.capacity) / s.core.accounts.weights.Of(acc.id)
}
