// Package customer describes the customers whose work the fleet runs: how a call is
// attributed to one of them, and what each may use.
package customer

import (
	"cmp"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"slices"

	"greengagedeck/internal/job"
)

// ID is the name of a customer. The empty ID stands for work of no customer.
type ID = job.CustomerID

// Customer is what the configuration says of a customer.
type Customer struct {
	ID ID
	// Weight is the customer's share when a pool is full, and the number of jobs a second
	// that it may send before further ones are excess.
	Weight float64
	// Limit is what the customer may have running on all workers together. An amount of 0
	// is no limit.
	Limit job.Resources
}

// Limited reports whether any resource of the customer is limited.
func (c Customer) Limited() bool { return c.Limit != job.Resources{} }

// Row is a customer with its keys. Keys are secrets and must not be logged.
type Row struct {
	Customer
	Keys []string
}

// Directory holds the customers of one version of the configuration. It is immutable. A
// nil directory has no customers.
type Directory struct {
	byID map[ID]Customer
	// byDigest holds the customers by the digests of their keys. Digests are keyed with a
	// secret of the process, so the time of a lookup tells nothing about a key.
	byDigest map[digest]ID
}

// digest is the HMAC of a key.
type digest [sha256.Size]byte

// digestSecret is the key of all digests of this process.
var digestSecret = newDigestSecret()

func newDigestSecret() []byte {
	secret := make([]byte, sha256.Size)
	// Read never returns an error.
	_, _ = rand.Read(secret)
	return secret
}

func digestOf(key []byte) digest {
	h := hmac.New(sha256.New, digestSecret)
	h.Write(key)
	return digest(h.Sum(nil))
}

// NewDirectory returns a directory of customers. Empty keys are ignored.
func NewDirectory(rows []Row) *Directory {
	d := &Directory{byID: make(map[ID]Customer, len(rows)), byDigest: map[digest]ID{}}
	for _, r := range rows {
		d.byID[r.ID] = r.Customer
		for _, key := range r.Keys {
			if key != "" {
				d.byDigest[digestOf([]byte(key))] = r.ID
			}
		}
	}
	return d
}

// Authenticate returns the customer that a key belongs to.
func (d *Directory) Authenticate(key []byte) (Customer, bool) {
	if d == nil || len(key) == 0 {
		return Customer{}, false
	}
	id, ok := d.byDigest[digestOf(key)]
	if !ok {
		return Customer{}, false
	}
	return d.byID[id], true
}

// Get returns a customer by its ID.
func (d *Directory) Get(id ID) (Customer, bool) {
	if d == nil {
		return Customer{}, false
	}
	c, ok := d.byID[id]
	return c, ok
}

// All returns the customers by ID.
func (d *Directory) All() []Customer {
	if d == nil {
		return nil
	}
	out := make([]Customer, 0, len(d.byID))
	for _, c := range d.byID {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Customer) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Len returns the number of customers.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byID)
}
