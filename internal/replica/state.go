// Package replica applies the records of the control stream to a state that is the
// same on every daemon, and keeps it up to date while the log or peers fail.
package replica

import (
	"strings"

	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/decision"
	"greengagedeck/internal/maintenance"
	"greengagedeck/internal/membership"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/record"
)

// StateVersion must change whenever applying the same records gives another state.
// Daemons with different state versions do not exchange state.
const StateVersion = 1

// State is the result of applying the control stream up to Offset. Published states
// are never modified.
type State struct {
	StateVersion int               `cbor:"1,keyasint"`
	Offset       uint64            `cbor:"2,keyasint"`
	Catalogue    catalogue.State   `cbor:"3,keyasint"`
	Members      membership.State  `cbor:"4,keyasint"`
	Pools        pool.State        `cbor:"5,keyasint"`
	Waves        maintenance.State `cbor:"6,keyasint"`
	Decisions    decision.State    `cbor:"7,keyasint"`
	// RecentIDs holds the IDs of the last applied records, oldest first.
	RecentIDs []ulid.ULID `cbor:"8,keyasint"`

	recentIndex map[ulid.ULID]struct{}
}

// maxRecentIDs is how many record IDs are kept to detect duplicates from repeated
// appends.
const maxRecentIDs = 8192

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		StateVersion: StateVersion,
		Catalogue:    catalogue.NewState(),
		Members:      membership.NewState(),
		Pools:        pool.NewState(),
		Waves:        maintenance.NewState(),
		Decisions:    decision.NewState(),
	}
}

// clone returns a copy that apply may modify. RecentIDs and recentIndex are shared:
// states are never forked, and a single writer applies records to the newest only.
func (s *State) clone() *State {
	c := *s
	c.Catalogue = s.Catalogue.Clone()
	c.Members = s.Members.Clone()
	c.Pools = s.Pools.Clone()
	c.Waves = s.Waves.Clone()
	c.Decisions = s.Decisions.Clone()
	return &c
}

// stateView gives the packages whose state is part of State access to each other's
// state.
type stateView struct{ s *State }

func (v stateView) Catalogue() *catalogue.State { return &v.s.Catalogue }

func (v stateView) Pools() *pool.State { return &v.s.Pools }

func (v stateView) ZoneMembers(zone string) []string { return v.s.Members.InZone(zone) }

// apply applies the record at offset, which must be s.Offset+1.
func (s *State) apply(offset uint64, r record.Record) record.Outcome {
	s.Offset = offset
	out := s.applyByKind(offset, r)
	s.Decisions.Add(offset, r, out)
	return out
}

// applyByKind applies a record to the part of the state that its kind belongs to.
func (s *State) applyByKind(offset uint64, r record.Record) record.Outcome {
	prefix, _, _ := strings.Cut(string(r.Kind), ".")
	v := stateView{s}
	switch prefix {
	case "catalogue":
		out := s.Catalogue.Apply(offset, r)
		s.reconcilePools(offset, out)
		return out
	case "membership":
		out := s.Members.Apply(offset, r)
		s.reconcilePools(offset, out)
		return out
	case "pool":
		return s.Pools.Apply(offset, r, v)
	case "maintenance":
		return s.Waves.Apply(offset, r, v)
	case "decision":
		return s.Decisions.Apply(r)
	default:
		return record.Reject("unknown kind " + string(r.Kind))
	}
}

// reconcilePools updates the pool state after an accepted catalogue edit or membership
// change.
func (s *State) reconcilePools(offset uint64, out record.Outcome) {
	if out.Accepted {
		s.Pools.Reconcile(offset, stateView{s})
	}
}

// seenBefore reports whether the record with this ID has been applied before, and
// remembers the ID.
func (s *State) seenBefore(id ulid.ULID) bool {
	if s.recentIndex == nil {
		s.buildRecentIndex()
	}
	if _, ok := s.recentIndex[id]; ok {
		return true
	}
	s.RecentIDs = append(s.RecentIDs, id)
	s.recentIndex[id] = struct{}{}
	if len(s.RecentIDs) > maxRecentIDs {
		delete(s.recentIndex, s.RecentIDs[0])
		s.RecentIDs = s.RecentIDs[1:]
	}
	return false
}

func (s *State) buildRecentIndex() {
	s.recentIndex = make(map[ulid.ULID]struct{}, len(s.RecentIDs))
	for _, id := range s.RecentIDs {
		s.recentIndex[id] = struct{}{}
	}
}
