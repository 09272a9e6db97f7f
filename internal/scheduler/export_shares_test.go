package scheduler

import (
	"time"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
)

// FakeShares grants every customer the same and has all groups of the customers in Waits
// wait for the reason there.
type FakeShares struct {
	Share CustomerShare
	Waits map[customer.ID]NoRunReason
}

func (f FakeShares) customerShare(customer.ID) CustomerShare { return f.Share }

func (f FakeShares) customerWait(j *trackedJob, _ job.TaskGroup, _ time.Duration) NoRunReason {
	return f.Waits[j.Terms.Customer]
}

// SetShares has the core ask f what customers may use.
func SetShares(c *Core, f FakeShares) { c.shares = f }
