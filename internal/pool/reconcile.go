package pool

import (
	"slices"
	"strings"

	"greengagedeck/internal/catalogue"
)

// Reconcile updates the state after an accepted catalogue edit or membership
// change at offset: it adds hosts that are new in the catalogue, records the
// moves that an edit requests, and stops waiting for members that have left. A
// member is removed only when its process is known to have ended.
func (s *State) Reconcile(offset uint64, v View) {
	changed := s.applyCatalogue(offset, v.Catalogue())
	if s.restartAckRounds(offset, v) {
		changed = true
	}
	if changed {
		s.Epoch = offset
	}
}

func (s *State) applyCatalogue(offset uint64, c *catalogue.State) bool {
	changed := false
	for name, declared := range c.Hosts {
		old, ok := s.Hosts[name]
		h := old
		if !ok {
			h = newHost(offset, declared.Value)
		}
		if h.DeclaredPool != declared.Value.Pool {
			h.DeclaredPool = declared.Value.Pool
			h.RequestedPool = h.DeclaredPool
		}
		if h.RequestedPool == h.Pool {
			h.RequestedPool = ""
		}
		if h != old {
			s.Hosts[name] = h
			changed = true
		}
	}
	return changed
}

// restartAckRounds starts a new round for each drain that waits for a member that
// has left. All current members must then acknowledge, which they do only once
// the last requests of the member that left have ended too.
func (s *State) restartAckRounds(offset uint64, v View) bool {
	changed := false
	for id, d := range s.Drains {
		if s.Hosts[d.Host].Phase != PhaseDraining {
			continue
		}
		members := sortedMembers(v, d.Zone)
		if len(d.PendingMembers) > 0 && containsAll(members, d.PendingMembers) {
			continue
		}
		d.Round, d.PendingMembers = offset, members
		s.Drains[id] = d
		changed = true
	}
	return changed
}

// containsAll reports whether the sorted names contain every element of wanted.
func containsAll(names, wanted []string) bool {
	for _, w := range wanted {
		if _, ok := slices.BinarySearch(names, w); !ok {
			return false
		}
	}
	return true
}

// RequestedDrain is a drain that the catalogue requests.
type RequestedDrain struct {
	StartDrain
	// Object is the catalogue object that requests the drain, as kind/name, and
	// Version is its version.
	Object  string
	Version uint64
}

// RequestedDrains returns the drains that the catalogue requests and that have
// not started, sorted by host.
func (s *State) RequestedDrains(c *catalogue.State) []RequestedDrain {
	var drains []RequestedDrain
	for name, h := range s.Hosts {
		if h.Phase != PhaseServing {
			continue
		}
		if w, ok := h.requestedDrain(name, c); ok {
			drains = append(drains, w)
		}
	}
	slices.SortFunc(drains, func(a, b RequestedDrain) int { return strings.Compare(a.Host, b.Host) })
	return drains
}

// servesRemovedPool reports whether the host is lent to a pool that is no longer
// in the catalogue.
func (h Host) servesRemovedPool(c *catalogue.State) bool {
	_, ok := c.Pools[h.Pool]
	return !ok && h.DeclaredPool != h.Pool
}

func (h Host) requestedDrain(name string, c *catalogue.State) (RequestedDrain, bool) {
	w := RequestedDrain{Object: "host/" + name}
	w.Host, w.From = name, h.Pool
	declared, ok := c.Hosts[name]
	if !ok {
		w.Purpose, w.Version = PurposeRetire, c.Removed["host/"+name].Version
		return w, true
	}
	w.Version = declared.Version
	current := declared.Value
	switch {
	case h.RequestedPool != "":
		w.Purpose, w.To = PurposeMove, h.RequestedPool
	case h.servesRemovedPool(c):
		w.Purpose, w.To = PurposeMove, h.DeclaredPool
	case current.Address != h.Address || current.Zone != h.Zone || current.Rack != h.Rack:
		w.Purpose = PurposeReplace
	default:
		return RequestedDrain{}, false
	}
	return w, true
}
