package catalogue

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/record"
)

// KindEdit is the record kind of an operator's edit.
const KindEdit record.Kind = "catalogue.edit"

// Change sets or deletes one object.
type Change struct {
	Key    Key  `cbor:"1,keyasint" json:"key"`
	Delete bool `cbor:"2,keyasint,omitempty" json:"delete,omitempty"`
	// Spec is the CBOR encoding of the object, empty for a deletion.
	Spec cbor.RawMessage `cbor:"3,keyasint,omitempty" json:"-"`
}

// Edit is the body of a KindEdit record. It is applied atomically, and only if
// none of the objects it changes has been changed since Base.
type Edit struct {
	// Base is the catalogue version that the operator's edit is based on.
	Base uint64 `cbor:"1,keyasint" json:"base"`
	// Operator is the name of the operator who made the edit.
	Operator string   `cbor:"2,keyasint" json:"operator"`
	Changes  []Change `cbor:"3,keyasint" json:"changes"`
}

// applyEdit applies the edit at offset, or rejects it and changes nothing.
func (s *State) applyEdit(offset uint64, e Edit) record.Outcome {
	subjects := make([]string, 0, len(e.Changes))
	for _, ch := range e.Changes {
		subjects = append(subjects, ch.Key.String())
	}
	if reason := s.conflict(offset, e); reason != "" {
		return record.Reject(reason, subjects...)
	}
	next := s.Clone()
	for _, ch := range e.Changes {
		if err := next.applyChange(offset, e.Operator, ch); err != nil {
			return record.Reject(err.Error(), subjects...)
		}
	}
	doc := next.Document()
	if problems := withoutPositions(doc.Check()); len(problems) > 0 {
		err := &InvalidError{Problems: problems}
		return record.Reject(err.Error(), subjects...)
	}
	next.Version = offset
	*s = next
	return record.Accept(subjects...)
}

// conflict returns the reason to reject an edit, or "" if there is no conflict.
// If an object has changed since the edit's base, the reason names the operator
// who changed it. A base at or above the edit's own offset is rejected: no such
// version can exist yet, and it would hide every conflict.
func (s *State) conflict(offset uint64, e Edit) string {
	if e.Base >= offset {
		return fmt.Sprintf("base version %d has not been reached: the edit is at offset %d", e.Base, offset)
	}
	for _, ch := range e.Changes {
		v, by := s.versionOf(ch.Key)
		if v > e.Base {
			return fmt.Sprintf("conflict: %s was changed by %s at version %d, after base version %d", ch.Key, by, v, e.Base)
		}
	}
	return ""
}

// versionOf returns the version at which an object was last changed or removed
// and the operator who did so, or 0 if the object never existed.
func (s *State) versionOf(k Key) (version uint64, by string) {
	if t, gone := s.Removed[k.String()]; gone {
		return t.Version, t.RemovedBy
	}
	switch k.Kind {
	case KindTeam:
		return s.Teams[k.Name].Version, s.Teams[k.Name].ChangedBy
	case KindPool:
		return s.Pools[k.Name].Version, s.Pools[k.Name].ChangedBy
	case KindHost:
		return s.Hosts[k.Name].Version, s.Hosts[k.Name].ChangedBy
	case KindEntry:
		return s.Entries[k.Name].Version, s.Entries[k.Name].ChangedBy
	case KindWave:
		return s.Waves[k.Name].Version, s.Waves[k.Name].ChangedBy
	default:
		return 0, ""
	}
}

func (s *State) applyChange(offset uint64, by string, ch Change) error {
	if ch.Delete {
		if v, _ := s.versionOf(ch.Key); v == 0 {
			return eris.Errorf("%s does not exist", ch.Key)
		}
		s.deleteObject(ch.Key)
		s.Removed[ch.Key.String()] = Tombstone{Version: offset, RemovedBy: by}
		return nil
	}
	delete(s.Removed, ch.Key.String())
	switch ch.Key.Kind {
	case KindTeam:
		return putObject(s.Teams, ch, offset, by, func(t Team) string { return t.Name })
	case KindPool:
		return putObject(s.Pools, ch, offset, by, func(p Pool) string { return p.Name })
	case KindHost:
		return putObject(s.Hosts, ch, offset, by, func(h Host) string { return h.Name })
	case KindEntry:
		return putObject(s.Entries, ch, offset, by, func(e Entry) string { return e.Name })
	case KindWave:
		return putObject(s.Waves, ch, offset, by, func(w Wave) string { return w.Name })
	default:
		return eris.Errorf("unknown kind of object %q", ch.Key.Kind)
	}
}

func putObject[T any](m map[string]Versioned[T], ch Change, offset uint64, by string, name func(T) string) error {
	var v T
	if err := record.Decode(ch.Spec, &v); err != nil {
		return eris.Wrapf(err, "%s", ch.Key)
	}
	if name(v) != ch.Key.Name {
		return eris.Errorf("%s: the object is named %q", ch.Key, name(v))
	}
	m[ch.Key.Name] = Versioned[T]{Version: offset, Value: v, ChangedBy: by}
	return nil
}

func (s *State) deleteObject(k Key) {
	switch k.Kind {
	case KindTeam:
		delete(s.Teams, k.Name)
	case KindPool:
		delete(s.Pools, k.Name)
	case KindHost:
		delete(s.Hosts, k.Name)
	case KindEntry:
		delete(s.Entries, k.Name)
	case KindWave:
		delete(s.Waves, k.Name)
	}
}
