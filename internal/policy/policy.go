// Package policy holds the operators' configuration that is in force: the
// catalogue entries by which jobs come in and the pools that run them.
package policy

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"greengagedeck/internal/job"
)

// Entry is one catalogue entry: a queue of jobs with its limits.
type Entry struct {
	Name string
	// Host and Prefix select the entry by a request's host and path.
	Host   string
	Prefix string
	Pool   string
	// Priority is the class of work; 0 comes first.
	Priority int
	// MaxAttempts is how often a task may fail.
	MaxAttempts int
	Stretch     float64
	Objective   time.Duration
	// Timeout bounds one request of a caller.
	Timeout time.Duration
	// Advice, if set, says that workers must be approved for each step.
	Advice *job.ApprovalSettings
}

// Terms returns what the entry promises to a job accepted now.
func (e Entry) Terms(version int64) job.Terms {
	return job.Terms{
		Entry:         e.Name,
		Pool:          e.Pool,
		Priority:      e.Priority,
		MaxAttempts:   e.MaxAttempts,
		StretchFactor: e.Stretch,
		Slack:         e.Objective,
		Version:       version,
		Approval:      e.Advice,
	}
}

// Pool is a pool of workers.
type Pool struct {
	Name string
	// Guarded pools have workers that refuse what exceeds their room.
	Guarded bool
	// Standby pools hold hosts that are off and cost nothing.
	Standby bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Policy is one version of the configuration. It is never changed.
type Policy struct {
	Version int64
	Entries []Entry
	Pools   map[string]Pool
	Limits  Limits

	// byHost holds the entries of each host, longest prefix first.
	byHost map[string][]*Entry
}

// New returns a policy that can be searched.
func New(version int64, entries []Entry, pools []Pool, l Limits) *Policy {
	p := &Policy{
		Version: version,
		Entries: entries,
		Pools:   make(map[string]Pool, len(pools)),
		Limits:  l,
		byHost:  map[string][]*Entry{},
	}
	for _, pool := range pools {
		p.Pools[pool.Name] = pool
	}
	for i := range entries {
		p.index(&entries[i])
	}
	return p
}

func (p *Policy) index(e *Entry) {
	list := p.byHost[e.Host]
	at := len(list)
	for at > 0 && len(list[at-1].Prefix) < len(e.Prefix) {
		at--
	}
	list = append(list, nil)
	copy(list[at+1:], list[at:])
	list[at] = e
	p.byHost[e.Host] = list
}

// Find returns the entry with the longest prefix of path on a host, and what
// follows the prefix.
func (p *Policy) Find(host, path string) (e Entry, rest string, ok bool) {
	for _, c := range p.byHost[host] {
		if strings.HasPrefix(path, c.Prefix) {
			return *c, path[len(c.Prefix):], true
		}
	}
	return Entry{}, "", false
}

// Working returns the names of the pools that run work.
func (p *Policy) Working() []string {
	var out []string
	for name, pool := range p.Pools {
		if !pool.Standby {
			out = append(out, name)
		}
	}
	return out
}

// InForce holds the newest policy. Its version only rises while the process
// lives.
type InForce struct {
	cur atomic.Pointer[Policy]

	mu       sync.Mutex
	watchers []func(*Policy)
}

// Get returns the policy in force, or nil before the first.
func (f *InForce) Get() *Policy { return f.cur.Load() }

// Watch has fn called with every policy that comes in force, in order. It must
// be called before the first Set, and fn must not block.
func (f *InForce) Watch(fn func(*Policy)) { f.watchers = append(f.watchers, fn) }

// Set puts p in force unless it is older than the one that is. It reports
// whether it did.
func (f *InForce) Set(p *Policy) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cur := f.cur.Load(); cur != nil && p.Version <= cur.Version {
		return false
	}
	f.cur.Store(p)
	for _, fn := range f.watchers {
		fn(p)
	}
	return true
}
