package membership

import "time"

// reconcileInput holds the facts on which a daemon decides whether to remove
// or suspend members or to resume itself.
type reconcileInput struct {
	Self Member
	// State is the applied membership, and Live reports whether a member has
	// been heard from within FailAfter.
	State *State
	Live  func(id string) bool
	// Unresponsive reports whether a member has not been heard from for
	// FailAfter, see Detector.Unresponsive.
	Unresponsive func(id string) bool
	// DroppedFor returns the time since the platform's list was first read
	// without a host that it had contained before.
	DroppedFor func(host string) (time.Duration, bool)
	// ListLag is the longest time that the list may lag.
	ListLag time.Duration
	// Paused is set if this daemon was paused and its state may be outdated,
	// LogCurrent if it has read the log's tail within logCurrentWithin.
	Paused     bool
	LogCurrent bool
}

// membersToRemove returns the members that this daemon should remove. A member
// is dead if the platform's list contained its host and has dropped it for
// longer than the list may lag, and no heartbeats from it arrive. The live
// member with the lowest ID in the dead member's zone removes it, or the one
// with the lowest ID of all zones if that zone has no live member.
func membersToRemove(in reconcileInput) []Member {
	if in.Paused || !in.LogCurrent {
		return nil
	}
	var out []Member
	for _, m := range in.State.sortedMembers() {
		if m.ID == in.Self.ID || in.Live(m.ID) || !in.responsibleFor(m.Zone) {
			continue
		}
		if d, ok := in.DroppedFor(m.Host); ok && d > in.ListLag {
			out = append(out, m)
		}
	}
	return out
}

// membersToSuspend returns the members that this daemon should suspend: the
// unresponsive ones, provided that more than half of the active members are
// live and that these are in at least two zones, as pairs across two zones need.
// The same daemon is responsible as for a removal.
func membersToSuspend(in reconcileInput) []Member {
	if in.Paused || !in.LogCurrent {
		return nil
	}
	var out []Member
	zones := map[string]bool{}
	live, active := 0, 0
	for _, m := range in.State.sortedMembers() {
		if _, suspended := in.State.Suspended[m.ID]; suspended {
			continue
		}
		active++
		if in.Live(m.ID) {
			live++
			zones[m.Zone] = true
		} else if in.Unresponsive(m.ID) && in.responsibleFor(m.Zone) {
			out = append(out, m)
		}
	}
	if 2*live <= active || len(zones) < 2 {
		return nil
	}
	return out
}

// shouldResume reports whether this daemon is suspended and should resume: it
// reads the log and more than half of the members are live.
func shouldResume(in reconcileInput) bool {
	if _, suspended := in.State.Suspended[in.Self.ID]; !suspended || in.Paused || !in.LogCurrent {
		return false
	}
	live := 0
	for id := range in.State.Members {
		if in.Live(id) {
			live++
		}
	}
	return 2*live > len(in.State.Members)
}

// responsibleFor reports whether this daemon is the one to remove or suspend
// members of a zone.
func (in reconcileInput) responsibleFor(zone string) bool {
	var lowest, lowestInZone string
	for _, m := range in.State.sortedMembers() {
		if !in.Live(m.ID) {
			continue
		}
		if lowest == "" {
			lowest = m.ID
		}
		if lowestInZone == "" && m.Zone == zone {
			lowestInZone = m.ID
		}
	}
	if lowestInZone != "" {
		return lowestInZone == in.Self.ID
	}
	return lowest == in.Self.ID
}
