package decision

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagedeck/internal/verdict"
)

// Trace is what one daemon knows of one request.
type Trace struct {
	ID       string          `cbor:"1,keyasint" json:"id"`
	Entry    string          `cbor:"2,keyasint" json:"entry"`
	Owner    string          `cbor:"3,keyasint" json:"owner"`
	Pool     string          `cbor:"4,keyasint" json:"pool"`
	Class    string          `cbor:"5,keyasint" json:"class"`
	Daemon   string          `cbor:"6,keyasint" json:"daemon"`
	Host     string          `cbor:"7,keyasint,omitempty" json:"host,omitempty"`
	Attempts int             `cbor:"8,keyasint" json:"attempts"`
	Verdict  verdict.Verdict `cbor:"9,keyasint" json:"verdict"`
	Reason   string          `cbor:"10,keyasint,omitempty" json:"reason,omitempty"`
	Arrived  time.Time       `cbor:"11,keyasint" json:"arrived"`
	Queued   time.Duration   `cbor:"12,keyasint" json:"queued_ns"`
	Took     time.Duration   `cbor:"13,keyasint" json:"took_ns"`
}

const (
	// maxTraces bounds the traces that a daemon keeps.
	maxTraces = 8192
	// sampleOneIn is how many answered requests share one trace.
	sampleOneIn = 64
)

// Traces keeps the last traces of this daemon: every request that was not
// answered by a target and a sample of those that were.
type Traces struct {
	mu    sync.Mutex
	ring  []Trace
	next  int
	index map[string]int
}

// NewTraces returns an empty store.
func NewTraces() *Traces { return &Traces{index: map[string]int{}} }

// Sampled reports whether an answered request is traced. The choice depends on
// the ID alone, so that every daemon keeps the same requests.
func Sampled(id string) bool { return xxhash.Sum64String(id)%sampleOneIn == 0 }

// Add keeps t, in place of the oldest trace when the store is full.
func (t *Traces) Add(tr Trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.ring) < maxTraces {
		t.ring = append(t.ring, tr)
		t.index[tr.ID] = len(t.ring) - 1
		return
	}
	if old := t.ring[t.next].ID; t.index[old] == t.next {
		delete(t.index, old)
	}
	t.ring[t.next] = tr
	t.index[tr.ID] = t.next
	t.next = (t.next + 1) % maxTraces
}

// Get returns the last trace of a request ID.
func (t *Traces) Get(id string) (Trace, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.index[id]
	if !ok {
		return Trace{}, false
	}
	return t.ring[i], true
}
