package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// Guards against a run that goes on for good (UNASKED) because its worker answered the stop
// and did not carry it out: no event had the stop sent again.
func TestStopWithoutEffectIsSentAgain(t *testing.T) {
	p := newCrashPool(t)
	w := p.awaitStart()
	p.g.Expect(w).NotTo(BeNil())
	p.core.Cancel(crashJob, p.now)
	for range 2 {
		stops := p.core.StopOrders()
		p.g.Expect(stops).To(HaveLen(1))
		p.core.StopAnswered(stops[0], p.clock(w), nil, p.now)
		p.g.Expect(p.core.StopOrders()).To(BeEmpty(), "it was answered")
		p.wait(2 * time.Second)
		p.pollWorkers()
	}
}

// Guards against the cordon of a worker that went while the pool changed hands, which no
// event would delete from the log.
func TestCordonOfWorkerThatIsGoneIsDeleted(t *testing.T) {
	p := newCrashPool(t)
	p.addWorker("b", "b")
	p.list()
	p.core.Cordon("b", "test", false)
	p.plan()
	p.g.Expect(p.log).To(HaveKey("wb"))
	p.workers = p.workers[:1]
	p.takeOver()
	p.plan()
	p.g.Expect(p.log).NotTo(HaveKey("wb"))
}

// Guards against a best-effort run whose speed is not changed any more since the answer to
// a change was lost with an earlier incarnation of its worker.
func TestSpeedOrderInFlightEndsWithTheIncarnation(t *testing.T) {
	g := NewWithT(t)
	s := worker.NewState(worker.Listing{Incarnation: job.Incarnation{ID: "a", StartedAt: 1}, Address: "a"}, 0, 0, worker.LeaseBounds{})
	r := &worker.Run{ID: job.RunID{Task: job.TaskID{Job: crashJob}, Number: 1}, State: worker.RunConfirmed, SpeedInFlight: true, SpeedAtWorker: 50}
	s.AddRun(r)
	s.ReplaceIncarnation(worker.Listing{Incarnation: job.Incarnation{ID: "a", StartedAt: 2}}, time.Second)
	g.Expect(r.SpeedInFlight).To(BeFalse())
	g.Expect(r.SpeedAtWorker).To(Equal(worker.SpeedUnknown))
}
