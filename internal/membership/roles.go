package membership

import "time"

// Self returns this daemon's member ID.
func (d *Detector) Self() string { return d.opt.Self.ID }

// Leads reports whether this daemon has the lowest ID of the live members of
// all zones. While zones are cut from each other several daemons may lead.
func (d *Detector) Leads() bool { return d.lowest(d.LiveMembers()) }

// ZoneLeader returns the lowest ID of the live members of this daemon's zone.
func (d *Detector) ZoneLeader() string {
	mates := d.LiveInZone(d.opt.Self.Zone)
	if len(mates) == 0 {
		return d.opt.Self.ID
	}
	return mates[0].ID
}

// lowest takes members in the order of their IDs.
func (d *Detector) lowest(ms []Member) bool {
	return len(ms) == 0 || ms[0].ID == d.opt.Self.ID
}

// roster is who serves, as of the last tick or change of membership. The
// request path reads it for every request, so it is made beforehand.
type roster struct {
	mates  []string
	others map[string][]string
}

// refresh makes the roster anew. It must be called with mu held.
func (d *Detector) refresh(now time.Time) {
	r := &roster{mates: []string{}, others: map[string][]string{}}
	for _, m := range d.view.LiveMembers(now) {
		self := m.ID == d.opt.Self.ID
		if !self && d.drainingLocked(m.ID) {
			continue
		}
		if m.Zone == d.opt.Self.Zone {
			r.mates = append(r.mates, m.ID)
		} else {
			r.others[m.Zone] = append(r.others[m.Zone], m.ID)
		}
	}
	d.roster.Store(r)
}

// Mates returns the IDs of the live daemons of this daemon's zone that do not
// stop, itself included. The caller must not change the slice.
func (d *Detector) Mates() []string { return d.roster.Load().mates }

// Others returns the IDs of the live daemons of each other zone that do not
// stop. The caller must not change the map.
func (d *Detector) Others() map[string][]string { return d.roster.Load().others }

// leadsZoneOf reports whether no mate with a lower ID has been heard within d.
func (d *Detector) leadsZoneOf(within time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, id := range d.view.zoneIDs[d.opt.Self.Zone] {
		o, ok := d.view.seen[id]
		if id < d.opt.Self.ID && ok && now.Sub(o.heard) <= within {
			return false
		}
	}
	return true
}
