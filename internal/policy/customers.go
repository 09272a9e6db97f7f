package policy

import "greengagedeck/internal/customer"

// Customers returns the customers of the policy in force, or nil if it has none.
func (c *Current) Customers() *customer.Directory {
	p := c.Get()
	if p == nil {
		return nil
	}
	return p.Customers
}
