// Package dispatch decides which request runs next, where, and which is
// refused.
//
// Decisions are made by Scheduler and the functions beside it, which are pure
// in state, time and input. Dispatcher is the rim: it holds the locks, waits,
// and carries requests between daemons.
package dispatch

import (
	"context"
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/request"
)

// Target is a host of a pool that may take new work.
type Target struct {
	Host string
	// Address is IP:port.
	Address string
	Zone    string
	// Slots is how many requests the host runs at once, Connections how
	// many connections it accepts.
	Slots       int
	Connections int
	// Cores and MemoryGB are the host's size; 0 is unknown.
	Cores    int
	MemoryGB int
}

// fits reports whether the host is large enough for a job.
func (t *Target) fits(j *Job) bool {
	return (t.Cores == 0 || j.Limits.Cores <= t.Cores) &&
		(t.MemoryGB == 0 || j.Limits.MemoryGB <= t.MemoryGB)
}

// Targets lists hosts.
type Targets interface {
	// Targets returns the hosts of this daemon's zone that may take new
	// work of the pool now.
	Targets(pool string) []Target
}

// Gate guards the ownership of hosts.
type Gate interface {
	// Enter must succeed before anything is sent to the host on behalf of
	// the pool, and leave be called once nothing of it can run there any
	// more. It fails when the host is being drained or has another owner.
	Enter(host, pool string) (leave func(), ok bool)
}

// Doer makes one attempt at one target. Errors carry a verdict.
type Doer interface {
	Do(ctx context.Context, t Target, r *request.Request) (*request.Response, error)
}

// Policy is the catalogue in force.
type Policy interface {
	Entry(name string) (catalogue.Entry, bool)
	Pool(name string) (catalogue.Pool, bool)
	Team(name string) (catalogue.Team, bool)
	// Largest returns the size of the largest host of a pool in any zone,
	// or zeros for a pool without hosts.
	Largest(pool string) (cores, memoryGB int)
}

// Zone knows which daemons are alive.
type Zone interface {
	// Self returns this daemon's ID.
	Self() string
	// Mates returns the IDs of the live daemons of this daemon's zone,
	// itself included.
	Mates() []string
	// Others returns the IDs of the live daemons of each other zone that
	// can be reached.
	Others() map[string][]string
}

// Health knows the hosts that are ejected because they fail. Each attempt
// observes how its host did.
type Health interface {
	// Ejected reports whether the host takes no requests now.
	Ejected(host string, now time.Time) bool
}

// Budget bounds what retries add.
type Budget interface {
	// Request counts the first attempt of a request of the pool.
	Request(pool string)
	// Retry reports whether the pool may make one more retry, and spends it.
	Retry(pool string) bool
}
