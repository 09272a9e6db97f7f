package fleet

import (
	"slices"
	"time"
)

// hostList is the platform's list of hosts, updated by the results of this
// daemon's orders: a list that was requested before an order ended may not show
// its result.
type hostList struct {
	hosts []Host
	// requestedAt is when the list was requested.
	requestedAt time.Duration
	// stale is set if the list should be requested again.
	stale bool
	// changes holds the results of orders that the list may not show, by host.
	changes map[string]hostChange
	// reads counts the lists, and lastListed is the number of the last one that had a
	// host, by its name.
	reads      int
	lastListed map[string]int
}

// goneReads is how many lists in a row must lack a host for it to count as gone. A list
// has several pages, which are no snapshot.
const goneReads = 2

// hostChange is the state of a host after an order, and when the order ended.
type hostChange struct {
	host    Host
	knownAt time.Duration
}

func newHostList() *hostList {
	return &hostList{stale: true, changes: map[string]hostChange{}, lastListed: map[string]int{}}
}

// gone reports whether the platform has no such host any more.
func (h *hostList) gone(name string) bool { return h.reads-h.lastListed[name] >= goneReads }

// fresh reports whether the list need not be requested again yet.
func (h *hostList) fresh(now time.Duration) bool {
	return h.hosts != nil && !h.stale && now-h.requestedAt < maxListAge
}

// replace installs a list that was requested at a given time. Changes from
// orders that ended later override it; older changes are dropped.
func (h *hostList) replace(list []Host, requestedAt time.Duration) {
	h.hosts, h.requestedAt, h.stale = list, requestedAt, false
	h.reads++
	for i := range h.hosts {
		host := &h.hosts[i]
		h.lastListed[host.Name] = h.reads
		c, ok := h.changes[host.Name]
		switch {
		case ok && c.knownAt >= requestedAt:
			*host = c.host
		case ok:
			delete(h.changes, host.Name)
		}
	}
}

// applyChange updates a host with the result of an order that ended now.
func (h *hostList) applyChange(name string, now time.Duration, apply func(*Host)) {
	i := slices.IndexFunc(h.hosts, func(host Host) bool { return host.Name == name })
	if i < 0 {
		return
	}
	apply(&h.hosts[i])
	h.changes[name] = hostChange{h.hosts[i], now}
}
