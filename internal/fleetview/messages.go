package fleetview

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/record"
	"greengagedeck/internal/scheduler"
)

// The methods that query the holder of a pool.
const (
	// MethodCustomers asks what customers run and wait for.
	MethodCustomers peer.Method = "pool.customers"
	// MethodJob asks what is known of a job.
	MethodJob peer.Method = "pool.job"
)

// maxCustomers bounds the customers of an answer.
const maxCustomers = 500

// CustomersRequest is the request of MethodCustomers.
type CustomersRequest struct {
	Pool string `cbor:"1,keyasint"`
	// After, if set, leaves out the customers up to this one.
	After customer.ID `cbor:"2,keyasint,omitempty"`
	// One asks for Customer alone.
	One      bool        `cbor:"3,keyasint,omitempty"`
	Customer customer.ID `cbor:"4,keyasint,omitempty"`
}

// CustomersResponse is the response to a CustomersRequest.
type CustomersResponse struct {
	// Held is set if the daemon holds the pool. The other fields are only valid then.
	Held bool `cbor:"1,keyasint,omitempty"`
	// Customers are at most maxCustomers, by customer. More is set if further ones follow.
	Customers []scheduler.CustomerStatus `cbor:"2,keyasint,omitempty"`
	More      bool                       `cbor:"3,keyasint,omitempty"`
}

// JobRequest is the request of MethodJob.
type JobRequest struct {
	Pool string `cbor:"1,keyasint"`
	ID   job.ID `cbor:"2,keyasint"`
}

// JobResponse is the response to a JobRequest.
type JobResponse struct {
	// Held is set if the daemon holds the pool. The other fields are only valid then.
	Held bool `cbor:"1,keyasint,omitempty"`
	// Known is set if the holder knows the job, and Lag is the age of its view of
	// submissions.
	Known bool                     `cbor:"2,keyasint,omitempty"`
	Lag   time.Duration            `cbor:"3,keyasint,omitempty"`
	Job   scheduler.JobExplanation `cbor:"4,keyasint"`
}

// Register registers the handlers for requests of other daemons.
func (s *Service) Register(m peer.Mux) {
	m.Handle(MethodCustomers, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q CustomersRequest
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		return s.localCustomers(q), nil
	})
	m.Handle(MethodJob, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q JobRequest
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		return s.localJob(q), nil
	})
}

// localCustomers answers for a pool that this daemon holds.
func (s *Service) localCustomers(q CustomersRequest) CustomersResponse {
	r, ok := s.opt.Local(q.Pool)
	if !ok {
		return CustomersResponse{}
	}
	all := r.Customers()
	if all == nil {
		return CustomersResponse{}
	}
	page := slices.DeleteFunc(all, func(c scheduler.CustomerStatus) bool {
		if q.One {
			return c.Customer != q.Customer
		}
		return q.After != "" && c.Customer <= q.After
	})
	n := min(len(page), maxCustomers)
	return CustomersResponse{Held: true, Customers: page[:n], More: n < len(page)}
}

// localJob answers for a pool that this daemon holds.
func (s *Service) localJob(q JobRequest) JobResponse {
	r, ok := s.opt.Local(q.Pool)
	if !ok {
		return JobResponse{}
	}
	status, ok := r.Lookup(q.ID)
	if !ok {
		return JobResponse{}
	}
	a := JobResponse{Held: true, Lag: status.Now - status.KnownUpTo}
	a.Job, a.Known = r.Explain(q.ID)
	return a
}
