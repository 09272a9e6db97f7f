// Package bench compares ways for the daemons of a zone to share its targets.
// It drives the product's own scheduling code on virtual time against fake
// targets, so that a run depends on its seed alone.
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

// epoch is the wall clock at virtual time 0.
var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// NewSim returns a simulation whose random choices follow from seed.
func NewSim(seed uint64) *Sim {
	return &Sim{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Now returns the virtual wall clock.
func (s *Sim) Now() time.Time { return epoch.Add(s.now) }

// At runs f at virtual time t. Events of one time run in the order they were
// added.
func (s *Sim) At(t time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, run: f})
}

// After runs f once d has passed.
func (s *Sim) After(d time.Duration, f func()) { s.At(s.now+d, f) }

// Every runs f at each interval until virtual time end.
func (s *Sim) Every(interval, end time.Duration, f func()) {
	s.After(interval, func() {
		f()
		if s.now < end {
			s.Every(interval, end, f)
		}
	})
}

// Run runs events until none is left.
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
