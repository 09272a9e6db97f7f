package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/scheduler"
)

// Guards against tasks that an order ends which was meant for an earlier process of their worker
// (AVAIL, review/10): an order without an answer was sent again although the worker had restarted,
// lost its cordon and got tasks.
func TestOrderIsNotRepeatedOnceItsWorkerTakesTasks(t *testing.T) {
	for name, c := range map[string]struct {
		load      scheduler.WorkerLoad
		since     time.Duration
		sent      int
		stillOpen bool
	}{
		"empty":                {scheduler.WorkerLoad{ID: "w", Cordoned: true, Empty: true}, 0, 1, false},
		"not reported":         {scheduler.WorkerLoad{ID: "other"}, 0, 1, false},
		"takes tasks":          {scheduler.WorkerLoad{ID: "w", Schedulable: true}, 0, 0, true},
		"has tasks":            {scheduler.WorkerLoad{ID: "w", Runs: 4}, testSeparation - 1, 0, true},
		"has tasks for longer": {scheduler.WorkerLoad{ID: "w", Runs: 4}, testSeparation, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				clock := bubbleClock{time.Now()}
				cloud := newTestCloud(clock)
				s := newTestSession(t, newTestController("c", cloud, &testPools{cloud: cloud}, logtest.New()), clock)
				s.pending["m0"] = Action{Kind: Move, Host: "m0", Worker: "w", Pool: "a", To: standbyPool}
				s.lastOrdered["m0"] = clock.Now()
				time.Sleep(c.since)
				s.retryPending(t.Context(), View{Pools: []PoolView{{Name: "a", HasReport: true, Report: scheduler.Report{Workers: []scheduler.WorkerLoad{c.load}}}}})
				s.orderGroup.Wait()
				g.Expect(cloud.orders).To(HaveLen(c.sent))
				_, open := s.pending["m0"]
				g.Expect(open).To(Equal(c.stillOpen))
			})
		})
	}
}

// newTestSession returns a session of a controller that makes no decisions itself.
func newTestSession(t *testing.T, c *Controller, clock bubbleClock) *session {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.Run(ctx, 1, testLeaseUntil{clock, time.Hour}, Predecessor{})
	return c.current
}
