package policy

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// earlierKept is for how long an entry that has been replaced is remembered.
const earlierKept = 10 * time.Minute

// EarlierEntry is an entry as it served requests under an earlier configuration. Jobs
// that it accepted stay in its pool.
type EarlierEntry struct {
	Name string
	Pool string
	// Until is when a configuration that replaced it came into force.
	Until time.Time
}

// address selects the requests that an entry serves.
type address struct{ host, pathPrefix string }

// overlaps reports whether two entries can serve the same request, each under one
// configuration.
func (a address) overlaps(b address) bool {
	return a.host == b.host && (strings.HasPrefix(a.pathPrefix, b.pathPrefix) || strings.HasPrefix(b.pathPrefix, a.pathPrefix))
}

// replacedEntry is an entry that a configuration has replaced.
type replacedEntry struct{ name, pool string }

// moves are the replaced entries by what they served, with when that last happened.
type moves map[address]map[replacedEntry]time.Time

// record records the entries of the policy old that next does not have. The zero value
// of moves is ready for use.
func (m *moves) record(old, next *Policy, now time.Time) {
	kept := make(map[address]replacedEntry, len(next.Entries))
	for _, e := range next.Entries {
		kept[e.address()] = replacedEntry{e.Name, e.Pool}
	}
	for _, e := range old.Entries {
		replaced := replacedEntry{e.Name, e.Pool}
		if kept[e.address()] == replaced {
			continue
		}
		m.add(e.address(), replaced, now)
	}
	m.forget(now.Add(-earlierKept))
}

// add adds a replaced entry.
func (m *moves) add(a address, r replacedEntry, until time.Time) {
	if *m == nil {
		*m = moves{}
	}
	if (*m)[a] == nil {
		(*m)[a] = map[replacedEntry]time.Time{}
	}
	if until.After((*m)[a][r]) {
		(*m)[a][r] = until
	}
}

// forget forgets the entries that were replaced before a moment.
func (m moves) forget(before time.Time) {
	for a, replaced := range m {
		maps.DeleteFunc(replaced, func(_ replacedEntry, until time.Time) bool { return until.Before(before) })
		if len(replaced) == 0 {
			delete(m, a)
		}
	}
}

// applied returns a policy with the earlier entries of each of its entries set.
func (m moves) applied(p *Policy) *Policy {
	out := *p
	out.Entries = slices.Clone(p.Entries)
	for i := range out.Entries {
		out.Entries[i].Earlier = nil
	}
	out.index()
	m.apply(&out)
	return &out
}

// apply sets the earlier entries of each entry of a policy that is not in use yet.
func (m moves) apply(p *Policy) {
	for a, replaced := range m {
		for i := range p.Entries {
			if e := &p.Entries[i]; a.overlaps(e.address()) {
				e.addEarlier(replaced)
			}
		}
	}
}

func (e *Entry) address() address { return address{e.Host, e.PathPrefix} }

// addEarlier adds replaced entries other than the entry itself.
func (e *Entry) addEarlier(replaced map[replacedEntry]time.Time) {
	for r, until := range replaced {
		if r != (replacedEntry{e.Name, e.Pool}) {
			e.Earlier = append(e.Earlier, EarlierEntry{Name: r.name, Pool: r.pool, Until: until})
		}
	}
	slices.SortFunc(e.Earlier, func(a, b EarlierEntry) int { return b.Until.Compare(a.Until) })
}

// Move is an entry that a configuration has replaced, as daemons tell each other of it.
type Move struct {
	Host       string `cbor:"1,keyasint"`
	PathPrefix string `cbor:"2,keyasint"`
	Name       string `cbor:"3,keyasint"`
	Pool       string `cbor:"4,keyasint"`
	// Age is how long ago the entry was replaced.
	Age time.Duration `cbor:"5,keyasint"`
}

// Moves returns the entries that were replaced in the last earlierKept.
func (c *Current) Moves() []Move {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Move
	for a, replaced := range c.moves {
		for r, until := range replaced {
			out = append(out, Move{Host: a.host, PathPrefix: a.pathPrefix, Name: r.name, Pool: r.pool, Age: time.Since(until)})
		}
	}
	return out
}

// Refresh returns an entry with the earlier entries that are known now.
func (c *Current) Refresh(e Entry) Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.Earlier = nil
	for a, replaced := range c.moves {
		if a.overlaps(e.address()) {
			e.addEarlier(replaced)
		}
	}
	return e
}

// AddMoves adds the moves that another daemon has seen, perhaps before this process started.
func (c *Current) AddMoves(added []Move) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, m := range added {
		if m.Age >= 0 && m.Age < earlierKept {
			c.moves.add(address{m.Host, m.PathPrefix}, replacedEntry{m.Name, m.Pool}, now.Add(-m.Age))
		}
	}
	if current := c.current.Load(); current != nil && len(added) > 0 {
		c.current.Store(c.moves.applied(current))
	}
}
