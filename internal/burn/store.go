package burn

import (
	"bytes"
	"cmp"
	"sync"
	"time"

	"greengagedeck/internal/record"
)

const (
	// historyHours is how long counts are kept: the month and an hour.
	historyHours = 30*24 + 1
	// minutesKept is for how long summaries are kept beside the rollup that
	// covers them: as long as the windows that are finer than an hour need.
	minutesKept = 8
)

// Store merges the summaries of all daemons. Applying the same records in any
// order, any number of times, gives the same counts. It is safe for concurrent
// use.
type Store struct {
	mu    sync.RWMutex
	hours map[int64]*hour
	// newest is the newest hour seen; older ones than history are dropped.
	newest int64
}

// hour holds what is known of one hour. Its sum is the rollup plus the
// summaries that the rollup does not cover.
type hour struct {
	rollup *Rollup
	// rolledAt is the offset of the newest copy of rollup and rolledMinute
	// when it was appended.
	rolledAt     uint64
	rolledMinute int64
	minutes      map[minuteKey]minuteCounts
}

type minuteKey struct {
	daemon string
	minute int64
}

type minuteCounts struct {
	entries []EntryCounts
	// offset is where the newest copy of the summary is.
	offset uint64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{hours: map[int64]*hour{}} }

// Apply merges one record of the burn stream. A record that cannot be read
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
	s.forget(current)
	return nil
}

// hour returns the hour numbered n, or nil when it is not in the history. An
// hour that has not begun comes from a clock that is wrong.
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

// addRollup keeps the rollup that holds more. Rollups are made from what the
// log held up to some offset, so that one of two holds all that the other
// does; the further order only makes the choice independent of arrival.
func (h *hour) addRollup(r Rollup, offset uint64, minute int64) {
	switch compareRollups(&r, h.rollup) {
	case 0:
		h.rolledAt = max(h.rolledAt, offset)
		h.rolledMinute = max(h.rolledMinute, minute)
	case 1:
		h.rollup, h.rolledAt, h.rolledMinute = &r, offset, minute
	}
}

func compareRollups(a, b *Rollup) int {
	if b == nil {
		return 1
	}
	if c := cmp.Compare(a.size(), b.size()); c != 0 {
		return c
	}
	return bytes.Compare(mustEncode(a), mustEncode(b))
}

// mustEncode returns the deterministic form of a rollup, which has no field
// that encoding could fail on.
func mustEncode(r *Rollup) []byte {
	data, err := record.Encode(r)
	if err != nil {
		panic(err)
	}
	return data
}

// forget drops hours that have left the history, and the summaries of old
// hours that their rollup covers; mu must be held.
func (s *Store) forget(current int64) {
	if current <= s.newest {
		return
	}
	s.newest = current
	for n, h := range s.hours {
		if n <= current-historyHours {
			delete(s.hours, n)
			continue
		}
		if n <= current-minutesKept {
			h.dropCovered()
		}
	}
}

func (h *hour) dropCovered() {
	for key := range h.minutes {
		if h.rollup.covers(key.daemon, key.minute) {
			delete(h.minutes, key)
		}
	}
}
