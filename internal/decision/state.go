// Package decision keeps the reasons for what the system did: one decision for every
// applied control record, which can be looked up by its subjects, and traces of
// requests.
package decision

import (
	"cmp"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/record"
)

// Decision is the outcome of one applied record, in the form shown to operators.
type Decision struct {
	Offset   uint64       `cbor:"1,keyasint" json:"offset"`
	Kind     record.Kind  `cbor:"2,keyasint" json:"kind"`
	At       time.Time    `cbor:"3,keyasint" json:"at"`
	Author   string       `cbor:"4,keyasint" json:"author"`
	Cause    record.Cause `cbor:"5,keyasint" json:"cause"`
	Accepted bool         `cbor:"6,keyasint" json:"accepted"`
	// Refusal is why the record was rejected, empty if it was accepted.
	Refusal  string   `cbor:"7,keyasint,omitempty" json:"refusal,omitempty"`
	Subjects []string `cbor:"8,keyasint,omitempty" json:"subjects,omitempty"`
	// ID is the record's ID.
	ID ulid.ULID `cbor:"9,keyasint" json:"id"`
}

// State is a bounded history of decisions, oldest first.
type State struct {
	Recent []Decision `cbor:"1,keyasint"`
}

const (
	// maxDecisions is the length at which the history is compacted.
	maxDecisions = 8192
	// minKeptDecisions is how many of the newest decisions a compaction keeps
	// whatever their subjects.
	minKeptDecisions = 1024
	// minKeptPerSubject is how many of the newest decisions on each subject a
	// compaction keeps, however old they are.
	minKeptPerSubject = 4
)

// NewState returns an empty history.
func NewState() State { return State{} }

// Clone returns a copy that shares the backing array. That is safe because decisions
// are never modified in place and states are never forked: only the newest state is
// appended to, beyond the length of the older ones.
func (s State) Clone() State { return s }

// Add appends the decision that results from applying r.
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

// compact returns, in a new array, the newest decisions and the last few on each
// subject, so that the reason for a long-standing condition remains known. It keeps at
// most half of maxDecisions.
func compact(ds []Decision) []Decision {
	kept := make([]Decision, 0, maxDecisions)
	perSubject := map[string]int{}
	for i := len(ds) - 1; i >= 0 && len(kept) < maxDecisions/2; i-- {
		keep := len(ds)-i <= minKeptDecisions
		for _, subject := range ds[i].Subjects {
			perSubject[subject]++
			keep = keep || perSubject[subject] <= minKeptPerSubject
		}
		if keep {
			kept = append(kept, ds[i])
		}
	}
	slices.Reverse(kept)
	return kept
}

// BySubject returns the decisions on a subject, newest last.
func (s *State) BySubject(subject string) []Decision {
	var out []Decision
	for _, d := range s.Recent {
		if d.matches(subject) {
			out = append(out, d)
		}
	}
	return out
}

// ByKind returns the decisions on records of one kind, newest last.
func (s *State) ByKind(k record.Kind) []Decision {
	var out []Decision
	for _, d := range s.Recent {
		if d.Kind == k {
			out = append(out, d)
		}
	}
	return out
}

// ByOffset returns the decision on the record at an offset.
func (s *State) ByOffset(offset uint64) (Decision, bool) {
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

// matches reports whether subject is a subject of the decision or the object of its
// cause.
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
