package joblog

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/verdict"
)

const (
	pool        = "p"
	id   job.ID = "00000000000000aa"
)

// runInVirtualTime runs a test in a synctest bubble.
func runInVirtualTime(t *testing.T, test func(ctx context.Context, g *WithT)) {
	synctest.Test(t, func(t *testing.T) { test(t.Context(), NewWithT(t)) })
}

func records(ctx context.Context, g *WithT, l *logtest.Log, p logstore.Partition) []logstore.Record {
	b, err := l.Client("reader").Read(ctx, p, 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	return b.Records
}

func entries(n int) []logstore.Entry {
	out := make([]logstore.Entry, n)
	for i := range out {
		out[i] = logstore.Entry{Key: fmt.Sprint("k", i), Value: []byte("v")}
	}
	return out
}

func TestJournalFencesEarlierHolder(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		l := logtest.New()
		old, err := OpenJournal(ctx, l.Client("a"), pool, 3)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(old.Append(ctx, entries(1))).To(Succeed())
		next, err := OpenJournal(ctx, l.Client("b"), pool, 4)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(old.Append(ctx, entries(1))).To(MatchError(logstore.ErrFenced))
		g.Expect(next.Append(ctx, entries(2))).To(Succeed())
		_, err = OpenJournal(ctx, l.Client("a"), pool, 3)
		g.Expect(err).To(MatchError(logstore.ErrFenced))
		g.Expect(records(ctx, g, l, ProgressPartition(pool))).To(HaveLen(3))
	})
}

func TestJournalRetryAppendsOnce(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		l := logtest.New()
		j, err := OpenJournal(ctx, l.Client("a"), pool, 1)
		g.Expect(err).NotTo(HaveOccurred())
		calls := 0
		l.SetFault(func(logtest.Call) logtest.Fault {
			calls++
			return logtest.Fault{NoResponse: calls < 3, Executed: true}
		})
		g.Expect(j.Append(ctx, entries(2))).To(Succeed())
		g.Expect(calls).To(Equal(3))
		l.SetFault(nil)
		g.Expect(j.Append(ctx, entries(1))).To(Succeed())
		g.Expect(records(ctx, g, l, ProgressPartition(pool))).To(HaveLen(3))
	})
}

func TestJournalStopsRetryingWhenContextEnds(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		l := logtest.New()
		j, err := OpenJournal(ctx, l.Client("a"), pool, 1)
		g.Expect(err).NotTo(HaveOccurred())
		l.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Rejected: true} })
		short, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		g.Expect(j.Append(short, entries(1))).NotTo(Succeed())
		g.Expect(short.Err()).To(HaveOccurred())
	})
}

func TestLargeAppendsAreSplit(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		l := logtest.New()
		j, err := OpenJournal(ctx, l.Client("a"), pool, 1)
		g.Expect(err).NotTo(HaveOccurred())
		big := entries(10)
		for i := range big {
			big[i].Value = make([]byte, logstore.DefaultLimits.ValueBytes(big[i].Key))
		}
		before := l.Calls(logtest.Append)
		g.Expect(j.Append(ctx, big)).To(Succeed())
		g.Expect(l.Calls(logtest.Append) - before).To(BeNumerically(">=", 3))
		g.Expect(records(ctx, g, l, ProgressPartition(pool))).To(HaveLen(10))
	})
}

func TestCommitterBatchesAppends(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		l := logtest.New()
		c := NewCommitter(l.Client("a"), tally.NoopScope)
		done := make(chan error, 20)
		for _, e := range entries(cap(done)) {
			go func() { done <- c.Append(ctx, IntakePartition(pool, id), e) }()
		}
		for range cap(done) {
			g.Expect(<-done).To(Succeed())
		}
		g.Expect(l.Calls(logtest.Append)).To(Equal(1))
		g.Expect(records(ctx, g, l, IntakePartition(pool, id))).To(HaveLen(cap(done)))
	})
}

