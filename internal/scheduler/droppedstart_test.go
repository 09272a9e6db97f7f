package scheduler

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/worker"
)

const (
	// slowAppend is how long the log takes to answer while it is slow.
	slowAppend = 400 * time.Millisecond
	// replacedIn is how long a task may take to start elsewhere after its start was
	// dropped.
	replacedIn = 2 * time.Second
)

// startRecorder are workers that answer every order, and record the starts.
type startRecorder struct {
	worker.Control
	mu      sync.Mutex
	running map[string][]worker.RunStatus
}

// Start implements worker.Control.
func (s *startRecorder) Start(_ context.Context, to worker.Target, o worker.StartOrder) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[to.ID] = append(s.running[to.ID], worker.RunStatus{Run: o.Run})
	return workerClock(), nil
}

// Stop implements worker.Control.
func (s *startRecorder) Stop(context.Context, worker.Target, job.RunID, int64) (int64, error) {
	return workerClock(), nil
}

// Poll implements worker.Control.
func (s *startRecorder) Poll(ctx context.Context, to worker.Target, p worker.PollRequest) (worker.Report, error) {
	clock.Sleep(ctx, p.Wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	return worker.Report{StartedAt: 1, Clock: workerClock(), Running: s.running[to.ID]}, nil
}

// startsOn returns how many starts a worker got.
func (s *startRecorder) startsOn(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running[id])
}

// runOnSlowLog runs the pool of the workers, and returns a function that makes the log
// slow.
func runOnSlowLog(t *testing.T, control worker.Control) (r *Runner, ctx context.Context, slow func()) {
	shared := logtest.New()
	r, ctx, release := startRunner(NewWithT(t), shared.Client("holder"), control, Options{
		Token: 2, Lease: 5 * time.Second, MaxLease: 6 * time.Second, DutyLease: shortDutyLease, EarlierHolders: shortDutyLease, StatusRetention: time.Minute,
	})
	t.Cleanup(release)
	slow = func() {
		shared.SetFault(func(c logtest.Call) logtest.Fault {
			if c.Op != logtest.Append {
				return logtest.Fault{}
			}
			return logtest.Fault{ResponseDelay: slowAppend}
		})
	}
	return r, ctx, slow
}

// Guards against a task that is never started again (LOST): its start was dropped after
// the log had its plan, because its worker drained, left the list or shrank meanwhile,
// and no event ended the run while the worker was idle.
func TestTaskOfDroppedStartIsStartedElsewhere(t *testing.T) {
	for name, change := range map[string]func() worker.ListChange{
		"drains": func() worker.ListChange {
			l := listing("a")
			l.Draining = true
			return worker.ListChange{Listed: []worker.Listing{l, listing("b")}}
		},
		"is no longer listed": func() worker.ListChange {
			return worker.ListChange{Listed: []worker.Listing{listing("b")}, Removed: []string{"a"}}
		},
		"has shrunk": func() worker.ListChange {
			l := listing("a")
			l.Capacity.CPU = 500
			return worker.ListChange{Listed: []worker.Listing{l, listing("b")}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			workers := &startRecorder{running: map[string][]worker.RunStatus{}}
			r, ctx, slow := runOnSlowLog(t, workers)
			g.Eventually(r.checkAccepting, agentPatience, time.Millisecond).Should(Succeed())
			r.applyWorkerChange(ctx, worker.ListChange{Listed: []worker.Listing{listing("a")}})
			g.Eventually(func() bool { return r.takesTasks("a") }, agentPatience, time.Millisecond).Should(BeTrue())
			slow()
			go func() {
				_ = r.Submit(ctx, &joblog.Submission{
					Spec:  job.Spec{ID: "00000000000000aa", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}}}},
					Terms: job.Terms{Entry: "e", Pool: "p", MaxAttempts: 3},
				})
			}()
			g.Eventually(r.appendInFlight, agentPatience, time.Millisecond).Should(BeTrue())
			r.applyWorkerChange(ctx, change())
			g.Eventually(func() int { return workers.startsOn("b") }, slowAppend+replacedIn, 10*time.Millisecond).Should(Equal(1), "b is idle")
			g.Expect(workers.startsOn("a")).To(BeZero())
		})
	}
}

// takesTasks reports whether a worker takes tasks.
func (r *Runner) takesTasks(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ws := r.core.workers[id]
	return ws != nil && r.core.acceptsTasks(ws)
}

// appendInFlight reports whether a plan is being logged.
func (r *Runner) appendInFlight() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.appendStarted > 0
}
