package pool

import (
	"maps"
	"slices"

	"greengagedeck/internal/catalogue"
)

// Reconcile follows an accepted catalogue edit or a change of membership at
// offset: it adds hosts that the catalogue names for the first time, notes the
// moves that an edit wants, and no longer waits for members that are gone. A
// member is removed only when its process is known to have ended.
func (s *State) Reconcile(offset uint64, v View) {
	changed := s.followCatalogue(offset, v.Catalogue())
	if s.releaseGone(offset, v) {
		changed = true
	}
	if changed {
		s.Epoch = offset
	}
}

func (s *State) followCatalogue(offset uint64, c *catalogue.State) bool {
	changed := false
	for name, declared := range c.Hosts {
		old, ok := s.Hosts[name]
		h := old
		if !ok {
			h = newHost(offset, declared.Value)
		}
		if h.Declared != declared.Value.Pool {
			h.Declared = declared.Value.Pool
			h.Wanted = h.Declared
		}
		if h.Wanted == h.Pool {
			h.Wanted = ""
		}
		if h != old {
			s.Hosts[name] = h
			changed = true
		}
	}
	return changed
}

// releaseGone drops the members that are gone from what drains wait for.
func (s *State) releaseGone(offset uint64, v View) bool {
	changed := false
	for _, id := range slices.Sorted(maps.Keys(s.Drains)) {
		d := s.Drains[id]
		if s.Hosts[d.Host].Phase != PhaseDraining {
			continue
		}
		members := sortedMembers(v, d.Zone)
		waiting := slices.DeleteFunc(slices.Clone(d.Waiting), func(m string) bool {
			_, present := slices.BinarySearch(members, m)
			return !present
		})
		if len(waiting) == len(d.Waiting) {
			continue
		}
		d.Waiting = waiting
		s.Drains[id] = d
		s.completeIfDrained(offset, d, v)
		changed = true
	}
	return changed
}

// Want is a drain that the catalogue asks for.
type Want struct {
	StartDrain
	// Object is the catalogue object that asks, as kind/name, and Version
	// the version that does.
	Object  string
	Version uint64
}

// Wants returns the drains that the catalogue asks for and that have not
// started, sorted by host.
func (s *State) Wants(c *catalogue.State) []Want {
	var wants []Want
	for name, h := range s.Hosts {
		if h.Phase != PhaseServing {
			continue
		}
		if w, ok := h.want(name, c); ok {
			wants = append(wants, w)
		}
	}
	slices.SortFunc(wants, func(a, b Want) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return wants
}

func (h Host) want(name string, c *catalogue.State) (Want, bool) {
	w := Want{Object: "host/" + name}
	w.Host, w.From = name, h.Pool
	declared, ok := c.Hosts[name]
	if !ok {
		w.Purpose, w.Version = PurposeRetire, c.Removed["host/"+name].Version
		return w, true
	}
	w.Version = declared.Version
	moved := declared.Value
	switch {
	case h.Wanted != "":
		w.Purpose, w.To = PurposeMove, h.Wanted
	case moved.Address != h.Address || moved.Zone != h.Zone || moved.Rack != h.Rack:
		w.Purpose = PurposeReplace
	default:
		return Want{}, false
	}
	return w, true
}
