package scheduler_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

const (
	msgLeaseExpired = "lease of an unreachable worker expired, run counts as lost"
	msgReported     = "worker reports a run that had counted as ended"
)

// linesWith returns the lines of a log that have a message.
func linesWith(g *WithT, log *bytes.Buffer, msg string) []map[string]any {
	var out []map[string]any
	for line := range bytes.Lines(log.Bytes()) {
		fields := map[string]any{}
		g.Expect(json.Unmarshal(line, &fields)).To(Succeed())
		if fields["message"] == msg {
			out = append(out, fields)
		}
	}
	return out
}

// loseRun has a core start a run on worker a, which falls silent until the run counts as
// ended. It returns the run and the lines of the core.
func loseRun(g *WithT, now *scheduler.Times) (*scheduler.Core, job.RunID, *bytes.Buffer) {
	log := &bytes.Buffer{}
	c := newLostWorkerCore(*now)
	scheduler.LogTo(c, zerolog.New(log))
	run := planStarts(g, c, *now)[0].Run
	o, send := c.StartOrder(run, "a", now.Now, simDutyLease)
	g.Expect(send).To(Equal(scheduler.SendNow))
	c.StartAnswered(o, now.Now.Milliseconds(), nil, *now)
	for lost := now.Now; now.Now < lost+lostWorkerDeadline; now.Now += lostWorkerRetry {
		c.PollFailed(c.Poll("a", now.Now, simDutyLease), errNotConnected, *now)
		planStarts(g, c, *now)
		if len(linesWith(g, log, msgLeaseExpired)) > 0 {
			break
		}
	}
	return c, run, log
}

// A task that ran twice after the end of a lease could not be traced: no line told what the
// holder went by, nor that the worker had the run for longer.
func TestRunThatOutlivesItsLeaseIsLogged(t *testing.T) {
	g := NewWithT(t)
	now := scheduler.Times{Now: 2 * time.Hour, Wall: 1_700_000_000_000}
	c, run, log := loseRun(g, &now)
	expired := linesWith(g, log, msgLeaseExpired)
	g.Expect(expired).To(HaveLen(1))
	g.Expect(expired[0]).To(HaveKeyWithValue("lease_at_reading", BeNumerically("==", simLease.Milliseconds())))
	g.Expect(expired[0]).To(HaveKeyWithValue("reading_age", BeNumerically(">", simLease.Milliseconds())))
	g.Expect(expired[0]).To(HaveKeyWithValue("lease_over", BeNumerically(">", 0)))
	g.Expect(linesWith(g, log, "run ended")).To(ContainElement(HaveKeyWithValue("ended_for", "lease-expired")))

	now.Now += time.Second
	report := worker.Report{StartedAt: 1, Clock: now.Now.Milliseconds(), Running: []worker.RunStatus{{Run: run}}}
	c.PollSucceeded(c.Poll("a", now.Now, simDutyLease), report, now)
	report.Running, report.Ended = nil, []worker.RunEnd{{Number: 1, Run: run, Reason: job.EndLeaseExpired}}
	for range 2 {
		c.PollSucceeded(c.Poll("a", now.Now, simDutyLease), report, now)
	}
	lines := linesWith(g, log, msgReported)
	g.Expect(lines).To(HaveLen(2), "one line for the active run and one for its end")
	for k, how := range []string{"active", string(job.EndLeaseExpired)} {
		g.Expect(lines[k]).To(And(HaveKeyWithValue("how", how), HaveKeyWithValue("worker", "a"), HaveKeyWithValue("ended_for", "lease-expired")))
		g.Expect(lines[k]).To(HaveKeyWithValue("ago", BeNumerically(">=", time.Second.Milliseconds())))
	}
	outlived, lateEnds := scheduler.LateReports(c, now)
	g.Expect(outlived).To(BeEquivalentTo(1))
	g.Expect(lateEnds).To(BeEquivalentTo(1))
}

// The memory of runs that counted as ended is bounded in number and in time.
func TestRunsThatCountedAsEndedAreForgotten(t *testing.T) {
	g := NewWithT(t)
	runs := make([]job.RunID, 2*scheduler.MaxUnseenEnds)
	for k := range runs {
		runs[k] = job.RunID{Task: job.TaskID{Job: job.ID(fmt.Sprint(k))}, Number: 1}
	}
	g.Expect(scheduler.RememberedUnseenEnds(runs, 0)).To(Equal(scheduler.MaxUnseenEnds))
	g.Expect(scheduler.RememberedUnseenEnds(runs, scheduler.UnseenEndWindow)).To(Equal(1))
}

// After a task ran twice it could not be told which leases its second holder had waited for.
func TestTakeoverLogsLeasesOfEarlierHolders(t *testing.T) {
	g := NewWithT(t)
	log := &bytes.Buffer{}
	c := scheduler.NewCore(scheduler.Options{
		Pool: simPool, Token: 7, PreviousToken: 6, MaxLease: simMaxLease, EarlierHolders: simDutyLease, Logger: zerolog.New(log),
	}, time.Hour)
	record := &joblog.EarlierLeases{Token: 6, RemainingMillis: map[string]int64{"a": 1000}}
	now := time.Hour + 100*time.Millisecond
	c.Restore([]joblog.ProgressRecord{{EarlierLeases: record}}, scheduler.Times{Now: now})
	scheduler.LogEarlierLeases(c, now)
	lines := linesWith(g, log, "workers may hold leases of earlier holders")
	g.Expect(lines).To(HaveLen(1))
	remaining := scheduler.EarlierLeasesEnd(c) - now
	g.Expect(lines[0]).To(And(
		HaveKeyWithValue("token", BeNumerically("==", 7)), HaveKeyWithValue("previous_token", BeNumerically("==", 6)),
		HaveKeyWithValue("earlier_holders", BeNumerically("==", simDutyLease.Milliseconds())),
		HaveKeyWithValue("leases_remaining", BeNumerically("~", remaining.Milliseconds(), 1)),
		HaveKeyWithValue("recorded_workers", BeNumerically("==", 1)),
		HaveKeyWithValue("recorded_remaining", BeNumerically(">=", 1000))))
}
