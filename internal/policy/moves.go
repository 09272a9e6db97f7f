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
	if *m == nil {
		*m = moves{}
	}
	kept := make(map[address]replacedEntry, len(next.Entries))
	for _, e := range next.Entries {
		kept[e.address()] = replacedEntry{e.Name, e.Pool}
	}
	for _, e := range old.Entries {
		replaced := replacedEntry{e.Name, e.Pool}
		if kept[e.address()] == replaced {
			continue
		}
		if (*m)[e.address()] == nil {
			(*m)[e.address()] = map[replacedEntry]time.Time{}
		}
		(*m)[e.address()][replaced] = now
	}
	m.forget(now.Add(-earlierKept))
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

// apply sets the earlier entries of each entry of a policy.
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
