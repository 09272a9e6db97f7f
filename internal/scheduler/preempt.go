package scheduler

import (
	"cmp"
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
	// preemptTries bounds for how many groups a plan looks for runs to stop.
	preemptTries = 8
)

// preemptor finds the runs of a pool that may be stopped for more urgent ones.
// It is made once a plan, and looks at the runs only when a group waits that is
// more urgent than some job.
type preemptor struct {
	c   *Core
	now time.Duration
	// least is the priority of the least urgent job that has begun.
	least int
	// able are the runs that may be stopped, by worker, the least work that a
	// stop throws away first.
	able map[string][]*worker.Run
	// tries counts the groups for which runs were looked for.
	tries int
}

func (c *Core) preemptor(now time.Duration) *preemptor {
	p := &preemptor{c: c, now: now}
	for _, it := range c.open {
		if it.Phase == job.Running {
			p.least = max(p.least, it.Terms.Priority)
		}
	}
	return p
}

// preempt makes room for a group that no worker has room for, by stopping runs
// of less urgent jobs on one worker. The most urgent group is placed first when
// that room falls free.
func (p *preemptor) preempt(w waiting, nodes []*placement.Node) {
	if w.it.Terms.Priority >= p.least || w.class() == classLate {
		return
	}
	if p.now < max(w.it.arrived, w.it.preempted)+preemptAfter {
		return
	}
	if p.tries++; p.tries > preemptTries {
		return
	}
	id, runs := p.cheapest(w, nodes)
	if runs == nil {
		return
	}
	w.it.preempted = p.now
	for _, r := range runs {
		p.c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", id).Str("for", string(w.it.Spec.ID)).Int("priority", w.it.Terms.Priority).Msg("run preempted")
		p.c.stop(p.c.workers[id], r, "preempted by "+string(w.it.Spec.ID))
	}
}

// cheapest returns the worker on which room for one task of a group costs the
// least work, with the runs to stop there, or nil when there is none.
func (p *preemptor) cheapest(w waiting, nodes []*placement.Node) (string, []*worker.Run) {
	req := p.c.request(w.it, w.group)
	var best []*worker.Run
	var at string
	for _, n := range nodes {
		runs := p.victims(n, w.it.Terms.Priority, req)
		if runs != nil && (best == nil || lost(runs, p.now) < lost(best, p.now)) {
			best, at = runs, n.ID
		}
	}
	return at, best
}

// victims returns the runs whose end makes room on a node for one task, or nil
// when there are none.
func (p *preemptor) victims(n *placement.Node, priority int, req placement.Request) []*worker.Run {
	var out []*worker.Run
	free := *n
	for _, r := range p.candidates(n.ID) {
		if r.Stopping || p.c.jobs[r.ID.Task.Job].Terms.Priority <= priority {
			continue
		}
		out = append(out, r)
		free.Free = free.Free.Add(r.Room)
		if placement.Choose([]*placement.Node{&free}, req) != nil {
			return out
		}
	}
	return nil
}

// candidates returns the runs on a worker that may be stopped at all.
func (p *preemptor) candidates(id string) []*worker.Run {
	if runs, known := p.able[id]; known {
		return runs
	}
	if p.able == nil {
		p.able = map[string][]*worker.Run{}
	}
	var out []*worker.Run
	for _, r := range sortedRuns(p.c.workers[id]) {
		if it := p.c.jobs[r.ID.Task.Job]; it != nil && p.c.preemptible(it, r, p.now) {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(x, y *worker.Run) int {
		return cmp.Compare(lost([]*worker.Run{x}, p.now), lost([]*worker.Run{y}, p.now))
	})
	p.able[id] = out
	return out
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

// leaving returns the workers that are about to go. Draining ones come first: what
// is moved off them counts as away for the others.
func (c *Core) leaving() []*worker.Book {
	var out []*worker.Book
	for id, b := range c.workers {
		cl := c.closed[id]
		if b.Draining || cl != nil && !cl.removed && cl.Evacuate {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(x, y *worker.Book) int {
		if x.Draining != y.Draining {
			if x.Draining {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.Incarnation.ID, y.Incarnation.ID)
	})
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
	req := c.request(it, job.TaskGroup{Occurrence: t.Occurrence, Step: t.Step})
	n := placement.Choose(nodes, req)
	if n == nil {
		return false
	}
	req.Take(n)
	return true
}
