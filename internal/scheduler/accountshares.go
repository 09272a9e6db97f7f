package scheduler

import (
	"time"

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

// customerWait implements customerShares.
func (s accountShares) customerWait(j *trackedJob, g job.TaskGroup, now time.Duration) NoRunReason {
	c := s.core
	if c.accounts.directory == nil {
		return ""
	}
	for _, pg := range j.queued {
		if pg.group.Occurrence == g.Occurrence && pg.group.Step == g.Step && !c.grantAllowsGroup(pg) {
			return NoRunCustomerLimit
		}
	}
	if !c.index.nodes.MayFit(j.Spec.Steps[g.Step].ReservedResources()) && c.othersFirst(j, now) {
		return NoRunCustomerShare
	}
	return ""
}
