package scheduler

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
)

// sortedFromScratch returns what the queue should hold: the waiting groups of all
// open jobs, sorted.
func sortedFromScratch(c *Core, now time.Duration) []pendingGroup {
	var out []pendingGroup
	for j := range c.openJobs.all() {
		out = append(out, j.pendingGroups()...)
	}
	slices.SortStableFunc(out, func(a, b pendingGroup) int {
		return cmp.Or(
			cmp.Compare(a.job.Terms.Priority, b.job.Terms.Priority),
			cmp.Compare(a.class(now), b.class(now)),
			cmp.Compare(a.latestStart, b.latestStart),
		)
	})
	return out
}

// collect returns the groups of a sequence.
func collect(groups iter.Seq[*pendingGroup]) []pendingGroup {
	var out []pendingGroup
	for pg := range groups {
		out = append(out, *pg)
	}
	return out
}

// collectTurns returns the groups in the order in which a plan places them that places none.
func collectTurns(c *Core, now time.Duration) []pendingGroup {
	var out []pendingGroup
	for pg := range c.newTurnOrder(c.index.nodes, now).groups() {
		out = append(out, *pg)
	}
	return out
}

func describe(groups []pendingGroup) []string {
	var out []string
	for _, pg := range groups {
		out = append(out, fmt.Sprintf("%s step %d tasks %v", pg.job.Spec.ID, pg.group.Step, pg.group.Waiting))
	}
	return out
}

// Updated only for the jobs that changed, the queue holds the same groups in the
// same order as one that is built anew for every plan.
func TestQueueUpdatedIncrementallyEqualsRebuiltQueue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		times := Times{Now: time.Hour, Wall: 1_700_000_000_000}
		c := NewCore(Options{Pool: "p", StatusRetention: time.Minute, Logger: zerolog.Nop()}, times.Now)
		var ids []job.ID
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			times.Now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "pause_ms")) * time.Millisecond
			switch action := rapid.IntRange(0, 4).Draw(rt, "action"); {
			case action <= 1 || len(ids) == 0:
				s := drawSubmission(rt, len(ids), times)
				ids = append(ids, s.Spec.ID)
				c.Submit(s, times)
			case action == 2:
				c.Cancel(rapid.SampledFrom(ids).Draw(rt, "cancelled"), times)
			case action == 3:
				c.Withdraw(rapid.SampledFrom(ids).Draw(rt, "withdrawn"))
			default:
				changeRuns(rt, c, c.jobs[rapid.SampledFrom(ids).Draw(rt, "changed")])
			}
			want := describe(sortedFromScratch(c, times.Now))
			if got := describe(collect(c.queue(times.Now))); !slices.Equal(got, want) {
				rt.Fatalf("queue %v, want %v", got, want)
			}
			if got := describe(collectTurns(c, times.Now)); !slices.Equal(got, want) {
				rt.Fatalf("order without customers %v, want %v", got, want)
			}
		}
	})
}

func drawSubmission(rt *rapid.T, number int, t Times) *joblog.Submission {
	spec := job.Spec{ID: job.ID(fmt.Sprintf("%016x", number))}
	for i := range rapid.IntRange(1, 2).Draw(rt, "steps") {
		st := job.Step{
			Count:       rapid.IntRange(1, 3).Draw(rt, "count"),
			Estimate:    time.Duration(rapid.IntRange(0, 3).Draw(rt, "estimate")) * 300 * time.Millisecond,
			LongRunning: i == 0 && rapid.IntRange(0, 3).Draw(rt, "long_running") == 0,
		}
		if i > 0 {
			st.After = []int{0}
		}
		spec.Steps = append(spec.Steps, st)
	}
	terms := job.Terms{
		Priority: rapid.IntRange(0, 1).Draw(rt, "priority"), MaxAttempts: 2, StretchFactor: 1.5,
		Customer: rapid.SampledFrom([]job.CustomerID{"", "a", "b", "c"}).Draw(rt, "customer"),
	}
	return &joblog.Submission{Spec: spec, Terms: terms, AcceptedAt: t.Wall}
}

// changeRuns starts a waiting task of a job or ends an active one.
func changeRuns(rt *rapid.T, c *Core, j *trackedJob) {
	if j == nil {
		return
	}
	if runs := j.ActiveRuns(); len(runs) > 0 && rapid.Bool().Draw(rt, "end") {
		reason := rapid.SampledFrom([]job.EndReason{job.EndDone, job.EndFailed, job.EndStopped}).Draw(rt, "reason")
		j.EndRun(rapid.SampledFrom(runs).Draw(rt, "run"), reason, "", 0)
		c.markDirty(j)
		return
	}
	for _, g := range j.WaitingGroups() {
		j.Place(job.TaskID{Job: j.Spec.ID, Occurrence: g.Occurrence, Step: g.Step, Index: g.Waiting[0]}, job.Location{})
		c.markDirty(j)
		return
	}
}