// TestCommitterNotRunMeansNotStored checks that the committer never answers
// not-run for an entry that is in the log or gets there later.
func TestCommitterNotRunMeansNotStored(t *testing.T) {
	for name, fault := range map[string]func(call int) logtest.Fault{
		"rejected":                     func(int) logtest.Fault { return logtest.Fault{Rejected: true} },
		"no response":                  func(int) logtest.Fault { return logtest.Fault{NoResponse: true} },
		"executed late":                func(int) logtest.Fault { return logtest.Fault{NoResponse: true, Executed: true} },
		"executed late, then rejected": func(n int) logtest.Fault { return logtest.Fault{NoResponse: n == 1, Executed: true, Rejected: n > 1} },
		"rejected, then accepted":      func(n int) logtest.Fault { return logtest.Fault{Rejected: n == 1} },
	} {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(ctx context.Context, g *WithT) {
				l := logtest.New()
				calls := 0
				l.SetFault(func(logtest.Call) logtest.Fault { calls++; return fault(calls) })
				c := NewCommitter(l.Client("a"), tally.NoopScope)
				short, cancel := context.WithTimeout(ctx, 2*time.Second)
				defer cancel()
				err := c.Append(short, IntakePartition(pool, id), entries(1)[0])
				time.Sleep(10 * time.Second)
				l.SetFault(nil)
				stored := len(records(ctx, g, l, IntakePartition(pool, id))) > 0
				if err == nil {
					g.Expect(stored).To(BeTrue())
				}
				if stored {
					g.Expect(verdict.Of(err)).NotTo(Equal(verdict.NotRun))
				}
			})
		})
	}
}

func TestCommitterRejectsAtOnceWhileLogIsDown(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		l := logtest.New()
		l.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Rejected: true} })
		start := time.Now()
		err := NewCommitter(l.Client("a"), tally.NoopScope).Append(ctx, IntakePartition(pool, id), entries(1)[0])
		g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
		g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

func TestFindPhase(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		l := logtest.New()
		c := l.Client("a")
		put := func(p logstore.Partition, e logstore.Entry, err error) {
			g.Expect(err).NotTo(HaveOccurred())
			_, err = c.Append(ctx, p, []logstore.Entry{e}, logstore.Condition{})
			g.Expect(err).NotTo(HaveOccurred())
		}
		_, err := FindPhase(ctx, c, pool, id, job.Requester{})
		g.Expect(err).To(MatchError(ErrNotFound))
		e, err := IntakeSubmissionEntry(Submission{Spec: job.Spec{ID: id}})
		put(IntakePartition(pool, id), e, err)
		other, err := IntakeSubmissionEntry(Submission{Spec: job.Spec{ID: "00000000000000ab"}})
		put(IntakePartition(pool, "00000000000000ab"), other, err)
		g.Expect(FindPhase(ctx, c, pool, id, job.Requester{})).To(Equal(job.Queued))
		e, err = ProgressEntry(id, &job.Progress{Phase: job.Running, Started: true})
		put(ProgressPartition(pool), e, err)
		g.Expect(FindPhase(ctx, c, pool, id, job.Requester{})).To(Equal(job.Running))
		e, err = CancelEntry(id, job.Requester{})
		put(IntakePartition(pool, id), e, err)
		g.Expect(FindPhase(ctx, c, pool, id, job.Requester{})).To(Equal(job.Cancelled))
		e, err = ProgressEntry(id, &job.Progress{Phase: job.Completed})
		put(ProgressPartition(pool), e, err)
		g.Expect(FindPhase(ctx, c, pool, id, job.Requester{})).To(Equal(job.Completed))
	})
}

// FuzzDecodeRecords passes arbitrary records to the decoders of both partitions.
func FuzzDecodeRecords(f *testing.F) {
	e, err := IntakeSubmissionEntry(Submission{Spec: job.Spec{ID: id, Steps: []job.Step{{Count: 1}}}})
	if err != nil {
		f.Fatal(err)
	}
	p, err := ProgressEntry(id, &job.New(job.Spec{ID: id, Steps: []job.Step{{Count: 1}}}, job.Terms{}).Progress)
	if err != nil {
		f.Fatal(err)
	}
	l, err := EarlierLeasesEntry(EarlierLeases{Token: 1, RemainingMillis: map[string]int64{"i-1": 1}})
	if err != nil {
		f.Fatal(err)
	}
	c, err := CancelEntry(id, job.Requester{Customer: "a", OwnersChecked: true})
	if err != nil {
		f.Fatal(err)
	}
	for _, e := range []logstore.Entry{e, p, l, c, {Key: "x"}, {Key: "", Value: []byte("v")}, {Key: "w1", Value: []byte{0xff}}, {Key: "c" + string(id), Value: []byte{1}}} {
		f.Add(e.Key, e.Value)
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		r := logstore.Record{Key: key, Value: value}
		if rec, ok, err := DecodeIntake(r); ok && (err != nil || rec.Submission == nil && !rec.Cancelled) {
			t.Errorf("%+v, %v", rec, err)
		}
		if rec, ok, err := DecodeProgress(r); ok && (err != nil || rec.Progress == nil && rec.Submission == nil && rec.Cordon == nil && rec.EarlierLeases == nil) {
			t.Errorf("%+v, %v", rec, err)
		}
	})
}

