// Package bench compares strategies by which the daemons of a zone share its
// targets. It runs the product's scheduling code in virtual time against simulated
// targets, so that the result of a run depends only on its seed.
package bench

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Sim is an event queue on virtual time.
type Sim struct {
	now    time.Duration
	events eventHeap
	seq    uint64
	rng    *rand.Rand
}

// epoch is the wall clock time at virtual time 0.
var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// NewSim returns a simulation whose random choices depend only on seed.
func NewSim(seed uint64) *Sim {
	return &Sim{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Now returns the virtual wall clock time.
func (s *Sim) Now() time.Time { return epoch.Add(s.now) }

// At schedules f at virtual time t. Events at the same time run in the order in
// which they were added.
func (s *Sim) At(t time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, run: f})
}

// After schedules f after the delay d.
func (s *Sim) After(d time.Duration, f func()) { s.At(s.now+d, f) }

// Every runs f periodically until virtual time end.
func (s *Sim) Every(interval, end time.Duration, f func()) {
	s.After(interval, func() {
		f()
		if s.now < end {
			s.Every(interval, end, f)
		}
	})
}

// Run executes events until none is left.
func (s *Sim) Run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

func (h eventHeap) Less(i, k int) bool {
	if h[i].at != h[k].at {
		return h[i].at < h[k].at
	}
	return h[i].seq < h[k].seq
}

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = event{}
	*h = old[:last]
	return e
}
