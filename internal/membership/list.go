package membership

import (
	"slices"
	"strings"
	"time"

	"greengagedeck/internal/platform"
)

// droppedRetention is how long a dropped host is kept.
const droppedRetention = time.Hour

// ListedHost is a host on the platform's list or a host that the list has dropped.
type ListedHost struct {
	_      struct{} `cbor:",toarray"`
	Status platform.HostStatus
	// Version is the version of the list that last changed the host.
	Version uint64
	// Dropped is set once the list no longer names the host.
	Dropped bool
}

// ListDelta holds the changes of the list after a version.
type ListDelta struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Hosts   []ListedHost
}

// List is the newest known version of the platform's host list, together with
// the hosts that it has dropped. Lists lag and may arrive out of order; an older
// one is ignored. List is not safe for concurrent use.
type List struct {
	version uint64
	hosts   map[string]listEntry
}

type listEntry struct {
	ListedHost
	// droppedAt is when this daemon first read a list without the host.
	droppedAt time.Time
}

// NewList returns an empty list.
func NewList() *List { return &List{hosts: map[string]listEntry{}} }

// Version returns the version of the newest list.
func (l *List) Version() uint64 { return l.version }

// Update applies a list that was read at now and reports whether it was newer.
func (l *List) Update(hl platform.HostList, now time.Time) bool {
	if hl.Version <= l.version {
		return false
	}
	l.version = hl.Version
	named := make(map[string]bool, len(hl.Hosts))
	for _, h := range hl.Hosts {
		named[h.ID] = true
		old, ok := l.hosts[h.ID]
		if !ok || old.Status != h || old.Dropped {
			l.hosts[h.ID] = listEntry{ListedHost: ListedHost{Status: h, Version: hl.Version}}
		}
	}
	for id, h := range l.hosts {
		if !named[id] && !h.Dropped {
			h.Dropped, h.Version, h.droppedAt = true, hl.Version, now
			l.hosts[id] = h
		}
	}
	l.pruneDropped(now)
	return true
}

func (l *List) pruneDropped(now time.Time) {
	for id, h := range l.hosts {
		if h.Dropped && now.Sub(h.droppedAt) > droppedRetention {
			delete(l.hosts, id)
		}
	}
}

// Since returns the changes after a version.
func (l *List) Since(version uint64) ListDelta {
	d := ListDelta{Version: l.version}
	for _, h := range l.hosts {
		if h.Version > version {
			d.Hosts = append(d.Hosts, h.ListedHost)
		}
	}
	slices.SortFunc(d.Hosts, func(a, b ListedHost) int {
		return strings.Compare(a.Status.ID, b.Status.ID)
	})
	return d
}

// Merge applies a delta from a zone peer and reports whether it was newer.
func (l *List) Merge(d ListDelta, now time.Time) bool {
	if d.Version <= l.version {
		return false
	}
	l.version = d.Version
	for _, h := range d.Hosts {
		next := listEntry{ListedHost: h}
		if old := l.hosts[h.Status.ID]; h.Dropped && old.Dropped {
			next.droppedAt = old.droppedAt
		} else if h.Dropped {
			next.droppedAt = now
		}
		l.hosts[h.Status.ID] = next
	}
	l.pruneDropped(now)
	return true
}

// Host returns the status of a host that is currently listed.
func (l *List) Host(id string) (platform.HostStatus, bool) {
	h, ok := l.hosts[id]
	return h.Status, ok && !h.Dropped
}

// DroppedFor returns the time since the list was first read without a host that
// it had contained before. ok is false if the host is listed or never was.
func (l *List) DroppedFor(id string, now time.Time) (d time.Duration, ok bool) {
	h, found := l.hosts[id]
	if !found || !h.Dropped {
		return 0, false
	}
	return now.Sub(h.droppedAt), true
}

// EntryHosts returns the listed hosts that run the daemon.
func (l *List) EntryHosts() []platform.HostStatus {
	var out []platform.HostStatus
	for _, h := range l.hosts {
		if h.Status.Entry && !h.Dropped {
			out = append(out, h.Status)
		}
	}
	slices.SortFunc(out, func(a, b platform.HostStatus) int { return strings.Compare(a.ID, b.ID) })
	return out
}
