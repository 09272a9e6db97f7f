package scheduler

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

const (
	// shortLease is the lease of the tests that wait for its end in real time, and
	// shortMaxLease the longest one. shortDutyLease is that of the pool's holder.
	shortLease     = 300 * time.Millisecond
	shortMaxLease  = 400 * time.Millisecond
	shortDutyLease = 50 * time.Millisecond
	// rerunTime is how long a task takes to run elsewhere once its worker is gone:
	// the lease, the time until the next plan, and some time for a busy host.
	rerunTime = shortLease + planInterval + 700*time.Millisecond
)

// silencedWorkers are workers that answer, but for worker a: it is gone from the
// first start on that is sent to it.
type silencedWorkers struct {
	worker.Control
	// gone is closed when worker a goes, and started gets the starts on others.
	gone    chan struct{}
	started chan worker.StartOrder

	mu sync.Mutex
	// starts counts the starts sent to worker a, and leaseUntil is the latest end of
	// a lease that was named to it.
	starts     int
	leaseUntil int64
	running    []worker.RunStatus
}

func newSilencedWorkers() *silencedWorkers {
	return &silencedWorkers{gone: make(chan struct{}), started: make(chan worker.StartOrder, 1)}
}

// Start implements worker.Control.
func (s *silencedWorkers) Start(_ context.Context, to worker.Target, o worker.StartOrder) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to.ID != "a" {
		s.running = append(s.running, worker.RunStatus{Run: o.Run})
		s.started <- o
		return workerClock(), nil
	}
	s.leaseUntil = max(s.leaseUntil, o.LeaseUntil)
	s.starts++
	if s.starts > 1 {
		return 0, verdict.NewNotRun(verdict.ReasonConnect, "connection refused")
	}
	close(s.gone)
	return 0, verdict.NewMayHaveRun(verdict.ReasonDeadline, "no answer")
}

// Poll implements worker.Control.
func (s *silencedWorkers) Poll(ctx context.Context, to worker.Target, p worker.PollRequest) (worker.Report, error) {
	if to.ID != "a" {
		clock.Sleep(ctx, p.Wait)
		s.mu.Lock()
		defer s.mu.Unlock()
		return worker.Report{StartedAt: 1, Clock: workerClock(), Running: s.running}, nil
	}
	s.mu.Lock()
	s.leaseUntil = max(s.leaseUntil, p.LeaseUntil)
	s.mu.Unlock()
	select {
	case <-s.gone:
	case <-time.After(p.Wait):
	}
	if s.isGone() {
		return worker.Report{}, verdict.NewNotRun(verdict.ReasonConnect, "connection refused")
	}
	return worker.Report{StartedAt: 1, Clock: workerClock()}, nil
}

// isGone reports whether worker a is gone.
func (s *silencedWorkers) isGone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts > 0
}

// leaseOfA returns the latest end of a lease that was named to worker a.
func (s *silencedWorkers) leaseOfA() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseUntil
}

// workerClock returns the reading of the workers' clock.
func workerClock() int64 { return clock.System{}.Now().Milliseconds() }

// startRunner has a daemon hold the pool of the workers, until the returned function is
// called.
func startRunner(g *WithT, log logstore.Log, control worker.Control, o Options) (r *Runner, ctx context.Context, release func()) {
	o.Pool = "p"
	r = NewRunner(RunnerOptions{
		Options: o, Log: log, Clock: clock.System{}, Control: control, Duty: fullDuty{}, Logger: zerolog.Nop(), Scope: tally.NoopScope,
		Registry: worker.NewRegistry(worker.RegistryOptions{Log: log, Logger: zerolog.Nop(), Scope: tally.NoopScope}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	return r, ctx, func() {
		cancel()
		g.Expect(<-ended).To(Succeed())
	}
}

// runPool runs the pool of the workers until the test ends, with short leases.
func runPool(t *testing.T, control worker.Control) (*Runner, context.Context) {
	r, ctx, release := startRunner(NewWithT(t), logtest.New().Client("holder"), control, Options{
		Token: 2, Lease: shortLease, MaxLease: shortMaxLease, DutyLease: shortDutyLease, EarlierHolders: shortDutyLease, StatusRetention: time.Minute,
	})
	t.Cleanup(release)
	return r, ctx
}

// listing returns the list's entry of a worker.
func listing(id string) worker.Listing {
	return worker.Listing{
		Incarnation: job.Incarnation{ID: id, StartedAt: 1}, Address: id, Pool: "p", Capacity: job.Resources{CPU: 4000}, Clock: workerClock(),
	}
}

// Guards against a runner that sends a start without an answer again and again: each
// extended the lease of the lost worker, and its task never ran elsewhere.
func TestRunnerStartsTaskOfLostWorkerElsewhere(t *testing.T) {
	g := NewWithT(t)
	workers := newSilencedWorkers()
	r, ctx := runPool(t, workers)
	g.Eventually(r.checkAccepting, agentPatience, time.Millisecond).Should(Succeed())
	r.applyWorkerChange(ctx, worker.ListChange{Listed: []worker.Listing{listing("a")}})
	g.Expect(r.Submit(ctx, &joblog.Submission{
		Spec:  job.Spec{ID: "00000000000000aa", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}, LongRunning: true}}},
		Terms: job.Terms{Entry: "e", Pool: "p", MaxAttempts: 3},
	})).To(Succeed())
	g.Eventually(workers.gone, agentPatience).Should(BeClosed())
	r.applyWorkerChange(ctx, worker.ListChange{Listed: []worker.Listing{listing("b")}})

	var next worker.StartOrder
	g.Eventually(workers.started, rerunTime).Should(Receive(&next))
	g.Expect(workerClock()).To(BeNumerically(">", workers.leaseOfA()), "the first run may go on until then")
	g.Expect(next.Run).To(Equal(job.RunID{Task: job.TaskID{Job: "00000000000000aa"}, Number: 2}))
}
