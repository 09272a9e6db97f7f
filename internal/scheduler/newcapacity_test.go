package scheduler_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
)

// Guards against starts that go by the capacity of a worker's last incarnation: a poll
// may reach the next one, which may be smaller, before the list shows it.
func TestRestartedWorkerIsNotFilledByCapacityOfLastIncarnation(t *testing.T) {
	p := newCorePool(t, 4)
	p.pollWorkers()
	p.g.Expect(p.plan()).To(HaveLen(4))
	w := p.workers[0]
	old := w.listing
	w.crash()
	p.wait(simRestartTime)
	p.restart(w)
	w.listing.Capacity = job.Resources{CPU: 1000}
	next := w.listing
	for range 4 {
		p.wait(crashTick)
		// The list lags behind.
		w.listing = old
		p.list()
		w.listing = next
		p.pollWorkers()
		p.g.Expect(len(p.orders(p.plan()))).To(BeNumerically("<=", 1), "starts sent to a worker with room for one task")
	}
	p.list()
	p.pollWorkers()
	starts := p.plan()
	p.pollWorkers()
	p.g.Expect(p.orders(starts)).To(HaveLen(1), "the list shows the worker")
}
