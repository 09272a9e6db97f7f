// Package pool tracks which pool owns each host and moves hosts between pools.
//
// A host belongs to exactly one pool. It changes pools only after every member
// of its zone has acknowledged that none of its own requests runs there and that
// it will start no more, so two pools never have requests in progress on one
// host.
package pool

import (
	"maps"
	"slices"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/record"
)

// Phase is the lifecycle phase of a host.
type Phase string

// The phases of a host.
const (
	// PhaseServing hosts take requests of their pool.
	PhaseServing Phase = "serving"
	// PhaseDraining hosts take no new requests until every member of the zone
	// has acknowledged the drain.
	PhaseDraining Phase = "draining"
	// PhaseOutOfService hosts run no requests and are under maintenance.
	PhaseOutOfService Phase = "out"
)

// Host holds the owning pool and the phase of a host.
type Host struct {
	Pool  string `cbor:"1,keyasint" json:"pool"`
	Phase Phase  `cbor:"2,keyasint" json:"phase"`
	// Since is the offset of the record that started the phase.
	Since uint64 `cbor:"3,keyasint" json:"since"`
	// Address, Zone and Rack are those of the incarnation in service. A
	// catalogue change takes effect only after the host has been drained.
	Address string `cbor:"4,keyasint" json:"address"`
	Zone    string `cbor:"5,keyasint" json:"zone"`
	Rack    string `cbor:"6,keyasint" json:"rack"`
	// DeclaredPool is the pool that the catalogue assigns the host to. Pool
	// differs from it while the host is lent.
	DeclaredPool string `cbor:"7,keyasint" json:"declared"`
	// RequestedPool is the pool that a catalogue edit moves the host to, or
	// empty when no such move is pending.
	RequestedPool string `cbor:"8,keyasint,omitempty" json:"wanted,omitempty"`
	// Failed hosts take no requests and count against availability budgets.
	Failed bool `cbor:"9,keyasint,omitempty" json:"failed,omitempty"`
	// DrainID is the ID of the drain in progress or, for a host that is out,
	// of the drain that took it out.
	DrainID string `cbor:"10,keyasint,omitempty" json:"drain,omitempty"`
	// BlockedVersion is the catalogue version of the requested drain that was
	// last recorded as blocked.
	BlockedVersion uint64 `cbor:"11,keyasint,omitempty" json:"blocked,omitempty"`
}

// Usable reports whether the host may take requests of its pool.
func (h Host) Usable() bool { return h.Phase == PhaseServing && !h.Failed }

// State is the replicated ownership of every host.
type State struct {
	Hosts map[string]Host `cbor:"1,keyasint"`
	// Epoch is the offset of the last record that changed this state.
	Epoch uint64 `cbor:"2,keyasint"`
	// Drains holds the drains in progress and those of hosts that are out of
	// service, by ID. A Drain is replaced as a whole and never modified in
	// place, since clones share it.
	Drains map[string]Drain `cbor:"3,keyasint"`
	// Demand holds the demand of the last day by zone, so that the spare
	// policy still has it after every daemon has been replaced. A ZoneDemand
	// is replaced as a whole.
	Demand map[string]ZoneDemand `cbor:"4,keyasint"`
}

// View gives State.Apply access to the other parts of the replicated state.
type View interface {
	// Catalogue returns the current catalogue.
	Catalogue() *catalogue.State
	// ZoneMembers returns the IDs of the members of a zone, in any order.
	ZoneMembers(zone string) []string
}

// NewState returns a state without hosts.
func NewState() State {
	return State{Hosts: map[string]Host{}, Drains: map[string]Drain{}, Demand: map[string]ZoneDemand{}}
}

// Clone returns a copy that shares no maps with s.
func (s State) Clone() State {
	s.Hosts = maps.Clone(s.Hosts)
	s.Drains = maps.Clone(s.Drains)
	s.Demand = maps.Clone(s.Demand)
	return s
}

// UsableHosts returns the names of the hosts of a pool in a zone that may take
// requests, sorted.
func (s *State) UsableHosts(pool, zone string) []string {
	var names []string
	for name, h := range s.Hosts {
		if h.Pool == pool && h.Zone == zone && h.Usable() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Apply applies one record of this package to the state.
func (s *State) Apply(offset uint64, r record.Record, v View) record.Outcome {
	out := s.applyByKind(offset, r, v)
	if out.Accepted {
		s.Epoch = offset
	}
	return out
}

func (s *State) applyByKind(offset uint64, r record.Record, v View) record.Outcome {
	switch r.Kind {
	case KindDrain:
		return s.applyDrain(offset, r, v)
	case KindAck:
		return s.applyAck(offset, r, v)
	case KindCancel:
		return s.applyCancel(offset, r, v)
	case KindReturn:
		return s.applyReturn(offset, r, v)
	case KindHealth:
		return s.applyHealth(offset, r, v)
	case KindBlocked:
		return s.applyBlocked(r)
	case KindDemand:
		return s.applyDemand(r, v)
	default:
		return record.Reject("unknown kind " + string(r.Kind))
	}
}

// newHost returns a host that enters service at offset as declared in the
// catalogue.
func newHost(offset uint64, declared catalogue.Host) Host {
	return Host{
		Pool:         declared.Pool,
		Phase:        PhaseServing,
		Since:        offset,
		Address:      declared.Address,
		Zone:         declared.Zone,
		Rack:         declared.Rack,
		DeclaredPool: declared.Pool,
	}
}
