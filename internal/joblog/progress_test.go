package joblog

import (
	"context"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/verdict"
)

// smallRecords are limits that a progress of some tasks exceeds.
var smallRecords = logstore.Limits{RecordBytes: 150, AppendBytes: 600}

// progressWith returns a progress of some tasks with checkpoints of a length.
func progressWith(tasks, checkpoint int) *job.Progress {
	j := job.New(job.Spec{ID: id, Steps: []job.Step{{Count: tasks}}}, job.Terms{Customer: "a", Entry: "e"})
	for k := range tasks {
		t := job.TaskID{Job: id, Index: k}
		j.Place(t, job.Location{Worker: job.Incarnation{ID: "w", StartedAt: 1}, Address: "127.0.0.1:1"})
		j.TaskStarted()
		j.SaveCheckpoint(t, strings.Repeat("c", checkpoint))
	}
	return &j.Progress
}

// storedLog is the newest values of a progress partition.
type storedLog map[string][]byte

func (l storedLog) append(e logstore.Entry) {
	if len(e.Value) == 0 {
		delete(l, e.Key)
	} else {
		l[e.Key] = e.Value
	}
}

func (l storedLog) page() ProgressPage {
	var recs []logstore.Record
	for key, value := range l {
		recs = append(recs, logstore.Record{Key: key, Value: value})
	}
	return DecodeProgressPage(recs)
}

// Guards against a progress that a record of the log does not hold, and against a next holder
// that reads parts of two: holders write progress of any size, and end between any two
// appends. The next one must read a whole progress, the last that was written completely or the
// one before, and delete what is left of others.
func TestDividedProgressIsReadWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		log, parts := storedLog{}, Parts{}
		var last *job.Progress
		for range rapid.IntRange(1, 8).Draw(rt, "writes") {
			p := progressWith(rapid.IntRange(1, 40).Draw(rt, "tasks"), rapid.IntRange(0, 30).Draw(rt, "checkpoint"))
			entries, next, err := ProgressEntries(id, p, parts, smallRecords)
			g.Expect(err).NotTo(HaveOccurred())
			appended := rapid.IntRange(0, len(entries)).Draw(rt, "appended")
			for _, e := range entries[:appended] {
				g.Expect(smallRecords.Check([]logstore.Entry{e})).To(Succeed())
				log.append(e)
			}
			if appended == len(entries) {
				parts, last = next, p
				continue
			}
			page := log.page()
			g.Expect(page.Malformed).To(BeEmpty())
			if len(page.Records) == 0 {
				g.Expect(last).To(BeNil())
			} else {
				rec := page.Records[0]
				g.Expect(rec.Progress).To(Or(Equal(p), Equal(last)))
				last, parts = rec.Progress, rec.Parts
			}
			for _, e := range page.Stale {
				log.append(e)
			}
			g.Expect(log.page().Stale).To(BeEmpty())
		}
		if last != nil {
			g.Expect(log.page().Records[0].Progress).To(Equal(last))
			g.Expect(log).To(HaveLen(1+parts.Count), "nothing is left of earlier ones")
		}
	})
}

// Guards against a state request that finds no phase or owner in a divided progress, and
// against a damaged one that passes for that of a job.
func TestMainRecordOfDividedProgress(t *testing.T) {
	g := NewWithT(t)
	entries, parts, err := ProgressEntries(id, progressWith(40, 30), Parts{}, smallRecords)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(parts.Count).To(BeNumerically(">", 3))
	log := storedLog{}
	for _, e := range entries {
		log.append(e)
	}
	rec, ok, err := DecodeProgress(logstore.Record{Key: kindJob + string(id), Value: log[kindJob+string(id)]})
	g.Expect(ok, err).To(BeTrue())
	g.Expect(rec.Progress.Phase).To(Equal(job.Running))
	g.Expect(rec.Progress.Owner()).To(Equal(job.Owner{Customer: "a", Entry: "e"}))
	delete(log, partKey(id, 1, 1))
	page := log.page()
	g.Expect(page.Malformed).To(HaveLen(1))
	g.Expect(page.Records[0].Progress.Fits(&job.Spec{Steps: []job.Step{{Count: 40}}})).To(BeFalse())
}

