package scheduler_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

// newGangPool returns a pool of two workers with a job of a gang of two, one on each.
func newGangPool(t *testing.T) *crashPool {
	p := newCorePool(t, 2)
	p.sub.Spec.Steps[0].Gang = true
	p.sub.Spec.Steps[0].MaxPerWorker = 1
	p.addWorker("b", "b")
	p.takeOver()
	p.pollWorkers()
	return p
}

// startFirst starts the first member of a gang, which then waits for the other.
func (p *crashPool) startFirst(starts []scheduler.PlannedStart) {
	o, send := p.startOrder(starts[0])
	p.g.Expect(send).To(Equal(scheduler.SendNow))
	w := p.worker(o.Worker)
	w.runs = append(w.runs, o.Order.Run)
	p.core.StartAnswered(o, p.clock(w), nil, p.now)
}

// expectStopOfFirst expects that the first member is stopped.
func (p *crashPool) expectStopOfFirst(starts []scheduler.PlannedStart) {
	var stopped []any
	for _, o := range p.core.StopOrders() {
		stopped = append(stopped, o.Run)
	}
	p.g.ExpectWithOffset(1, stopped).To(ContainElement(starts[0].Run))
}

// Guards against members of a gang that wait until they time out for one that was not
// started, because its start was rejected.
func TestGangIsStoppedWhenStartOfMemberIsRejected(t *testing.T) {
	p := newGangPool(t)
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(2))
	p.startFirst(starts)
	o, send := p.startOrder(starts[1])
	p.g.Expect(send).To(Equal(scheduler.SendNow))
	p.core.StartAnswered(o, 0, &worker.RejectedError{Reason: worker.ReasonUnhealthy}, p.now)
	p.expectStopOfFirst(starts)
}

// Guards against members of a gang that wait until they time out for one whose worker
// fell silent before its start was sent.
func TestGangIsStoppedWhenStartOfMemberIsNotSent(t *testing.T) {
	p := newGangPool(t)
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(2))
	p.startFirst(starts)
	p.worker(starts[1].Worker).crash()
	p.poll(p.worker(starts[1].Worker))
	p.plan()
	p.expectStopOfFirst(starts)
}
