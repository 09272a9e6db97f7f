package scheduler

import (
	"slices"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/placement"
	"greengagedeck/internal/worker"
)

const (
	// preemptAfter is how long a job waits before it may take the room of less
	// urgent ones, and between two times that it does.
	preemptAfter = 400 * time.Millisecond
	// preemptLeast is what a run must still be expected to take for it to be
	// worth stopping.
	preemptLeast = 600 * time.Millisecond
)

// preempt makes room for a group that no worker has room for, by stopping runs
// of less urgent jobs on one worker. The most urgent group is placed first when
// that room falls free.
func (c *Core) preempt(w waiting, nodes []*placement.Node, now time.Duration) {
	if w.class() == classLate || now < max(w.it.arrived, w.it.preempted)+preemptAfter {
		return
	}
	req := c.request(w.it, w.group)
	var best []*worker.Run
	var at *worker.Book
	for _, n := range nodes {
		b := c.workers[n.ID]
		runs := c.victims(b, n, w, req, now)
		if runs != nil && (best == nil || lost(runs, now) < lost(best, now)) {
			best, at = runs, b
		}
	}
	if best == nil {
		return
	}
	w.it.preempted = now
	for _, r := range best {
		c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", at.Incarnation.ID).Str("for", string(w.it.Spec.ID)).Int("priority", w.it.Terms.Priority).Msg("run preempted")
		c.stop(at, r, "preempted by "+string(w.it.Spec.ID))
	}
}

// victims returns the runs whose end makes room on a node for one task of a
// group, or nil when there are none.
func (c *Core) victims(b *worker.Book, n *placement.Node, w waiting, req placement.Request, now time.Duration) []*worker.Run {
	var able []*worker.Run
	for _, r := range sortedRuns(b) {
		it := c.jobs[r.ID.Task.Job]
		if it == nil || it.Terms.Priority <= w.it.Terms.Priority || !c.preemptible(it, r, now) {
			continue
		}
		able = append(able, r)
	}
	slices.SortStableFunc(able, func(x, y *worker.Run) int {
		return int(lost([]*worker.Run{x}, now) - lost([]*worker.Run{y}, now))
	})
	free := *n
	for i, r := range able {
		free.Free = free.Free.Add(r.Room)
		if placement.Choose([]*placement.Node{&free}, req) != nil {
			return able[:i+1]
		}
	}
	return nil
}

// preemptible reports whether a run may be stopped for a more urgent job.
func (c *Core) preemptible(it *item, r *worker.Run, now time.Duration) bool {
	if r.State != worker.Confirmed || r.Stopping || it.Task(r.ID.Task) == nil {
		return false
	}
	s := it.Step(r.ID.Task)
	return !s.LongRunning && !s.Gang && r.Since+r.Lasts-now > preemptLeast
}

// lost returns the work of runs that a stop throws away, in thousandths of a
// core times nanoseconds.
func lost(runs []*worker.Run, now time.Duration) time.Duration {
	var sum time.Duration
	for _, r := range runs {
		sum += time.Duration(max(1, r.Room.CPU)) * (now - r.Since)
	}
	return sum
}

// evacuate stops tasks on workers that are about to go, so that they start
// elsewhere where there is room: on closed ones long-running tasks, within what
// each step may miss; on draining ones everything that would not end in time.
func (c *Core) evacuate(t Times) {
	var nodes []*placement.Node
	for _, b := range c.leaving() {
		if nodes == nil {
			nodes = c.withoutEjected(c.nodes(t.Now), t.Now)
		}
		for _, r := range sortedRuns(b) {
			it := c.jobs[r.ID.Task.Job]
			if it == nil || r.Stopping || r.State != worker.Confirmed || it.Task(r.ID.Task) == nil {
				continue
			}
			if c.shouldLeave(b, it, r, t.Now) && c.fits(it, r.ID.Task, nodes) {
				c.stop(b, r, "its worker is about to go")
			}
		}
	}
}

// leaving returns the workers that are about to go, in the order of their IDs.
func (c *Core) leaving() []*worker.Book {
	var out []*worker.Book
	for id, b := range c.workers {
		cl := c.closed[id]
		if b.Draining || cl != nil && !cl.removed && cl.Evacuate {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(x, y *worker.Book) int { return compareNames(x.Incarnation.ID, y.Incarnation.ID) })
	return out
}

// drainSlack is how much longer than it says a draining worker is taken to
// stay.
const drainSlack = 2 * time.Second

// shouldLeave reports whether a run should be moved off a worker.
func (c *Core) shouldLeave(b *worker.Book, it *item, r *worker.Run, now time.Duration) bool {
	s := it.Step(r.ID.Task)
	switch {
	case s.Gang:
		return false
	case b.Draining && s.LongRunning:
		return true
	case b.Draining:
		return r.Since+r.Lasts-now > b.Remaining+drainSlack
	default:
		return s.LongRunning && c.mayMiss(it, r.ID.Task)
	}
}

// fits reports whether some worker has room for a task now, and takes it there.
func (c *Core) fits(it *item, t job.TaskID, nodes []*placement.Node) bool {
	req := c.request(it, job.Group{Occurrence: t.Occurrence, Step: t.Step})
	n := placement.Choose(nodes, req)
	if n == nil {
		return false
	}
	req.Take(n)
	return true
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
