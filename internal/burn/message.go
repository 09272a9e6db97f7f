package burn

import (
	"bytes"
	"cmp"
	"compress/flate"
	"io"
	"maps"
	"math/bits"
	"slices"
	"sync"
	"time"
	"unique"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/record"
)

// The format of the burn stream.
const (
	messageVersion = 1
	minutesPerHour = 60
	allMinutes     = 1<<minutesPerHour - 1
)

// The bounds of a message. Counts stay so small that sums cannot overflow.
const (
	maxNameBytes       = 256
	maxMessageSpans    = 4096
	maxSummaryEntries  = 100_000
	maxCount           = 1 << 40
	maxSpanMinutes     = 1 << 32
	messageTargetBytes = 64 << 10
	maxMessageBytes    = 16 << 20
)

// minuteOf returns the number of the minute of t since the epoch.
func minuteOf(t time.Time) int64 { return t.Unix() / 60 }

// EntryCounts are the counts of one entry.
type EntryCounts struct {
	Entry  string `cbor:"1,keyasint"`
	Pool   string `cbor:"2,keyasint,omitempty"`
	Counts Counts `cbor:"3,keyasint"`
}

// Minute is what one daemon counted in one minute, by entry.
type Minute struct {
	// Minute counts minutes since the epoch.
	Minute  int64         `cbor:"1,keyasint"`
	Entries []EntryCounts `cbor:"2,keyasint"`
}

// Summary is one daemon's minute. The pair of daemon and minute names it: two
// summaries of one pair are copies.
type Summary struct {
	Daemon string `cbor:"1,keyasint"`
	Minute Minute `cbor:"2,keyasint"`
}

// Rollup adds up the summaries of one hour over daemons.
type Rollup struct {
	// Hour counts hours since the epoch.
	Hour int64 `cbor:"1,keyasint"`
	// Covers gives for each daemon the minutes of the hour that are in the
	// sums, as bits.
	Covers map[string]uint64 `cbor:"2,keyasint"`
	// Entries is ordered by entry and pool. It has no latencies, which are
	// only reported for the last hour.
	Entries []EntryCounts `cbor:"3,keyasint"`
}

// covers reports whether the sums hold a summary.
func (r *Rollup) covers(daemon string, minute int64) bool {
	return r != nil && r.Covers[daemon]&(1<<(minute%minutesPerHour)) != 0
}

// size returns how many summaries the sums hold.
func (r *Rollup) size() int {
	n := 0
	for _, mask := range r.Covers {
		n += bits.OnesCount64(mask)
	}
	return n
}

// Message is one record of the burn stream.
type Message struct {
	Version int `cbor:"1,keyasint"`
	// At is the minute of the append, by the author's clock.
	At        int64     `cbor:"4,keyasint"`
	Summaries []Summary `cbor:"2,keyasint,omitempty"`
	Rollups   []Rollup  `cbor:"3,keyasint,omitempty"`
}

// encodeMessage returns m as deflated CBOR: names repeat in every summary, and
// the reader of all summaries has to stay within a few KB/s.
func encodeMessage(m Message) ([]byte, error) {
	m.Version = messageVersion
	data, err := record.Encode(m)
	if err != nil {
		return nil, err
	}
	return deflate(data)
}

// deflaters are kept because a new one costs more than a message.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(err) // only for a level that does not exist
	}
	return w
}}

func deflate(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&b)
	if _, err := w.Write(data); err != nil {
		return nil, eris.Wrap(err, "deflate")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "deflate")
	}
	return b.Bytes(), nil
}

// inflate refuses what would become larger than any message of ours.
func inflate(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	out, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "inflate")
	}
	if len(out) > maxMessageBytes {
		return nil, eris.New("burn message inflates to more than its limit")
	}
	return out, nil
}

// decodeMessage reads and checks one record of the burn stream.
func decodeMessage(data []byte) (Message, error) {
	data, err := inflate(data)
	if err != nil {
		return Message{}, err
	}
	var m Message
	if err := record.Decode(data, &m); err != nil {
		return Message{}, err
	}
	if m.Version != messageVersion {
		return Message{}, eris.Errorf("burn message of version %d", m.Version)
	}
	if err := m.check(); err != nil {
		return Message{}, err
	}
	m.intern()
	return m, nil
}

