package replica

import (
	"sync"
	"sync/atomic"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

// ErrFoldVersion means that a snapshot was made by another version of the
// fold.
var ErrFoldVersion = eris.New("snapshot of another fold version")

// tailLength is how many of the last log records are kept for peers.
const tailLength = 4096

// Observer is told of every newly published state, in order. It must not
// block.
type Observer func(*State)

// Applied is what became of one record.
type Applied struct {
	Offset  uint64
	Outcome record.Outcome
}

// Replica holds the current state and publishes each new one. Published
// offsets only grow.
type Replica struct {
	cur atomic.Pointer[State]

	// mu serialises writers: Fold and Restore.
	mu        sync.Mutex
	observers []Observer
	// tail holds the last folded log records without gaps; its last offset
	// is that of the published state.
	tail []platform.LogRecord

	waitMu  sync.Mutex
	waiters map[ulid.ULID]chan Applied
}

// New returns a replica at the state before the first record.
func New() *Replica {
	r := &Replica{waiters: map[ulid.ULID]chan Applied{}}
	r.cur.Store(NewState())
	return r
}

// State returns the current state. Callers must not change it.
func (r *Replica) State() *State { return r.cur.Load() }

// Observe registers o. It must be called before the first Fold.
func (r *Replica) Observe(o Observer) { r.observers = append(r.observers, o) }

// Fold applies records in offset order. Records that were folded before are
// passed over; folding stops at a gap. It returns the offset reached.
func (r *Replica) Fold(recs []platform.LogRecord) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	cur := r.cur.Load()
	next := cur
	for _, lr := range recs {
		if lr.Offset != next.Offset+1 {
			continue
		}
		if next == cur {
			next = cur.clone()
		}
		r.foldOne(next, lr)
	}
	if next != cur {
		r.publish(next)
	}
	return next.Offset
}

func (r *Replica) foldOne(s *State, lr platform.LogRecord) {
	id, out, ok := s.applyData(lr)
	r.tail = append(r.tail, lr)
	if len(r.tail) > tailLength {
		r.tail = r.tail[1:]
	}
	if ok {
		r.notify(id, Applied{Offset: lr.Offset, Outcome: out})
	}
}

// publish must be called with mu held, so that observers see states in order.
func (r *Replica) publish(s *State) {
	r.cur.Store(s)
	for _, o := range r.observers {
		o(s)
	}
}

// applyData folds one log record. A record that cannot be decoded still
// advances the offset: every daemon passes over it alike. ok is false for
// such a record and for a repeated one.
func (s *State) applyData(lr platform.LogRecord) (id ulid.ULID, out record.Outcome, ok bool) {
	var rec record.Record
	if err := record.Decode(lr.Data, &rec); err != nil {
		s.Offset = lr.Offset
		return id, out, false
	}
	if s.repeated(rec.ID) {
		s.Offset = lr.Offset
		return id, out, false
	}
	return rec.ID, s.apply(lr.Offset, rec), true
}

// Snapshot returns the CBOR form of the current state.
func (r *Replica) Snapshot() (offset uint64, data []byte, err error) {
	s := r.cur.Load()
	data, err = record.Encode(s)
	return s.Offset, data, err
}

// Restore replaces the state by a snapshot that is further on. An older
// snapshot changes nothing, so the state never reverts.
func (r *Replica) Restore(data []byte) error {
	s := NewState()
	if err := record.Decode(data, s); err != nil {
		return eris.Wrap(err, "snapshot")
	}
	if s.FoldVersion != FoldVersion {
		return eris.Wrapf(ErrFoldVersion, "%d, not %d", s.FoldVersion, FoldVersion)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Offset <= r.cur.Load().Offset {
		return nil
	}
	r.tail = nil
	r.publish(s)
	return nil
}

// Tail returns up to limit records from offset from on, or false when they are
// no longer kept.
func (r *Replica) Tail(from uint64, limit int) ([]platform.LogRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from > r.cur.Load().Offset {
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

// await returns a channel that receives what becomes of the record, and a
// function that gives up waiting. It must be called before the append.
func (r *Replica) await(id ulid.ULID) (<-chan Applied, func()) {
	ch := make(chan Applied, 1)
	r.waitMu.Lock()
	r.waiters[id] = ch
	r.waitMu.Unlock()
	return ch, func() {
		r.waitMu.Lock()
		delete(r.waiters, id)
		r.waitMu.Unlock()
	}
}

func (r *Replica) notify(id ulid.ULID, a Applied) {
	r.waitMu.Lock()
	defer r.waitMu.Unlock()
	if ch, ok := r.waiters[id]; ok {
		ch <- a
		delete(r.waiters, id)
	}
}
