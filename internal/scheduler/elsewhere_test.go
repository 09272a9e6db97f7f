package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/worker"
)

// Guards against a pool that is not scheduled for as long as it takes to ask daemons that do
// not answer about one submission after the other.
func TestSubmissionsWaitOnceForPoolsThatDoNotAnswer(t *testing.T) {
	g := NewWithT(t)
	log := logtest.New().Client("holder")
	r := NewRunner(RunnerOptions{
		Options: Options{Pool: "p"}, Log: log, Clock: clock.System{}, Duty: fullDuty{}, Logger: zerolog.Nop(), Scope: tally.NoopScope,
		Registry: worker.NewRegistry(worker.RegistryOptions{Log: log, Logger: zerolog.Nop(), Scope: tally.NoopScope}),
		AcceptedElsewhere: func(ctx context.Context, _ *joblog.Submission) bool {
			clock.Sleep(ctx, time.Second)
			return false
		},
	})
	var records []joblog.IntakeRecord
	for i := range 4 * maxElsewhereCalls {
		id := job.ID(fmt.Sprintf("%016x", i))
		records = append(records, joblog.IntakeRecord{ID: id, Submission: &joblog.Submission{Spec: job.Spec{ID: id}}})
	}
	start := time.Now()
	g.Expect(r.dropAcceptedElsewhere(t.Context(), records)).To(HaveLen(len(records)))
	g.Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
}
