package main

import "sync/atomic"

// stage is the phase of this daemon's lifecycle.
type stage struct{ value atomic.Int32 }

// The stages, in order.
const (
	stageStarting int32 = iota
	stageServing
	// stageDraining means that the daemon is not ready, but still serves the
	// requests that arrive until the balancer has noticed.
	stageDraining
	stageStopped
)

func newStage() *stage { return &stage{} }

func (s *stage) set(v int32) { s.value.Store(v) }

// ready reports whether the balancer should send requests.
func (s *stage) ready() bool { return s.value.Load() == stageServing }

// serving reports whether requests that arrive are served.
func (s *stage) serving() bool {
	v := s.value.Load()
	return v == stageServing || v == stageDraining
}

// whileServing runs f if the daemon is serving.
func (s *stage) whileServing(f func()) {
	if s.serving() {
		f()
	}
}
