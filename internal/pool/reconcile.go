package pool

import (
	"slices"
	"strings"

	"greengagedeck/internal/catalogue"
)

// Reconcile follows an accepted catalogue edit or a change of membership at
// offset: it adds hosts that the catalogue names for the first time, notes the
// moves that an edit wants, and no longer waits for members that are gone. A
// member is removed only when its process is known to have ended.
func (s *State) Reconcile(offset uint64, v View) {
	changed := s.followCatalogue(offset, v.Catalogue())
	if s.askAgain(offset, v) {
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

// askAgain starts another round for each drain that waits for a member that is
// gone. The members of today must then acknowledge: they see to it that the
// last requests of the one that is gone have ended too.
func (s *State) askAgain(offset uint64, v View) bool {
	changed := false
	for id, d := range s.Drains {
		if s.Hosts[d.Host].Phase != PhaseDraining {
			continue
		}
		members := sortedMembers(v, d.Zone)
		if len(d.Waiting) > 0 && containsAll(members, d.Waiting) {
			continue
		}
		d.Round, d.Waiting = offset, members
		s.Drains[id] = d
		changed = true
	}
	return changed
}

// containsAll reports whether the sorted names hold every one of wanted.
func containsAll(names, wanted []string) bool {
	for _, w := range wanted {
		if _, ok := slices.BinarySearch(names, w); !ok {
			return false
		}
	}
	return true
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
	slices.SortFunc(wants, func(a, b Want) int { return strings.Compare(a.Host, b.Host) })
	return wants
}

// orphaned reports whether a lent host serves a pool that is gone.
func (h Host) orphaned(c *catalogue.State) bool {
	_, ok := c.Pools[h.Pool]
	return !ok && h.Declared != h.Pool
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
	case h.orphaned(c):
		w.Purpose, w.To = PurposeMove, h.Declared
	case moved.Address != h.Address || moved.Zone != h.Zone || moved.Rack != h.Rack:
		w.Purpose = PurposeReplace
	default:
		return Want{}, false
	}
	return w, true
}
