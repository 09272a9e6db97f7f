package catalogue

import (
	"maps"

	"greengagedeck/internal/record"
)

// Versioned is an object with the version that last changed it. A version is
// the offset of the accepted edit, so versions only increase.
type Versioned[T any] struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`
	Value   T      `cbor:"2,keyasint" json:"value"`
	// ChangedBy is the operator who made the last change.
	ChangedBy string `cbor:"3,keyasint" json:"by"`
}

// Tombstone records the version at which an object was removed and the operator
// who removed it.
type Tombstone struct {
	Version   uint64 `cbor:"1,keyasint"`
	RemovedBy string `cbor:"2,keyasint"`
}

// State is the catalogue as built from the applied records. It is part of the
// replica's state: the replica clones it before it applies records, and readers
// share published clones without locks.
type State struct {
	// Version is the offset of the last accepted edit.
	Version uint64                      `cbor:"1,keyasint"`
	Teams   map[string]Versioned[Team]  `cbor:"2,keyasint"`
	Pools   map[string]Versioned[Pool]  `cbor:"3,keyasint"`
	Hosts   map[string]Versioned[Host]  `cbor:"4,keyasint"`
	Entries map[string]Versioned[Entry] `cbor:"5,keyasint"`
	Waves   map[string]Versioned[Wave]  `cbor:"6,keyasint"`
	// Removed holds the tombstones of removed objects by Key.String, so that
	// an edit based on a removed object is rejected.
	Removed map[string]Tombstone `cbor:"7,keyasint"`
}

// NewState returns an empty catalogue.
func NewState() State {
	return State{
		Teams:   map[string]Versioned[Team]{},
		Pools:   map[string]Versioned[Pool]{},
		Hosts:   map[string]Versioned[Host]{},
		Entries: map[string]Versioned[Entry]{},
		Waves:   map[string]Versioned[Wave]{},
		Removed: map[string]Tombstone{},
	}
}

// Clone returns a copy that shares no maps with s.
func (s State) Clone() State {
	s.Teams = maps.Clone(s.Teams)
	s.Pools = maps.Clone(s.Pools)
	s.Hosts = maps.Clone(s.Hosts)
	s.Entries = maps.Clone(s.Entries)
	s.Waves = maps.Clone(s.Waves)
	s.Removed = maps.Clone(s.Removed)
	return s
}

// Apply applies one catalogue record.
func (s *State) Apply(offset uint64, r record.Record) record.Outcome {
	if r.Kind != KindEdit {
		return record.Reject("unknown kind " + string(r.Kind))
	}
	var e Edit
	if err := record.Decode(r.Body, &e); err != nil {
		return record.Reject(err.Error())
	}
	return s.applyEdit(offset, e)
}
