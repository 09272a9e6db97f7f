package burn

import (
	"math/bits"
	"time"
)

// countsByEntry maps entry and pool to counts.
type countsByEntry map[entryKey]*Counts

func (s countsByEntry) add(entries []EntryCounts) {
	for _, e := range entries {
		s.addOne(entryKey{e.Entry, e.Pool}, e.Counts)
	}
}

func (s countsByEntry) addOne(key entryKey, c Counts) {
	sum := s[key]
	if sum == nil {
		sum = &Counts{}
		s[key] = sum
	}
	sum.Add(c)
}

// between returns the counts of all minutes from the minute of from up to, but
// not including, the minute of to.
func (s *Store) between(from, to time.Time) countsByEntry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	first, end := minuteOf(from), minuteOf(to)
	out := countsByEntry{}
	for n := first / minutesPerHour; n <= (end-1)/minutesPerHour; n++ {
		if h := s.hours[n]; h != nil {
			h.addRange(n, first, end, out)
		}
	}
	return out
}

// addRange adds the part of hour number n that lies in [first, end) to out. If
// only the rollup is left of a partially included hour, its counts are scaled by
// the share of its summaries that lie in the range.
func (h *hour) addRange(n, first, end int64, out countsByEntry) {
	inside := minuteMask(n, first, end)
	exact := inside != allMinutes && h.hasAllSummaries()
	for key, m := range h.minutes {
		if inside&(1<<(key.minute%minutesPerHour)) == 0 {
			continue
		}
		if exact || !h.rollup.covers(key.daemon, key.minute) {
			out.add(m.entries)
		}
	}
	if h.rollup == nil || exact {
		return
	}
	share := h.rollup.coveredShare(inside)
	if share == 1 {
		out.add(h.rollup.Entries)
		return
	}
	for _, e := range h.rollup.Entries {
		out.addOne(entryKey{e.Entry, e.Pool}, e.Counts.scaled(share))
	}
}

// hasAllSummaries reports whether every summary that the rollup covers is still
// in memory.
func (h *hour) hasAllSummaries() bool {
	if h.rollup == nil {
		return true
	}
	n := 0
	for key := range h.minutes {
		if h.rollup.covers(key.daemon, key.minute) {
			n++
		}
	}
	return n == h.rollup.summaryCount()
}

// coveredShare returns the share of the summaries whose minutes are in the bit
// mask inside.
func (r *Rollup) coveredShare(inside uint64) float64 {
	n := 0
	for _, mask := range r.Covers {
		n += bits.OnesCount64(mask & inside)
	}
	return float64(n) / float64(r.summaryCount())
}

// minuteMask returns a bit mask of the minutes of hour number n that lie in
// [first, end).
func minuteMask(n, first, end int64) uint64 {
	var mask uint64
	for i := range int64(minutesPerHour) {
		if m := n*minutesPerHour + i; m >= first && m < end {
			mask |= 1 << i
		}
	}
	return mask
}
