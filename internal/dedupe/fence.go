package dedupe

import (
	"maps"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/membership"
)

const (
	// maxCandidates bounds how many epochs are weighed at once as the next
	// base.
	maxCandidates = 16
	// leaseDrift is the share by which the clocks of two daemons may run at
	// different rates: one part in so many.
	leaseDrift = 100
	// maxBases bounds how many bases are kept for older IDs.
	maxBases = 256
)

// base says that from Since on, no daemon can grant a claim in an epoch below
// Epoch any more. It holds for all daemons, whoever found it out.
type base struct {
	Epoch uint64
	Since time.Time
}

// Fence knows in which epochs a claim for an ID can have been granted, and so
// whether this daemon has seen all of them. It is not safe for concurrent use.
type Fence struct {
	self       string
	lease      time.Duration
	forced     time.Duration
	clockError time.Duration

	state      *membership.State
	bases      []base
	placements map[uint64]*Placement
	// met holds since when the condition for a candidate has been met, for
	// conditions that take effect only after a wait.
	met map[uint64]time.Time
}

func newFence(opt Options) *Fence {
	s := membership.NewState()
	return &Fence{
		self:       opt.Self,
		lease:      opt.Lease,
		forced:     opt.ForcedTakeover,
		clockError: opt.ClockError,
		state:      &s,
		placements: map[uint64]*Placement{},
		met:        map[uint64]time.Time{},
	}
}

// setState shows the fence a newly folded membership.
func (f *Fence) setState(s *membership.State) {
	f.state = s
	maps.DeleteFunc(f.placements, func(epoch uint64, _ *Placement) bool {
		return epoch < s.TrimmedEpoch
	})
}

// placement returns that of an epoch, nil for one that is not known any more.
func (f *Fence) placement(epoch uint64) *Placement {
	if p, ok := f.placements[epoch]; ok {
		return p
	}
	members, ok := f.state.MembersAt(epoch)
	if !ok {
		return nil
	}
	p := NewPlacement(members)
	f.placements[epoch] = p
	return p
}

// pair returns the pair of an ID in the current epoch.
func (f *Fence) pair(id ulid.ULID) (Pair, bool) {
	return f.placement(f.state.Epoch).Pair(id)
}

// base returns the newest base, the zero one before any is known.
func (f *Fence) base() base {
	if len(f.bases) == 0 {
		return base{}
	}
	return f.bases[len(f.bases)-1]
}

// learn takes in a base that this daemon or another found.
func (f *Fence) learn(b base) {
	if b.Epoch <= f.base().Epoch || b.Epoch > f.state.Epoch {
		return
	}
	f.bases = append(f.bases, b)
	if len(f.bases) > maxBases {
		f.bases = f.bases[1:]
	}
	for e := range f.met {
		if e <= b.Epoch {
			delete(f.met, e)
		}
	}
}

// update looks for a new base at now, which wall gives without its monotonic
// reading. epochOf returns the highest epoch that a member
// is known to have reached: a daemon grants only in its own epoch, and epochs
// only grow, so it grants in no lower one any more.
func (f *Fence) update(now, wall time.Time, epochOf func(id string) uint64) {
	from := f.base().Epoch
	if f.state.Epoch == from {
		return
	}
	epochs, known := f.state.Epochs(from)
	if !known {
		from = f.state.TrimmedEpoch
	}
	for i, candidate := range slices.Backward(epochs[max(0, len(epochs)-maxCandidates):]) {
		below := epochs[:len(epochs)-min(len(epochs), maxCandidates)+i]
		wait, ok := f.waitFor(candidate, from, below, known, epochOf)
		if !ok {
			continue
		}
		since, ok := f.met[candidate]
		if !ok {
			since = now
			f.met[candidate] = now
		}
		if now.Sub(since) >= wait+wait/leaseDrift {
			f.learn(base{Epoch: candidate, Since: wall})
			return
		}
	}
}

// waitFor returns how long to wait until no pair of an epoch from from on and
// below candidate can grant any more. ok is false while that is not known.
func (f *Fence) waitFor(candidate, from uint64, below []uint64, known bool, epochOf func(string) uint64) (wait time.Duration, ok bool) {
	if !known {
		// Members of forgotten epochs cannot be counted.
		wait = f.lease + f.forced
	}
	for _, e := range append([]uint64{from}, below...) {
		p := f.placement(e)
		if p == nil {
			return 0, false
		}
		w, ok := f.waitForEpoch(candidate, p.members, epochOf)
		if !ok {
			return 0, false
		}
		wait = max(wait, w)
	}
	return wait, true
}

func (f *Fence) waitForEpoch(candidate uint64, members []membership.Ref, epochOf func(string) uint64) (time.Duration, bool) {
	moved, left := map[string]bool{}, map[string]bool{}
	gone := true
	for _, m := range members {
		if m.ID == f.self || epochOf(m.ID) >= candidate {
			moved[m.Zone] = true
			continue
		}
		left[m.Zone] = true
		if _, ok := f.state.Members[m.ID]; ok {
			gone = false
		}
	}
	switch {
	case len(left) < 2:
		// Every pair spans two zones, so one of it has moved on.
		return 0, true
	case len(moved) >= 2:
		// Who has not moved on hears two zones less of its epoch, or reads
		// the log, and so loses its lease.
		return f.lease, true
	case gone:
		// All that have not moved on were removed as dead.
		return f.lease + f.forced, true
	default:
		return 0, false
	}
}

// vouches reports whether this daemon was of the ID's pair in every epoch in
// which a claim for the ID can have been granted. Every grant is recorded at
// both of a pair, so it then knows of them all.
func (f *Fence) vouches(id ulid.ULID) bool {
	b, ok := f.baseFor(ulid.Time(id.Time()))
	if !ok {
		return false
	}
	epochs, known := f.state.Epochs(b.Epoch)
	if !known {
		return false
	}
	for _, e := range append([]uint64{b.Epoch}, epochs...) {
		p := f.placement(e)
		if p == nil {
			return false
		}
		if pair, ok := p.Pair(id); ok && !pair.Has(f.self) {
			return false
		}
	}
	return true
}

// ready reports whether a base covers IDs made at wall.
func (f *Fence) ready(wall time.Time) bool {
	_, ok := f.baseFor(wall)
	return ok
}

// baseFor returns the newest base that was in force before any daemon could
// grant a claim for an ID of time t. A daemon grants up to one clock error
// before t by its own clock; its clock and that which set the base may each be
// off by another.
func (f *Fence) baseFor(t time.Time) (base, bool) {
	for _, b := range slices.Backward(f.bases) {
		if t.After(b.Since.Add(3 * f.clockError)) {
			return b, true
		}
	}
	return base{}, false
}
