package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/worker"
)

const (
	// rejectedTime is for how long a worker rejects stops, and maxRejectedStops how
	// many may be sent to it meanwhile.
	rejectedTime     = 500 * time.Millisecond
	maxRejectedStops = 2 * int64(rejectedTime/startRetry)
)

// unhealthyWorker has the run that it was ordered to start and rejects stops.
type unhealthyWorker struct {
	worker.Control
	started atomic.Pointer[worker.StartOrder]
	stops   atomic.Int64
}

// Start implements worker.Control.
func (u *unhealthyWorker) Start(_ context.Context, _ worker.Target, o worker.StartOrder) (int64, error) {
	u.started.Store(&o)
	return workerClock(), nil
}

// Stop implements worker.Control.
func (u *unhealthyWorker) Stop(context.Context, worker.Target, job.RunID, int64) (int64, error) {
	u.stops.Add(1)
	return 0, &worker.RejectedError{Reason: worker.ReasonUnhealthy}
}

// Poll implements worker.Control.
func (u *unhealthyWorker) Poll(ctx context.Context, _ worker.Target, p worker.PollRequest) (worker.Report, error) {
	clock.Sleep(ctx, p.Wait)
	rep := worker.Report{StartedAt: 1, Clock: workerClock()}
	if o := u.started.Load(); o != nil {
		rep.Running = []worker.RunStatus{{Run: o.Run}}
	}
	return rep, nil
}

// Guards against stops that are sent again without a pause to a worker that rejects
// them.
func TestRejectedStopIsSentAgainWithoutPause(t *testing.T) {
	g := NewWithT(t)
	u := &unhealthyWorker{}
	r, ctx := runPool(t, u)
	g.Eventually(r.checkAccepting, agentPatience, time.Millisecond).Should(Succeed())
	r.applyWorkerChange(ctx, worker.ListChange{Listed: []worker.Listing{listing("a")}})
	g.Expect(r.Submit(ctx, &joblog.Submission{
		Spec:  job.Spec{ID: "00000000000000aa", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}, LongRunning: true}}},
		Terms: job.Terms{Entry: "e", Pool: "p", MaxAttempts: 3},
	})).To(Succeed())
	g.Eventually(u.started.Load, agentPatience, time.Millisecond).ShouldNot(BeNil())
	g.Expect(r.Cancel(ctx, "00000000000000aa", job.Requester{})).To(Succeed())
	time.Sleep(rejectedTime)
	g.Expect(u.stops.Load()).To(BeNumerically(">", 1), "stops of a cancelled job")
	g.Expect(u.stops.Load()).To(BeNumerically("<=", maxRejectedStops), "stops sent in %v", rejectedTime)
}
