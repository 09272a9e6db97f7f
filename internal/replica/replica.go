package replica

import (
	"sync"
	"sync/atomic"

	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

// Observer is told of every newly published state, in order. It must not
// block.
type Observer func(*State)

// Replica holds the current state and publishes each new one.
type Replica struct {
	cur atomic.Pointer[State]

	// mu serialises writers: Fold and Restore.
	mu        sync.Mutex
	observers []Observer
}

// New returns a replica at the state before the first record.
func New() *Replica {
	r := &Replica{}
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
	var next *State
	for _, lr := range recs {
		if next == nil && lr.Offset == cur.Offset+1 {
			next = cur.clone()
		}
		if next == nil || lr.Offset != next.Offset+1 {
			continue
		}
		next.applyData(lr)
	}
	if next == nil {
		return cur.Offset
	}
	r.publish(next)
	return next.Offset
}

// publish must be called with mu held, so that observers see states in order.
func (r *Replica) publish(s *State) {
	r.cur.Store(s)
	for _, o := range r.observers {
		o(s)
	}
}

// applyData folds one log record. A record that cannot be decoded still
// advances the offset: every daemon passes over it alike.
func (s *State) applyData(lr platform.LogRecord) {
	var rec record.Record
	if err := record.Decode(lr.Data, &rec); err != nil {
		s.Offset = lr.Offset
		return
	}
	s.apply(lr.Offset, rec)
}
