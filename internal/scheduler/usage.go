package scheduler

import (
	"time"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/fairshare"
	"greengagedeck/internal/job"
	"greengagedeck/internal/limits"
	"greengagedeck/internal/worker"
)

// customerAccount is what the pool knows of one customer.
type customerAccount struct {
	id customer.ID
	// used is what the customer's runs reserve on all workers, and runs their number.
	used job.Resources
	runs int
	// started counts the runs that were added.
	started int64
	// wanted is what its waiting tasks reserve, and waiting their number. kinds counts the
	// waiting groups by what one start of them needs.
	wanted  job.Resources
	waiting int
	kinds   map[taskKind]int
	// approvals counts the waiting groups whose workers have to be approved.
	approvals int
	// limit is the customer's limit in the configuration, and grant what it may use in this
	// pool, if granted is set.
	limit, grant job.Resources
	granted      bool
	// heldAt is when a plan last found a task that the grant does not allow, and blockedAt
	// when the grant last allowed none that waits.
	heldAt, blockedAt time.Duration
	// heldBack is set while the customer counts as held back by its grant, since heldSince.
	heldBack  bool
	heldSince time.Duration
}

// customerAccounts count what each customer uses and wants. Work of no customer has the
// account of the empty ID.
type customerAccounts struct {
	byID map[customer.ID]*customerAccount
	// directory and weights are those of the configuration in effect, and grants the ones
	// that apply to this pool.
	directory *customer.Directory
	weights   fairshare.Weights
	grants    limits.Grants
	// entitlements count the jobs that customers submit. They are nil without a directory.
	entitlements *fairshare.Entitlements
	// held are the customers that are held back, or that a plan has found to be.
	held map[*customerAccount]bool
	// lasting is what all long-running tasks reserve.
	lasting job.Resources
}

func newCustomerAccounts() customerAccounts {
	return customerAccounts{byID: map[customer.ID]*customerAccount{}, held: map[*customerAccount]bool{}}
}

// of returns the account of a customer, and creates it if there is none.
func (a *customerAccounts) of(id customer.ID) *customerAccount {
	acc := a.byID[id]
	if acc == nil {
		acc = &customerAccount{id: id}
		a.configure(acc)
		a.byID[id] = acc
	}
	return acc
}

// fairShare returns the dominant share for each unit of weight that each customer with runs or
// waiting tasks has if they all use their part of the pool, or 0 if there is none.
func (a *customerAccounts) fairShare() float64 {
	total := 0.0
	for _, acc := range a.byID {
		if acc.runs > 0 || acc.waiting > 0 {
			total += a.weights.Of(acc.id)
		}
	}
	if total == 0 {
		return 0
	}
	return 1 / total
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
	acc.started++
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
