// Package decision keeps why the system did what it did: one entry for every
// folded control record, found again by what it was about.
package decision

import (
	"time"

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
}

// State is the bounded history of decisions, oldest first.
type State struct {
	Recent []Decision `cbor:"1,keyasint"`
}

// maxRecent bounds the history that every daemon holds.
const maxRecent = 10_000

// NewState returns an empty history.
func NewState() State { return State{} }

// Clone returns a copy. Decisions are never changed in place, so the two share
// their backing array; capacity is cut so that an append copies.
func (s State) Clone() State {
	s.Recent = s.Recent[:len(s.Recent):len(s.Recent)]
	return s
}

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
	}
	s.Recent = append(s.Recent, d)
	if len(s.Recent) > maxRecent {
		s.Recent = s.Recent[len(s.Recent)-maxRecent:]
	}
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
