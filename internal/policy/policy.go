// Package policy holds the operators' current configuration: the catalogue
// entries that accept jobs and the pools that run them.
package policy

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
)

// Entry is one catalogue entry: a queue of jobs with its limits.
type Entry struct {
	Name string
	// Host and PathPrefix select the entry by a request's host and path.
	Host       string
	PathPrefix string
	Pool       string
	// Priority is the priority of the entry's jobs; 0 is the highest.
	Priority int
	// MaxAttempts is the number of failures of a task at which its job fails.
	MaxAttempts int
	// StretchFactor times the length of a job's critical path, plus Slack, is
	// the time in which the job should complete.
	StretchFactor float64
	Slack         time.Duration
	// Timeout bounds one request of a caller.
	Timeout time.Duration
	// Approval is set if workers must be approved for each step.
	Approval *job.ApprovalSettings
	// Public is set if callers of the entry need no key. Its jobs belong to no customer.
	Public bool
	// Earlier are the other pools that served the same requests before, as far as it is
	// known here, the last one first. Current sets it.
	Earlier []EarlierPool
	// Since is when this process learned that Pool serves the requests. Current sets it.
	Since time.Time
}

// Selector returns which requests the entry serves.
func (e Entry) Selector() job.Selector {
	return job.Selector{Host: e.Host, PathPrefix: e.PathPrefix}
}

// Terms returns the terms of a job that the entry accepts under a version of the
// configuration.
func (e Entry) Terms(version int64) job.Terms {
	return job.Terms{
		Entry:         e.Name,
		Pool:          e.Pool,
		Priority:      e.Priority,
		MaxAttempts:   e.MaxAttempts,
		StretchFactor: e.StretchFactor,
		Slack:         e.Slack,
		Version:       version,
		Approval:      e.Approval,
		Selector:      e.Selector(),
	}
}

// Pool is a pool of workers.
type Pool struct {
	Name string
	// AdmissionCheck is set if the pool's workers reject tasks that exceed their
	// free resources.
	AdmissionCheck bool
	// Standby is set if the pool's hosts are off and cost nothing.
	Standby bool
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Policy is one version of the configuration. It is immutable.
type Policy struct {
	Version int64
	Entries []Entry
	Pools   map[string]Pool
	Limits  Limits
	// Customers are the customers and their keys, or nil if the configuration has none.
	Customers *customer.Directory
	// Source is the operator's record of the configuration. It holds keys, which are
	// secrets.
	Source logstore.Record
	// Skipped tells of the entries, pools and customers that could not be decoded. The
	// errors name no key.
	Skipped []error

	// entriesByHost holds the entries of each host, longest path prefix first, and
	// entriesBySelector the entries by the requests that they serve.
	entriesByHost     map[string][]*Entry
	entriesBySelector map[job.Selector]*Entry
}

// New returns a policy with its entries indexed for Find.
func New(version int64, entries []Entry, pools []Pool, l Limits) *Policy {
	p := &Policy{
		Version: version,
		Entries: entries,
		Pools:   make(map[string]Pool, len(pools)),
		Limits:  l,
	}
	for _, pool := range pools {
		p.Pools[pool.Name] = pool
	}
	p.index()
	return p
}

// index indexes the entries for Find and Serving.
func (p *Policy) index() {
	p.entriesByHost, p.entriesBySelector = map[string][]*Entry{}, make(map[job.Selector]*Entry, len(p.Entries))
	for i := range p.Entries {
		p.indexEntry(&p.Entries[i])
		p.entriesBySelector[p.Entries[i].Selector()] = &p.Entries[i]
	}
}

// indexEntry inserts e into its host's entries, after those with a path prefix
// that is as long or longer.
func (p *Policy) indexEntry(e *Entry) {
	list := p.entriesByHost[e.Host]
	at := len(list)
	for at > 0 && len(list[at-1].PathPrefix) < len(e.PathPrefix) {
		at--
	}
	list = append(list, nil)
	copy(list[at+1:], list[at:])
	list[at] = e
	p.entriesByHost[e.Host] = list
}

// Find returns the entry of a host with the longest matching path prefix, and
// the rest of the path.
func (p *Policy) Find(host, path string) (e Entry, rest string, ok bool) {
	for _, entry := range p.entriesByHost[host] {
		if strings.HasPrefix(path, entry.PathPrefix) {
			return *entry, path[len(entry.PathPrefix):], true
		}
	}
	return Entry{}, "", false
}

// Serving returns the entry that serves the selected requests.
func (p *Policy) Serving(s job.Selector) (Entry, bool) {
	e := p.entriesBySelector[s]
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

// setSince sets since when each entry's pool serves its requests. The policy comes into force
// after current, which may be nil.
func (p *Policy) setSince(current *Policy, now time.Time) {
	for i := range p.Entries {
		e := &p.Entries[i]
		e.Since = now
		if current != nil && current.serves(e.Selector(), e.Pool) {
			e.Since = current.entriesBySelector[e.Selector()].Since
		}
	}
}

// serves reports whether the requests are served by a pool.
func (p *Policy) serves(s job.Selector, pool string) bool {
	e := p.entriesBySelector[s]
	return e != nil && e.Pool == pool
}

// WorkerPools returns the names of the pools that run tasks, which are all but
// the standby pools.
func (p *Policy) WorkerPools() []string {
	var out []string
	for name, pool := range p.Pools {
		if !pool.Standby {
			out = append(out, name)
		}
	}
	return out
}

// Current holds the policy in force. Its version only increases during the life
// of the process.
type Current struct {
	current atomic.Pointer[Policy]

	mu       sync.Mutex
	watchers []func(*Policy)
	moves    moves
	// unplaced are the pools that AddServed was told of before the first Set.
	unplaced []Served
}

// Get returns the policy in force, or nil before the first Set.
func (c *Current) Get() *Policy { return c.current.Load() }

// Watch registers fn to be called with every policy that comes into force, in
// order. It must be called before the first Set, and fn must not block.
func (c *Current) Watch(fn func(*Policy)) { c.watchers = append(c.watchers, fn) }

// Set puts p into force unless the policy in force has the same or a newer
// version. It reports whether it did.
func (c *Current) Set(p *Policy) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.current.Load()
	if current != nil && p.Version <= current.Version {
		return false
	}
	now := time.Now()
	if current != nil {
		c.moves.record(current, p, now)
	}
	p.setSince(current, now)
	c.moves.addServed(c.unplaced, p, now)
	c.unplaced = nil
	c.moves.apply(p)
	c.current.Store(p)
	for _, fn := range c.watchers {
		fn(p)
	}
	return true
}
