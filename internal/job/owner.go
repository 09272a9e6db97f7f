package job

// Owner tells whose job it is. The zero value is that of a job of no customer.
type Owner struct {
	Customer CustomerID
	// Entry is the catalogue entry through which the customer submitted the job, and
	// Selector which requests that served.
	Entry    string
	Selector Selector
}

// Requester is on whose behalf a request about a job is made. The zero value may access
// every job.
type Requester struct {
	// Customer is the customer that the caller's key belongs to, or empty.
	Customer CustomerID `cbor:"1,keyasint,omitempty"`
	// OwnersChecked is set if other customers' jobs are hidden from the requester.
	OwnersChecked bool `cbor:"2,keyasint,omitempty"`
	// PublicEntry is the public entry through which a call without a customer came, and
	// PublicSelector which requests it serves. They give access to the jobs that were
	// submitted through these requests, whoever owns them, and not to others: any caller
	// could cancel them otherwise.
	PublicEntry    string   `cbor:"3,keyasint,omitempty"`
	PublicSelector Selector `cbor:"4,keyasint,omitzero"`
}

// MayAccess reports whether the requester may read and cancel a job.
func (r Requester) MayAccess(o Owner) bool {
	switch {
	case !r.OwnersChecked || o.Customer == "" || o.Customer == r.Customer:
		return true
	default:
		return r.PublicEntry != "" && sameRequests(r.PublicEntry, r.PublicSelector, o.Entry, o.Selector)
	}
}

// Owner returns whose a job with these terms is.
func (t *Terms) Owner() Owner {
	if t.Customer == "" {
		return Owner{}
	}
	return Owner{Customer: t.Customer, Entry: t.Entry, Selector: t.Selector}
}

// Requester returns on whose behalf a job with these terms was submitted.
func (t *Terms) Requester() Requester {
	r := Requester{Customer: t.Customer, OwnersChecked: true}
	if t.Customer == "" {
		r.PublicEntry, r.PublicSelector = t.Entry, t.Selector
	}
	return r
}
