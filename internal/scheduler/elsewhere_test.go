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

// dropElsewhere has a runner drop those of n new submissions that another pool has accepted,
// and returns how many are left and how long it took.
func dropElsewhere(t *testing.T, n int, accepted func(context.Context, *joblog.Submission) bool) (left int, took time.Duration) {
	log := logtest.New().Client("holder")
	r := NewRunner(RunnerOptions{
		Options: Options{Pool: "p"}, Log: log, Clock: clock.System{}, Duty: fullDuty{}, Logger: zerolog.Nop(), Scope: tally.NoopScope,
		Registry:          worker.NewRegistry(worker.RegistryOptions{Log: log, Logger: zerolog.Nop(), Scope: tally.NoopScope}),
		AcceptedElsewhere: accepted,
	})
	var records []joblog.IntakeRecord
	for i := range n {
		id := job.ID(fmt.Sprintf("%016x", i))
		records = append(records, joblog.IntakeRecord{ID: id, Submission: &joblog.Submission{Spec: job.Spec{ID: id}}})
	}
	start := time.Now()
	left = len(r.dropAcceptedElsewhere(t.Context(), records))
	return left, time.Since(start)
}

// Guards against a pool that is not scheduled for as long as it takes to ask daemons that do
// not answer about one submission after the other.
func TestSubmissionsWaitOnceForPoolsThatDoNotAnswer(t *testing.T) {
	g := NewWithT(t)
	left, took := dropElsewhere(t, 4*maxElsewhereCalls, func(ctx context.Context, _ *joblog.Submission) bool {
		clock.Sleep(ctx, 2*maxElsewhereTime)
		return false
	})
	g.Expect(left).To(Equal(4 * maxElsewhereCalls))
	g.Expect(took).To(BeNumerically("<", 2*time.Second))
}

// Guards against jobs that run in two pools: with many submissions, the other pools were not
// asked about the last ones although they answer.
func TestAnsweringPoolsAreAskedAboutEverySubmission(t *testing.T) {
	left, _ := dropElsewhere(t, 16*maxElsewhereCalls, func(ctx context.Context, _ *joblog.Submission) bool {
		return clock.Sleep(ctx, 100*time.Millisecond)
	})
	NewWithT(t).Expect(left).To(BeZero())
}
