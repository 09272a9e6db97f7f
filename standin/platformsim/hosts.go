package platformsim

import (
	"slices"
	"sync"
	"time"

	"greengagedeck/internal/platform/httpplatform"
)

// ListSwitches sets how the host list fails.
type ListSwitches struct {
	// Frozen keeps answering with the list as it was when it froze.
	Frozen bool `json:"frozen"`
	// LagMs is how far the list trails reality, in milliseconds.
	LagMs int `json:"lag_ms"`
	// Down refuses every request for the list.
	Down bool `json:"down"`
}

// snapshot is the list as it was from a moment on.
type snapshot struct {
	since time.Time
	list  httpplatform.ListResponse
}

// maxSnapshots bounds how far back a lagging list can look.
const maxSnapshots = 1000

// hostList is the list of live and leaving hosts.
type hostList struct {
	mu        sync.Mutex
	snapshots []snapshot
	switches  ListSwitches
	frozen    httpplatform.ListResponse
}

func newHostList(hosts []httpplatform.HostResponse) *hostList {
	first := snapshot{list: httpplatform.ListResponse{Version: 1, Hosts: slices.Clone(hosts)}}
	return &hostList{snapshots: []snapshot{first}}
}

func (l *hostList) set(s ListSwitches) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Frozen && !l.switches.Frozen {
		l.frozen = l.visible()
	}
	l.switches = s
}

func (l *hostList) get() ListSwitches {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.switches
}

func (l *hostList) current() httpplatform.ListResponse {
	return l.snapshots[len(l.snapshots)-1].list
}

// visible returns the newest list that is older than the lag. The caller
// holds l.mu.
func (l *hostList) visible() httpplatform.ListResponse {
	horizon := time.Now().Add(-time.Duration(l.switches.LagMs) * time.Millisecond)
	for _, s := range slices.Backward(l.snapshots) {
		if !s.since.After(horizon) {
			return s.list
		}
	}
	return l.snapshots[0].list
}

func (l *hostList) list() httpplatform.ListResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.switches.Frozen {
		return l.frozen
	}
	return l.visible()
}

// change replaces the list by what edit makes of it.
func (l *hostList) change(edit func([]httpplatform.HostResponse) []httpplatform.HostResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cur := l.current()
	next := httpplatform.ListResponse{Version: cur.Version + 1, Hosts: edit(slices.Clone(cur.Hosts))}
	l.snapshots = append(l.snapshots, snapshot{since: time.Now(), list: next})
	if len(l.snapshots) > maxSnapshots {
		l.snapshots = l.snapshots[1:]
	}
}

// put adds a host or replaces the one with its ID.
func (l *hostList) put(h httpplatform.HostResponse) {
	l.change(func(hosts []httpplatform.HostResponse) []httpplatform.HostResponse {
		i := indexOf(hosts, h.ID)
		if i < 0 {
			return append(hosts, h)
		}
		hosts[i] = h
		return hosts
	})
}

// drop removes a host from the list.
func (l *hostList) drop(id string) {
	l.change(func(hosts []httpplatform.HostResponse) []httpplatform.HostResponse {
		return slices.DeleteFunc(hosts, func(h httpplatform.HostResponse) bool { return h.ID == id })
	})
}

// find returns a host as it is now, whatever the list shows.
func (l *hostList) find(id string) (httpplatform.HostResponse, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := l.current().Hosts
	i := indexOf(hosts, id)
	if i < 0 {
		return httpplatform.HostResponse{}, false
	}
	return hosts[i], true
}

func indexOf(hosts []httpplatform.HostResponse, id string) int {
	return slices.IndexFunc(hosts, func(h httpplatform.HostResponse) bool {
		return h.ID == id
	})
}
