// Package limits keeps what each customer has running on all workers of all pools within
// the customer's limit. An allocator splits the limit into grants, one for each pool, and
// the holder of a pool starts tasks only within them.
package limits

import (
	"cmp"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
)

// Version orders the grants of a pool.
type Version struct {
	// Token is the fencing token of the allocator, and Number counts its changes.
	Token  int64 `cbor:"1,keyasint,omitempty"`
	Number int64 `cbor:"2,keyasint,omitempty"`
}

// Compare orders versions by token, then by number.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Token, other.Token), cmp.Compare(v.Number, other.Number))
}

// Grants are what limited customers may have running in one pool.
type Grants struct {
	Version Version `cbor:"1,keyasint"`
	// ByCustomer holds the amounts. A limited customer that is absent may run nothing.
	ByCustomer map[customer.ID]job.Resources `cbor:"2,keyasint,omitempty"`
}

// Demand is what a limited customer uses and wants in one pool.
type Demand struct {
	Customer customer.ID `cbor:"1,keyasint"`
	// Used is what its runs reserve, and Wanted what its waiting tasks need in addition.
	Used   job.Resources `cbor:"2,keyasint"`
	Wanted job.Resources `cbor:"3,keyasint"`
	// Started counts the runs that this holder has added for the customer.
	Started int64 `cbor:"4,keyasint,omitempty"`
}
