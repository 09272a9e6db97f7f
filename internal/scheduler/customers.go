package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/fairshare"
	"greengagedeck/internal/job"
	"greengagedeck/internal/limits"
)

// SetCustomers puts the customers of a configuration into effect. With nil there are none,
// and nothing is limited.
func (c *Core) SetCustomers(d *customer.Directory) {
	a := &c.accounts
	if a.directory == d {
		return
	}
	a.directory = d
	a.weights = fairshare.NewWeights(d)
	a.weighEntitlements()
	c.queued = queuedWork{}
	maps.DeleteFunc(a.byID, func(id customer.ID, acc *customerAccount) bool {
		_, known := d.Get(id)
		return !known && acc.runs == 0 && acc.waiting == 0 && !acc.heldBack
	})
	for _, acc := range a.byID {
		a.configure(acc)
	}
	if d == nil {
		clear(c.overtaken)
	}
	c.waiting.setByCustomer(d != nil, c.openJobs.all())
	c.waiting.dropEmpty()
	c.needsPlan = true
}

// weighEntitlements puts the weights of the configuration into effect for entitlements.
func (a *customerAccounts) weighEntitlements() {
	switch {
	case a.directory == nil:
		a.entitlements = nil
	case a.entitlements == nil:
		a.entitlements = fairshare.NewEntitlements(a.weights)
	default:
		a.entitlements.SetWeights(a.weights, func(id customer.ID) bool {
			_, known := a.directory.Get(id)
			return known
		})
	}
}

// SetGrants puts the grants of the pool into effect.
func (c *Core) SetGrants(g limits.Grants) {
	c.accounts.grants = g
	for _, acc := range c.accounts.byID {
		c.accounts.configure(acc)
	}
	c.needsPlan = true
}

// configure sets what the configuration and the grants say of a customer.
func (a *customerAccounts) configure(acc *customerAccount) {
	entry, _ := a.directory.Get(acc.id)
	acc.limit = entry.Limit
	acc.grant, acc.granted = a.grants.ByCustomer[acc.id]
}

// limited reports whether grants bound what the customer runs.
func (acc *customerAccount) limited() bool { return acc.limit != job.Resources{} }

// allowed returns how many of count tasks that need an amount each the customer's grant
// allows to start now.
func (acc *customerAccount) allowed(need job.Resources, count int) int {
	if !acc.limited() {
		return count
	}
	if !acc.granted {
		return 0
	}
	return acc.within(acc.grant.Sub(acc.used), need, count)
}

// within returns how many of count tasks that need an amount each fit into an amount of the
// limited resources.
func (acc *customerAccount) within(room, need job.Resources, count int) int {
	count = unitsWithin(acc.limit.CPU, room.CPU, need.CPU, count)
	count = unitsWithin(acc.limit.MemoryMB, room.MemoryMB, need.MemoryMB, count)
	return unitsWithin(acc.limit.GPU, room.GPU, need.GPU, count)
}

// unitsWithin returns how many of count units fit into room. A limit of 0 is none.
func unitsWithin(limit, room, need, count int) int {
	switch {
	case limit <= 0:
		return count
	case room < 0:
		return 0
	case need <= 0:
		return count
	default:
		return min(count, room/need)
	}
}

// taskKind is what one start of a waiting group needs: members tasks start together.
type taskKind struct {
	need    job.Resources
	members int
}

// kind returns what one start of the group needs.
func (pg *pendingGroup) kind() taskKind {
	if pg.gang {
		return taskKind{pg.need, pg.tasks}
	}
	return taskKind{pg.need, 1}
}

// maxKinds bounds the kinds of waiting tasks of a customer that are looked at one by one.
const maxKinds = 64

// allowsAny reports whether the grant allows any of the customer's waiting tasks. It may be
// wrong about a customer with more than maxKinds kinds of tasks, for which it is true.
func (acc *customerAccount) allowsAny() bool {
	if !acc.limited() || len(acc.kinds) > maxKinds {
		return true
	}
	for k := range acc.kinds {
		if acc.allowed(k.need, k.members) == k.members {
			return true
		}
	}
	return false
}

// largestNeed returns, for each resource, the most that one start of the customer's waiting
// tasks needs.
func (acc *customerAccount) largestNeed() job.Resources {
	var out job.Resources
	for k := range acc.kinds {
		need := k.need.Times(k.members)
		out.CPU, out.MemoryMB, out.GPU = max(out.CPU, need.CPU), max(out.MemoryMB, need.MemoryMB), max(out.GPU, need.GPU)
	}
	return out
}

// addWaiting adds a waiting group, or removes it if n is -1.
func (acc *customerAccount) addWaiting(pg *pendingGroup, n int) {
	acc.waiting += n * pg.tasks
	acc.wanted = acc.wanted.Add(pg.need.Times(n * pg.tasks))
	if pg.job.Terms.Approval != nil {
		acc.approvals += n
	}
	k := pg.kind()
	if acc.kinds == nil {
		acc.kinds = map[taskKind]int{}
	}
	if acc.kinds[k] += n; acc.kinds[k] == 0 {
		delete(acc.kinds, k)
	}
}

// turnoverShare is the part of a pool's capacity that a customer may want although it is in
// use: about what ends between two exchanges of grants, with tasks of two seconds.
const turnoverShare = 8

// CustomerDemand returns what each limited customer uses and wants in the pool, by customer.
// It holds every limited customer that has runs or waiting tasks, since one that gets no
// grant starts nothing. What is wanted is what the waiting tasks reserve, but no more than
// the pool may be able to start soon, or what the largest of them needs: quota that waits
// for capacity here would be missing in other pools.
func (c *Core) CustomerDemand() []limits.Demand {
	c.waiting.update()
	soon := c.startableSoon()
	var out []limits.Demand
	for _, acc := range c.accounts.byID {
		if !acc.limited() || acc.runs == 0 && acc.waiting == 0 {
			continue
		}
		most := acc.largestNeed()
		out = append(out, limits.Demand{Customer: acc.id, Used: acc.used, Started: acc.started, Wanted: job.Resources{
			CPU:      min(acc.wanted.CPU, max(soon.CPU, most.CPU)),
			MemoryMB: min(acc.wanted.MemoryMB, max(soon.MemoryMB, most.MemoryMB)),
			GPU:      min(acc.wanted.GPU, max(soon.GPU, most.GPU)),
		}})
	}
	slices.SortFunc(out, func(a, b limits.Demand) int { return cmp.Compare(a.Customer, b.Customer) })
	return out
}

// startableSoon returns the resources that are free on the workers that accept tasks or
// may become free there soon.
func (c *Core) startableSoon() job.Resources {
	var soon job.Resources
	for id := range c.index.byID {
		ws := c.workers[id]
		if ws == nil {
			continue
		}
		free := ws.FreeResources()
		soon.CPU += max(0, free.CPU) + ws.Capacity.CPU/turnoverShare
		soon.MemoryMB += max(0, free.MemoryMB) + ws.Capacity.MemoryMB/turnoverShare
		soon.GPU += max(0, free.GPU) + ws.Capacity.GPU/turnoverShare
	}
	return soon
}
