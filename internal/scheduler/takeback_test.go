package scheduler

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/verdict"
)

// newUnplannedRunner returns a runner that has taken over its pool and makes no plans: what is
// submitted to it is in its memory only.
func newUnplannedRunner() *Runner {
	r := NewRunner(RunnerOptions{
		Options: Options{Pool: "p", StatusRetention: time.Hour}, Log: logtest.New().Client("holder"), Clock: bubbleClock{time.Now()},
		Duty: fullDuty{}, Logger: zerolog.Nop(), Scope: tally.NoopScope,
	})
	r.ready = true
	return r
}

// call is a request whose answer is awaited.
type call struct {
	done chan struct{}
	err  error
}

// errNotKnown is what joinKnown returns for a job that is not known.
var errNotKnown = errors.New("not known")

// joinKnown has its customer join the job.
func joinKnown(ctx context.Context, r *Runner) error {
	known, err := r.Join(ctx, ownedJob, ofA)
	if !known {
		return errNotKnown
	}
	return err
}

// start calls f, which has a deadline, and returns once it waits.
func start(limit time.Duration, f func(context.Context) error) *call {
	c := &call{done: make(chan struct{})}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	go func() {
		defer cancel()
		c.err = f(ctx)
		close(c.done)
	}()
	synctest.Wait()
	return c
}

// verdict waits for the answer.
func (c *call) verdict() verdict.Verdict {
	<-c.done
	return verdict.Of(c.err)
}

// Guards against a job that counts as accepted since its holder knows it, although it was taken
// back before the log held it (LOST, review/11): by a lookup, and by the requests that have
// joined the first one. They are told at once.
func TestJobThatIsTakenBackWasNeverAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newUnplannedRunner()
		began := time.Now()
		submit := func(ctx context.Context) error { return r.Submit(ctx, submissionOf("a")) }
		first, again := start(500*time.Millisecond, submit), start(5*time.Second, submit)
		joined := start(5*time.Second, func(ctx context.Context) error { return joinKnown(ctx, r) })
		foreign := start(5*time.Second, func(ctx context.Context) error { return r.Cancel(ctx, ownedJob, ofB) })
		status, _ := r.Lookup(ownedJob)
		g.Expect(status.Known && !status.Stored).To(BeTrue())
		n, _ := r.QueuedJobs("e", job.Selector{})
		g.Expect(n).To(BeZero(), "it is not accepted")
		g.Expect(first.verdict()).To(Equal(verdict.NotRun))
		g.Expect(again.verdict()).To(Equal(verdict.NotRun))
		g.Expect(joined.verdict()).To(Equal(verdict.NotRun))
		g.Expect(joinKnown(t.Context(), r)).To(MatchError(errNotKnown))
		var unknown *UnknownJobError
		<-foreign.done
		g.Expect(foreign.err).To(BeAssignableToTypeOf(unknown), "it was nobody's")
		g.Expect(time.Since(began)).To(Equal(500 * time.Millisecond))
		status, _ = r.Lookup(ownedJob)
		g.Expect(status.Known).To(BeFalse())
		g.Expect(r.logWaiters).To(BeEmpty())
	})
}

// Guards against a job that is taken back for the first request although the log may hold it,
// and against a request that learns nothing once it does.
func TestJobInABatchIsNotTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newUnplannedRunner()
		first := start(500*time.Millisecond, func(ctx context.Context) error { return r.Submit(ctx, submissionOf("a")) })
		b, _, err := r.plan()
		g.Expect(err).NotTo(HaveOccurred())
		foreign := start(200*time.Millisecond, func(ctx context.Context) error { return r.Submit(ctx, submissionOf("b")) })
		g.Expect(foreign.verdict()).To(Equal(verdict.NotRun))
		g.Expect(first.verdict()).To(Equal(verdict.MayHaveRun))
		joined := start(5*time.Second, func(ctx context.Context) error { return joinKnown(ctx, r) })
		foreign = start(5*time.Second, func(ctx context.Context) error { return r.Cancel(ctx, ownedJob, ofB) })
		status, _ := r.Lookup(ownedJob)
		g.Expect(status.Known && !status.Stored).To(BeTrue())
		r.commit(t.Context(), b)
		g.Expect(joined.verdict()).To(Equal(verdict.Ran))
		<-foreign.done
		g.Expect(foreign.err).To(MatchError(ErrOtherCustomer))
		status, _ = r.Lookup(ownedJob)
		g.Expect(status.Stored).To(BeTrue())
		r.appendStarted = r.opt.Clock.Now()
		time.Sleep(2 * maxAppendTime)
		again := start(time.Second, func(ctx context.Context) error { return r.Submit(ctx, submissionOf("a")) })
		g.Expect(again.verdict()).To(Equal(verdict.Ran), "the log holds it")
	})
}

