// Package dispatch decides which request of a pool runs next, on which host,
// and which requests are rejected.
//
// Scheduler, PeerBalancer and ZoneSelector make the decisions; they depend only
// on state, time and input. Dispatcher is the layer around them: it holds the
// locks, waits, and passes requests between daemons.
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

// Targets lists the hosts of a pool.
type Targets interface {
	// Targets returns the hosts of this daemon's zone that may take new
	// work of the pool now.
	Targets(pool string) []Target
}

// Gate lets a pool use a host only while it owns the host.
type Gate interface {
	// Enter must succeed before anything is sent to the host on behalf of
	// the pool. It fails when the host is being drained or has another
	// owner. leave must be called once no request of the pool can run on
	// the host any more.
	Enter(host, pool string) (leave func(), ok bool)
}

// Executor makes one attempt of a request at one target. Errors carry a
// verdict.
type Executor interface {
	Do(ctx context.Context, t Target, r *request.Request) (*request.Response, error)
}

// Policy looks up the active catalogue.
type Policy interface {
	Entry(name string) (catalogue.Entry, bool)
	Pool(name string) (catalogue.Pool, bool)
	Team(name string) (catalogue.Team, bool)
	// LargestHost returns the size of the largest host of a pool in any
	// zone, or zeros for a pool without hosts.
	LargestHost(pool string) (cores, memoryGB int)
}

// Membership lists the live daemons.
type Membership interface {
	// Self returns this daemon's ID.
	Self() string
	// ZoneMembers returns the IDs of the live daemons of this daemon's zone,
	// including its own.
	ZoneMembers() []string
	// OtherZoneMembers returns, by zone, the IDs of the live daemons of the other
	// zones that can be reached.
	OtherZoneMembers() map[string][]string
}

// Health reports which hosts are ejected because requests to them fail. The
// executor records the results of its attempts there.
type Health interface {
	// Ejected reports whether the host takes no requests now.
	Ejected(host string, now time.Time) bool
}

// RetryBudget limits the extra load that retries add.
type RetryBudget interface {
	// Request counts the first attempt of a request of the pool.
	RecordRequest(pool string)
	// Retry reports whether the pool may make one more retry. If so, it
	// takes the retry from the budget.
	AllowRetry(pool string) bool
}
