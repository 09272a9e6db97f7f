package limits

import (
	"errors"
	"slices"
	"time"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
)

// resources is the form of amounts in messages.
type resources = job.Resources

// Loaded tells what records of the partition say.
type Loaded struct {
	// LaterAllocator is the token of a later allocator, or 0 if there is none.
	LaterAllocator int64
	// Registered holds the tokens of the holders that have registered, by pool.
	Registered map[string]int64
	// Errors are those of records that could not be decoded.
	Errors []error
}

// Load applies records of the partition, by offset, up to the offset end. Known ones are
// skipped. listed is set if they begin with the newest of all keys and not at Next.
func (a *Allocator) Load(records []logstore.Record, end int64, listed bool, now time.Duration) Loaded {
	out := Loaded{Registered: map[string]int64{}}
	first := a.next == 0
	a.resolve(end)
	for _, r := range records {
		if r.Offset < a.next && !listed {
			continue
		}
		d, err := decode(r)
		if err != nil && (listed || !errors.Is(err, errNoValue)) {
			out.Errors = append(out.Errors, err)
		}
		switch d.kind {
		case kindAllocator:
			if d.token > a.token {
				out.LaterAllocator = max(out.LaterAllocator, d.token)
			}
		case kindHolder:
			if a.register(a.pool(d.pool), d.token, first, now) {
				out.Registered[d.pool] = d.token
			}
		case kindBounds:
			a.loadBounds(a.pool(d.pool), d, err != nil && (listed || !errors.Is(err, errNoValue)))
		}
	}
	a.next = max(a.next, end)
	if first {
		a.adopt(now)
	}
	for _, c := range a.customers {
		a.decide(c, now)
	}
	return out
}

// loadBounds sets the bounds that are in the log.
func (a *Allocator) loadBounds(p *poolState, d decoded, unreadable bool) {
	p.logged = d.bounds
	p.config = max(p.config, d.config)
	p.unreadable = unreadable
	for id := range d.bounds {
		if c := a.customers[id]; c != nil {
			a.share(c, p)
		}
	}
}

// register records the holder of a pool. A new one may act on the bounds in the log, and the
// acknowledgements of earlier ones count no more. It reports whether the holder is new.
func (a *Allocator) register(p *poolState, token int64, first bool, now time.Duration) bool {
	if token <= p.holder {
		return false
	}
	p.holder, p.sequence, p.applied, p.exchangedAt, p.heldAt = token, 0, false, 0, now
	if !first {
		a.adoptLogged(p)
	}
	return true
}

// adopt takes the bounds in the log as grants.
func (a *Allocator) adopt(now time.Duration) {
	for _, p := range a.pools {
		p.heldAt = now
		a.adoptLogged(p)
	}
	for _, c := range a.customers {
		c.learned()
	}
}

// adoptLogged takes the bounds of a pool in the log as its grants.
func (a *Allocator) adoptLogged(p *poolState) {
	a.bump(p)
	for _, s := range p.shares {
		s.version = a.number
		// What the log allows exceeds the ceiling only if it did so before.
		allowed := s.customer.sum((*share).logged)
		s.grant = s.logged()
		s.bound = s.bound.atLeast(s.grant)
		if !s.customer.sum((*share).held).fitsIn(s.customer.limit) {
			// The limit was lowered since: what other pools may still act on has to end first.
			s.grant = s.grant.atMost(s.used)
		}
		s.customer.ceiling = s.customer.ceiling.atLeast(allowed.atMost(s.customer.sum((*share).held)))
	}
}

