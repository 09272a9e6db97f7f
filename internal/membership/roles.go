package membership

import "time"

// Self returns this daemon's member ID.
func (d *Detector) Self() string { return d.opt.Self.ID }

// IsLeader reports whether this daemon has the lowest ID of the live members of
// all zones. During a network partition between zones this may be true of several
// daemons.
func (d *Detector) IsLeader() bool { return d.isLowest(d.LiveMembers()) }

// ZoneLeader returns the lowest ID of the live members of this daemon's zone.
func (d *Detector) ZoneLeader() string {
	members := d.LiveInZone(d.opt.Self.Zone)
	if len(members) == 0 {
		return d.opt.Self.ID
	}
	return members[0].ID
}

// isLowest reports whether this daemon has the lowest ID of ms, which must be
// ordered by ID. It returns true if ms is empty.
func (d *Detector) isLowest(ms []Member) bool {
	return len(ms) == 0 || ms[0].ID == d.opt.Self.ID
}

// roster holds the live daemons that are not draining, as of the last tick or
// change of membership. It is precomputed because the request path reads it for
// every request. zoneMembers includes this daemon, also while it drains.
type roster struct {
	zoneMembers []string
	otherZones  map[string][]string
}

// updateRoster recomputes the roster. It must be called with mu held.
func (d *Detector) updateRoster(now time.Time) {
	r := &roster{zoneMembers: []string{}, otherZones: map[string][]string{}}
	for _, m := range d.view.LiveMembers(now) {
		self := m.ID == d.opt.Self.ID
		if !self && d.drainingLocked(m.ID) {
			continue
		}
		if m.Zone == d.opt.Self.Zone {
			r.zoneMembers = append(r.zoneMembers, m.ID)
		} else {
			r.otherZones[m.Zone] = append(r.otherZones[m.Zone], m.ID)
		}
	}
	d.roster.Store(r)
}

// ZoneMembers returns the IDs of the live daemons of this daemon's zone that are
// not draining. This daemon is included once it has joined, also while it drains.
// The caller must not change the slice.
func (d *Detector) ZoneMembers() []string { return d.roster.Load().zoneMembers }

// OtherZoneMembers returns, by zone, the IDs of the live daemons of the other zones
// that are not draining. The caller must not change the map.
func (d *Detector) OtherZoneMembers() map[string][]string { return d.roster.Load().otherZones }

// isLowestHeardInZone reports whether no zone peer with a lower ID has been heard
// from within the given time.
func (d *Detector) isLowestHeardInZone(within time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, id := range d.view.zoneIDs[d.opt.Self.Zone] {
		o, ok := d.view.observed[id]
		if id < d.opt.Self.ID && ok && now.Sub(o.lastHeard) <= within {
			return false
		}
	}
	return true
}
