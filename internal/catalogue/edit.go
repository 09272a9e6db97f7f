package catalogue

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/record"
)

// KindEdit is the record kind of an operator's edit.
const KindEdit record.Kind = "catalogue.edit"

// Change sets or removes one object.
type Change struct {
	Key    Key  `cbor:"1,keyasint" json:"key"`
	Delete bool `cbor:"2,keyasint,omitempty" json:"delete,omitempty"`
	// Spec is the CBOR form of the object, empty for a removal.
	Spec cbor.RawMessage `cbor:"3,keyasint,omitempty" json:"-"`
}

// Edit is the body of a KindEdit record. The fold accepts it whole or not at
// all: every object it changes must be unchanged since Base.
type Edit struct {
	// Base is the catalogue version the operator worked from.
	Base uint64 `cbor:"1,keyasint" json:"base"`
	// Operator is who made the edit.
	Operator string   `cbor:"2,keyasint" json:"operator"`
	Changes  []Change `cbor:"3,keyasint" json:"changes"`
}

// apply folds an edit at offset.
func (s *State) apply(offset uint64, e Edit) record.Outcome {
	subjects := make([]string, 0, len(e.Changes))
	for _, ch := range e.Changes {
		subjects = append(subjects, ch.Key.String())
	}
	if reason := s.conflict(offset, e); reason != "" {
		return record.Reject(reason, subjects...)
	}
	next := s.Clone()
	for _, ch := range e.Changes {
		if err := next.set(offset, e.Operator, ch); err != nil {
			return record.Reject(err.Error(), subjects...)
		}
	}
	doc := next.Document()
	if problems := plain(doc.Check()); len(problems) > 0 {
		err := &InvalidError{Problems: problems}
		return record.Reject(err.Error(), subjects...)
	}
	next.Version = offset
	*s = next
	return record.Accept(subjects...)
}

// conflict names the winner when an object has changed since the edit's base.
// A base at or above the edit's own offset is no version that anybody can have
// worked from, and would hide every conflict.
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

// versionOf returns when and by whom an object was last changed or removed,
// or 0 when it never existed.
func (s *State) versionOf(k Key) (version uint64, by string) {
	if t, gone := s.Removed[k.String()]; gone {
		return t.Version, t.By
	}
	switch k.Kind {
	case KindTeam:
		return s.Teams[k.Name].Version, s.Teams[k.Name].By
	case KindPool:
		return s.Pools[k.Name].Version, s.Pools[k.Name].By
	case KindHost:
		return s.Hosts[k.Name].Version, s.Hosts[k.Name].By
	case KindEntry:
		return s.Entries[k.Name].Version, s.Entries[k.Name].By
	case KindWave:
		return s.Waves[k.Name].Version, s.Waves[k.Name].By
	default:
		return 0, ""
	}
}

func (s *State) set(offset uint64, by string, ch Change) error {
	if ch.Delete {
		if v, _ := s.versionOf(ch.Key); v == 0 {
			return eris.Errorf("%s does not exist", ch.Key)
		}
		s.remove(ch.Key)
		s.Removed[ch.Key.String()] = Tombstone{Version: offset, By: by}
		return nil
	}
	delete(s.Removed, ch.Key.String())
	switch ch.Key.Kind {
	case KindTeam:
		return put(s.Teams, ch, offset, by, func(t Team) string { return t.Name })
	case KindPool:
		return put(s.Pools, ch, offset, by, func(p Pool) string { return p.Name })
	case KindHost:
		return put(s.Hosts, ch, offset, by, func(h Host) string { return h.Name })
	case KindEntry:
		return put(s.Entries, ch, offset, by, func(e Entry) string { return e.Name })
	case KindWave:
		return put(s.Waves, ch, offset, by, func(w Wave) string { return w.Name })
	default:
		return eris.Errorf("unknown kind of object %q", ch.Key.Kind)
	}
}

func put[T any](m map[string]Versioned[T], ch Change, offset uint64, by string, name func(T) string) error {
	var v T
	if err := record.Decode(ch.Spec, &v); err != nil {
		return eris.Wrapf(err, "%s", ch.Key)
	}
	if name(v) != ch.Key.Name {
		return eris.Errorf("%s: the object is named %q", ch.Key, name(v))
	}
	m[ch.Key.Name] = Versioned[T]{Version: offset, Value: v, By: by}
	return nil
}

func (s *State) remove(k Key) {
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
