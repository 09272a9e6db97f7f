package membership

import (
	"slices"
	"strings"
	"time"

	"greengagedeck/internal/platform"
)

// forgetAfter is how long a dropped host is remembered.
const forgetAfter = time.Hour

// ListedHost is a host of the platform's list, or one that it has dropped.
type ListedHost struct {
	_      struct{} `cbor:",toarray"`
	Status platform.HostStatus
	// Version is that of the list which last changed the host.
	Version uint64
	// Dropped is set once the list no longer names the host.
	Dropped bool
}

// ListDelta carries what changed in the list after a version.
type ListDelta struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Hosts   []ListedHost
}

// List is the platform's list as last seen, with what it has dropped. Lists
// lag and may come out of order; an older one changes nothing. It is not safe
// for concurrent use.
type List struct {
	version uint64
	hosts   map[string]listed
}

type listed struct {
	ListedHost
	// dropped is when this daemon first saw a list without the host.
	dropped time.Time
}

// NewList returns an empty list.
func NewList() *List { return &List{hosts: map[string]listed{}} }

// Version returns that of the newest list seen.
func (l *List) Version() uint64 { return l.version }

// Take takes in a list that was read at now and reports whether it was newer.
func (l *List) Take(hl platform.HostList, now time.Time) bool {
	if hl.Version <= l.version {
		return false
	}
	l.version = hl.Version
	named := make(map[string]bool, len(hl.Hosts))
	for _, h := range hl.Hosts {
		named[h.ID] = true
		old, ok := l.hosts[h.ID]
		if !ok || old.Status != h || old.Dropped {
			l.hosts[h.ID] = listed{ListedHost: ListedHost{Status: h, Version: hl.Version}}
		}
	}
	for id, h := range l.hosts {
		if !named[id] && !h.Dropped {
			h.Dropped, h.Version, h.dropped = true, hl.Version, now
			l.hosts[id] = h
		}
	}
	l.forget(now)
	return true
}

func (l *List) forget(now time.Time) {
	for id, h := range l.hosts {
		if h.Dropped && now.Sub(h.dropped) > forgetAfter {
			delete(l.hosts, id)
		}
	}
}

// Since returns what changed after a version.
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

// Merge takes in a delta from a zone-mate and reports whether it was newer.
func (l *List) Merge(d ListDelta, now time.Time) bool {
	if d.Version <= l.version {
		return false
	}
	l.version = d.Version
	for _, h := range d.Hosts {
		next := listed{ListedHost: h}
		if old := l.hosts[h.Status.ID]; h.Dropped && old.Dropped {
			next.dropped = old.dropped
		} else if h.Dropped {
			next.dropped = now
		}
		l.hosts[h.Status.ID] = next
	}
	l.forget(now)
	return true
}

// Host returns the platform's view of a host that is listed now.
func (l *List) Host(id string) (platform.HostStatus, bool) {
	h, ok := l.hosts[id]
	return h.Status, ok && !h.Dropped
}

// DroppedFor returns how long ago the list that once named the host was first
// seen without it. ok is false while it is listed and when it never was.
func (l *List) DroppedFor(id string, now time.Time) (d time.Duration, ok bool) {
	h, found := l.hosts[id]
	if !found || !h.Dropped {
		return 0, false
	}
	return now.Sub(h.dropped), true
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
