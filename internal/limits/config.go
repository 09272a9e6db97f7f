package limits

import (
	"slices"
	"sync"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/policy"
)

// Limit is the limit of one customer.
type Limit struct {
	Customer customer.ID
	Amount   amounts
	// Since holds, for each limited resource, the first of the versions of the configuration
	// in which it is limited, up to the current one, as far as this process has seen them.
	Since [resourceCount]int64
}

// InEffect holds the limits of the configuration in effect.
type InEffect struct {
	// Version is the version of the configuration, and First the one that this process saw
	// first.
	Version, First int64
	// Pools are the pools that run tasks, sorted.
	Pools []string
	// Limits are the limits of the limited customers, by ID.
	Limits []Limit
}

// Get returns the limit of a customer, and whether it has one.
func (e InEffect) Get(id customer.ID) (Limit, bool) {
	at, ok := slices.BinarySearchFunc(e.Limits, id, func(l Limit, id customer.ID) int {
		switch {
		case l.Customer < id:
			return -1
		case l.Customer > id:
			return 1
		}
		return 0
	})
	if !ok {
		return Limit{}, false
	}
	return e.Limits[at], true
}

// Config follows the limits in effect. Nobody is woken while no customer has a limit.
type Config struct {
	mu      sync.Mutex
	current InEffect
	changed chan struct{}
}

// NewConfig returns a Config that follows p. It must be called before the first
// configuration is in force.
func NewConfig(p *policy.Current) *Config {
	c := &Config{changed: make(chan struct{})}
	p.Watch(c.apply)
	return c
}

// Get returns the limits in effect, and a channel that is closed when they are replaced.
func (c *Config) Get() (InEffect, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.changed
}

func (c *Config) apply(p *policy.Policy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := InEffect{Version: p.Version, First: c.current.First, Pools: p.WorkerPools()}
	if next.First == 0 {
		next.First = p.Version
	}
	slices.Sort(next.Pools)
	for _, l := range p.Customers.All() {
		if l.Limited() {
			next.Limits = append(next.Limits, c.limit(l, p.Version))
		}
	}
	wake := len(c.current.Limits) > 0 || len(next.Limits) > 0
	c.current = next
	if wake {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// limit returns the limit of a customer that a version of the configuration sets.
func (c *Config) limit(l customer.Customer, version int64) Limit {
	out := Limit{Customer: l.ID, Amount: amountsOf(l.Limit)}
	before, _ := c.current.Get(l.ID)
	for r, amount := range out.Amount {
		switch {
		case amount == 0:
		case before.Amount[r] != 0:
			out.Since[r] = before.Since[r]
		default:
			out.Since[r] = version
		}
	}
	return out
}
