package replica

import (
	"sync"
	"sync/atomic"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

// ErrStateVersion means that a snapshot has another StateVersion.
var ErrStateVersion = eris.New("snapshot of another fold version")

// maxTailRecords is how many of the last log records are kept for peers.
const maxTailRecords = 4096

// Observer is called with every newly published state, in order. It must not block.
type Observer func(*State)

// ApplyResult is the offset and the outcome of an applied record.
type ApplyResult struct {
	Offset  uint64
	Outcome record.Outcome
}

// Replica holds the current state and publishes each new state to its observers. The
// offsets of published states only increase.
type Replica struct {
	current atomic.Pointer[State]

	// mu serialises Apply and Restore, which replace the current state.
	mu        sync.Mutex
	observers []Observer
	// tail holds the last applied log records without gaps; its last offset is
	// that of the published state.
	tail []platform.LogRecord

	waitersMu sync.Mutex
	waiters   map[ulid.ULID]chan ApplyResult
}

// New returns a replica at the state before the first record.
func New() *Replica {
	r := &Replica{waiters: map[ulid.ULID]chan ApplyResult{}}
	r.current.Store(NewState())
	return r
}

// State returns the current state. Callers must not modify it.
func (r *Replica) State() *State { return r.current.Load() }

// Observe registers o. It must be called before the first Apply.
func (r *Replica) Observe(o Observer) { r.observers = append(r.observers, o) }

// Apply applies records in offset order. It skips records that were applied before
// and all records after a gap, and returns the offset reached.
func (r *Replica) Apply(recs []platform.LogRecord) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	cur := r.current.Load()
	next := cur
	for _, lr := range recs {
		if lr.Offset != next.Offset+1 {
			continue
		}
		if next == cur {
			next = cur.clone()
		}
		r.applyRecord(next, lr)
	}
	if next != cur {
		r.publish(next)
	}
	return next.Offset
}

// applyRecord applies one log record to s, keeps it for peers and delivers its
// result.
func (r *Replica) applyRecord(s *State, lr platform.LogRecord) {
	id, out, ok := s.applyEncoded(lr)
	r.tail = append(r.tail, lr)
	if len(r.tail) > maxTailRecords {
		r.tail = r.tail[1:]
	}
	if ok {
		r.deliverResult(id, ApplyResult{Offset: lr.Offset, Outcome: out})
	}
}

// publish makes s the current state. It must be called with mu held, so that
// observers see states in order.
func (r *Replica) publish(s *State) {
	r.current.Store(s)
	for _, o := range r.observers {
		o(s)
	}
}

// applyEncoded decodes and applies one log record. A record that cannot be decoded
// still advances the offset, since every daemon skips it alike. ok is false for such a
// record and for a duplicate.
func (s *State) applyEncoded(lr platform.LogRecord) (id ulid.ULID, out record.Outcome, ok bool) {
	var rec record.Record
	if err := record.Decode(lr.Data, &rec); err != nil {
		s.Offset = lr.Offset
		return id, out, false
	}
	if s.seenBefore(rec.ID) {
		s.Offset = lr.Offset
		return id, out, false
	}
	return rec.ID, s.apply(lr.Offset, rec), true
}

// Snapshot returns the offset and the CBOR encoding of the current state.
func (r *Replica) Snapshot() (offset uint64, data []byte, err error) {
	s := r.current.Load()
	data, err = record.Encode(s)
	return s.Offset, data, err
}

// Restore replaces the state with a snapshot that has a higher offset. An older
// snapshot is ignored, so the state never reverts.
func (r *Replica) Restore(data []byte) error {
	s := NewState()
	if err := record.Decode(data, s); err != nil {
		return eris.Wrap(err, "snapshot")
	}
	if s.StateVersion != StateVersion {
		return eris.Wrapf(ErrStateVersion, "%d, not %d", s.StateVersion, StateVersion)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Offset <= r.current.Load().Offset {
		return nil
	}
	r.tail = nil
	r.publish(s)
	return nil
}

// Tail returns up to limit records starting at offset from, or false if they are no
// longer kept.
func (r *Replica) Tail(from uint64, limit int) ([]platform.LogRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from > r.current.Load().Offset {
		return nil, true
	}
	if len(r.tail) == 0 || from < r.tail[0].Offset {
		return nil, false
	}
	recs := r.tail[from-r.tail[0].Offset:]
	if len(recs) > limit {
		recs = recs[:limit]
	}
	return append([]platform.LogRecord(nil), recs...), true
}

// awaitResult returns a channel that receives the result of the record, and a
// function that stops waiting. It must be called before the append.
func (r *Replica) awaitResult(id ulid.ULID) (<-chan ApplyResult, func()) {
	ch := make(chan ApplyResult, 1)
	r.waitersMu.Lock()
	r.waiters[id] = ch
	r.waitersMu.Unlock()
	return ch, func() {
		r.waitersMu.Lock()
		delete(r.waiters, id)
		r.waitersMu.Unlock()
	}
}

// deliverResult sends the result of a record to the caller that awaits it, if any.
func (r *Replica) deliverResult(id ulid.ULID, a ApplyResult) {
	r.waitersMu.Lock()
	defer r.waitersMu.Unlock()
	if ch, ok := r.waiters[id]; ok {
		ch <- a
		delete(r.waiters, id)
	}
}
