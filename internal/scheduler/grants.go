package scheduler

import (
	"time"

	"greengagedeck/internal/demand"
	"greengagedeck/internal/job"
	"greengagedeck/internal/placement"
)

// heldBackMargin is for how long a customer must not have waited for a grant until it does
// not count as held back any more. While its runs end and others start, it does so in most
// plans and not in all.
const heldBackMargin = time.Second

const (
	// reasonCustomerLimit means that the customer's grant in the pool does not allow the
	// task.
	reasonCustomerLimit placement.UnplacedReason = "the customer's limit"
	// reasonCustomerShare means that no worker has enough free resources, and that other
	// customers come first, which use less of the pool for their weight.
	reasonCustomerShare placement.UnplacedReason = "customers with a smaller share come first"
)

// limitBindsAfter is for how long a customer must have been held back by its grant until its
// limit counts as the reason. Before that its grant may be raised soon, and its tasks need
// hosts by then.
const limitBindsAfter = 2 * time.Second

// accountOf returns the account of a job's customer.
func (c *Core) accountOf(j *trackedJob) *customerAccount { return c.accounts.of(j.Terms.Customer) }

// grantAllows reports whether the grant of a job's customer allows one more task of a step.
func (c *Core) grantAllows(j *trackedJob, s job.Step) bool {
	return c.accountOf(j).allowed(s.ReservedResources(), 1) == 1
}

// grantAllowsMove reports whether a task of a job may be started elsewhere after it was
// stopped: a customer that uses more than its grant has to wait until enough has ended.
func (c *Core) grantAllowsMove(j *trackedJob) bool {
	return c.accountOf(j).allowed(job.Resources{}, 1) == 1
}

// grantAllowsGroup reports whether the grant allows any task of a group, or all of a gang.
func (c *Core) grantAllowsGroup(pg *pendingGroup) bool {
	k := pg.kind()
	return c.accountOf(pg.job).allowed(k.need, k.members) == k.members
}

// grantForbidsJob reports whether a job has waiting groups and the grant allows none.
func (c *Core) grantForbidsJob(j *trackedJob) bool {
	for _, pg := range j.queued {
		if c.grantAllowsGroup(pg) {
			return false
		}
	}
	return len(j.queued) > 0
}

// foundHeld records that a plan found a group that the grant of its customer does not
// allow, or not as a whole.
func (c *Core) foundHeld(b *Batch, pg *pendingGroup, x *placement.Index, now time.Duration) {
	acc := c.accountOf(pg.job)
	c.accounts.held[acc] = true
	acc.heldAt = now
	if !acc.allowsAny() {
		acc.blockedAt = now
	}
	b.AwaitsGrant = b.AwaitsGrant || x.MayFit(pg.need)
}

// updateHeldBack logs which customers begin and cease to be held back by their grants. It
// must be called at the end of each plan.
func (c *Core) updateHeldBack(now time.Duration) {
	for acc := range c.accounts.held {
		if acc.limited() && acc.waiting > 0 && !acc.allowsAny() {
			acc.heldAt, acc.blockedAt = now, now
		}
		switch held := now < acc.heldAt+heldBackMargin; {
		case held && !acc.heldBack:
			acc.heldBack = true
			acc.heldSince = acc.heldAt
			c.logHeldBack(acc, "customer is held back by its limit", 0)
		case !held:
			acc.heldBack = false
			delete(c.accounts.held, acc)
			c.logHeldBack(acc, "customer is not held back by its limit any more", now-acc.heldSince)
		}
	}
}

// logHeldBack logs a change of whether a customer is held back.
func (c *Core) logHeldBack(acc *customerAccount, message string, after time.Duration) {
	e := c.opt.Logger.Info().Str("customer", string(acc.id)).Bool("granted", acc.granted).
		Int("used_cpu", acc.used.CPU).Int("grant_cpu", acc.grant.CPU).Int("limit_cpu", acc.limit.CPU).
		Int("used_mb", acc.used.MemoryMB).Int("grant_mb", acc.grant.MemoryMB).Int("limit_mb", acc.limit.MemoryMB).
		Int("used_gpu", acc.used.GPU).Int("grant_gpu", acc.grant.GPU).Int("limit_gpu", acc.limit.GPU).
		Int("waiting_tasks", acc.waiting)
	if after > 0 {
		e.Dur("after", after)
	}
	e.Msg(message)
}

// waitedForGrant reports whether a job's customer has been held back since the job arrived.
func (c *Core) waitedForGrant(j *trackedJob) bool {
	at := c.accountOf(j).heldAt
	return at > 0 && at >= j.arrived
}

// jobStalled reports whether a job has had no active run for stalledAfter although some of
// its tasks wait and the grant of its customer allowed tasks.
func (c *Core) jobStalled(j *trackedJob, now time.Duration) bool {
	return j.stalledSince > 0 && now-max(j.stalledSince, c.accountOf(j).blockedAt) >= stalledAfter
}

// limitBinds reports whether the customer's limit, and not only its grant of the moment, keeps
// its tasks from starting.
func (acc *customerAccount) limitBinds(now time.Duration) bool {
	return acc.heldBack && now >= acc.heldSince+limitBindsAfter
}

// allowances tell which waiting tasks the limits allow, counting those asked for before as
// started.
type allowances struct {
	core *Core
	now  time.Duration
	// left is what limited customers may run in addition.
	left map[*customerAccount]job.Resources
}

func (c *Core) newAllowances(now time.Duration) allowances {
	return allowances{core: c, now: now, left: map[*customerAccount]job.Resources{}}
}

// take returns how many tasks of a group may start: within the grant if the limit of the
// customer keeps it there, else within the limit.
func (a allowances) take(pg *pendingGroup) int {
	acc := a.core.accountOf(pg.job)
	if !acc.limited() {
		return pg.tasks
	}
	left, known := a.left[acc]
	switch {
	case known:
	case acc.limitBinds(a.now):
		left = acc.grant.Sub(acc.used)
	default:
		left = acc.limit.Sub(acc.used)
	}
	k := pg.kind()
	starts := acc.within(left, k.need.Times(k.members), pg.tasks/k.members)
	a.left[acc] = left.Sub(k.need.Times(k.members * starts))
	return k.members * starts
}

// heldBackUse returns what the customers use whose limits keep their tasks from starting. Their
// demand does not show in the jobs that they submit.
func (c *Core) heldBackUse(now time.Duration) job.Resources {
	var out job.Resources
	for acc := range c.accounts.held {
		if acc.limitBinds(now) {
			out = out.Add(acc.used)
		}
	}
	return out
}

// countDemand adds a new job to the demand of the pool, unless its customer's limit keeps
// it from needing more.
func (c *Core) countDemand(j *trackedJob, now time.Duration) {
	if !c.accountOf(j).limitBinds(now) {
		c.demand.Add(now, demand.WorkOf(&j.Spec))
	}
}
