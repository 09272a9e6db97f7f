package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
)

// unansweredStartPatience is how long a task may wait for a worker that answers polls
// and does not answer its start.
const unansweredStartPatience = 9 * time.Second

// answerStops has the workers answer all stops.
func (p *crashPool) answerStops() {
	for _, o := range p.core.StopOrders() {
		p.core.StopAnswered(o, p.clock(p.worker(o.Worker)), nil, p.now)
	}
}

// Guards against a task that waits for ever for a worker which answers polls, and
// never the order to start the task.
func TestTaskIsPlacedElsewhereWhenStartsGetNoAnswer(t *testing.T) {
	p := newCorePool(t, 1)
	p.addWorker("b", "b")
	p.list()
	p.pollWorkers()
	starts := p.plan()
	p.g.Expect(starts).To(HaveLen(1))
	first := starts[0].Worker
	for range int(unansweredStartPatience / crashTick) {
		for _, s := range starts {
			if o, send := p.core.StartOrder(s.Run, s.Worker, p.now.Now, time.Second); send == scheduler.SendNow {
				p.core.StartAnswered(o, 0, verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"), p.now)
			}
		}
		p.passQuietly(crashTick)
		p.answerStops()
		starts = append(starts, p.plan()...)
	}
	p.g.Expect(len(starts)).To(BeNumerically(">", 1), "the task is placed again")
	p.g.Expect(starts[1].Worker).NotTo(Equal(first))
}
