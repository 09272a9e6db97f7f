// Package maintenance plans and executes waves: it takes hosts out of service a few
// at a time, within every pool's availability budget, reboots them and returns them
// to service.
//
// A wave drains a host with the same records as a move (package pool), which checks
// all budgets when it applies them. Each host that is out of service has one
// executor: the member that started its drain, or the member that claimed it after
// that member left. Only the executor operates on the host, so no operation reaches
// a host that is back in service.
package maintenance

import (
	"maps"
	"time"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/record"
)

// State is the replicated progress of every wave. A Progress is replaced as a whole
// and never modified in place.
type State struct {
	Waves map[string]Progress `cbor:"1,keyasint"`
	// Reboots holds the hosts that are being rebooted, by drain ID.
	Reboots map[string]RebootState `cbor:"2,keyasint"`
	// Executors holds, by drain ID, the member that took a drain over from its
	// author.
	Executors map[string]string `cbor:"3,keyasint"`
}

// Progress is the progress of one run of a wave.
type Progress struct {
	// Start identifies the run: a wave whose start is changed begins a new run.
	Start time.Time `cbor:"1,keyasint" json:"start"`
	// Done holds, by host, the log offset at which its maintenance completed.
	Done map[string]uint64 `cbor:"2,keyasint" json:"done"`
	// Failures holds the hosts that did not come back healthy, oldest first.
	Failures []Failure `cbor:"3,keyasint,omitempty" json:"failures,omitempty"`
	Halt     Halt      `cbor:"4,keyasint" json:"halt"`
	// Blocked holds, by zone, why the wave was last blocked.
	Blocked map[string]Blocked `cbor:"5,keyasint,omitempty" json:"blocked,omitempty"`
}

// Failure is a host that did not come back healthy.
type Failure struct {
	Host string `cbor:"1,keyasint" json:"host"`
	Zone string `cbor:"2,keyasint" json:"zone"`
	Rack string `cbor:"3,keyasint" json:"rack"`
	// Version is the version of the wave when the host failed.
	Version uint64 `cbor:"4,keyasint" json:"version"`
	Offset  uint64 `cbor:"5,keyasint" json:"offset"`
	Reason  string `cbor:"6,keyasint" json:"reason"`
}

// Halt stops a wave until its catalogue entry is edited.
type Halt struct {
	// Version is the version of the wave that was halted, 0 if there is no halt.
	Version uint64 `cbor:"1,keyasint" json:"version"`
	Reason  string `cbor:"2,keyasint,omitempty" json:"reason,omitempty"`
	Offset  uint64 `cbor:"3,keyasint,omitempty" json:"offset,omitempty"`
}

// Blocked holds why a wave that was behind schedule could drain no host.
type Blocked struct {
	Reason string    `cbor:"1,keyasint" json:"reason"`
	At     time.Time `cbor:"2,keyasint" json:"at"`
}

// RebootState is the state of a host's reboot.
type RebootState struct {
	// BootID is the host's boot ID before the reboot, empty for a host that
	// stopped reporting before it could be rebooted.
	BootID string `cbor:"1,keyasint" json:"boot_id"`
	// At is when the reboot was announced, by its author's clock.
	At     time.Time `cbor:"2,keyasint" json:"at"`
	Failed bool      `cbor:"3,keyasint,omitempty" json:"failed,omitempty"`
}

// View gives Apply access to the state of other packages. Apply also changes the
// pool state when a host fails or returns to service, so that both states change at
// the same offset.
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

// Clone returns a copy that shares no mutable data with s.
func (s State) Clone() State {
	s.Waves = maps.Clone(s.Waves)
	s.Reboots = maps.Clone(s.Reboots)
	s.Executors = maps.Clone(s.Executors)
	return s
}

// Progress returns the progress of the current run of a wave.
func (s *State) Progress(w catalogue.Wave) Progress {
	p, ok := s.Waves[w.Name]
	if !ok || !p.Start.Equal(w.Start) {
		return Progress{Start: w.Start}
	}
	return p
}

// Halted returns why a wave has halted, or "". Any accepted edit of the wave lifts
// the halt.
func (s *State) Halted(w catalogue.Versioned[catalogue.Wave]) string {
	if h := s.Progress(w.Value).Halt; h.Version == w.Version && h.Version != 0 {
		return h.Reason
	}
	return ""
}

// Executor returns the member that operates on the host of a drain.
func (s *State) Executor(d pool.Drain) string {
	if claimed, ok := s.Executors[d.ID]; ok {
		return claimed
	}
	return d.Author
}

// Apply applies one maintenance record at its log offset.
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
