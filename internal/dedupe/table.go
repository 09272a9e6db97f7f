package dedupe

import (
	"time"

	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/request"
)

// entry is what is known of one ID.
type entry struct {
	token       ulid.ULID
	fingerprint uint64
	ran         bool
	response    *request.Response
}

// Table holds the claims of IDs until their window has passed. It is not safe
// for concurrent use.
type Table struct {
	window     time.Duration
	maxEntries int
	maxBytes   int

	// now is the latest time seen. It never goes back, so an ID whose claim
	// has expired stays out of the window also when the clock is stepped.
	now     time.Time
	entries map[ulid.ULID]entry
	// bySecond lists the IDs by the second of their time, for expiry, from
	// second oldest on.
	bySecond map[int64][]ulid.ULID
	oldest   int64
	bytes    int
}

// NewTable returns an empty table that keeps IDs for window, at most
// maxEntries of them, and at most maxBytes of answers.
func NewTable(window time.Duration, maxEntries, maxBytes int) *Table {
	return &Table{
		window:     window,
		maxEntries: maxEntries,
		maxBytes:   maxBytes,
		entries:    map[ulid.ULID]entry{},
		bySecond:   map[int64][]ulid.ULID{},
	}
}

// Len returns the number of IDs, and Bytes the size of the kept answers.
func (t *Table) Len() int { return len(t.entries) }

// Bytes returns the size of the kept answers.
func (t *Table) Bytes() int { return t.bytes }

// Advance moves the table's time on, expires IDs and returns the time, which
// never goes back.
func (t *Table) Advance(now time.Time) time.Time {
	if wall := now.Round(0); wall.After(t.now) {
		t.now = wall
	}
	t.expire()
	return t.now
}

// expired reports whether the ID's window has passed: from then on the table
// knows nothing of it and grants it no claim.
func (t *Table) expired(id ulid.ULID) bool {
	return second(id) < t.now.Add(-t.window).Unix()
}

func second(id ulid.ULID) int64 { return ulid.Time(id.Time()).Unix() }

func (t *Table) expire() {
	limit := t.now.Add(-t.window).Unix()
	if t.oldest == 0 {
		t.oldest = limit
	}
	if limit-t.oldest > int64(len(t.bySecond)) {
		t.expireSparse(limit)
	}
	for ; t.oldest < limit; t.oldest++ {
		t.dropSecond(t.oldest)
	}
}

// expireSparse is for a step in time longer than the table holds seconds.
func (t *Table) expireSparse(limit int64) {
	for s := range t.bySecond {
		if s < limit {
			t.dropSecond(s)
		}
	}
	t.oldest = limit
}

func (t *Table) dropSecond(s int64) {
	for _, id := range t.bySecond[s] {
		t.remove(id)
	}
	delete(t.bySecond, s)
}

func (t *Table) remove(id ulid.ULID) {
	t.bytes -= size(t.entries[id].response)
	delete(t.entries, id)
}

// Put records a claim unless the ID has one, which it then returns: the
// compare-and-set that everything rests on. full is true when there is no room.
func (t *Table) Put(c Claim) (old entry, found, full bool) {
	if e, ok := t.entries[c.ID]; ok {
		return e, true, false
	}
	if len(t.entries) >= t.maxEntries {
		return entry{}, false, true
	}
	t.entries[c.ID] = entry{token: c.Token, fingerprint: c.Fingerprint}
	s := second(c.ID)
	t.bySecond[s] = append(t.bySecond[s], c.ID)
	return entry{}, false, false
}

// Abandon forgets a claim if it is still the token's and did not run.
func (t *Table) Abandon(a Abandon) {
	e, ok := t.entries[a.ID]
	if !ok || e.token != a.Token || e.ran {
		return
	}
	t.remove(a.ID)
	s := second(a.ID)
	ids := t.bySecond[s]
	for i := range ids {
		if ids[i] == a.ID {
			ids[i] = ids[len(ids)-1]
			t.bySecond[s] = ids[:len(ids)-1]
			break
		}
	}
}

// Complete notes that the claimed request ran, and keeps its answer while
// there is room.
func (t *Table) Complete(c Complete) {
	e, ok := t.entries[c.ID]
	if !ok || e.token != c.Token || e.ran {
		return
	}
	e.ran = true
	if n := size(c.Response); t.bytes+n <= t.maxBytes {
		e.response = c.Response
		t.bytes += n
	}
	t.entries[c.ID] = e
}

// responseOverhead is the size of a response without its variable parts.
const responseOverhead = 160

// size estimates the memory of a response.
func size(r *request.Response) int {
	if r == nil {
		return 0
	}
	n := responseOverhead + len(r.Body) + len(r.Host) + len(r.Daemon)
	for _, f := range r.Header {
		n += len(f.Name) + len(f.Value) + 2*responseOverhead/10
	}
	return n
}
