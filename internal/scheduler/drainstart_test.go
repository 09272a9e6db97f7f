package scheduler_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
)

// expectNoStartOnDrainingWorker has the list show that the only worker drains, and
// expects none of the starts to be sent there long after it.
func (p *crashPool) expectNoStartOnDrainingWorker(starts []scheduler.PlannedStart) {
	p.workers[0].listing.Draining = true
	p.list()
	p.passQuietly(longAfterShrink)
	p.g.ExpectWithOffset(1, p.orders(starts)).To(BeEmpty(), "starts sent to a draining worker")
}

// Guards against a start that waits, because the list of workers or the worker itself
// cannot be read, until its worker drains, and is sent then.
func TestStartThatWaitedIsNotSentToDrainingWorker(t *testing.T) {
	p := newCorePool(t, 2)
	p.pollWorkers()
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(2))
	p.expectNoStartOnDrainingWorker(starts)
}

// Guards against a start that got no answer and is sent again long after its worker
// has begun to drain.
func TestStartWithoutAnswerIsNotSentAgainToDrainingWorker(t *testing.T) {
	p := newCorePool(t, 2)
	p.pollWorkers()
	starts := p.plan()
	for _, o := range p.orders(starts) {
		p.core.StartAnswered(o, 0, verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"), p.now)
	}
	p.expectNoStartOnDrainingWorker(starts)
}
