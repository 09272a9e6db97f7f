package membership

import "time"

// reapInput is what the decision to remove dead members looks at.
type reapInput struct {
	Self Member
	// State is the folded membership and Live says who was heard lately.
	State *State
	Live  func(id string) bool
	// Unheard says who has not been live for a while.
	Unheard func(id string) bool
	// DroppedFor is how long ago the platform's list first was without a
	// host that it once named.
	DroppedFor func(host string) (time.Duration, bool)
	// ListLag is how far the list may be behind.
	ListLag time.Duration
	// Paused and LogCurrent say whether this daemon was paused and whether
	// it has read the log's tail lately.
	Paused     bool
	LogCurrent bool
}

// reap returns the members that this daemon should remove. A member is dead
// when the platform's list has named its host and then dropped it for longer
// than it lags, and nobody hears it. The lowest live member of the dead one's
// own zone removes it, and of all zones when its zone has no live member.
func reap(in reapInput) []Member {
	if in.Paused || !in.LogCurrent {
		return nil
	}
	var out []Member
	for _, m := range in.State.sorted() {
		if m.ID == in.Self.ID || in.Live(m.ID) || !in.removes(m.Zone) {
			continue
		}
		if d, ok := in.DroppedFor(m.Host); ok && d > in.ListLag {
			out = append(out, m)
		}
	}
	return out
}

// suspend returns the members that this daemon should take out of the active
// ones: those that nobody hears, while this daemon hears more than half of the
// active members and enough are left for pairs across two zones. It falls to
// the same daemon as a removal.
func suspend(in reapInput) []Member {
	if in.Paused || !in.LogCurrent {
		return nil
	}
	var out []Member
	zones := map[string]bool{}
	heard, active := 0, 0
	for _, m := range in.State.sorted() {
		if _, suspended := in.State.Suspended[m.ID]; suspended {
			continue
		}
		active++
		if in.Live(m.ID) {
			heard++
			zones[m.Zone] = true
		} else if in.Unheard(m.ID) && in.removes(m.Zone) {
			out = append(out, m)
		}
	}
	if 2*heard <= active || len(zones) < 2 {
		return nil
	}
	return out
}

// resumes reports whether this daemon is suspended and should come back: it
// reads the log and hears more than half of the members.
func resumes(in reapInput) bool {
	if _, suspended := in.State.Suspended[in.Self.ID]; !suspended || in.Paused || !in.LogCurrent {
		return false
	}
	heard := 0
	for id := range in.State.Members {
		if in.Live(id) {
			heard++
		}
	}
	return 2*heard > len(in.State.Members)
}

// removes reports whether it falls to this daemon to remove the dead members
// of a zone.
func (in reapInput) removes(zone string) bool {
	var lowest, lowestInZone string
	for _, m := range in.State.sorted() {
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
