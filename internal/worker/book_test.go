package worker

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"greengagedeck/internal/job"
)

const longest = 6 * time.Second

func run(number int) *Run {
	id := job.RunID{Task: job.TaskID{Job: "00000000000000aa"}, Number: number}
	return NewRun(id, job.Step{Count: 1, Need: job.Resources{CPU: 500, MemoryMB: 10}}, Ordered, 0, time.Second)
}

func book() *Book {
	return NewBook(Listing{Incarnation: job.Incarnation{ID: "w", StartedAt: 1}, Capacity: job.Resources{CPU: 4000, MemoryMB: 100}, Clock: 10_000}, 0, 0)
}

func TestRunsTakeRoomUntilTheyAreRemoved(t *testing.T) {
	g := NewWithT(t)
	b := book()
	r := run(1)
	b.Add(r)
	g.Expect(b.Free()).To(Equal(job.Resources{CPU: 3500, MemoryMB: 90}))
	g.Expect(b.Count(r.Key)).To(Equal(1))
	b.Remove(r.ID)
	b.Remove(r.ID)
	g.Expect(b.Free()).To(Equal(b.Capacity))
}

// A lease counts as over only once it is so by any clock that drifts as much as
// one may.
func TestLeaseIsNotOverBeforeTheWorkerThinksSo(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := book()
		drift := rapid.Float64Range(-clockDrift, clockDrift).Draw(rt, "drift")
		worker := func(now time.Duration) int64 {
			return 10_000 + int64(float64(now.Milliseconds())*(1+drift))
		}
		now := time.Duration(0)
		var until int64
		for range rapid.IntRange(1, 20).Draw(rt, "orders") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(rt, "pause_ms")) * time.Millisecond
			if rapid.Bool().Draw(rt, "heard") {
				b.Heard(worker(now), now)
			}
			end := b.Lease(now, time.Duration(rapid.IntRange(1, 5000).Draw(rt, "length_ms"))*time.Millisecond)
			if end < until {
				rt.Fatalf("the lease shortened from %d to %d", until, end)
			}
			until = end
		}
		for step := now; step < now+20*time.Second; step += 50 * time.Millisecond {
			if b.Expired(step) && worker(step) < until {
				rt.Fatalf("over at %v, though the worker's clock says %d of %d", step, worker(step), until)
			}
		}
		if !b.Expired(now + time.Minute) {
			rt.Fatal("the lease never ends")
		}
	})
}

func TestLeaseOfAnEarlierHolderIsAwaited(t *testing.T) {
	g := NewWithT(t)
	b := NewBook(Listing{Clock: 10_000}, 0, longest)
	g.Expect(b.Expired(longest - time.Millisecond)).To(BeFalse())
	g.Expect(b.Expired(longest + time.Second)).To(BeTrue())
}

func TestClockThatJumpsIsAnotherWorkers(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		clock  int64
		fenced bool
	}{{11_000, true}, {12_400, true}, {13_000, false}, {9_000, false}, {0, true}} {
		b := book()
		b.Fenced = true
		b.HeardOrder(c.clock, time.Second)
		g.Expect(b.Fenced).To(Equal(c.fenced), "clock %d", c.clock)
	}
}

func TestUnansweredOrderIsSoughtAtTheNextIncarnation(t *testing.T) {
	g := NewWithT(t)
	b := book()
	sure, doubtful := run(1), run(2)
	sure.State, sure.SentAt = Confirmed, time.Second
	doubtful.State, doubtful.SentAt, doubtful.Unanswered = Ordered, time.Second, true
	b.Add(sure)
	b.Add(doubtful)
	b.Fenced = true
	b.Reborn(Listing{Incarnation: job.Incarnation{ID: "w", StartedAt: 2}, Clock: 50}, 2*time.Second, longest)
	g.Expect(b.Fenced).To(BeFalse())
	g.Expect(b.Runs).To(HaveLen(2))
	g.Expect(sure.Unanswered).To(BeFalse())
	g.Expect(doubtful.Unanswered).To(BeTrue())
	// The order may still arrive, and what it starts then has a lease.
	g.Expect(b.Expired(time.Second + lateOrders + longest - time.Millisecond)).To(BeFalse())
}
