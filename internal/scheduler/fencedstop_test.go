package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/worker"
)

// fencingWorkers reject each stop, since they have seen a higher token.
type fencingWorkers struct{ worker.Control }

// Stop implements worker.Control.
func (fencingWorkers) Stop(context.Context, worker.Target, job.RunID, int64) (int64, error) {
	return 0, &worker.RejectedError{Reason: worker.ReasonFenced}
}

// The line on a stop that was rejected as fenced did not tell when the stop was sent.
func TestRunnerLogsHowLongAgoFencedStopWasSent(t *testing.T) {
	g := NewWithT(t)
	lines := &bytes.Buffer{}
	r := NewRunner(RunnerOptions{
		Options: Options{Pool: "p", Token: 2}, Log: logtest.New().Client("holder"), Clock: clock.System{}, Control: fencingWorkers{}, Duty: fullDuty{},
		Logger: zerolog.New(lines), Scope: tally.NoopScope,
	})
	r.core.addWorker(worker.NewState(listing("a"), r.opt.Clock.Now(), 0, worker.LeaseBounds{}))
	run := job.RunID{Task: job.TaskID{Job: "00000000000000aa"}, Number: 1}
	r.core.workers["a"].AddRun(worker.NewRun(run, job.Step{}, worker.RunConfirmed, r.opt.Clock.Now(), 0))
	r.sendStop(StopOrder{Worker: "a", Run: run, Token: 2, startedAt: 1})

	line, _, _ := bytes.Cut(lines.Bytes(), []byte("\n"))
	fields := map[string]any{}
	g.Expect(json.Unmarshal(line, &fields)).To(Succeed())
	g.Expect(fields).To(And(HaveKeyWithValue("message", "worker rejected an order as fenced"), HaveKeyWithValue("order", "stop")))
	g.Expect(fields).To(HaveKeyWithValue("sent_ago", BeNumerically(">=", startRetry.Milliseconds())))
}
