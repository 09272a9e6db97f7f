// Package replica folds the control stream into one state, the same on every
// daemon, and keeps it current through losses of the log and of peers.
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

// FoldVersion changes whenever a fold gives another state for the same
// records. Daemons of different fold versions do not exchange state.
const FoldVersion = 1

// State is the folded control stream. Published states are never changed.
type State struct {
	FoldVersion int               `cbor:"1,keyasint"`
	Offset      uint64            `cbor:"2,keyasint"`
	Catalogue   catalogue.State   `cbor:"3,keyasint"`
	Members     membership.State  `cbor:"4,keyasint"`
	Pools       pool.State        `cbor:"5,keyasint"`
	Waves       maintenance.State `cbor:"6,keyasint"`
	Decisions   decision.State    `cbor:"7,keyasint"`
	// Seen holds the IDs of the last records, oldest first.
	Seen []ulid.ULID `cbor:"8,keyasint"`

	seen map[ulid.ULID]struct{}
}

// maxSeen is how many record IDs are kept to recognise a repeated append.
const maxSeen = 8192

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		FoldVersion: FoldVersion,
		Catalogue:   catalogue.NewState(),
		Members:     membership.NewState(),
		Pools:       pool.NewState(),
		Waves:       maintenance.NewState(),
		Decisions:   decision.NewState(),
	}
}

// clone returns a copy that apply may change. Seen and its index are shared:
// states form one line and only the newest is folded further, by one writer.
func (s *State) clone() *State {
	c := *s
	c.Catalogue = s.Catalogue.Clone()
	c.Members = s.Members.Clone()
	c.Pools = s.Pools.Clone()
	c.Waves = s.Waves.Clone()
	c.Decisions = s.Decisions.Clone()
	return &c
}

// view gives slices read access to each other's folded state.
type view struct{ s *State }

func (v view) Catalogue() *catalogue.State { return &v.s.Catalogue }

func (v view) Pools() *pool.State { return &v.s.Pools }

func (v view) ZoneMembers(zone string) []string { return v.s.Members.InZone(zone) }

// apply folds the record at offset, which must be s.Offset+1.
func (s *State) apply(offset uint64, r record.Record) record.Outcome {
	s.Offset = offset
	out := s.dispatch(offset, r)
	s.Decisions.Add(offset, r, out)
	return out
}

func (s *State) dispatch(offset uint64, r record.Record) record.Outcome {
	slice, _, _ := strings.Cut(string(r.Kind), ".")
	v := view{s}
	switch slice {
	case "catalogue":
		out := s.Catalogue.Apply(offset, r)
		s.reconcile(offset, out)
		return out
	case "membership":
		out := s.Members.Apply(offset, r)
		s.reconcile(offset, out)
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

// reconcile lets pools follow what a catalogue edit or a membership change
// means for them.
func (s *State) reconcile(offset uint64, out record.Outcome) {
	if out.Accepted {
		s.Pools.Reconcile(offset, view{s})
	}
}

// repeated reports whether id has been folded before and remembers it.
func (s *State) repeated(id ulid.ULID) bool {
	if s.seen == nil {
		s.indexSeen()
	}
	if _, ok := s.seen[id]; ok {
		return true
	}
	s.Seen = append(s.Seen, id)
	s.seen[id] = struct{}{}
	if len(s.Seen) > maxSeen {
		delete(s.seen, s.Seen[0])
		s.Seen = s.Seen[1:]
	}
	return false
}

func (s *State) indexSeen() {
	s.seen = make(map[ulid.ULID]struct{}, len(s.Seen))
	for _, id := range s.Seen {
		s.seen[id] = struct{}{}
	}
}
