// Package decision keeps why the system did what it did: one entry for every
// folded control record, found again by what it was about.
package decision

import (
	"cmp"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/record"
)

// Decision is one folded record as a person reads it.
type Decision struct {
	Offset   uint64       `cbor:"1,keyasint" json:"offset"`
	Kind     record.Kind  `cbor:"2,keyasint" json:"kind"`
	At       time.Time    `cbor:"3,keyasint" json:"at"`
	Author   string       `cbor:"4,keyasint" json:"author"`
	Cause    record.Cause `cbor:"5,keyasint" json:"cause"`
	Accepted bool         `cbor:"6,keyasint" json:"accepted"`
	// Refusal says why a record was turned down.
	Refusal  string   `cbor:"7,keyasint,omitempty" json:"refusal,omitempty"`
	Subjects []string `cbor:"8,keyasint,omitempty" json:"subjects,omitempty"`
	// ID is the record's ID.
	ID ulid.ULID `cbor:"9,keyasint" json:"id"`
}

// State is the bounded history of decisions, oldest first.
type State struct {
	Recent []Decision `cbor:"1,keyasint"`
}

const (
	// maxDecisions is the length at which the history is compacted.
	maxDecisions = 8192
	// keepNewest is how many of the newest decisions a compaction keeps
	// whatever they are about.
	keepNewest = 1024
	// keepPerSubject is how many of the last decisions on a subject a
	// compaction keeps, however old they are.
	keepPerSubject = 4
)

// NewState returns an empty history.
func NewState() State { return State{} }

// Clone returns a copy that shares the backing array. That is safe because
// decisions are never changed in place and states form one line: only the
// newest is ever appended to, beyond the length that older ones see.
func (s State) Clone() State { return s }

// Add appends the decision made by folding r.
func (s *State) Add(offset uint64, r record.Record, out record.Outcome) {
	d := Decision{
		Offset:   offset,
		Kind:     r.Kind,
		At:       r.At,
		Author:   r.Author,
		Cause:    r.Cause,
		Accepted: out.Accepted,
		Refusal:  out.Reason,
		Subjects: out.Subjects,
		ID:       r.ID,
	}
	s.Recent = append(s.Recent, d)
	if len(s.Recent) >= maxDecisions {
		s.Recent = compact(s.Recent)
	}
}

// compact returns, in a new array, the newest decisions and the last few on
// each subject, so that the reason for something that has long been as it is
// stays known. At most half of maxDecisions are kept.
func compact(ds []Decision) []Decision {
	kept := make([]Decision, 0, maxDecisions)
	perSubject := map[string]int{}
	for i := len(ds) - 1; i >= 0 && len(kept) < maxDecisions/2; i-- {
		wanted := len(ds)-i <= keepNewest
		for _, subject := range ds[i].Subjects {
			perSubject[subject]++
			wanted = wanted || perSubject[subject] <= keepPerSubject
		}
		if wanted {
			kept = append(kept, ds[i])
		}
	}
	slices.Reverse(kept)
	return kept
}

// About returns the decisions on a subject, newest last.
func (s *State) About(subject string) []Decision {
	var out []Decision
	for _, d := range s.Recent {
		if d.matches(subject) {
			out = append(out, d)
		}
	}
	return out
}

// OfKind returns the decisions on records of one kind, newest last.
func (s *State) OfKind(k record.Kind) []Decision {
	var out []Decision
	for _, d := range s.Recent {
		if d.Kind == k {
			out = append(out, d)
		}
	}
	return out
}

// AtOffset returns the decision on the record at an offset.
func (s *State) AtOffset(offset uint64) (Decision, bool) {
	i, found := slices.BinarySearchFunc(s.Recent, offset, func(d Decision, o uint64) int {
		return cmp.Compare(d.Offset, o)
	})
	if !found {
		return Decision{}, false
	}
	return s.Recent[i], true
}

// ByID returns the decision on the record with an ID.
func (s *State) ByID(id ulid.ULID) (Decision, bool) {
	for _, d := range s.Recent {
		if d.ID == id {
			return d, true
		}
	}
	return Decision{}, false
}

func (d Decision) matches(subject string) bool {
	if d.Cause.Object == subject {
		return true
	}
	for _, s := range d.Subjects {
		if s == subject {
			return true
		}
	}
	return false
}
