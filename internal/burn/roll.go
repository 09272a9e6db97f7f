package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// rollAfter is how long after the end of an hour it is rolled up.
	rollAfter = 15 * time.Minute
	// keepShare is which part of the kept log, counted from its oldest
	// record, is copied to its end before it is dropped.
	keepShare = 0.5
	// refreshAfter is the age at which the newest copy of a rollup is
	// appended again, whatever the log has dropped so far.
	refreshAfter = 6 * time.Hour
)

// logBounds are the oldest and the next offset of the burn stream.
type logBounds struct {
	oldest uint64
	next   uint64
}

// endangered reports whether a record is among the older ones of a log that
// drops records.
func (b logBounds) endangered(offset uint64) bool {
	if b.oldest <= 1 || b.next <= b.oldest {
		return false
	}
	return float64(offset) < float64(b.oldest)+keepShare*float64(b.next-b.oldest)
}

// due returns the rollups that have to be appended now, oldest hour first:
// those of hours that ended a while ago and have summaries that no rollup
// covers, and those of hours whose records are old or will be dropped soon. Each holds
// all that the log is known to hold of its hour.
func (s *Store) due(b logBounds, now time.Time) []Rollup {
	s.mu.RLock()
	defer s.mu.RUnlock()
	ended := (minuteOf(now.Add(-rollAfter))) / minutesPerHour
	var out []Rollup
	refreshBefore := minuteOf(now.Add(-refreshAfter))
	for n, h := range s.hours {
		if h.due(n < ended, b, refreshBefore) {
			out = append(out, h.roll(n))
		}
	}
	slices.SortFunc(out, func(a, b Rollup) int { return cmp.Compare(a.Hour, b.Hour) })
	return out
}

func (h *hour) due(ended bool, b logBounds, refreshBefore int64) bool {
	if h.rollup != nil && (b.endangered(h.rolledAt) || h.rolledMinute < refreshBefore) {
		return true
	}
	for key, m := range h.minutes {
		if !h.rollup.covers(key.daemon, key.minute) && (ended || b.endangered(m.offset)) {
			return true
		}
	}
	return false
}

// roll returns the rollup with all that is known of the hour numbered n.
func (h *hour) roll(n int64) Rollup {
	covers := map[string]uint64{}
	total := sums{}
	if h.rollup != nil {
		maps.Copy(covers, h.rollup.Covers)
		total.add(h.rollup.Entries)
	}
	for key, m := range h.minutes {
		if !h.rollup.covers(key.daemon, key.minute) {
			covers[key.daemon] |= 1 << (key.minute % minutesPerHour)
			total.add(m.entries)
		}
	}
	for _, c := range total {
		c.Latency = nil
	}
	return Rollup{Hour: n, Covers: covers, Entries: sortedEntries(total)}
}

// batch cuts rollups into messages of a moderate size.
func batch(rollups []Rollup) []Message {
	var out []Message
	size := 0
	for _, r := range rollups {
		n := len(mustEncode(&r))
		if len(out) == 0 || size+n > messageTargetBytes {
			out = append(out, Message{})
			size = 0
		}
		last := &out[len(out)-1]
		last.Rollups = append(last.Rollups, r)
		size += n
	}
	return out
}
