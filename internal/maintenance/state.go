// Package maintenance plans and runs waves: it takes hosts out of service a
// few at a time, within every pool's availability budget, and puts them back.
//
// A wave drains a host by the same records as a move (package pool), whose fold
// checks all budgets. Each host out has one executor: the member that started
// its drain, or the one that claimed it after that member was gone. Only the
// executor acts on the host, so nobody acts on a host that is back in service.
package maintenance

import (
	"maps"
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/record"
)

// State is the folded progress of every wave. A Progress is replaced as a whole
// and never changed in place.
type State struct {
	Waves map[string]Progress `cbor:"1,keyasint"`
	// Reboots holds the hosts that are being rebooted, by drain ID.
	Reboots map[string]RebootState `cbor:"2,keyasint"`
	// Executors names who took a drain over from its author, by drain ID.
	Executors map[string]string `cbor:"3,keyasint"`
}

// Progress is what a wave has done.
type Progress struct {
	// Start tells runs of a wave apart: with another start it begins anew.
	Start time.Time `cbor:"1,keyasint" json:"start"`
	// Done holds the offset at which each host was maintained.
	Done map[string]uint64 `cbor:"2,keyasint" json:"done"`
	// Failures holds the hosts that failed after reboot, oldest first.
	Failures []Failure `cbor:"3,keyasint,omitempty" json:"failures,omitempty"`
	Halt     Halt      `cbor:"4,keyasint" json:"halt"`
	// Blocked says, by zone, why the wave last fell behind.
	Blocked map[string]Blocked `cbor:"5,keyasint,omitempty" json:"blocked,omitempty"`
}

// Failure is one host that did not come back.
type Failure struct {
	Host string `cbor:"1,keyasint" json:"host"`
	Zone string `cbor:"2,keyasint" json:"zone"`
	Rack string `cbor:"3,keyasint" json:"rack"`
	// Version is that of the wave at the time.
	Version uint64 `cbor:"4,keyasint" json:"version"`
	Offset  uint64 `cbor:"5,keyasint" json:"offset"`
	Reason  string `cbor:"6,keyasint" json:"reason"`
}

// Halt stops a wave until its catalogue entry has changed.
type Halt struct {
	// Version is that of the wave that was halted, 0 for none.
	Version uint64 `cbor:"1,keyasint" json:"version"`
	Reason  string `cbor:"2,keyasint,omitempty" json:"reason,omitempty"`
	Offset  uint64 `cbor:"3,keyasint,omitempty" json:"offset,omitempty"`
}

// Blocked is why a wave could take no host although it was behind.
type Blocked struct {
	Reason string    `cbor:"1,keyasint" json:"reason"`
	At     time.Time `cbor:"2,keyasint" json:"at"`
}

// RebootState is a host on its way through a reboot.
type RebootState struct {
	// BootID is the one from before the reboot, empty for a host that stopped
	// reporting before it could be rebooted.
	BootID string `cbor:"1,keyasint" json:"boot_id"`
	// At is when the reboot was decided, by its author's clock.
	At     time.Time `cbor:"2,keyasint" json:"at"`
	Failed bool      `cbor:"3,keyasint,omitempty" json:"failed,omitempty"`
}

// View is what the fold of this slice reads of other slices. It changes pools
// when a host comes back, so that both change at one offset.
type View interface {
	Catalogue() *catalogue.State
	Pools() *pool.State
	ZoneMembers(zone string) []string
}

// NewState returns a state without waves.
func NewState() State {
	return State{
		Waves:     map[string]Progress{},
		Reboots:   map[string]RebootState{},
		Executors: map[string]string{},
	}
}

// Clone returns a copy that shares nothing mutable with s.
func (s State) Clone() State {
	s.Waves = maps.Clone(s.Waves)
	s.Reboots = maps.Clone(s.Reboots)
	s.Executors = maps.Clone(s.Executors)
	return s
}

// Progress returns what the current run of a wave has done.
func (s *State) Progress(w catalogue.Wave) Progress {
	p, ok := s.Waves[w.Name]
	if !ok || !p.Start.Equal(w.Start) {
		return Progress{Start: w.Start}
	}
	return p
}

// Halted returns why a wave has halted, or "". Any accepted edit of the wave
// lifts a halt.
func (s *State) Halted(w catalogue.Versioned[catalogue.Wave]) string {
	if h := s.Progress(w.Value).Halt; h.Version == w.Version && h.Version != 0 {
		return h.Reason
	}
	return ""
}

// Executor returns the member that acts on the host of a drain.
func (s *State) Executor(d pool.Drain) string {
	if claimed, ok := s.Executors[d.ID]; ok {
		return claimed
	}
	return d.Author
}

// Apply folds one record of this slice.
func (s *State) Apply(offset uint64, r record.Record, v View) record.Outcome {
	switch r.Kind {
	case KindClaim:
		return s.applyClaim(r, v)
	case KindReboot:
		return s.applyReboot(r, v)
	case KindVerified:
		return s.applyVerified(offset, r, v)
	case KindFailed:
		return s.applyFailed(offset, r, v)
	case KindBlocked:
		return s.applyBlocked(r, v)
	default:
		return record.Reject("unknown kind " + string(r.Kind))
	}
}
