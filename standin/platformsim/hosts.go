package platformsim

import (
	"slices"
	"sync"
	"time"

	"greengagedeck/internal/platform/httpplatform"
)

// ListSwitches sets the faults of the host list.
type ListSwitches struct {
	// Frozen keeps returning the list as of the time when Frozen was set.
	Frozen bool `json:"frozen"`
	// LagMs is how far the list lags behind the actual hosts, in milliseconds.
	LagMs int `json:"lag_ms"`
	// Down rejects every request for the list.
	Down bool `json:"down"`
}

// snapshot is a version of the list and the time from which it is valid.
type snapshot struct {
	since time.Time
	list  httpplatform.ListResponse
}

// maxSnapshots bounds the history that a lagging list can return.
const maxSnapshots = 1000

// hostList is the list of live and leaving hosts, with its history.
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

func (l *hostList) setSwitches(s ListSwitches) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Frozen && !l.switches.Frozen {
		l.frozen = l.visible()
	}
	l.switches = s
}

func (l *hostList) currentSwitches() ListSwitches {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.switches
}

func (l *hostList) current() httpplatform.ListResponse {
	return l.snapshots[len(l.snapshots)-1].list
}

// visible returns the newest version of the list that is at least as old as the lag.
// The caller holds l.mu.
func (l *hostList) visible() httpplatform.ListResponse {
	horizon := time.Now().Add(-time.Duration(l.switches.LagMs) * time.Millisecond)
	for _, s := range slices.Backward(l.snapshots) {
		if !s.since.After(horizon) {
			return s.list
		}
	}
	return l.snapshots[0].list
}

func (l *hostList) response() httpplatform.ListResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.switches.Frozen {
		return l.frozen
	}
	return l.visible()
}

// update appends a new version of the list, which edit derives from the current hosts.
func (l *hostList) update(edit func([]httpplatform.HostResponse) []httpplatform.HostResponse) {
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
	l.update(func(hosts []httpplatform.HostResponse) []httpplatform.HostResponse {
		i := indexOf(hosts, h.ID)
		if i < 0 {
			return append(hosts, h)
		}
		hosts[i] = h
		return hosts
	})
}

// remove removes a host from the list.
func (l *hostList) remove(id string) {
	l.update(func(hosts []httpplatform.HostResponse) []httpplatform.HostResponse {
		return slices.DeleteFunc(hosts, func(h httpplatform.HostResponse) bool { return h.ID == id })
	})
}

// find returns the current state of a host, regardless of lag and freezing.
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
