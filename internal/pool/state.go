// Package pool says which pool owns each host and moves hosts between pools.
//
// A host belongs to exactly one pool. It changes pools only after every member
// of its zone has acknowledged that no request of its own runs there and none
// will start, so two pools never have requests in progress on one host.
package pool

import (
	"maps"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/record"
)

// Phase is where a host stands in its life.
type Phase string

// The phases of a host.
const (
	// PhaseServing hosts take requests of their pool.
	PhaseServing Phase = "serving"
	// PhaseDraining hosts take no new requests; members acknowledge.
	PhaseDraining Phase = "draining"
	// PhaseOut hosts run nothing and are being maintained.
	PhaseOut Phase = "out"
)

// Host is one host's ownership.
type Host struct {
	Pool  string `cbor:"1,keyasint" json:"pool"`
	Phase Phase  `cbor:"2,keyasint" json:"phase"`
	// Since is the offset of the record that began the phase.
	Since uint64 `cbor:"3,keyasint" json:"since"`
}

// State is the folded ownership of every host.
type State struct {
	Hosts map[string]Host `cbor:"1,keyasint"`
}

// View is what the fold of this slice reads of other slices.
type View interface {
	// Catalogue returns the folded catalogue.
	Catalogue() *catalogue.State
	// ZoneMembers returns the IDs of the members of a zone.
	ZoneMembers(zone string) []string
}

// NewState returns a state without hosts.
func NewState() State { return State{Hosts: map[string]Host{}} }

// Clone returns a copy that shares no maps with s.
func (s State) Clone() State {
	s.Hosts = maps.Clone(s.Hosts)
	return s
}

// Apply folds one record of this slice.
func (s *State) Apply(offset uint64, r record.Record, v View) record.Outcome {
	return record.Reject("unknown kind " + string(r.Kind))
}

// Reconcile follows an accepted catalogue edit or a change of membership at
// offset: it adds the hosts that the catalogue names and retires those that it
// no longer does.
func (s *State) Reconcile(offset uint64, v View) {
	for name, h := range v.Catalogue().Hosts {
		if _, ok := s.Hosts[name]; ok {
			continue
		}
		s.Hosts[name] = Host{Pool: h.Value.Pool, Phase: PhaseServing, Since: offset}
	}
}
