package membership

import (
	"maps"
	"slices"
	"strings"
)

// maxChanges bounds how far back MembersAt reaches.
const maxChanges = 256

// Ref names a member and its zone.
type Ref struct {
	ID   string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
}

// Change is one change of the active members.
type Change struct {
	Epoch   uint64 `cbor:"1,keyasint"`
	Added   []Ref  `cbor:"2,keyasint,omitempty"`
	Removed []Ref  `cbor:"3,keyasint,omitempty"`
}

// record appends a change and moves the epoch on.
func (s *State) record(c Change) {
	s.Epoch = c.Epoch
	s.Changes = append(s.Changes, c)
	if len(s.Changes) > maxChanges {
		s.Forgotten = s.Changes[0].Epoch
		s.Changes = s.Changes[1:]
	}
}

// sorted returns the members in the order of their IDs.
func (s *State) sorted() []Member {
	return slices.SortedFunc(maps.Values(s.Members), func(a, b Member) int {
		return strings.Compare(a.ID, b.ID)
	})
}

// Epochs returns the epochs after from up to the current one, in order. ok is
// false when the changes right after from are forgotten.
func (s *State) Epochs(from uint64) (epochs []uint64, ok bool) {
	for _, c := range s.Changes {
		if c.Epoch > from {
			epochs = append(epochs, c.Epoch)
		}
	}
	return epochs, from >= s.Forgotten
}

// MembersAt returns the active members at an epoch, in the order of their IDs. ok is
// false when the epoch is forgotten or has not come yet.
func (s *State) MembersAt(epoch uint64) (members []Ref, ok bool) {
	if epoch < s.Forgotten || epoch > s.Epoch {
		return nil, false
	}
	set := make(map[string]string, len(s.Members))
	for id, m := range s.Members {
		if _, suspended := s.Suspended[id]; !suspended {
			set[id] = m.Zone
		}
	}
	for _, c := range slices.Backward(s.Changes) {
		if c.Epoch <= epoch {
			break
		}
		for _, r := range c.Added {
			delete(set, r.ID)
		}
		for _, r := range c.Removed {
			set[r.ID] = r.Zone
		}
	}
	for _, id := range slices.Sorted(maps.Keys(set)) {
		members = append(members, Ref{ID: id, Zone: set[id]})
	}
	return members, true
}
