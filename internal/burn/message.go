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

// Constants of the burn stream's record format.
const (
	messageVersion = 1
	minutesPerHour = 60
	allMinutes     = 1<<minutesPerHour - 1
)

// Limits of a message. maxCount is low enough that sums cannot overflow.
const (
	maxNameBytes       = 256
	maxMessageItems    = 4096
	maxSummaryEntries  = 100_000
	maxCount           = 1 << 40
	maxMinute          = 1 << 32
	messageTargetBytes = 64 << 10
	maxMessageBytes    = 16 << 20
)

// minuteOf returns the number of whole minutes from the Unix epoch to t.
func minuteOf(t time.Time) int64 { return t.Unix() / 60 }

// EntryCounts holds the counts of one entry in one pool.
type EntryCounts struct {
	Entry  string `cbor:"1,keyasint"`
	Pool   string `cbor:"2,keyasint,omitempty"`
	Counts Counts `cbor:"3,keyasint"`
}

// Minute holds what one daemon counted in one minute, by entry.
type Minute struct {
	// Minute is the number of minutes since the Unix epoch.
	Minute  int64         `cbor:"1,keyasint"`
	Entries []EntryCounts `cbor:"2,keyasint"`
}

// Summary is one minute of one daemon. The pair of daemon and minute identifies
// it: two summaries with the same pair are copies.
type Summary struct {
	Daemon string `cbor:"1,keyasint"`
	Minute Minute `cbor:"2,keyasint"`
}

// Rollup is the sum of the summaries of one hour from several daemons.
type Rollup struct {
	// Hour is the number of hours since the Unix epoch.
	Hour int64 `cbor:"1,keyasint"`
	// Covers maps each daemon to a bit mask of the minutes of the hour that
	// are included in the sums.
	Covers map[string]uint64 `cbor:"2,keyasint"`
	// Entries is sorted by entry and pool. It has no latencies, because they
	// are only reported for the last hour.
	Entries []EntryCounts `cbor:"3,keyasint"`
}

// covers reports whether the sums include the summary of daemon and minute.
func (r *Rollup) covers(daemon string, minute int64) bool {
	return r != nil && r.Covers[daemon]&(1<<(minute%minutesPerHour)) != 0
}

// summaryCount returns the number of summaries that the sums include.
func (r *Rollup) summaryCount() int {
	n := 0
	for _, mask := range r.Covers {
		n += bits.OnesCount64(mask)
	}
	return n
}

// Message is one record of the burn stream.
type Message struct {
	Version int `cbor:"1,keyasint"`
	// At is the minute of the append by the author's clock, as in Minute.
	At        int64     `cbor:"4,keyasint"`
	Summaries []Summary `cbor:"2,keyasint,omitempty"`
	Rollups   []Rollup  `cbor:"3,keyasint,omitempty"`
}

// encodeMessage returns m as deflated CBOR. Compression pays off because names
// repeat in every summary, and the reader of all summaries has to stay within a
// few KB/s.
func encodeMessage(m Message) ([]byte, error) {
	m.Version = messageVersion
	data, err := record.Encode(m)
	if err != nil {
		return nil, err
	}
	return deflate(data)
}

// flateWriters reuses writers because creating one costs more than encoding a
// message.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic(err) // only returned for an invalid compression level
	}
	return w
}}

func deflate(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&b)
	if _, err := w.Write(data); err != nil {
		return nil, eris.Wrap(err, "deflate")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "deflate")
	}
	return b.Bytes(), nil
}

// inflate decompresses data. It rejects data that would inflate to more than
// maxMessageBytes, which no valid message exceeds.
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

// decodeMessage decodes and validates one record of the burn stream.
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
	if err := m.validate(); err != nil {
		return Message{}, err
	}
	m.intern()
	return m, nil
}

// intern lets equal names share memory, because a month of rollups holds each
// name several hundred times.
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

func (m Message) validate() error {
	if m.At < 0 || m.At > maxMinute {
		return eris.Errorf("burn message of minute %d", m.At)
	}
	if len(m.Summaries) > maxMessageItems || len(m.Rollups) > maxMessageItems {
		return eris.New("burn message too long")
	}
	for _, s := range m.Summaries {
		if !validName(s.Daemon) || s.Minute.Minute < 0 || s.Minute.Minute > maxMinute {
			return eris.Errorf("summary of daemon %q, minute %d", s.Daemon, s.Minute.Minute)
		}
		if err := validateEntries(s.Minute.Entries); err != nil {
			return err
		}
	}
	for _, r := range m.Rollups {
		if err := r.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (r Rollup) validate() error {
	if r.Hour < 0 || r.Hour > maxMinute/minutesPerHour || len(r.Covers) == 0 {
		return eris.Errorf("rollup of hour %d over %d daemons", r.Hour, len(r.Covers))
	}
	for daemon, mask := range r.Covers {
		if !validName(daemon) || mask == 0 || mask > allMinutes {
			return eris.Errorf("rollup covers %q, minutes %x", daemon, mask)
		}
	}
	return validateEntries(r.Entries)
}

func validateEntries(entries []EntryCounts) error {
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

// sortedMinutes converts counts by minute and entry to their message form, in
// ascending order.
func sortedMinutes(byMinute map[int64]map[entryKey]*Counts) []Minute {
	out := make([]Minute, 0, len(byMinute))
	for _, minute := range slices.Sorted(maps.Keys(byMinute)) {
		out = append(out, Minute{Minute: minute, Entries: sortedEntries(byMinute[minute])})
	}
	return out
}

func sortedEntries(byEntry map[entryKey]*Counts) []EntryCounts {
	out := make([]EntryCounts, 0, len(byEntry))
	for key, c := range byEntry {
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
