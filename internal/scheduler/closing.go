package scheduler

import (
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/worker"
)

// closure is a worker that takes no new tasks, so that its host can be moved
// or maintained.
type closure struct {
	joblog.Cordon
	// logged is set once the log holds it: the next holder keeps it closed.
	logged bool
	// removed is set when the worker is open again and the log does not say
	// so yet.
	removed bool
	dirty   bool
}

// Close has a worker take no new tasks. With evacuate set its long-running
// tasks are moved elsewhere as far as their steps may miss them.
func (c *Core) Close(id, reason string, evacuate bool) {
	b := c.workers[id]
	if b == nil {
		return
	}
	cl := c.closed[id]
	if cl != nil && !cl.removed && cl.Worker == b.Incarnation && cl.Evacuate == evacuate {
		return
	}
	c.closed[id] = &closure{
		Cordon: joblog.Cordon{Worker: b.Incarnation, Reason: reason, Evacuate: evacuate},
		dirty:  true,
	}
	b.Closed = reason
	c.changed = true
	c.opt.Logger.Info().Str("worker", id).Str("reason", reason).Bool("evacuate", evacuate).Int("runs", len(b.Runs)).Msg("worker closed")
}

// Open has a closed worker take tasks again.
func (c *Core) Open(id string) {
	cl := c.closed[id]
	if cl == nil || cl.removed {
		return
	}
	cl.removed = true
	cl.dirty = true
	if b := c.workers[id]; b != nil {
		b.Closed = ""
	}
	c.changed = true
	c.opt.Logger.Info().Str("worker", id).Str("reason", cl.Reason).Msg("worker opened")
}

// restoreClosed takes in a closed worker from the log.
func (c *Core) restoreClosed(k joblog.Cordon) {
	c.closed[k.Worker.ID] = &closure{Cordon: k, logged: true}
}

// applyClosed marks a worker that became known after it was closed.
func (c *Core) applyClosed(b *worker.Book) {
	cl := c.closed[b.Incarnation.ID]
	switch {
	case cl == nil || cl.removed:
	case cl.Worker == b.Incarnation:
		b.Closed = cl.Reason
	default:
		// It was closed for the sake of an earlier incarnation.
		c.Open(b.Incarnation.ID)
	}
}

// encodeClosed adds what changed to a batch.
func (c *Core) encodeClosed(b *Batch) error {
	for id, cl := range c.closed {
		if !cl.dirty {
			continue
		}
		cl.dirty = false
		if cl.removed {
			delete(c.closed, id)
			b.Progress = append(b.Progress, joblog.DeleteCordon(id))
			continue
		}
		e, err := joblog.CordonEntry(cl.Cordon)
		if err != nil {
			return err
		}
		b.Progress = append(b.Progress, e)
		b.closed = append(b.closed, cl)
	}
	return nil
}

// mayMiss reports whether one more task of a long-running step may be taken
// away. A task counts as away from the order that stops it until it is at work
// again, and whatever else it is away for.
func (c *Core) mayMiss(it *item, t job.TaskID) bool {
	away := 0
	o := it.Task(t)
	for k := range it.Step(t).Count {
		other := job.TaskID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: k}
		task := it.Task(other)
		if task != o && !c.atWork(task, other) {
			away++
		}
	}
	return away < it.Step(t).MaxUnavailable
}

// atWork reports whether a task has a run that works at full speed.
func (c *Core) atWork(task *job.Task, id job.TaskID) bool {
	for _, r := range task.Runs {
		b := c.workers[r.At.Worker.ID]
		if b == nil || !reachable(b) {
			continue
		}
		run := b.Runs[job.RunID{Task: id, Number: r.Number}]
		if run != nil && run.State == worker.Confirmed && !run.Stopping && run.Percent == worker.FullPace && c.stays(b, run) {
			return true
		}
	}
	return false
}

// stays reports whether no earlier holder is stopping a run: one that did so just
// before the worker was fenced leaves it there for a while.
func (c *Core) stays(b *worker.Book, r *worker.Run) bool {
	return r.SentAt > 0 || r.Reported >= b.FencedAt+c.opt.StopTime
}

// WorkerLoad is what a pool's holder says of one worker.
type WorkerLoad struct {
	ID      string `cbor:"1,keyasint"`
	Machine string `cbor:"2,keyasint"`
	// Runs counts the runs that it has or may have, and Long the
	// long-running ones of them.
	Runs int `cbor:"3,keyasint,omitempty"`
	Long int `cbor:"4,keyasint,omitempty"`
	// Used is the room that they take.
	Used     job.Resources `cbor:"5,keyasint"`
	Capacity job.Resources `cbor:"6,keyasint"`
	// Open workers take new tasks.
	Open bool `cbor:"7,keyasint,omitempty"`
	// Closed workers were closed by a call, and Empty ones have no run and
	// will get none.
	Closed bool `cbor:"8,keyasint,omitempty"`
	Empty  bool `cbor:"9,keyasint,omitempty"`
	// EmptyIn is how long its runs are expected to go on.
	EmptyIn time.Duration `cbor:"10,keyasint,omitempty"`
}

