package burn

import (
	"bytes"
	"cmp"
	"sync"
	"time"

	"greengagedeck/internal/record"
)

const (
	// historyHours is the number of hours that counts are kept: 30 days and one
	// hour.
	historyHours = 30*24 + 1
	// summaryRetentionHours is the number of hours that summaries are kept in
	// addition to the rollup that covers them: as long as the windows with
	// minute resolution need them.
	summaryRetentionHours = 8
)

// Store merges the summaries of all daemons. Applying the same records in any
// order, any number of times, gives the same counts. It is safe for concurrent
// use.
type Store struct {
	mu    sync.RWMutex
	hours map[int64]*hour
	// newest is the newest current hour seen. Hours older than historyHours
	// before it are dropped.
	newest int64
}

// hour holds the known counts of one hour. Its total is the rollup plus the
// summaries that the rollup does not cover.
type hour struct {
	rollup *Rollup
	// rollupOffset is the offset of the newest copy of rollup, and rollupMinute
	// the minute in which it was appended.
	rollupOffset uint64
	rollupMinute int64
	minutes      map[minuteKey]minuteCounts
}

type minuteKey struct {
	daemon string
	minute int64
}

type minuteCounts struct {
	entries []EntryCounts
	// offset is the offset of the newest copy of the summary.
	offset uint64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{hours: map[int64]*hour{}} }

// Apply merges one record of the burn stream. A record that cannot be decoded
// changes nothing.
func (s *Store) Apply(offset uint64, data []byte, now time.Time) error {
	m, err := decodeMessage(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := minuteOf(now) / minutesPerHour
	for _, sum := range m.Summaries {
		if h := s.hour(sum.Minute.Minute/minutesPerHour, current); h != nil {
			h.addSummary(sum, offset)
		}
	}
	for _, r := range m.Rollups {
		if h := s.hour(r.Hour, current); h != nil {
			h.addRollup(r, offset, m.At)
		}
	}
	s.prune(current)
	return nil
}

// hour returns hour number n, or nil if it is outside the history. An hour more
// than one after the current one comes from a wrong clock.
func (s *Store) hour(n, current int64) *hour {
	if n <= current-historyHours || n > current+1 {
		return nil
	}
	h := s.hours[n]
	if h == nil {
		h = &hour{minutes: map[minuteKey]minuteCounts{}}
		s.hours[n] = h
	}
	return h
}

func (h *hour) addSummary(sum Summary, offset uint64) {
	key := minuteKey{sum.Daemon, sum.Minute.Minute}
	old, ok := h.minutes[key]
	if !ok {
		h.minutes[key] = minuteCounts{entries: sum.Minute.Entries, offset: offset}
		return
	}
	old.offset = max(old.offset, offset)
	h.minutes[key] = old
}

// addRollup keeps the rollup that covers more summaries. A rollup includes
// everything that the log held up to some offset, so that one of two rollups
// includes all summaries of the other. The order among rollups of equal size only
// makes the choice independent of the order of arrival.
func (h *hour) addRollup(r Rollup, offset uint64, minute int64) {
	switch compareRollups(&r, h.rollup) {
	case 0:
		h.rollupOffset = max(h.rollupOffset, offset)
		h.rollupMinute = max(h.rollupMinute, minute)
	case 1:
		h.rollup, h.rollupOffset, h.rollupMinute = &r, offset, minute
	}
}

func compareRollups(a, b *Rollup) int {
	if b == nil {
		return 1
	}
	if c := cmp.Compare(a.summaryCount(), b.summaryCount()); c != 0 {
		return c
	}
	return bytes.Compare(mustEncode(a), mustEncode(b))
}

// mustEncode returns the deterministic encoding of a rollup. A rollup has no
// field that could fail to encode.
func mustEncode(r *Rollup) []byte {
	data, err := record.Encode(r)
	if err != nil {
		panic(err)
	}
	return data
}

// prune drops hours that have left the history, and summaries of old hours that
// are covered by their rollup. s.mu must be held.
func (s *Store) prune(current int64) {
	if current <= s.newest {
		return
	}
	s.newest = current
	for n, h := range s.hours {
		if n <= current-historyHours {
			delete(s.hours, n)
			continue
		}
		if n <= current-summaryRetentionHours {
			h.dropCoveredSummaries()
		}
	}
}

func (h *hour) dropCoveredSummaries() {
	for key := range h.minutes {
		if h.rollup.covers(key.daemon, key.minute) {
			delete(h.minutes, key)
		}
	}
}
