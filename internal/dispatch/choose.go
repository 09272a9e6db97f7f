package dispatch

import "greengagedeck/internal/request"

// mayStart reports whether a waiting job may take a slot now.
func (s *Scheduler) mayStart(c request.Class, j *Job) bool {
	if j.Limits.Slots > 0 && s.held[j.Entry] >= j.Limits.Slots {
		return false
	}
	z := s.sizes.of(j.Entry)
	if c != request.ClassLong && !z.proven() && s.held[j.Entry] >= provenRuns {
		return false
	}
	if (c == request.ClassLong || z.suspect()) && s.long >= s.longSlots() {
		return false
	}
	return s.choose(c, j) != nil
}

// choose returns the host with the most free slots that may take the job. Of
// equally free hosts the one whose last start is longest ago takes it.
func (s *Scheduler) choose(c request.Class, j *Job) *hostSlots {
	var best *hostSlots
	for _, h := range s.hosts {
		if h.used >= h.target.Slots || !h.target.fits(j) {
			continue
		}
		if c == request.ClassLong && h.long >= s.longPart(h.target.Slots) {
			continue
		}
		if best == nil || better(h, best, j.Avoid) {
			best = h
		}
	}
	return best
}

func better(h, best *hostSlots, avoid string) bool {
	if avoid != "" && (h.target.Host == avoid) != (best.target.Host == avoid) {
		return best.target.Host == avoid
	}
	free, bestFree := h.target.Slots-h.used, best.target.Slots-best.used
	if free != bestFree {
		return free > bestFree
	}
	return h.turn < best.turn
}
