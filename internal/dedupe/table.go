package dedupe

import (
	"time"

	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/request"
)

// claimRecord is the recorded claim of one ID.
type claimRecord struct {
	token       ulid.ULID
	fingerprint uint64
	ran         bool
	response    *request.Response
}

// Table holds claims by ID until the window of the ID has passed. It is not safe
// for concurrent use.
type Table struct {
	window     time.Duration
	maxEntries int
	maxBytes   int

	// now is the latest time seen. It never decreases, so an ID whose claim
	// has expired stays outside the window even if the clock is stepped back.
	now     time.Time
	entries map[ulid.ULID]claimRecord
	// bySecond groups the IDs by the second of their time for expiry. The IDs of
	// seconds before oldestSecond have expired.
	bySecond     map[int64][]ulid.ULID
	oldestSecond int64
	bytes        int
}

// NewTable returns an empty table that keeps at most maxEntries IDs for window each,
// and at most maxBytes of stored answers.
func NewTable(window time.Duration, maxEntries, maxBytes int) *Table {
	return &Table{
		window:     window,
		maxEntries: maxEntries,
		maxBytes:   maxBytes,
		entries:    map[ulid.ULID]claimRecord{},
		bySecond:   map[int64][]ulid.ULID{},
	}
}

// Len returns the number of IDs.
func (t *Table) Len() int { return len(t.entries) }

// Bytes returns the estimated size of the stored answers.
func (t *Table) Bytes() int { return t.bytes }

// Advance updates the table's time, expires IDs and returns the table's time,
// which never decreases.
func (t *Table) Advance(now time.Time) time.Time {
	if wall := now.Round(0); wall.After(t.now) {
		t.now = wall
	}
	t.expire()
	return t.now
}

// expired reports whether the ID's window has passed. The table then no longer
// holds its claim, and new claims of the ID must be rejected.
func (t *Table) expired(id ulid.ULID) bool {
	return idSecond(id) < t.now.Add(-t.window).Unix()
}

func idSecond(id ulid.ULID) int64 { return ulid.Time(id.Time()).Unix() }

func (t *Table) expire() {
	limit := t.now.Add(-t.window).Unix()
	if t.oldestSecond == 0 {
		t.oldestSecond = limit
	}
	if limit-t.oldestSecond > int64(len(t.bySecond)) {
		t.expireSparse(limit)
	}
	for ; t.oldestSecond < limit; t.oldestSecond++ {
		t.dropSecond(t.oldestSecond)
	}
}

// expireSparse expires IDs by iterating over bySecond. It is used when time has
// advanced by more seconds than bySecond has entries.
func (t *Table) expireSparse(limit int64) {
	for s := range t.bySecond {
		if s < limit {
			t.dropSecond(s)
		}
	}
	t.oldestSecond = limit
}

func (t *Table) dropSecond(s int64) {
	for _, id := range t.bySecond[s] {
		t.remove(id)
	}
	delete(t.bySecond, s)
}

func (t *Table) remove(id ulid.ULID) {
	t.bytes -= responseSize(t.entries[id].response)
	delete(t.entries, id)
}

// Put records a claim unless the ID already has one, which it then returns. This
// compare-and-set is what makes a claim exclusive. full is true if the table has
// reached its maximum number of IDs.
func (t *Table) Put(c Claim) (old claimRecord, found, full bool) {
	if e, ok := t.entries[c.ID]; ok {
		return e, true, false
	}
	if len(t.entries) >= t.maxEntries {
		return claimRecord{}, false, true
	}
	t.entries[c.ID] = claimRecord{token: c.Token, fingerprint: c.Fingerprint}
	s := idSecond(c.ID)
	t.bySecond[s] = append(t.bySecond[s], c.ID)
	return claimRecord{}, false, false
}

// Abandon deletes a claim if its token matches and its request did not run.
func (t *Table) Abandon(a Abandon) {
	e, ok := t.entries[a.ID]
	if !ok || e.token != a.Token || e.ran {
		return
	}
	t.remove(a.ID)
	s := idSecond(a.ID)
	ids := t.bySecond[s]
	for i := range ids {
		if ids[i] == a.ID {
			ids[i] = ids[len(ids)-1]
			t.bySecond[s] = ids[:len(ids)-1]
			break
		}
	}
}

// Complete records that the claimed request ran, and stores its answer unless that
// would exceed maxBytes.
func (t *Table) Complete(c Complete) {
	e, ok := t.entries[c.ID]
	if !ok || e.token != c.Token || e.ran {
		return
	}
	e.ran = true
	if n := responseSize(c.Response); t.bytes+n <= t.maxBytes {
		e.response = c.Response
		t.bytes += n
	}
	t.entries[c.ID] = e
}

// responseOverhead is the estimated size of a response without its variable-length
// parts.
const responseOverhead = 160

// responseSize estimates the memory used by a response.
func responseSize(r *request.Response) int {
	if r == nil {
		return 0
	}
	n := responseOverhead + len(r.Body) + len(r.Host) + len(r.Daemon)
	for _, f := range r.Header {
		n += len(f.Name) + len(f.Value) + 2*responseOverhead/10
	}
	return n
}
