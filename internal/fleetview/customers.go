package fleetview

import (
	"context"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/scheduler"
)

// Customer is a customer with what it runs and waits for in all pools that have answered.
type Customer struct {
	// Name is the customer's name, or NoCustomer.
	Name string `json:"customer"`
	// Configured is set if the configuration has the customer. Weight and Limit are from
	// there; an amount of 0 is no limit.
	Configured bool      `json:"configured"`
	Weight     float64   `json:"weight"`
	Limit      Resources `json:"limit"`
	// PoolsUsed counts the pools with work of the customer.
	PoolsUsed int `json:"pools_used"`
	Load
}

// CustomerList is one page of the customers.
type CustomerList struct {
	// Customers are at most 500, by name.
	Customers []Customer `json:"customers"`
	// Next, if set, is the name after which the next page begins.
	Next string `json:"next,omitempty"`
	// Pools is how many pools were asked, and Unanswered are those that did not answer.
	Pools      int          `json:"pools"`
	Unanswered []Unanswered `json:"unanswered"`
}

// PoolLoad is what a customer runs and waits for in one pool.
type PoolLoad struct {
	Pool   string `json:"pool"`
	Daemon string `json:"daemon"`
	Load
	// Grant is the part of the customer's limit that the pool may use, or nil if there is
	// none or the holder does not know it.
	Grant *Resources `json:"grant,omitempty"`
	// Weight is the customer's weight in the pool, and Share the part of the pool's
	// processor or memory that it uses, whichever is larger. Both are 0 if the holder does
	// not know them.
	Weight float64 `json:"weight"`
	Share  float64 `json:"share"`
}

// CustomerView is a customer with its pools.
type CustomerView struct {
	Customer
	ByPool []PoolLoad `json:"by_pool"`
	// Pools is how many pools were asked, and Unanswered are those that did not answer.
	Pools      int          `json:"pools"`
	Unanswered []Unanswered `json:"unanswered"`
}

// customersQuery asks for customers.
func (s *Service) customersQuery(q CustomersRequest) query[CustomersResponse] {
	of := func(pool string) CustomersRequest {
		q := q
		q.Pool = pool
		return q
	}
	return query[CustomersResponse]{
		method:  MethodCustomers,
		request: func(pool string) any { return of(pool) },
		local:   func(pool string) CustomersResponse { return s.localCustomers(of(pool)) },
		held:    func(a CustomersResponse) bool { return a.Held },
	}
}

// Customers returns the customers after one, or the first ones: those of the
// configuration, and others with work in a pool.
func (s *Service) Customers(ctx context.Context, after customer.ID) (CustomerList, error) {
	pools, err := s.pools()
	if err != nil {
		return CustomerList{}, err
	}
	answers, unanswered := askAll(ctx, s, pools, s.customersQuery(CustomersRequest{After: after}))
	m := s.merge(after, answers)
	ids := m.page()
	out := CustomerList{Customers: make([]Customer, 0, len(ids)), Pools: len(pools), Unanswered: unanswered}
	for _, id := range ids {
		out.Customers = append(out.Customers, *m.byID[id])
	}
	if m.cutSet || len(ids) < len(m.byID) {
		out.Next = string(ids[len(ids)-1])
	}
	return out, nil
}

// merged are the customers of all answers and of the configuration.
type merged struct {
	byID map[customer.ID]*Customer
	// cut is the last customer of the shortest answer that leaves customers out, if cutSet
	// is set: what is known of later customers may be incomplete.
	cut    customer.ID
	cutSet bool
}

// merge merges answers and the customers of the configuration after one.
func (s *Service) merge(after customer.ID, answers []answer[CustomersResponse]) *merged {
	m := &merged{byID: map[customer.ID]*Customer{}}
	for _, c := range s.opt.Policy.Get().Customers.All() {
		if c.ID > after {
			m.byID[c.ID] = s.describe(c.ID)
		}
	}
	for _, a := range answers {
		for _, status := range a.value.Customers {
			c := m.byID[status.Customer]
			if c == nil {
				c = s.describe(status.Customer)
				m.byID[status.Customer] = c
			}
			c.PoolsUsed++
			c.add(status)
		}
		if n := len(a.value.Customers); a.value.More && n > 0 {
			if last := a.value.Customers[n-1].Customer; !m.cutSet || last < m.cut {
				m.cut, m.cutSet = last, true
			}
		}
	}
	return m
}

// page returns the customers of which everything is known, at most maxCustomers.
func (m *merged) page() []customer.ID {
	ids := slices.Sorted(maps.Keys(m.byID))
	if m.cutSet {
		end, _ := slices.BinarySearch(ids, m.cut)
		ids = ids[:end+1]
	}
	return ids[:min(len(ids), maxCustomers)]
}

// describe returns a customer without its load.
func (s *Service) describe(id customer.ID) *Customer {
	c, ok := s.opt.Policy.Get().Customers.Get(id)
	return &Customer{Name: nameOf(id), Configured: ok, Weight: c.Weight, Limit: Resources(c.Limit), Load: Load{Waits: map[scheduler.NoRunReason]int{}}}
}

// errUnknown means that all pools have answered and none knows what was asked for, and
// errUndecided that pools which may know it did not answer.
var (
	errUnknown   = eris.New("unknown")
	errUndecided = eris.New("not all pools have answered")
)

// Customer returns a customer with its pools. The error is errUnknown if the
// configuration does not have the customer and no pool has work of it, and errUndecided
// if that is not known of all pools.
func (s *Service) Customer(ctx context.Context, id customer.ID) (CustomerView, error) {
	pools, err := s.pools()
	if err != nil {
		return CustomerView{}, err
	}
	answers, unanswered := askAll(ctx, s, pools, s.customersQuery(CustomersRequest{One: true, Customer: id}))
	out := CustomerView{Customer: *s.describe(id), ByPool: []PoolLoad{}, Pools: len(pools), Unanswered: unanswered}
	for _, a := range answers {
		for _, status := range a.value.Customers {
			out.PoolsUsed++
			out.add(status)
			out.ByPool = append(out.ByPool, poolLoad(a.pool, a.daemon, status))
		}
	}
	switch {
	case out.Configured || len(out.ByPool) > 0 || id == "":
		return out, nil
	case len(unanswered) > 0:
		return out, errUndecided
	default:
		return out, errUnknown
	}
}

// poolLoad returns what a customer runs and waits for in one pool.
func poolLoad(pool, daemon string, s scheduler.CustomerStatus) PoolLoad {
	p := PoolLoad{Pool: pool, Daemon: daemon, Weight: s.Weight, Share: s.Share}
	p.add(s)
	if s.Grant != nil {
		grant := Resources(*s.Grant)
		p.Grant = &grant
	}
	return p
}
