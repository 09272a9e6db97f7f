package membership

import "time"

// Self returns this daemon's member ID.
func (d *Detector) Self() string { return d.opt.Self.ID }

// Leads reports whether this daemon has the lowest ID of the live members of
// all zones. While zones are cut from each other several daemons may lead.
func (d *Detector) Leads() bool { return d.lowest(d.LiveMembers()) }

// LeadsZone reports whether this daemon has the lowest ID of the live members
// of its zone.
func (d *Detector) LeadsZone() bool { return d.ZoneLeader() == d.opt.Self.ID }

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

// Mates returns the IDs of the live daemons of this daemon's zone that do not
// stop, itself included.
func (d *Detector) Mates() []string {
	out := []string{}
	for _, m := range d.LiveInZone(d.opt.Self.Zone) {
		if m.ID == d.opt.Self.ID || !d.Draining(m.ID) {
			out = append(out, m.ID)
		}
	}
	return out
}

// Others returns the IDs of the live daemons of each other zone that do not
// stop.
func (d *Detector) Others() map[string][]string {
	out := map[string][]string{}
	for _, m := range d.LiveMembers() {
		if m.Zone != d.opt.Self.Zone && !d.Draining(m.ID) {
			out[m.Zone] = append(out[m.Zone], m.ID)
		}
	}
	return out
}

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
