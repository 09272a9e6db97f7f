package main

import "sync/atomic"

// stage is where this daemon stands in its life.
type stage struct{ v atomic.Int32 }

// The stages, in order.
const (
	stageStarting int32 = iota
	stageServing
	// stageDraining daemons are not ready, but still serve what reaches
	// them until the balancer has noticed.
	stageDraining
	stageStopped
)

func newStage() *stage { return &stage{} }

func (s *stage) set(v int32) { s.v.Store(v) }

// ready reports whether the balancer should send requests.
func (s *stage) ready() bool { return s.v.Load() == stageServing }

// serving reports whether requests that arrive are served.
func (s *stage) serving() bool {
	v := s.v.Load()
	return v == stageServing || v == stageDraining
}

// whileServing runs f if the daemon serves.
func (s *stage) whileServing(f func()) {
	if s.serving() {
		f()
	}
}
