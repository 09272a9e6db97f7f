package membership

import "time"

// Self returns this daemon's member ID.
func (d *Detector) Self() string { return d.opt.Self.ID }

// Leads reports whether this daemon has the lowest ID of the live members of
// all zones. During a network partition between zones several daemons may lead.
func (d *Detector) Leads() bool { return d.isLowest(d.LiveMembers()) }

// ZoneLeader returns the lowest ID of the live members of this daemon's zone.
func (d *Detector) ZoneLeader() string {
	members := d.LiveInZone(d.opt.Self.Zone)
	if len(members) == 0 {
		return d.opt.Self.ID
	}
	return members[0].ID
}

// isLowest reports whether this daemon is the first of ms, which must be ordered
// by ID, or ms is empty.
func (d *Detector) isLowest(ms []Member) bool {
	return len(ms) == 0 || ms[0].ID == d.opt.Self.ID
}

// roster holds the live daemons that are not draining, as of the last tick or
// change of membership. It is precomputed because the request path reads it for
// every request. zone includes this daemon, also while it drains.
type roster struct {
	zone       []string
	otherZones map[string][]string
}

// updateRoster recomputes the roster. It must be called with mu held.
func (d *Detector) updateRoster(now time.Time) {
	r := &roster{zone: []string{}, otherZones: map[string][]string{}}
	for _, m := range d.view.LiveMembers(now) {
		self := m.ID == d.opt.Self.ID
		if !self && d.drainingLocked(m.ID) {
			continue
		}
		if m.Zone == d.opt.Self.Zone {
			r.zone = append(r.zone, m.ID)
		} else {
			r.otherZones[m.Zone] = append(r.otherZones[m.Zone], m.ID)
		}
	}
	d.roster.Store(r)
}

// Mates returns the IDs of the live daemons of this daemon's zone that are not
// draining, itself included. The caller must not change the slice.
func (d *Detector) Mates() []string { return d.roster.Load().zone }

// Others returns the IDs of the live daemons of each other zone that are not
// draining. The caller must not change the map.
func (d *Detector) Others() map[string][]string { return d.roster.Load().otherZones }

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
