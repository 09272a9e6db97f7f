package limits

import (
	"cmp"
	"slices"
	"time"

	"greengagedeck/internal/customer"
)

// poolState is what the allocator knows of a pool.
type poolState struct {
	name string
	// holder is the token of the registered holder, or 0 if none has registered.
	holder int64
	// sequence is that of the holder's last exchange.
	sequence int64
	// version is the version of the pool's grants, and applied is set once the holder has
	// named one of this allocator's versions.
	version Version
	applied bool
	// config is the version of the configuration whose limits a report of the pool has
	// covered.
	config int64
	// logged are the pool's bounds in the log.
	logged map[customer.ID]amounts
	// unreadable is set if they could not be decoded, and rewrite if they are to be logged
	// whether or not a grant is raised.
	unreadable, rewrite bool
	// exchangedAt is when the holder last called, and heldAt when the pool was last seen to
	// have a holder.
	exchangedAt, heldAt time.Duration
	shares              map[customer.ID]*share
}

// customerState is a limited customer.
type customerState struct {
	id    customer.ID
	limit amounts
	// since is that of Limit, and limitedAt when the last of the resources became limited
	// here.
	since     [resourceCount]int64
	limitedAt time.Duration
	// shares are the customer's shares in pools, by the names of the pools.
	shares []*share
	// ceiling is the limit, or the sum of the bounds if that was higher when it was last
	// learned from others: from the log, from usage beyond a grant, or when the limit was
	// lowered. Decisions of the allocator never raise the sum above it.
	ceiling amounts
	// decidedAt is when the last decision was made.
	decidedAt time.Duration
	// unlogged is set if a grant is to be raised above the logged bound.
	unlogged bool
	// trimmedAt is when logged bounds were last lowered for the sake of the limit alone.
	trimmedAt time.Duration
}

// share is what a customer uses, wants and may use in a pool.
type share struct {
	pool     *poolState
	customer *customerState
	// used and wanted are those of the last report.
	used, wanted amounts
	// grant is the pool's grant, and bound the largest grant that the holder may still act
	// on, or its usage if that is higher.
	grant, bound amounts
	// version is the number of the pool's version in which the grant last changed.
	version int64
	// reserved is the grant that an append in progress will allow, or 0.
	reserved amounts
	progress progress
	// offered is set once the pool had a grant.
	offered bool
}

// logged returns the bound in the log, without resources that are not limited.
func (s *share) logged() amounts {
	return s.pool.logged[s.customer.id].limitedBy(s.customer.limit)
}

// held returns what no other pool can get now.
func (s *share) held() amounts { return s.bound.atLeast(s.reserved) }

// occupied returns what the pool needs while nothing starts above its grant.
func (s *share) occupied() amounts { return s.grant.atLeast(s.used) }

// need returns what the pool uses and wants, up to the limit.
func (s *share) need() amounts { return s.used.plus(s.wanted).atMost(s.customer.limit.atLeast(s.used)) }

// sum returns the sum of an amount over the customer's pools.
func (c *customerState) sum(of func(*share) amounts) amounts {
	var total amounts
	for _, s := range c.shares {
		total = total.plus(of(s))
	}
	return total
}

// free returns what is left of the limit. It is negative where the bounds exceed the limit.
func (c *customerState) free() amounts { return c.limit.minus(c.sum((*share).held)) }

// learned raises the ceiling to the sum of the bounds.
func (c *customerState) learned() { c.ceiling = c.limit.atLeast(c.sum((*share).held)) }

// settle lowers the ceiling to the sum of the bounds, or to the limit.
func (c *customerState) settle() {
	c.ceiling = c.limit.atLeast(c.ceiling.atMost(c.sum((*share).held)))
}

// share returns the customer's share in a pool.
func (a *Allocator) share(c *customerState, p *poolState) *share {
	if s := p.shares[c.id]; s != nil {
		return s
	}
	s := &share{pool: p, customer: c}
	p.shares[c.id] = s
	at, _ := slices.BinarySearchFunc(c.shares, p.name, func(s *share, name string) int { return cmp.Compare(s.pool.name, name) })
	c.shares = slices.Insert(c.shares, at, s)
	return s
}

// pool returns the state of a pool.
func (a *Allocator) pool(name string) *poolState {
	p := a.pools[name]
	if p == nil {
		p = &poolState{name: name, shares: map[customer.ID]*share{}}
		a.pools[name] = p
	}
	return p
}

// removeCustomer forgets a customer that has no limit any more. Its grants stay with the
// holders until they get a newer version.
func (a *Allocator) removeCustomer(c *customerState) {
	for _, s := range c.shares {
		delete(s.pool.shares, c.id)
	}
	delete(a.customers, c.id)
}
