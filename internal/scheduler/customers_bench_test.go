package scheduler_test

import (
	"testing"

	"greengagedeck/internal/scheduler"
)

// BenchmarkCustomersOfFullPool measures a query for the customers of a pool in which
// thousands of jobs wait. It holds up the plans of the pool meanwhile.
func BenchmarkCustomersOfFullPool(b *testing.B) {
	p := newFullPoolCore(b, 300, 8000)
	p.plan()
	p.plan()
	h := scheduler.HolderState{Phase: scheduler.PhaseWaiting, PlannedAt: p.now.Now}
	for b.Loop() {
		p.core.Customers(p.now.Now, h)
	}
}
