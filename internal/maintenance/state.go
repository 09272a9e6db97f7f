// Package maintenance plans and runs waves: it takes hosts out of service a
// few at a time, within every pool's availability budget, and puts them back.
package maintenance

import (
	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/record"
)

// State is the folded progress of every wave.
type State struct{}

// View is what the fold of this slice reads of other slices.
type View interface {
	Catalogue() *catalogue.State
	Pools() *pool.State
}

// NewState returns a state without waves.
func NewState() State { return State{} }

// Clone returns a copy that shares nothing mutable with s.
func (s State) Clone() State { return s }

// Apply folds one record of this slice.
func (s *State) Apply(offset uint64, r record.Record, v View) record.Outcome {
	return record.Reject("unknown kind " + string(r.Kind))
}