// Exchange answers a request of the holder of a pool. pending is set if a grant that the pool
// needs is raised once the log holds the higher bound.
func (a *Allocator) Exchange(q ExchangeRequest, now time.Duration) (r ExchangeResponse, pending bool, err error) {
	p := a.pools[q.Pool]
	switch {
	case p == nil || q.Token > p.holder:
		return ExchangeResponse{}, false, ErrNotRegistered
	case q.Token < p.holder:
		return ExchangeResponse{}, false, ErrSuperseded
	}
	p.heldAt = now
	if q.Sequence > p.sequence {
		p.sequence, p.exchangedAt = q.Sequence, now
		for _, c := range a.report(p, q, now) {
			if now-c.decidedAt >= decideInterval || c.over() {
				a.decide(c, now)
			}
		}
	}
	r = a.Answer(q.Pool, q.Applied)
	return r, r.Grants == nil && a.pending(p), nil
}

// Answer returns the grants of a pool unless the version is the applied one.
func (a *Allocator) Answer(pool string, applied Version) ExchangeResponse {
	if a.pool(pool).version == applied {
		return ExchangeResponse{}
	}
	g := a.Grants(pool)
	return ExchangeResponse{Grants: &g}
}

// pending reports whether a proposal raises a grant of a pool that lets no task start now.
func (a *Allocator) pending(p *poolState) bool {
	for _, s := range p.shares {
		if (s.customer.unlogged || s.reserved != amounts{}) && s.wanted != (amounts{}) && s.starved() {
			return true
		}
	}
	return false
}

// report applies a report of the registered holder of a pool. It returns the customers that
// it changes.
func (a *Allocator) report(p *poolState, q ExchangeRequest, now time.Duration) []*customerState {
	p.applied = p.applied || q.Applied.Token == a.token
	p.config = max(p.config, q.Config)
	for _, c := range a.customers {
		a.share(c, p)
	}
	demand := make(map[customer.ID]Demand, len(q.Demand))
	for _, d := range q.Demand {
		if c := a.customers[d.Customer]; c != nil && amountsOf(d.Used).valid() && amountsOf(d.Wanted).valid() {
			demand[d.Customer] = d
			a.share(c, p)
		}
	}
	var changed []*customerState
	for id, s := range p.shares {
		d, named := demand[id]
		if !named && slices.Max(s.customer.since[:]) > q.Config {
			// The pool does not limit the customer yet, so it does not report it.
			continue
		}
		if a.reportShare(s, d, q.Applied, now) {
			changed = append(changed, s.customer)
		}
	}
	return changed
}

// reportShare applies what a report says of a customer. It reports whether there is something
// to decide.
func (a *Allocator) reportShare(s *share, d Demand, applied Version, now time.Duration) bool {
	c := s.customer
	acked := applied.Token == a.token && applied.Number >= s.version
	usedBefore, wantedBefore, boundBefore := s.used, s.wanted, s.bound
	s.used = amountsOf(d.Used).limitedBy(c.limit)
	s.wanted = amountsOf(d.Wanted).limitedBy(c.limit).atMost(c.limit)
	s.observe(d.Started, now)
	if acked {
		s.bound = s.occupied()
	} else {
		s.bound = s.bound.atLeast(s.used)
	}
	if s.bound != boundBefore {
		if !s.bound.fitsIn(boundBefore) {
			c.learned()
			s.pool.rewrite = s.pool.rewrite || !s.bound.fitsIn(s.logged())
		}
		c.settle()
		return true
	}
	return c.unlogged || !s.offered || s.used != usedBefore || s.wanted != wantedBefore || s.wanted != amounts{}
}

// TrackHolders tells which pools have a holder. The tasks of a pool that has had none for long
// enough have ended.
func (a *Allocator) TrackHolders(held func(pool string) bool, now time.Duration) {
	for _, p := range a.pools {
		if held(p.name) {
			p.heldAt = now
			continue
		}
		if now-p.heldAt < a.retireAfter {
			continue
		}
		p.config = max(p.config, a.limits.Version)
		for _, s := range p.shares {
			if s.bound == (amounts{}) && s.logged() == (amounts{}) {
				continue
			}
			s.used, s.wanted, s.bound = amounts{}, amounts{}, amounts{}
			a.setGrant(s, amounts{})
			s.customer.settle()
			p.rewrite = true
		}
	}
}