// Guards against a pool whose holder repeats for ever an append that the log refuses: one entry
// must cost only itself, and take a bounded number of calls.
func TestRefusedEntryCostsOnlyItself(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		l := logtest.New()
		j, err := OpenJournal(ctx, l.Client("a"), pool, 1)
		g.Expect(err).NotTo(HaveOccurred())
		l.SetLimits(smallRecords, logstore.DefaultLimits)
		list := entries(16)
		list[5].Value = make([]byte, 200)
		var refused *RefusedEntriesError
		g.Expect(j.Append(ctx, list)).To(BeAssignableToTypeOf(refused))
		g.Expect(j.Append(ctx, entries(1))).To(Succeed())
		g.Expect(records(ctx, g, l, ProgressPartition(pool))).To(HaveLen(16))
		g.Expect(l.Calls(logtest.Append)).To(BeNumerically("<", 20))
	})
}

// Guards against requests that fail because another one in their batch is too large.
func TestCommitterRefusesOnlyTheLargeEntry(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		l := logtest.New()
		l.SetLimits(smallRecords, logstore.DefaultLimits)
		c := NewCommitter(l.Client("a"), tally.NoopScope)
		list := entries(10)
		list[3].Value = make([]byte, 200)
		results := make(chan error, len(list))
		for i, e := range list {
			go func() {
				err := c.Append(ctx, IntakePartition(pool, id), e)
				if i == 3 && verdict.ReasonOf(err) == verdict.ReasonBadRequest {
					err = nil
				} else if err != nil {
					err = fmt.Errorf("%s: %w", e.Key, err)
				}
				results <- err
			}()
		}
		for range list {
			g.Expect(<-results).To(Succeed())
		}
		g.Expect(records(ctx, g, l, IntakePartition(pool, id))).To(HaveLen(9))
	})
}

// Guards against a job whose submission the log refuses: MaxEncodedBytes must not be less than
// what a job takes.
func TestSubmissionThatTheLogRefusesIsNoJob(t *testing.T) {
	g := NewWithT(t)
	big := Submission{Spec: job.Spec{ID: id, Steps: []job.Step{{Count: 1, Label: strings.Repeat("l", 262_144)}}}}
	g.Expect(CheckSubmission(&big, logstore.DefaultLimits)).NotTo(Succeed())
	big.Spec.Steps[0].Label = strings.Repeat("l", 200_000)
	g.Expect(CheckSubmission(&big, logstore.DefaultLimits)).To(Succeed())
	rapid.Check(t, func(rt *rapid.T) {
		s := Submission{Spec: job.Spec{ID: id, Payload: rapid.StringN(0, 50, 200).Draw(rt, "payload")}}
		for range rapid.IntRange(1, 5).Draw(rt, "steps") {
			s.Spec.Steps = append(s.Spec.Steps, job.Step{
				Count: 1 << 40, Need: job.Resources{CPU: 1 << 40, MemoryMB: 1 << 40, GPU: 1 << 40}, Estimate: 1 << 60,
				After:       rapid.SliceOfN(rapid.IntRange(0, 1<<40), 0, 20).Draw(rt, "after"),
				Checkpoints: true, Gang: true, SameRack: true, Label: "l", DataRack: "r", MaxPerWorker: 1 << 40,
				Speculative: true, LongRunning: true, Image: "i", TailLatencyTarget: 1 << 60, BestEffort: true, MaxUnavailable: 1 << 40,
			})
		}
		e, err := ProgressSubmissionEntry(&Submission{Spec: s.Spec})
		NewWithT(rt).Expect(err).NotTo(HaveOccurred())
		NewWithT(rt).Expect(len(e.Value)).To(BeNumerically("<=", s.Spec.MaxEncodedBytes()+maxOtherTermsBytes))
	})
}
