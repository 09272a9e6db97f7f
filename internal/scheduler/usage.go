package scheduler

import (
	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// customerAccount is what the pool knows of one customer.
type customerAccount struct {
	id customer.ID
	// used is what the customer's runs reserve on all workers, and runs their number.
	used job.Resources
	runs int
}

// customerAccounts count what each customer uses and wants. Work of no customer has the
// account of the empty ID.
type customerAccounts struct {
	byID map[customer.ID]*customerAccount
	// lasting is what all long-running tasks reserve.
	lasting job.Resources
}

func newCustomerAccounts() customerAccounts {
	return customerAccounts{byID: map[customer.ID]*customerAccount{}}
}

// of returns the account of a customer, and creates it if there is none.
func (a *customerAccounts) of(id customer.ID) *customerAccount {
	acc := a.byID[id]
	if acc == nil {
		acc = &customerAccount{id: id}
		a.byID[id] = acc
	}
	return acc
}

// runCounter counts the runs of all workers for their customers. Every run passes through
// it, whether it is planned, adopted or found, and however it ends.
type runCounter struct{ core *Core }

var _ worker.RunObserver = runCounter{}

// RunAdded implements worker.RunObserver.
func (n runCounter) RunAdded(r *worker.Run) {
	if j := n.core.jobs[r.ID.Task.Job]; j != nil {
		r.Customer = j.Terms.Customer
	}
	a := &n.core.accounts
	acc := a.of(r.Customer)
	acc.used = acc.used.Add(r.Resources)
	acc.runs++
	if r.ExpectedDuration >= longRunningDuration {
		a.lasting = a.lasting.Add(r.Resources)
	}
}

// RunRemoved implements worker.RunObserver.
func (n runCounter) RunRemoved(r *worker.Run) {
	a := &n.core.accounts
	acc := a.of(r.Customer)
	acc.used = acc.used.Sub(r.Resources)
	acc.runs--
	if r.ExpectedDuration >= longRunningDuration {
		a.lasting = a.lasting.Sub(r.Resources)
	}
}
