package limits

import "github.com/rotisserie/eris"

// Check returns an error if the invariant of the Allocator does not hold, or if a holder may
// act on more than the log holds.
func (a *Allocator) Check() error {
	for _, c := range a.customersByID() {
		if held := c.sum((*share).held); !held.fitsIn(c.ceiling) {
			return eris.Errorf("customer %s: the bounds add up to %v, with a limit of %v and a ceiling of %v", c.id, held, c.limit, c.ceiling)
		}
		for _, s := range c.shares {
			if !s.grant.fitsIn(s.bound) {
				return eris.Errorf("customer %s in pool %s: the grant is %v and the bound %v", c.id, s.pool.name, s.grant, s.bound)
			}
			if !s.grant.fitsIn(a.loggedAtLeast(s)) {
				return eris.Errorf("customer %s in pool %s: the grant is %v and the logged bound %v", c.id, s.pool.name, s.grant, a.loggedAtLeast(s))
			}
		}
	}
	return nil
}
