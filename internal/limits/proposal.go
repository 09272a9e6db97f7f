package limits

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/logstore"
)

// trimInterval is the least time between two appends that only lower bounds, while a customer's
// usage falls to a limit that was lowered.
const trimInterval = 500 * time.Millisecond

// Proposal is an append of bounds. Until its outcome is known, it counts as one that may or may
// not have happened.
type Proposal struct {
	// At is the offset at which the partition has to end.
	At      int64
	Entries []logstore.Entry
	// bounds are the bounds of each pool that the append changes.
	bounds map[*poolState]map[customer.ID]amounts
	raises []raise
}

// Propose returns the append to make now, or nil if there is none. It returns the last one
// until its outcome is known.
func (a *Allocator) Propose(now time.Duration) (*Proposal, error) {
	if a.proposal != nil {
		return a.proposal, nil
	}
	p := &Proposal{At: a.next, bounds: map[*poolState]map[customer.ID]amounts{}}
	customers := a.customersByID()
	for _, c := range customers {
		if c.unlogged {
			c.unlogged = false
			a.proposeRaises(p, c, now)
		}
	}
	for _, c := range customers {
		a.proposeTrim(p, c, now)
	}
	for _, pool := range a.pools {
		if pool.rewrite || pool.unreadable && pool.applied {
			p.bounds[pool] = nil
		}
	}
	if len(p.bounds) == 0 {
		return nil, nil
	}
	for pool := range p.bounds {
		p.bounds[pool] = pool.bounds()
	}
	a.proposal = p
	if err := p.encode(); err != nil {
		a.Abort(p)
		return nil, err
	}
	return p, nil
}

// proposeRaises adds the raised grants of a customer, and as many lowered bounds of other pools
// as are needed to keep the sum of the logged ones within the limit.
func (a *Allocator) proposeRaises(p *Proposal, c *customerState, now time.Duration) {
	for _, r := range a.raises(c, a.targets(c, now), now) {
		if r.to.fitsIn(r.logged()) {
			a.setGrant(r.share, r.to)
			continue
		}
		r.reserved = r.to
		p.raises = append(p.raises, r)
		p.bounds[r.pool] = nil
	}
	p.makeRoom(c)
}

// makeRoom adds pools whose logged bounds of a customer can be lowered until the sum is within
// the limit.
func (p *Proposal) makeRoom(c *customerState) {
	logged := func(s *share) amounts {
		if _, rewritten := p.bounds[s.pool]; rewritten {
			return s.held()
		}
		return s.logged()
	}
	excess := c.sum(logged).over(c.limit)
	if excess == (amounts{}) {
		return
	}
	lowered := func(s *share) amounts { return logged(s).over(s.held()).atMost(excess) }
	list := slices.Clone(c.shares)
	slices.SortStableFunc(list, func(a, b *share) int {
		x, y := lowered(a), lowered(b)
		return cmp.Compare(y[0]+y[1]+y[2], x[0]+x[1]+x[2])
	})
	for _, s := range list {
		if less := lowered(s); less != (amounts{}) {
			excess = excess.over(less)
			p.bounds[s.pool] = nil
		}
	}
}

// proposeTrim adds lowered bounds where the logged ones exceed a limit that was lowered: a new
// holder starts from them.
func (a *Allocator) proposeTrim(p *Proposal, c *customerState, now time.Duration) {
	if c.sum((*share).logged).fitsIn(c.limit) || now-c.trimmedAt < trimInterval {
		return
	}
	before := len(p.bounds)
	p.makeRoom(c)
	if len(p.bounds) > before {
		c.trimmedAt = now
	}
}

// bounds returns the bounds of a pool to log.
func (p *poolState) bounds() map[customer.ID]amounts {
	out := map[customer.ID]amounts{}
	for id, s := range p.shares {
		if held := s.held(); held != (amounts{}) {
			out[id] = held
		}
	}
	return out
}

// encode sets the entries.
func (p *Proposal) encode() error {
	pools := slices.SortedFunc(maps.Keys(p.bounds), func(a, b *poolState) int { return cmp.Compare(a.name, b.name) })
	for _, pool := range pools {
		rec := boundsRecord{Config: pool.config, Bounds: make(map[customer.ID]resources, len(p.bounds[pool]))}
		for id, bound := range p.bounds[pool] {
			rec.Bounds[id] = bound.resources()
		}
		e, err := boundsEntry(pool.name, rec)
		if err != nil {
			return err
		}
		p.Entries = append(p.Entries, e)
	}
	return nil
}

// size returns the size of the append.
func (p *Proposal) size() int {
	n := 0
	for _, e := range p.Entries {
		n += len(e.Key) + len(e.Value)
	}
	return n
}

// gap returns how long to wait from this append to the next.
func (p *Proposal) gap() time.Duration {
	return max(appendGap, time.Duration(p.size())*time.Second/appendRate)
}

// release gives up what is reserved for the raises.
func (p *Proposal) release() {
	for _, r := range p.raises {
		r.reserved = amounts{}
	}
}

// Commit records that a proposal was appended and that the partition ends at end now.
func (a *Allocator) Commit(p *Proposal, end int64, now time.Duration) {
	if a.proposal != p {
		// The append was read back before its answer came.
		return
	}
	a.proposal = nil
	a.next = max(a.next, end)
	p.release()
	for pool, bounds := range p.bounds {
		pool.logged, pool.rewrite, pool.unreadable = bounds, false, false
	}
	changed := map[*customerState]bool{}
	for _, r := range p.raises {
		changed[r.customer] = true
		// The limit may have been lowered meanwhile.
		if r.to.over(r.held()).fitsIn(r.customer.free()) && r.to.fitsIn(r.logged()) {
			a.setGrant(r.share, r.to.atLeast(r.grant))
		}
	}
	for c := range changed {
		a.decide(c, now)
	}
}

// Abort records that a proposal was not appended and cannot be any more. Its raises are proposed
// again.
func (a *Allocator) Abort(p *Proposal) {
	if a.proposal != p {
		return
	}
	a.proposal = nil
	p.release()
	for _, r := range p.raises {
		r.customer.unlogged = true
	}
}

// resolve ends the proposal in progress if the partition goes on beyond its place: it was
// appended and is read back, or it never will be.
func (a *Allocator) resolve(end int64) {
	if a.proposal != nil && end > a.proposal.At {
		a.Abort(a.proposal)
	}
}
