package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/worker"
)

// entryOf is a worker's entry in the list.
func entryOf(host, id, pool string, startedAt int64) worker.Listing {
	return worker.Listing{
		Incarnation: job.Incarnation{ID: id, StartedAt: startedAt}, Address: id, Pool: pool, Host: host, Capacity: job.Resources{CPU: 4000},
	}
}

// Guards against tasks that wait for the lease of a worker although its host has lost power
// and runs another worker.
func TestTasksOfRestartedHostRunAgainAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		// next is the entry that is listed once worker a does not answer any more, and
		// answers is set if its worker answers.
		next    worker.Listing
		answers bool
		// ended is set if that shows that worker a has ended.
		ended bool
	}{
		{"another worker", entryOf("h1", "c", simPool, 2), true, true},
		{"another worker, with the time of day set back", entryOf("h1", "c", simPool, 0), true, true},
		{"another worker that has not answered", entryOf("h1", "c", simPool, 2), false, false},
		{"an entry of another pool", entryOf("h1", "c", "other", 2), false, false},
		{"another host", entryOf("h3", "c", simPool, 2), true, false},
		{"no host", entryOf("", "c", simPool, 2), true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			now := scheduler.Times{Now: 2 * time.Hour, Wall: 1_700_000_000_000}
			core := newLostWorkerCore(now)
			core.UpdateWorkers([]worker.Listing{entryOf("h1", "a", simPool, 1)}, nil, now)
			first := planStarts(g, core, now)
			g.Expect(first).To(HaveLen(1))
			o, send := core.StartOrder(first[0].Run, "a", now.Now, simDutyLease)
			g.Expect(send).To(Equal(scheduler.SendNow))
			core.StartAnswered(o, now.Now.Milliseconds(), nil, now)
			core.UpdateWorkers([]worker.Listing{entryOf("h2", "b", simPool, 1)}, nil, now)
			listWorkers(core, now, "b")

			now.Now += time.Second
			core.UpdateWorkers([]worker.Listing{c.next}, nil, now)
			if c.answers {
				core.PollSucceeded(core.Poll("c", now.Now, simDutyLease), worker.Report{StartedAt: c.next.Incarnation.StartedAt, Clock: now.Now.Milliseconds()}, now)
			}
			g.Expect(planStarts(g, core, now)).To(BeEmpty(), "no call to worker a has failed")
			core.PollFailed(core.Poll("a", now.Now, simDutyLease), errNotConnected, now)

			next := planStarts(g, core, now)
			if !c.ended {
				g.Expect(next).To(BeEmpty())
				return
			}
			g.Expect(next).To(HaveLen(1))
			g.Expect(next[0].Run).To(Equal(job.RunID{Task: first[0].Run.Task, Number: 2}))
			g.Expect(next[0].Worker).NotTo(Equal("a"))
		})
	}
}

// Guards against a task that is started twice: an entry in the list alone counted as proof
// that a worker had ended which missed one poll.
func TestTasksOfWorkerThatMissesAPollAreNotStartedTwice(t *testing.T) {
	for name, other := range map[string]worker.Listing{
		"an earlier worker, listed with a later time of day": entryOf("h1", "c", simPool, 9),
		"an entry of another writer":                         entryOf("h1", "c", "unknown", 9),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := scheduler.Times{Now: 2 * time.Hour, Wall: 1_700_000_000_000}
			core := newLostWorkerCore(now)
			core.UpdateWorkers([]worker.Listing{other}, nil, now)
			core.UpdateWorkers(nil, []string{"c"}, now)
			core.UpdateWorkers([]worker.Listing{entryOf("h1", "a", simPool, 1)}, nil, now)
			first := planStarts(g, core, now)
			g.Expect(first).To(HaveLen(1))
			o, send := core.StartOrder(first[0].Run, "a", now.Now, simDutyLease)
			g.Expect(send).To(Equal(scheduler.SendNow))
			core.StartAnswered(o, now.Now.Milliseconds(), nil, now)
			listWorkers(core, now, "b")

			now.Now += time.Second
			core.PollFailed(core.Poll("a", now.Now, simDutyLease), errNotConnected, now)
			g.Expect(planStarts(g, core, now)).To(BeEmpty(), "worker a holds a lease, and nothing shows that it has ended")
		})
	}
}