// intern lets equal names share memory: a month holds each some hundred times.
func (m Message) intern() {
	for _, s := range m.Summaries {
		internNames(s.Minute.Entries)
	}
	for _, r := range m.Rollups {
		internNames(r.Entries)
	}
}

func internNames(entries []EntryCounts) {
	for i := range entries {
		entries[i].Entry = unique.Make(entries[i].Entry).Value()
		entries[i].Pool = unique.Make(entries[i].Pool).Value()
	}
}

func (m Message) check() error {
	if m.At < 0 || m.At > maxSpanMinutes {
		return eris.Errorf("burn message of minute %d", m.At)
	}
	if len(m.Summaries) > maxMessageSpans || len(m.Rollups) > maxMessageSpans {
		return eris.New("burn message too long")
	}
	for _, s := range m.Summaries {
		if !validName(s.Daemon) || s.Minute.Minute < 0 || s.Minute.Minute > maxSpanMinutes {
			return eris.Errorf("summary of daemon %q, minute %d", s.Daemon, s.Minute.Minute)
		}
		if err := checkEntries(s.Minute.Entries); err != nil {
			return err
		}
	}
	for _, r := range m.Rollups {
		if err := r.check(); err != nil {
			return err
		}
	}
	return nil
}

func (r Rollup) check() error {
	if r.Hour < 0 || r.Hour > maxSpanMinutes/minutesPerHour || len(r.Covers) == 0 {
		return eris.Errorf("rollup of hour %d over %d daemons", r.Hour, len(r.Covers))
	}
	for daemon, mask := range r.Covers {
		if !validName(daemon) || mask == 0 || mask > allMinutes {
			return eris.Errorf("rollup covers %q, minutes %x", daemon, mask)
		}
	}
	return checkEntries(r.Entries)
}

func checkEntries(entries []EntryCounts) error {
	if len(entries) > maxSummaryEntries {
		return eris.Errorf("%d entries", len(entries))
	}
	for _, e := range entries {
		if !validName(e.Entry) || len(e.Pool) > maxNameBytes {
			return eris.Errorf("entry %q, pool %q", e.Entry, e.Pool)
		}
		if !e.Counts.valid() {
			return eris.Errorf("counts of entry %q out of range", e.Entry)
		}
	}
	return nil
}

func (c Counts) valid() bool {
	if len(c.Bad) > numCauses || len(c.Latency) > latencyBuckets {
		return false
	}
	ns := []uint64{c.Good, c.Excluded, c.ShortQueued, c.ShortBlocked, c.Short}
	ns = append(append(ns, c.Bad...), c.Latency...)
	return slices.Max(ns) <= maxCount
}

func validName(s string) bool { return s != "" && len(s) <= maxNameBytes }

// sortedMinutes turns counts by minute and entry into their message form.
func sortedMinutes(byMinute map[int64]map[entryKey]*Counts) []Minute {
	out := make([]Minute, 0, len(byMinute))
	for _, minute := range slices.Sorted(maps.Keys(byMinute)) {
		out = append(out, Minute{Minute: minute, Entries: sortedEntries(byMinute[minute])})
	}
	return out
}

func sortedEntries(cells map[entryKey]*Counts) []EntryCounts {
	out := make([]EntryCounts, 0, len(cells))
	for key, c := range cells {
		c.Bad, c.Latency = trimZeros(c.Bad), trimZeros(c.Latency)
		out = append(out, EntryCounts{Entry: key.entry, Pool: key.pool, Counts: *c})
	}
	slices.SortFunc(out, func(a, b EntryCounts) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Pool, b.Pool))
	})
	return out
}

func trimZeros(ns []uint64) []uint64 {
	for len(ns) > 0 && ns[len(ns)-1] == 0 {
		ns = ns[:len(ns)-1]
	}
	return ns
}
