package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

// lifeOf is a worker's entry in the list, as the life of a host.
func lifeOf(host, id, pool string, startedAt int64) worker.Listing {
	return worker.Listing{
		Incarnation: job.Incarnation{ID: id, StartedAt: startedAt}, Address: id, Pool: pool, Host: host, Capacity: job.Resources{CPU: 4000},
	}
}

// Guards against tasks that wait for the lease of a worker although its host has lost power
// and runs another worker.
func TestTasksOfRestartedHostRunAgainAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		// next is the entry that is listed once worker a does not answer any more.
		next worker.Listing
		// ended is set if the entry shows that worker a has ended.
		ended bool
	}{
		{"another life in the pool", lifeOf("h1", "c", simPool, 2), true},
		{"another life in another pool", lifeOf("h1", "c", "other", 2), true},
		{"an earlier life", lifeOf("h1", "c", simPool, 0), false},
		{"another host", lifeOf("h3", "c", simPool, 2), false},
		{"no host", lifeOf("", "c", simPool, 2), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			now := scheduler.Times{Now: 2 * time.Hour, Wall: 1_700_000_000_000}
			core := newLostWorkerCore(now)
			core.UpdateWorkers([]worker.Listing{lifeOf("h1", "a", simPool, 1)}, nil, now)
			first := planStarts(g, core, now)
			g.Expect(first).To(HaveLen(1))
			o, send := core.StartOrder(first[0].Run, "a", now.Now, simDutyLease)
			g.Expect(send).To(Equal(scheduler.SendNow))
			core.StartAnswered(o, now.Now.Milliseconds(), nil, now)
			core.UpdateWorkers([]worker.Listing{lifeOf("h2", "b", simPool, 1)}, nil, now)
			listWorkers(core, now, "b")

			now.Now += time.Second
			core.UpdateWorkers([]worker.Listing{c.next}, nil, now)
			g.Expect(planStarts(g, core, now)).To(BeEmpty(), "the worker still answers")
			core.PollFailed(core.Poll("a", now.Now, simDutyLease), errNotConnected, now)

			next := planStarts(g, core, now)
			if !c.ended {
				g.Expect(next).To(BeEmpty())
				return
			}
			g.Expect(next).To(ConsistOf(scheduler.PlannedStart{Run: job.RunID{Task: first[0].Run.Task, Number: 2}, Worker: "b"}))
		})
	}
}
