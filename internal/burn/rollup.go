package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// rollupDelay is the time between the end of an hour and its rollup.
	rollupDelay = 15 * time.Minute
	// recopyShare is the share of the kept log, counted from its oldest record,
	// whose contents are appended again before the log drops them.
	recopyShare = 0.5
	// maxRollupAge is the age at which the newest copy of a rollup is appended
	// again, even if the log has dropped nothing so far.
	maxRollupAge = 6 * time.Hour
)

// logBounds are the oldest and the next offset of the burn stream.
type logBounds struct {
	oldest uint64
	next   uint64
}

// nearTruncation reports whether a record is in the oldest part of a log that
// has already dropped records, as given by recopyShare.
func (b logBounds) nearTruncation(offset uint64) bool {
	if b.oldest <= 1 || b.next <= b.oldest {
		return false
	}
	return float64(offset) < float64(b.oldest)+recopyShare*float64(b.next-b.oldest)
}

// dueRollups returns the rollups that have to be appended now, oldest hour first:
// those of hours that ended at least rollupDelay ago and have summaries that no
// rollup covers, and those of hours whose records are old or will be dropped
// soon. Each includes all known summaries of its hour.
func (s *Store) dueRollups(b logBounds, now time.Time) []Rollup {
	s.mu.RLock()
	defer s.mu.RUnlock()
	ended := (minuteOf(now.Add(-rollupDelay))) / minutesPerHour
	var out []Rollup
	refreshBefore := minuteOf(now.Add(-maxRollupAge))
	for n, h := range s.hours {
		if h.needsRollup(n < ended, b, refreshBefore) {
			out = append(out, h.buildRollup(n))
		}
	}
	slices.SortFunc(out, func(a, b Rollup) int { return cmp.Compare(a.Hour, b.Hour) })
	return out
}

func (h *hour) needsRollup(ended bool, b logBounds, refreshBefore int64) bool {
	if h.rollup != nil && (b.nearTruncation(h.rollupOffset) || h.rollupMinute < refreshBefore) {
		return true
	}
	for key, m := range h.minutes {
		if !h.rollup.covers(key.daemon, key.minute) && (ended || b.nearTruncation(m.offset)) {
			return true
		}
	}
	return false
}

// buildRollup returns a rollup of all known counts of hour number n.
func (h *hour) buildRollup(n int64) Rollup {
	covers := map[string]uint64{}
	total := countsByEntry{}
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

// batchRollups splits rollups into messages of about messageTargetBytes.
func batchRollups(rollups []Rollup) []Message {
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