// Guards against a submission in the log that makes each holder end in turn: its steps
// refer to steps that are not there, or it is under the key of another job.
func TestMalformedSubmissionIsNoJob(t *testing.T) {
	g := NewWithT(t)
	good := Submission{Spec: job.Spec{ID: "00000000000000aa", Steps: []job.Step{{Count: 1}}}}
	for name, spoil := range map[string]func(*Submission){
		"step out of range": func(s *Submission) { s.Spec.Steps = []job.Step{{Count: 1, After: []int{7}}} },
		"negative step":     func(s *Submission) { s.Spec.Steps = []job.Step{{Count: 1, After: []int{-1}}} },
		"no steps":          func(s *Submission) { s.Spec.Steps = nil },
		"too many tasks":    func(s *Submission) { s.Spec.Steps = []job.Step{{Count: 1 << 40}} },
		"huge amount":       func(s *Submission) { s.Spec.Steps = []job.Step{{Count: 1, Need: job.Resources{CPU: 1 << 62}}} },
	} {
		s := good
		spoil(&s)
		e, err := IntakeSubmissionEntry(s)
		g.Expect(err).NotTo(HaveOccurred())
		_, ok, err := DecodeIntake(logstore.Record{Key: e.Key, Value: e.Value})
		g.Expect(ok).To(BeFalse(), name)
		g.Expect(err).To(HaveOccurred(), name)
		e, err = ProgressSubmissionEntry(&s)
		g.Expect(err).NotTo(HaveOccurred())
		_, ok, err = DecodeProgress(logstore.Record{Key: e.Key, Value: e.Value})
		g.Expect(ok).To(BeFalse(), name)
		g.Expect(err).To(HaveOccurred(), name)
	}
	e, err := IntakeSubmissionEntry(good)
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = DecodeIntake(logstore.Record{Key: "j00000000000000bb", Value: e.Value})
	g.Expect(err).To(HaveOccurred(), "the key of another job")
}

// Guards against a job whose progress exceeds a record of the log: the log refuses it for
// good, and no job of the pool is started any more.
func TestProgressOfTheLargestJobFitsIntoARecord(t *testing.T) {
	const recordBytes = 262_144
	g := NewWithT(t)
	at := job.Location{Worker: job.Incarnation{ID: "i-0123456789abcdef0123456789abcdef", StartedAt: 1_900_000_000_000}, Address: "255.255.255.255:65535"}
	for _, step := range []job.Step{{Count: job.MaxTasks}, {Count: job.MaxTasks / 2, Speculative: true}} {
		spec := job.Spec{ID: "00000000000000aa", Steps: []job.Step{step}}
		g.Expect(spec.Validate()).To(Succeed())
		j := job.New(spec, job.Terms{MaxAttempts: 99})
		for k := range step.Count {
			id := job.TaskID{Job: spec.ID, Index: k}
			j.SaveCheckpoint(id, "0123456789abcdef0123456789")
			j.Place(id, at)
			if step.Speculative {
				j.Place(id, at)
			}
		}
		e, err := ProgressEntry(spec.ID, &j.Progress)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(e.Key)+len(e.Value)).To(BeNumerically("<", recordBytes), "%d tasks, speculative %t", step.Count, step.Speculative)
	}
	tooWide := job.Spec{ID: "00000000000000aa", Steps: []job.Step{{Count: job.MaxTasks + 1}}}
	g.Expect(tooWide.Validate()).NotTo(Succeed())
}
