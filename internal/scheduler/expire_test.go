package scheduler

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/worker"
)

const (
	// shortRetention is for how long the state of an ended job is kept in these tests.
	shortRetention = 3 * time.Second
	// outage is long enough for a deletion to fail and for the state to expire.
	outage = deleteInterval + shortRetention + 2*endedCheckInterval
)

// doneWorker completes every task as soon as it starts.
type doneWorker struct {
	worker.Control
	mu     sync.Mutex
	starts int
	ends   []worker.RunEnd
}

// Start implements worker.Control.
func (d *doneWorker) Start(_ context.Context, _ worker.Target, o worker.StartOrder) (int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts++
	d.ends = append(d.ends, worker.RunEnd{Number: int64(d.starts), Run: o.Run, Reason: job.EndDone})
	return workerClock(), nil
}

// Poll implements worker.Control.
func (d *doneWorker) Poll(_ context.Context, _ worker.Target, p worker.PollRequest) (worker.Report, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.ends) > 0 && d.ends[0].Number <= p.Acknowledged {
		d.ends = d.ends[1:]
	}
	return worker.Report{StartedAt: 1, Clock: workerClock(), Ended: d.ends}, nil
}

// startCount returns how many starts the worker got.
func (d *doneWorker) startCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.starts
}

// hold has a daemon hold the pool of a worker under a token, until the returned
// function is called.
func hold(g *WithT, log *logtest.Log, w worker.Control, token int64) (r *Runner, release func()) {
	r, ctx, release := startRunner(g, log.Client("holder"), w, Options{
		Token: token, Lease: 5 * time.Second, MaxLease: 6 * time.Second, DutyLease: shortDutyLease, EarlierHolders: shortDutyLease, StatusRetention: shortRetention,
	})
	g.Eventually(r.checkAccepting, agentPatience, time.Millisecond).Should(Succeed())
	r.applyWorkerChange(ctx, worker.ListChange{Listed: []worker.Listing{listing("a")}})
	return r, release
}

// Guards against a completed job that the next holder runs again (TWICE): the one
// deletion of its submission failed, and the record that it had ended expired.
func TestCompletedJobIsNotRunAgainAfterItsDeletionFailed(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	log := logtest.New()
	const id = job.ID("00000000000000aa")
	e, err := joblog.IntakeSubmissionEntry(joblog.Submission{
		Spec:  job.Spec{ID: id, Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}}}},
		Terms: job.Terms{Entry: "e", Pool: "p", MaxAttempts: 3},
	})
	g.Expect(err).NotTo(HaveOccurred())
	log.Put(joblog.IntakePartition("p", id), e)
	w := &doneWorker{}

	r, release := hold(g, log, w, 2)
	g.Eventually(func() bool {
		s, _ := r.Lookup(id)
		return s.Known && s.Phase == job.Completed
	}, agentPatience, time.Millisecond).Should(BeTrue())
	log.SetFault(func(c logtest.Call) logtest.Fault {
		return logtest.Fault{Rejected: c.Op == logtest.Append && c.Partition == joblog.IntakePartition("p", id)}
	})
	time.Sleep(outage)
	release()
	log.SetFault(nil)

	_, release = hold(g, log, w, 3)
	g.Consistently(w.startCount, time.Second).Should(Equal(1), "the job was completed")
	time.Sleep(2*deleteInterval + shortRetention)
	release()
	r, release = hold(g, log, w, 4)
	defer release()
	g.Consistently(w.startCount, time.Second).Should(Equal(1), "the job was completed")
	s, _ := r.Lookup(id)
	g.Expect(s.Known).To(BeFalse(), "nothing is left of the job")
}

// Guards against a deletion that clears a submission which was read, and may have been
// appended, after it: the progress would expire and the job run again.
func TestSubmissionReadDuringItsDeletionIsDeletedAgain(t *testing.T) {
	g := NewWithT(t)
	left := leftovers{}
	left.add("a")
	left.add("b")
	left.deleted(leftovers{"a": 1, "b": 1})
	g.Expect(left).To(BeEmpty())
	left.add("a")
	inFlight := leftovers{"a": 1}
	left.add("a")
	left.deleted(inFlight)
	g.Expect(left).To(HaveKeyWithValue(job.ID("a"), 2))
}

// Guards against cancels of jobs that never became known, and of jobs that reached the
// holder directly, which stay in the intake for good.
func TestCancelIsDeletedFromTheIntake(t *testing.T) {
	g := NewWithT(t)
	now := Times{Now: time.Hour, Wall: 1_700_000_000_000}
	c := NewCore(Options{Pool: "p", StatusRetention: shortRetention, Logger: zerolog.Nop()}, now.Now)
	known := &joblog.Submission{Spec: job.Spec{ID: "00000000000000aa", Steps: []job.Step{{Count: 1}}}, Terms: job.Terms{Pool: "p"}}
	c.Submit(known, now)
	c.ApplyIntake([]joblog.IntakeRecord{{ID: "00000000000000aa", Cancelled: true}, {ID: "00000000000000bb", Cancelled: true}}, now)
	for range 3 {
		now.Now += shortRetention
		now.Wall += shortRetention.Milliseconds()
		b, err := c.Plan(now)
		g.Expect(err).NotTo(HaveOccurred())
		c.Committed(b, now)
	}
	g.Expect(c.leftInIntake).To(And(HaveKey(job.ID("00000000000000aa")), HaveKey(job.ID("00000000000000bb"))))
	g.Expect(c.earlyCancels).To(BeEmpty())
	g.Expect(c.endedJobs).To(HaveKey(job.ID("00000000000000aa")), "its records may still be in the intake")
	c.leftInIntake.deleted(leftovers{"00000000000000aa": 1, "00000000000000bb": 1})
	now.Wall += shortRetention.Milliseconds()
	b, err := c.Plan(now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Progress).To(ContainElement(joblog.DeleteProgress("00000000000000aa")))
}
