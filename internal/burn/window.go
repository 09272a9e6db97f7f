package burn

import (
	"math/bits"
	"time"
)

// sums are counts by entry and pool.
type sums map[entryKey]*Counts

func (s sums) add(entries []EntryCounts) {
	for _, e := range entries {
		s.addOne(entryKey{e.Entry, e.Pool}, e.Counts)
	}
}

func (s sums) addOne(key entryKey, c Counts) {
	sum := s[key]
	if sum == nil {
		sum = &Counts{}
		s[key] = sum
	}
	sum.Add(c)
}

// between returns the counts of the minutes from the one of from up to, but
// without, the one of to.
func (s *Store) between(from, to time.Time) sums {
	s.mu.RLock()
	defer s.mu.RUnlock()
	first, end := minuteOf(from), minuteOf(to)
	out := sums{}
	for n := first / minutesPerHour; n <= (end-1)/minutesPerHour; n++ {
		if h := s.hours[n]; h != nil {
			h.sum(n, first, end, out)
		}
	}
	return out
}

// sum adds the part of the hour numbered n that lies in [first, end) to out.
// Where only the rollup is left of a part of an hour, its counts are taken in
// proportion to the minutes it covers.
func (h *hour) sum(n, first, end int64, out sums) {
	inside := minuteMask(n, first, end)
	exact := inside != allMinutes && h.complete()
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
	share := h.rollup.share(inside)
	if share == 1 {
		out.add(h.rollup.Entries)
		return
	}
	for _, e := range h.rollup.Entries {
		out.addOne(entryKey{e.Entry, e.Pool}, e.Counts.scaled(share))
	}
}

// complete reports whether every summary that the rollup covers is at hand.
func (h *hour) complete() bool {
	if h.rollup == nil {
		return true
	}
	n := 0
	for key := range h.minutes {
		if h.rollup.covers(key.daemon, key.minute) {
			n++
		}
	}
	return n == h.rollup.size()
}

// share returns which part of the summaries lies in the masked minutes.
func (r *Rollup) share(inside uint64) float64 {
	n := 0
	for _, mask := range r.Covers {
		n += bits.OnesCount64(mask & inside)
	}
	return float64(n) / float64(r.size())
}

// minuteMask returns the minutes of the hour numbered n in [first, end).
func minuteMask(n, first, end int64) uint64 {
	var mask uint64
	for i := range int64(minutesPerHour) {
		if m := n*minutesPerHour + i; m >= first && m < end {
			mask |= 1 << i
		}
	}
	return mask
}
