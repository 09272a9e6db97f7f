package limits

import "time"

// pressureNumerator / pressureDenominator is the part of a grant from which on the pool's part
// of the limit is looked at again: its need grows, and a raise takes two exchanges and an
// append when other pools have to give quota back.
const pressureNumerator, pressureDenominator = 1, 2

// decideInterval is the least time between two decisions on a customer because of exchanges. It
// bounds the processor time of the allocator, and is short beside blockedInterval, after which
// a pool with a task that waits calls again.
const decideInterval = 20 * time.Millisecond

// raise is a grant to raise.
type raise struct {
	*share
	to amounts
}

// pressed reports whether the pool needs nearly all of its grant, or has not been offered one.
func (s *share) pressed() bool {
	if !s.offered {
		return true
	}
	need := s.need()
	for r, limit := range s.customer.limit {
		if limit > 0 && need[r]*pressureDenominator > s.grant[r]*pressureNumerator {
			return true
		}
	}
	return false
}

// decide changes the grants of a customer as far as the logged bounds allow, and marks the
// customer for the next proposal if they do not.
func (a *Allocator) decide(c *customerState, now time.Duration) {
	c.unlogged, c.decidedAt = false, now
	over := c.over()
	if !over && c.calm() {
		c.settle()
		return
	}
	list := a.targets(c, now)
	if over {
		a.trim(c, list)
	}
	for _, r := range a.raises(c, list, now) {
		if r.reserved == (amounts{}) && r.to.fitsIn(a.loggedAtLeast(r.share)) {
			a.setGrant(r.share, r.to)
		} else {
			c.unlogged = true
		}
	}
	a.lower(c, list, now)
	c.settle()
}

// over reports whether grants and usage together exceed the limit.
func (c *customerState) over() bool { return c.sum((*share).occupied).over(c.limit) != amounts{} }

// calm reports whether no pool needs more than it has.
func (c *customerState) calm() bool {
	for _, s := range c.shares {
		if s.pressed() {
			return false
		}
	}
	return true
}

// loggedAtLeast returns the bound that the log holds whatever the outcome of the append in
// progress.
func (a *Allocator) loggedAtLeast(s *share) amounts {
	logged := s.logged()
	if a.proposal == nil {
		return logged
	}
	if proposed, ok := a.proposal.bounds[s.pool]; ok {
		logged = logged.atMost(proposed[s.customer.id].limitedBy(s.customer.limit))
	}
	return logged
}

// trim lowers grants to the pools' parts while grants and usage together exceed the limit. After
// the limit was lowered, a pool that uses more than its part starts nothing until enough has
// ended. Pools without a part, which do not call or whose holder is new, keep what they use:
// what they may act on until they call counts in their bounds.
func (a *Allocator) trim(c *customerState, list []target) {
	parts := make(map[*share]amounts, len(list))
	for _, t := range list {
		parts[t.share] = t.part
	}
	for _, s := range c.shares {
		part, called := parts[s]
		if !called {
			part = s.used
		}
		a.setGrant(s, s.grant.atMost(part))
	}
}

// raises returns the grants to raise from free quota: those of pools that need nearly all of
// theirs, up to their part.
func (a *Allocator) raises(c *customerState, list []target, now time.Duration) []raise {
	free := c.free()
	if !a.accounted(c, now) {
		return nil
	}
	var out []raise
	for _, t := range list {
		if !t.pressed() {
			continue
		}
		to := t.part.atMost(t.available(free)).atLeast(t.grant)
		if to == t.grant {
			continue
		}
		free = free.minus(to.over(t.held()))
		out = append(out, raise{t.share, to})
	}
	return out
}

// available returns the highest grant that free quota allows. Where the bounds exceed the limit,
// the grant does not rise even within its own bound.
func (t target) available(free amounts) amounts {
	out := t.grant
	for r, n := range free {
		if n >= 0 {
			out[r] = t.held()[r] + n
		}
	}
	return out
}

// lower lowers the grants of pools that have more than their part to that, in the resources that
// pools which need nearly all of their grants lack.
func (a *Allocator) lower(c *customerState, list []target, now time.Duration) {
	var lacking amounts
	for _, t := range list {
		if t.pressed() {
			lacking = lacking.plus(t.part.over(t.grant.atLeast(t.reserved)))
		}
	}
	lacking = lacking.over(c.free().atLeast(amounts{}))
	if lacking == (amounts{}) {
		return
	}
	for _, t := range list {
		grant := t.grant
		for r, lack := range lacking {
			if lack > 0 {
				grant[r] = min(grant[r], max(t.part[r], t.reserved[r]))
			}
		}
		a.setGrant(t.share, grant)
	}
}