// Guards against a job that goes on after its cancel was acknowledged (UNASKED): the cancel was
// in the intake, and was forgotten with a submission that was taken back.
func TestCancelOutlivesASubmissionThatIsTakenBack(t *testing.T) {
	for name, cancelFirst := range map[string]bool{"before the submission": true, "after it": false} {
		t.Run(name, func(t *testing.T) {
			p := newOwnedPool(t)
			if cancelFirst {
				p.cancel(ofA)
			}
			p.core.Submit(submissionOf("a"), p.now)
			if !cancelFirst {
				p.cancel(ofA)
			}
			p.g.Expect(p.core.Withdraw(ownedJob)).To(BeTrue())
			p.core.Submit(submissionOf("a"), p.now)
			p.expect("a", job.Cancelled)
			p.plan()
			p.g.Expect(p.core.earlyCancels).To(BeEmpty())
		})
	}
}

// Guards against a job that is answered as accepted although the log has refused its
// submission: no later holder would know it.
func TestJobWhoseSubmissionIsRefusedIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newUnplannedRunner()
		submitted := start(5*time.Second, func(ctx context.Context) error { return r.Submit(ctx, submissionOf("a")) })
		b, _, err := r.plan()
		g.Expect(err).NotTo(HaveOccurred())
		submission, err := joblog.ProgressSubmissionEntry(submissionOf("a"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.giveUpRefused(b, &joblog.RefusedEntriesError{Keys: []string{submission.Key}, Last: &logstore.RefusedError{Reason: "test"}})).To(Succeed())
		r.commit(t.Context(), b)
		g.Expect(submitted.verdict()).To(Equal(verdict.NotRun))
		status, _ := r.Lookup(ownedJob)
		g.Expect(status.Known).To(BeFalse())
		b, _, err = r.plan()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b.Progress).To(ContainElement(joblog.DeleteProgress(ownedJob)))
	})
}

// Guards against a job that is answered as accepted since the log holds its progress, but not its
// submission: a holder has ended before it deleted what was left of a refused one.
func TestProgressWithoutSubmissionIsNoAcceptedJob(t *testing.T) {
	p := newOwnedPool(t)
	e, err := joblog.ProgressEntry(ownedJob, &job.New(submissionOf("a").Spec, submissionOf("a").Terms).Progress)
	p.g.Expect(err).NotTo(HaveOccurred())
	p.log[e.Key] = e.Value
	p.takeOver()
	r := newUnplannedRunner()
	r.core = p.core
	p.g.Expect(joinKnown(t.Context(), r)).To(MatchError(errNotKnown))
	p.g.Expect(p.core.Logged(ownedJob, p.core.Submit(submissionOf("a"), p.now))).To(BeFalse())
	p.plan()
	p.takeOver()
	p.expect("a", job.Queued)
	p.g.Expect(p.core.hasSubmission(ownedJob)).To(BeTrue())
}

// Guards against a submission in the intake that is applied without asking the other pools, since
// a holder has the job in its memory, and against a job there that runs in two pools.
func TestIntakeAsksOtherPoolsAboutUnstoredJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newUnplannedRunner()
		r.opt.AcceptedElsewhere = func(context.Context, *joblog.Submission) (accepted, decided bool) { return true, true }
		submitted := start(5*time.Second, func(ctx context.Context) error { return r.Submit(ctx, submissionOf("a")) })
		kept, undecided := r.dropAcceptedElsewhere(t.Context(), []joblog.IntakeRecord{{ID: ownedJob, Submission: submissionOf("a")}})
		g.Expect(append(kept, undecided...)).To(BeEmpty())
		g.Expect(submitted.verdict()).To(Equal(verdict.MayHaveRun), "the other pool runs it")
		status, _ := r.Lookup(ownedJob)
		g.Expect(status.Known).To(BeFalse())
	})
}
