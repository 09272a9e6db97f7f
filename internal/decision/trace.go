package decision

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagedeck/internal/verdict"
)

// Trace describes how one daemon handled one request.
type Trace struct {
	ID        string          `cbor:"1,keyasint" json:"id"`
	Entry     string          `cbor:"2,keyasint" json:"entry"`
	Owner     string          `cbor:"3,keyasint" json:"owner"`
	Pool      string          `cbor:"4,keyasint" json:"pool"`
	Class     string          `cbor:"5,keyasint" json:"class"`
	Daemon    string          `cbor:"6,keyasint" json:"daemon"`
	Host      string          `cbor:"7,keyasint,omitempty" json:"host,omitempty"`
	Attempts  int             `cbor:"8,keyasint" json:"attempts"`
	Verdict   verdict.Verdict `cbor:"9,keyasint" json:"verdict"`
	Reason    string          `cbor:"10,keyasint,omitempty" json:"reason,omitempty"`
	Arrived   time.Time       `cbor:"11,keyasint" json:"arrived"`
	QueueTime time.Duration   `cbor:"12,keyasint" json:"queued_ns"`
	Duration  time.Duration   `cbor:"13,keyasint" json:"took_ns"`
}

const (
	// maxTraces bounds the traces that a daemon keeps in memory.
	maxTraces = 8192
	// traceSampleInterval is the sampling interval of answered requests: on
	// average one in this many is traced.
	traceSampleInterval = 64
)

// TraceStore keeps the last traces of this daemon in memory.
type TraceStore struct {
	mu    sync.Mutex
	ring  []Trace
	next  int
	index map[string]int
}

// NewTraceStore returns an empty store.
func NewTraceStore() *TraceStore { return &TraceStore{index: map[string]int{}} }

// Sampled reports whether a request that was answered by a target is traced; requests
// that were not answered always are. The result depends only on the ID, so that every
// daemon traces the same requests.
func Sampled(id string) bool { return xxhash.Sum64String(id)%traceSampleInterval == 0 }

// Add stores a trace. It replaces the oldest trace if the store is full.
func (t *TraceStore) Add(tr Trace) {
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

// Get returns the newest trace of a request ID.
func (t *TraceStore) Get(id string) (Trace, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i, ok := t.index[id]
	if !ok {
		return Trace{}, false
	}
	return t.ring[i], true
}
