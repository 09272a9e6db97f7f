package fleet

import (
	"slices"
	"time"
)

// hosts is the platform's list of hosts, with what own orders changed since it
// was asked for: an answer may be older than the end of an order.
type hosts struct {
	list []Machine
	// asked is when the list was asked for.
	asked time.Duration
	// stale is set when it should be asked for again.
	stale   bool
	changes map[string]change
}

// change is how an order left a host, and when that was known.
type change struct {
	host Machine
	at   time.Duration
}

func newHosts() *hosts { return &hosts{stale: true, changes: map[string]change{}} }

// fresh reports whether the list needs not be asked for yet.
func (h *hosts) fresh(now time.Duration) bool {
	return h.list != nil && !h.stale && now-h.asked < listAge
}

// replace takes in a list that was asked for at a time.
func (h *hosts) replace(list []Machine, asked time.Duration) {
	h.list, h.asked, h.stale = list, asked, false
	for i := range h.list {
		m := &h.list[i]
		c, ok := h.changes[m.Name]
		switch {
		case ok && c.at >= asked:
			*m = c.host
		case ok:
			delete(h.changes, m.Name)
		}
	}
}

// change notes what an order did to a host.
func (h *hosts) change(name string, now time.Duration, apply func(*Machine)) {
	at := slices.IndexFunc(h.list, func(m Machine) bool { return m.Name == name })
	if at < 0 {
		return
	}
	apply(&h.list[at])
	h.changes[name] = change{h.list[at], now}
}
