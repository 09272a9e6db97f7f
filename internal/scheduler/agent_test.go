package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/worker"
)

// agentPatience is how long an idle worker may take until it is polled.
const agentPatience = 2 * time.Second

// pollCounter is a worker that answers polls and counts them.
type pollCounter struct {
	worker.Control
	startedAt, polls atomic.Int64
}

// Poll implements worker.Control.
func (p *pollCounter) Poll(context.Context, worker.Target, worker.PollRequest) (worker.Report, error) {
	p.polls.Add(1)
	return worker.Report{StartedAt: p.startedAt.Load(), Clock: 1000}, nil
}

// fullDuty is a duty that may be acted on for the whole lease.
type fullDuty struct{}

// Remaining implements Duty.
func (fullDuty) Remaining() time.Duration { return time.Hour }

// listIdleWorker returns a change of the list that shows one start of worker a.
func listIdleWorker(startedAt int64) worker.ListChange {
	return worker.ListChange{Listed: []worker.Listing{{
		Incarnation: job.Incarnation{ID: "a", StartedAt: startedAt}, Address: "a", Pool: "p", Capacity: job.Resources{CPU: 4000},
	}}}
}

// newIdleWorker returns a runner with an idle worker that was polled, and a function
// that reports whether the worker takes tasks.
func newIdleWorker(t *testing.T, p *pollCounter) (r *Runner, ctx context.Context, ready func() bool) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r = NewRunner(RunnerOptions{
		Options: Options{Pool: "p", Token: 2, Lease: 5 * time.Second, MaxLease: 6 * time.Second},
		Clock:   clock.System{}, Control: p, Duty: fullDuty{}, Logger: zerolog.Nop(), Scope: tally.NoopScope,
	})
	ready = func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		ws := r.core.workers["a"]
		return ws != nil && r.core.acceptsTasks(ws)
	}
	p.startedAt.Store(1)
	r.applyWorkerChange(ctx, listIdleWorker(1))
	NewWithT(t).Eventually(ready, agentPatience).Should(BeTrue())
	return r, ctx, ready
}

// An idle worker that restarts under its ID must be polled again: it took no tasks
// until the pool had another holder.
func TestIdleWorkerIsPolledAfterRestart(t *testing.T) {
	p := &pollCounter{}
	r, ctx, ready := newIdleWorker(t, p)
	p.startedAt.Store(2)
	r.applyWorkerChange(ctx, listIdleWorker(2))
	NewWithT(t).Eventually(ready, agentPatience).Should(BeTrue())
}

// An idle worker that leaves the list and comes back must be polled again: its
// poller slept and never found that the worker was new.
func TestIdleWorkerIsPolledAfterItIsListedAgain(t *testing.T) {
	p := &pollCounter{}
	r, ctx, ready := newIdleWorker(t, p)
	r.applyWorkerChange(ctx, worker.ListChange{Removed: []string{"a"}})
	r.applyWorkerChange(ctx, listIdleWorker(1))
	NewWithT(t).Eventually(ready, agentPatience).Should(BeTrue())
}

// The poller of a worker that is gone must end.
func TestPollerOfRemovedWorkerEnds(t *testing.T) {
	p := &pollCounter{}
	r, ctx, _ := newIdleWorker(t, p)
	r.applyWorkerChange(ctx, worker.ListChange{Removed: []string{"a"}})
	NewWithT(t).Eventually(func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.agents)
	}, agentPatience).Should(BeZero())
}

// orderSuspect adds a run of a suspect to worker a that is ordered and not sent yet.
func orderSuspect(r *Runner) job.RunID {
	r.mu.Lock()
	defer r.mu.Unlock()
	spec := job.Spec{ID: "00000000000000aa", Steps: []job.Step{{Count: 1}}}
	j := r.core.submit(&joblog.Submission{Spec: spec, Terms: job.Terms{Pool: "p"}}, r.times())
	ws := r.core.workers["a"]
	id := j.Place(job.TaskID{Job: spec.ID}, locationOf(ws))
	run := worker.NewRun(id, spec.Steps[0], worker.RunOrdered, r.times().Now, time.Second)
	run.Suspect = true
	ws.AddRun(run)
	return id
}

// An idle worker whose answer the start of a suspect waits for must be polled: its
// poller sleeps until an order wakes it, and no order would be sent.
func TestIdleWorkerIsPolledForStartThatWaitsForItsAnswer(t *testing.T) {
	g := NewWithT(t)
	p := &pollCounter{}
	r, ctx, _ := newIdleWorker(t, p)
	run := orderSuspect(r)
	before := p.polls.Load()
	g.Consistently(p.polls.Load, pollGap+pollGap/2).Should(Equal(before), "the poller sleeps")
	resend, held := r.sendStart(ctx, r.agents["a"], run)
	g.Expect([]bool{resend, held}).To(Equal([]bool{true, true}), "the start is to be sent later")
	g.Eventually(p.polls.Load, agentPatience).Should(BeNumerically(">", before))
}
