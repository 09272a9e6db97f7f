package job

// Owner tells whose job it is. The zero value is that of a job of no customer.
type Owner struct {
	Customer CustomerID
	// Entry is the catalogue entry through which the customer submitted the job.
	Entry string
}

// Requester is on whose behalf a request about a job is made. The zero value may access
// every job.
type Requester struct {
	// Customer is the customer that the caller's key belongs to, or empty.
	Customer CustomerID `cbor:"1,keyasint,omitempty"`
	// OwnersChecked is set if other customers' jobs are hidden from the requester.
	OwnersChecked bool `cbor:"2,keyasint,omitempty"`
	// PublicEntry is the public entry through which a call without a customer came. It
	// gives access to the jobs that were submitted through it, whoever owns them, and
	// not to those of other entries: any caller could cancel them otherwise.
	PublicEntry string `cbor:"3,keyasint,omitempty"`
}

// MayAccess reports whether the requester may read and cancel a job.
func (r Requester) MayAccess(o Owner) bool {
	switch {
	case !r.OwnersChecked || o.Customer == "" || o.Customer == r.Customer:
		return true
	default:
		return r.PublicEntry != "" && r.PublicEntry == o.Entry
	}
}

// Owner returns whose a job with these terms is.
func (t *Terms) Owner() Owner {
	if t.Customer == "" {
		return Owner{}
	}
	return Owner{Customer: t.Customer, Entry: t.Entry}
}

// Requester returns on whose behalf a job with these terms was submitted.
func (t *Terms) Requester() Requester {
	r := Requester{Customer: t.Customer, OwnersChecked: true}
	if t.Customer == "" {
		r.PublicEntry = t.Entry
	}
	return r
}
