package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
)

// silentTime is how long workers are silent before they restart in these tests.
const silentTime = 2*simMaxLease + 5*time.Second

// Guards against a job that is given up for workers which restarted while its task ran
// elsewhere, long after it had started on a worker that survived it.
func TestSurvivedTaskIsNotGivenUpForEarlierRuns(t *testing.T) {
	p := newCrashPool(t)
	p.sub.Spec.Steps[0].LongRunning = true
	p.addWorker("b", "b")
	p.addWorker("c", "c")
	p.takeOver()
	var silent []*crashWorker
	for range 2 {
		w := p.awaitStart()
		p.g.Expect(w).NotTo(BeNil())
		w.crash()
		silent = append(silent, w)
	}
	p.g.Expect(p.awaitStart()).NotTo(BeNil())
	p.ticks(silentTime)
	for _, w := range silent {
		p.restart(w)
	}
	p.ticks(silentTime)
	phase, _ := p.core.Lookup(crashJob)
	p.g.Expect(phase).To(Equal(job.Running))
}
