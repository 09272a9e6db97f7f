package dedupe

import (
	"maps"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/membership"
)

const (
	// maxCandidates limits how many epochs are considered in one update as the
	// next floor.
	maxCandidates = 16
	// clockDriftDivisor is the inverse of the assumed maximum difference between
	// the clock rates of two daemons: 100 means 1 %.
	clockDriftDivisor = 100
	// maxFloors limits how many floors are kept for older IDs.
	maxFloors = 256
)

// epochFloor is the lowest epoch in which a claim can still be granted: after Since,
// no daemon grants a claim in an epoch below Epoch. A floor that one daemon has
// established applies to all daemons.
type epochFloor struct {
	Epoch uint64
	Since time.Time
}

// Fence tracks in which epochs a claim for an ID can have been granted, and
// therefore whether this daemon has recorded all grants for it. It is not safe for
// concurrent use.
type Fence struct {
	self           string
	lease          time.Duration
	forcedTakeover time.Duration
	clockError     time.Duration

	state      *membership.State
	floors     []epochFloor
	placements map[uint64]*Placement
	// conditionMetSince is the time from which the condition for a candidate
	// epoch has been met, for conditions that take effect only after a wait.
	conditionMetSince map[uint64]time.Time
}

func newFence(opt Options) *Fence {
	s := membership.NewState()
	return &Fence{
		self:              opt.Self,
		lease:             opt.Lease,
		forcedTakeover:    opt.ForcedTakeover,
		clockError:        opt.ClockError,
		state:             &s,
		placements:        map[uint64]*Placement{},
		conditionMetSince: map[uint64]time.Time{},
	}
}

// setState applies a new membership.
func (f *Fence) setState(s *membership.State) {
	f.state = s
	maps.DeleteFunc(f.placements, func(epoch uint64, _ *Placement) bool {
		return epoch < s.TrimmedEpoch
	})
}

// placement returns the placement of an epoch, or nil if the epoch's members are
// no longer known.
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

// floor returns the newest floor, or the zero value before one is known.
func (f *Fence) floor() epochFloor {
	if len(f.floors) == 0 {
		return epochFloor{}
	}
	return f.floors[len(f.floors)-1]
}

// addFloor records a floor that this or another daemon established.
func (f *Fence) addFloor(newFloor epochFloor) {
	if newFloor.Epoch <= f.floor().Epoch || newFloor.Epoch > f.state.Epoch {
		return
	}
	f.floors = append(f.floors, newFloor)
	if len(f.floors) > maxFloors {
		f.floors = f.floors[1:]
	}
	for e := range f.conditionMetSince {
		if e <= newFloor.Epoch {
			delete(f.conditionMetSince, e)
		}
	}
}

// update looks for a new floor at now; wall is the same time without a monotonic
// reading. epochOf returns the highest epoch that a member is known to have
// reached. A daemon grants only in its own epoch, and epochs only increase, so it
// no longer grants in any lower one.
func (f *Fence) update(now, wall time.Time, epochOf func(id string) uint64) {
	from := f.floor().Epoch
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
		since, ok := f.conditionMetSince[candidate]
		if !ok {
			since = now
			f.conditionMetSince[candidate] = now
		}
		if now.Sub(since) >= wait+wait/clockDriftDivisor {
			f.addFloor(epochFloor{Epoch: candidate, Since: wall})
			return
		}
	}
}

// waitFor returns how long to wait until no pair of the epoch from, or of the
// epochs between from and candidate (below), can grant any more claims. ok is false
// if that cannot be determined yet.
func (f *Fence) waitFor(candidate, from uint64, below []uint64, known bool, epochOf func(string) uint64) (wait time.Duration, ok bool) {
	if !known {
		// The members of epochs that are no longer stored cannot be checked.
		wait = f.lease + f.forcedTakeover
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
	// advanced and lagging are the zones of members that have reached the
	// candidate epoch and of those that have not. allRemoved is set if all of
	// the latter were removed.
	advanced, lagging := map[string]bool{}, map[string]bool{}
	allRemoved := true
	for _, m := range members {
		if m.ID == f.self || epochOf(m.ID) >= candidate {
			advanced[m.Zone] = true
			continue
		}
		lagging[m.Zone] = true
		if _, ok := f.state.Members[m.ID]; ok {
			allRemoved = false
		}
	}
	switch {
	case len(lagging) < 2:
		// Every pair spans two zones, so at least one of its daemons has
		// reached the candidate epoch.
		return 0, true
	case len(advanced) >= 2:
		// A daemon that has not reached the candidate epoch loses its lease:
		// two zones no longer confirm its epoch, and if it reads the log it
		// learns of the new one.
		return f.lease, true
	case allRemoved:
		// All members that have not reached the candidate epoch were removed
		// as dead.
		return f.lease + f.forcedTakeover, true
	default:
		return 0, false
	}
}

// historyComplete reports whether this daemon belonged to the ID's pair in every
// epoch in which a claim for the ID can have been granted. Every grant is recorded
// at both daemons of a pair, so this daemon then knows all of them.
func (f *Fence) historyComplete(id ulid.ULID) bool {
	floor, ok := f.floorFor(ulid.Time(id.Time()))
	if !ok {
		return false
	}
	epochs, known := f.state.Epochs(floor.Epoch)
	if !known {
		return false
	}
	for _, e := range append([]uint64{floor.Epoch}, epochs...) {
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

// ready reports whether a floor covers IDs created at wall.
func (f *Fence) ready(wall time.Time) bool {
	_, ok := f.floorFor(wall)
	return ok
}

// floorFor returns the newest floor that was in effect before any daemon could
// grant a claim for an ID with time t. A daemon grants up to one clock error before
// t by its own clock, and its clock and the clock that set the floor may each be
// off by one more: three in total.
func (f *Fence) floorFor(t time.Time) (epochFloor, bool) {
	for _, floor := range slices.Backward(f.floors) {
		if t.After(floor.Since.Add(3 * f.clockError)) {
			return floor, true
		}
	}
	return epochFloor{}, false
}
