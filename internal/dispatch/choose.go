package dispatch

import "greengagedeck/internal/request"

// mayStart reports whether a waiting job may take a slot now.
func (s *Scheduler) mayStart(c request.Class, j *Job) bool {
	if j.Limits.Slots > 0 && s.slotsByEntry[j.Entry] >= j.Limits.Slots {
		return false
	}
	z := s.runStats.forEntry(j.Entry)
	if c != request.ClassLong && !z.hasHistory() && s.slotsByEntry[j.Entry] >= minHistoryRuns {
		return false
	}
	if (c == request.ClassLong || z.mayBeLong()) && s.usedByLong >= s.longSlotLimit() {
		return false
	}
	return s.chooseHost(c, j) != nil
}

// chooseHost returns the host with the most free slots that may take the job.
// Of equally free hosts it returns the one whose last start is longest ago.
func (s *Scheduler) chooseHost(c request.Class, j *Job) *hostSlots {
	var best *hostSlots
	for _, h := range s.hosts {
		if h.used >= h.target.Slots || !h.target.fits(j) {
			continue
		}
		if c == request.ClassLong && h.usedByLong >= s.longShareOf(h.target.Slots) {
			continue
		}
		if best == nil || preferHost(h, best, j.AvoidHost) {
			best = h
		}
	}
	return best
}

func preferHost(h, best *hostSlots, avoid string) bool {
	if avoid != "" && (h.target.Host == avoid) != (best.target.Host == avoid) {
		return best.target.Host == avoid
	}
	free, bestFree := h.target.Slots-h.used, best.target.Slots-best.used
	if free != bestFree {
		return free > bestFree
	}
	return h.lastStart < best.lastStart
}
