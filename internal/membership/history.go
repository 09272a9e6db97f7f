package membership

import (
	"maps"
	"slices"
	"strings"
)

// maxChangeHistory bounds the number of changes that MembersAt can look back.
const maxChangeHistory = 256

// Ref identifies a member and its zone.
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

// addChange appends a change and advances the epoch to it.
func (s *State) addChange(c Change) {
	s.Epoch = c.Epoch
	s.Changes = append(s.Changes, c)
	if len(s.Changes) > maxChangeHistory {
		s.TrimmedEpoch = s.Changes[0].Epoch
		s.Changes = s.Changes[1:]
	}
}

// sortedMembers returns the members ordered by ID.
func (s *State) sortedMembers() []Member {
	return slices.SortedFunc(maps.Values(s.Members), func(a, b Member) int {
		return strings.Compare(a.ID, b.ID)
	})
}

// Epochs returns the epochs after from, up to the current one, in order. ok is
// false if the changes right after from have been trimmed.
func (s *State) Epochs(from uint64) (epochs []uint64, ok bool) {
	for _, c := range s.Changes {
		if c.Epoch > from {
			epochs = append(epochs, c.Epoch)
		}
	}
	return epochs, from >= s.TrimmedEpoch
}

// MembersAt returns the active members at an epoch, ordered by ID. ok is false
// if the epoch has been trimmed or is later than the current one.
func (s *State) MembersAt(epoch uint64) (members []Ref, ok bool) {
	if epoch < s.TrimmedEpoch || epoch > s.Epoch {
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
