package policy

import (
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/job"
)

// EarlierKept is for how long a pool is remembered that serves an entry's requests no more.
const EarlierKept = 10 * time.Minute

// EarlierPool is a pool that served an entry's requests before. Jobs that it accepted stay
// there.
type EarlierPool struct {
	Pool string
	// Until is when this process learned that the pool serves the requests no more.
	Until time.Time
	// ReplacedBy is the first version of the configuration seen here that sent the requests
	// elsewhere, or 0 if that is not known. Versions before it may send them to the pool.
	ReplacedBy int64
}

// Served says that a pool may have accepted jobs through some requests.
type Served struct {
	Selector job.Selector
	Pool     string
}

// moves are the pools that served requests before and do no more, by requests and pool.
type moves map[job.Selector]map[string]EarlierPool

// record records what the policy old sends elsewhere than next. The zero value of moves is
// ready for use.
func (m *moves) record(old, next *Policy, now time.Time) {
	for _, e := range old.Entries {
		if !next.serves(e.Selector(), e.Pool) {
			m.add(e.Selector(), EarlierPool{Pool: e.Pool, Until: now, ReplacedBy: next.Version})
		}
	}
	m.forget(now.Add(-EarlierKept))
}

// addServed adds those pools that do not serve the requests under a policy.
func (m *moves) addServed(list []Served, p *Policy, now time.Time) {
	for _, s := range list {
		if !p.serves(s.Selector, s.Pool) {
			m.add(s.Selector, EarlierPool{Pool: s.Pool, Until: now})
		}
	}
}

func (m *moves) add(s job.Selector, earlier EarlierPool) {
	if *m == nil {
		*m = moves{}
	}
	if (*m)[s] == nil {
		(*m)[s] = map[string]EarlierPool{}
	}
	(*m)[s][earlier.Pool] = earlier
}

// forget forgets the pools that served requests last before a moment.
func (m moves) forget(before time.Time) {
	for s, pools := range m {
		maps.DeleteFunc(pools, func(_ string, p EarlierPool) bool { return p.Until.Before(before) })
		if len(pools) == 0 {
			delete(m, s)
		}
	}
}

// applied returns a policy with the earlier pools of each of its entries set.
func (m moves) applied(p *Policy) *Policy {
	out := *p
	out.Entries = slices.Clone(p.Entries)
	out.index()
	m.apply(&out)
	return &out
}

// apply sets the earlier pools of each entry of a policy that is not in use yet.
func (m moves) apply(p *Policy) {
	for i := range p.Entries {
		p.Entries[i].Earlier = m.of(p.Entries[i])
	}
}

// of returns the pools other than its own that served an entry's requests, the last one
// first.
func (m moves) of(e Entry) []EarlierPool {
	var out []EarlierPool
	for pool, earlier := range m[e.Selector()] {
		if pool != e.Pool {
			out = append(out, earlier)
		}
	}
	slices.SortFunc(out, func(a, b EarlierPool) int { return b.Until.Compare(a.Until) })
	return out
}

// Refresh returns an entry with the earlier pools that are known now.
func (c *Current) Refresh(e Entry) Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.Earlier = c.moves.of(e)
	return e
}

// Serving returns the entry that serves the selected requests now. If there is none, it is one
// without a pool that tells of the pools that served them before.
func (c *Current) Serving(s job.Selector) Entry {
	e, ok := c.Get().Serving(s)
	if !ok {
		e = Entry{Host: s.Host, PathPrefix: s.PathPrefix}
	}
	return c.Refresh(e)
}

// AddServed adds pools that may have accepted jobs through some requests, perhaps under
// configurations that this process has not seen. Those that the policy in force does not
// send the requests to count as replaced now.
func (c *Current) AddServed(list []Served) {
	if len(list) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.current.Load()
	if current == nil {
		c.unplaced = append(c.unplaced, list...)
		return
	}
	now := time.Now()
	c.moves.addServed(list, current, now)
	c.moves.forget(now.Add(-EarlierKept))
	c.current.Store(c.moves.applied(current))
}