// Report is what a pool's holder says of the pool.
type Report struct {
	// Used is the room that runs take, Waiting what tasks wait for that can
	// start now, and Late the part of it for jobs that are late anyway.
	Used    job.Resources `cbor:"1,keyasint"`
	Waiting job.Resources `cbor:"2,keyasint"`
	Late    job.Resources `cbor:"3,keyasint"`
	// Long is the part of Used and Waiting that is for long-running tasks.
	Long job.Resources `cbor:"4,keyasint"`
	// Rate is the room that work handed in lately needs while it runs, and
	// Expected what it will need after the asked lead.
	Rate     job.Resources `cbor:"5,keyasint"`
	Expected job.Resources `cbor:"6,keyasint"`
	Workers  []WorkerLoad  `cbor:"7,keyasint"`
	// Stuck is how many hosts the long-running tasks would fill that wait
	// because no worker has room for them, and at least one when another job
	// has stood still for want of a worker.
	Stuck int `cbor:"8,keyasint,omitempty"`
}

// Report describes the pool. lead is how far ahead to look.
func (c *Core) Report(now, lead time.Duration) Report {
	var rep Report
	var stuck []job.Resources
	rep.Rate, rep.Expected = c.demand.rate(now, lead)
	for _, w := range c.queue(now) {
		s := w.it.Spec.Steps[w.group.Step]
		room := s.ReservedResources().Times(len(w.group.Waiting))
		rep.Waiting = rep.Waiting.Add(room)
		switch w.class() {
		case classLong:
			rep.Long = rep.Long.Add(room)
			stuck = append(stuck, repeat(s.ReservedResources(), len(w.group.Waiting))...)
		case classLate:
			rep.Late = rep.Late.Add(room)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.workers)) {
		rep.Workers = append(rep.Workers, c.load(id, &rep, now))
	}
	rep.Stuck = pack(stuck, c.largest())
	if rep.Stuck == 0 && !c.crowded(rep.Used) && c.standsStill(now) {
		rep.Stuck = 1
	}
	return rep
}

// stillAfter is how long a job may have nothing at work, with tasks that find no
// worker, before it counts as standing still.
const stillAfter = 2 * time.Second

// crowded reports whether half of the pool's processors are in use: what waits then
// is served by the hosts that its demand calls for.
func (c *Core) crowded(used job.Resources) bool {
	var whole job.Resources
	for _, b := range c.workers {
		if b.Listed {
			whole = whole.Add(b.Capacity)
		}
	}
	return 2*used.CPU >= whole.CPU
}

// standsStill reports whether a job stands still for want of a worker: the room
// that the pool has by numbers may lie on workers that take no tasks.
func (c *Core) standsStill(now time.Duration) bool {
	for _, it := range c.open {
		if it.stillSince > 0 && !it.Phase.Final() && now-it.stillSince >= stillAfter {
			return true
		}
	}
	return false
}

func repeat(r job.Resources, n int) []job.Resources {
	out := make([]job.Resources, n)
	for i := range out {
		out[i] = r
	}
	return out
}

// largest returns the room of the largest worker.
func (c *Core) largest() job.Resources {
	var most job.Resources
	for _, b := range c.workers {
		if most.FitsIn(b.Capacity) {
			most = b.Capacity
		}
	}
	return most
}

// pack returns how many empty hosts are filled by tasks, first fit. Tasks that
// fit no host count for nothing.
func pack(tasks []job.Resources, host job.Resources) int {
	var free []job.Resources
	for _, t := range tasks {
		at := slices.IndexFunc(free, t.FitsIn)
		switch {
		case at >= 0:
			free[at] = free[at].Sub(t)
		case t.FitsIn(host):
			free = append(free, host.Sub(t))
		}
	}
	return len(free)
}

func (c *Core) load(id string, rep *Report, now time.Duration) WorkerLoad {
	b := c.workers[id]
	l := WorkerLoad{
		ID:       id,
		Machine:  b.Machine,
		Runs:     len(b.Runs),
		Used:     b.Used,
		Capacity: b.Capacity,
		Open:     c.takes(b) && !c.ejected(id, now),
		EmptyIn:  b.BusyUntil(now) - now,
	}
	rep.Used = rep.Used.Add(b.Used)
	for _, r := range b.Runs {
		if it := c.jobs[r.ID.Task.Job]; it != nil && it.Task(r.ID.Task) != nil && it.Step(r.ID.Task).LongRunning {
			l.Long++
			rep.Long = rep.Long.Add(r.Room)
		}
	}
	if cl := c.closed[id]; cl != nil && !cl.removed {
		l.Closed = true
		l.Empty = cl.logged && len(b.Runs) == 0 && b.Seen == b.Acknowledged
	}
	return l
}
