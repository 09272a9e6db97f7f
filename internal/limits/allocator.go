package limits

import (
	"slices"
	"strings"
	"time"

	"greengagedeck/internal/customer"
)

const (
	// unknownHistoryWait is how long a new allocator raises no grant of a customer while a
	// pool has not reported what the customer uses there, if the customer may have become
	// limited since the pool's bounds were logged. By then every daemon has the
	// configuration, and every pool that can be reached has reported.
	unknownHistoryWait = 3 * time.Second
	// newLimitWait is the same for a customer that is known to have become limited. A pool
	// that has not reported by then cannot be reached, and its tasks count as its bounds say.
	newLimitWait = 10 * time.Second
	// responsivePeriod is how long after its last exchange a pool is expected to give back
	// quota. A pool with grants calls at least once a second.
	responsivePeriod = 1500 * time.Millisecond
)

// Allocator splits the limits of customers into grants for pools. It does no I/O and reads no
// clock. It is not safe for concurrent use.
//
// For each customer and limited resource
//
//	sum over pools of bound <= limit,
//
// except as far as the bounds were already higher when the limit was lowered or when they were
// learned from the log or from reports of usage. The bound of a pool is the largest grant that
// its holder may still act on, or its usage if that is higher. It falls only when the
// registered holder names the current version of its grants in a request: it then starts
// nothing above them. It rises only once the log holds the higher bound, so what the log holds
// is never below what a holder may act on, and a later allocator or holder that starts from
// the log keeps the invariant. Check verifies it.
type Allocator struct {
	token int64
	// number is that of the last version.
	number int64
	// next is the offset up to which the partition has been read.
	next      int64
	startedAt time.Duration
	// retireAfter is how long a pool has to be without a holder until its tasks have ended.
	retireAfter time.Duration
	limits      InEffect
	pools       map[string]*poolState
	customers   map[customer.ID]*customerState
	// proposal is the append whose outcome is not known yet.
	proposal *Proposal
	counts   Counts
}

// Counts count what an allocator has done.
type Counts struct {
	// Raised and Lowered are grants of one customer in one pool.
	Raised, Lowered int64
}

// AllocatorOptions configure an Allocator.
type AllocatorOptions struct {
	// Token is the fencing token of the fleet duty. The numbers of versions begin after
	// FirstVersion, which is at least the last one used under the same token.
	Token        int64
	FirstVersion int64
	// RetireAfter is how long a pool has to be without a holder until all its runs have ended.
	RetireAfter time.Duration
}

// NewAllocator returns an allocator that has read nothing. Load must be called before anything
// else.
func NewAllocator(o AllocatorOptions, l InEffect, now time.Duration) *Allocator {
	a := &Allocator{
		token:       o.Token,
		number:      o.FirstVersion,
		startedAt:   now,
		retireAfter: o.RetireAfter,
		pools:       map[string]*poolState{},
		customers:   map[customer.ID]*customerState{},
	}
	a.SetLimits(l, now)
	return a
}

// LoweredLimit is a limit that is below what its customer uses.
type LoweredLimit struct {
	Customer    customer.ID
	Limit, Used amounts
}

// SetLimits sets the limits in effect. It returns those that were lowered below what is used.
func (a *Allocator) SetLimits(e InEffect, now time.Duration) []LoweredLimit {
	a.limits = e
	for _, name := range e.Pools {
		a.pool(name)
	}
	var below []LoweredLimit
	for _, l := range e.Limits {
		c := a.customers[l.Customer]
		if c == nil {
			c = a.addCustomer(l.Customer)
		}
		before := c.limit
		if !a.setLimit(c, l, now) {
			continue
		}
		if used := c.sum(func(s *share) amounts { return s.used }); !used.fitsIn(c.limit) && !before.fitsIn(c.limit) {
			below = append(below, LoweredLimit{c.id, c.limit, used})
		}
	}
	for id, c := range a.customers {
		if _, limited := e.Get(id); !limited {
			a.removeCustomer(c)
		}
	}
	return below
}

// addCustomer adds a customer, with a share in each pool that has a bound in the log.
func (a *Allocator) addCustomer(id customer.ID) *customerState {
	c := &customerState{id: id}
	a.customers[id] = c
	for _, p := range a.pools {
		if _, logged := p.logged[id]; logged {
			a.share(c, p)
		}
	}
	return c
}

// setLimit sets the limit of a customer. It reports whether that changed.
func (a *Allocator) setLimit(c *customerState, l Limit, now time.Duration) bool {
	changed, sameResources := c.limit != l.Amount, c.since == l.Since
	if !sameResources {
		c.limitedAt = now
	}
	c.limit, c.since = l.Amount, l.Since
	if !changed {
		return false
	}
	for _, s := range c.shares {
		for _, v := range []*amounts{&s.used, &s.wanted, &s.grant, &s.bound, &s.reserved} {
			*v = v.limitedBy(c.limit)
		}
		if !sameResources {
			a.distrust(s)
		}
	}
	c.learned()
	a.decide(c, now)
	return true
}

// distrust assumes that the holder may act on the logged bound until it has applied a new
// version.
func (a *Allocator) distrust(s *share) {
	a.bump(s.pool)
	s.version = a.number
	s.bound = s.bound.atLeast(s.logged())
}

// Next returns the offset up to which the partition has been read.
func (a *Allocator) Next() int64 { return a.next }

// Counts returns what the allocator has done so far.
func (a *Allocator) Counts() Counts { return a.counts }

// Grants returns the grants of a pool.
func (a *Allocator) Grants(pool string) Grants {
	p := a.pool(pool)
	g := Grants{Version: p.version, ByCustomer: map[customer.ID]resources{}}
	for id, s := range p.shares {
		if s.grant != (amounts{}) {
			g.ByCustomer[id] = s.grant.resources()
		}
	}
	return g
}

// bump gives the grants of a pool a new version.
func (a *Allocator) bump(p *poolState) {
	a.number++
	p.version = Version{Token: a.token, Number: a.number}
}

// setGrant changes a grant.
func (a *Allocator) setGrant(s *share, grant amounts) {
	if grant == s.grant {
		return
	}
	s.offered = true
	if grant.fitsIn(s.grant) {
		a.counts.Lowered++
	} else {
		a.counts.Raised++
	}
	s.grant, s.bound = grant, s.bound.atLeast(grant)
	a.bump(s.pool)
	s.version = a.number
}

// accounted reports whether what a customer uses is known in all pools, as far as it can be.
// Without that nothing is granted: tasks that were started before the customer was limited
// count as well.
func (a *Allocator) accounted(c *customerState, now time.Duration) bool {
	wait := newLimitWait
	since := slices.Max(c.since[:])
	if since <= a.limits.First {
		wait = unknownHistoryWait
	}
	if now-max(c.limitedAt, a.startedAt) >= wait {
		return true
	}
	for _, name := range a.limits.Pools {
		if p := a.pools[name]; p.config < since || p.unreadable {
			return false
		}
	}
	return true
}

// customersByID returns the limited customers in a fixed order.
func (a *Allocator) customersByID() []*customerState {
	out := make([]*customerState, 0, len(a.customers))
	for _, c := range a.customers {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *customerState) int { return strings.Compare(string(a.id), string(b.id)) })
	return out
}
