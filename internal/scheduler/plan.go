package scheduler

import (
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/placement"
	"greengagedeck/internal/worker"
)

// Batch is what one plan has to log before its starts may be ordered.
type Batch struct {
	// Progress goes to the progress partition.
	Progress []logstore.Entry
	// Forget goes to the intake partition. It may fail.
	Forget []logstore.Entry
	// JobTimes are how long the jobs took that ended since the last plan.
	JobTimes []time.Duration

	starts []start
	logs   map[*item]logged
	ends   map[string]loggedEnds
	closed []*closure
}

// logged is what a batch logs of a job.
type logged struct {
	phase   job.Phase
	version int
}

// start is a planned run.
type start struct {
	run    job.RunID
	worker job.Incarnation
}

// loggedEnds is up to which end of an incarnation a batch logs.
type loggedEnds struct {
	born, number int64
}

// Empty reports whether a batch has nothing to log.
func (b *Batch) Empty() bool { return len(b.Progress) == 0 && len(b.Forget) == 0 }

// Plan decides what to start, and returns what to log. Every batch must be
// handed back by Committed before the next plan is made.
func (c *Core) Plan(t Times) (*Batch, error) {
	c.changed = false
	c.expire(t)
	c.release(t)
	c.evacuate(t)
	c.watchStalls(t.Now)
	b := &Batch{JobTimes: c.jobTimes, logs: map[*item]logged{}, ends: map[string]loggedEnds{}}
	c.jobTimes = nil
	c.place(b, t)
	if err := c.encode(b, t); err != nil {
		return nil, err
	}
	return b, nil
}

// release lets the occurrences begin that are due.
func (c *Core) release(t Times) {
	for _, it := range c.open {
		if it.Release(t.Wall) {
			c.touch(it)
		}
	}
}

// Due returns how long it is until an occurrence of some job is due, or false.
func (c *Core) Due(wall int64) (time.Duration, bool) {
	first := int64(0)
	found := false
	for _, it := range c.open {
		if due, ok := it.NextDue(); ok && (!found || due < first) {
			first, found = due, true
		}
	}
	return max(0, time.Duration(first-wall)*time.Millisecond), found
}

// place gives waiting tasks to workers as far as there is room.
func (c *Core) place(b *Batch, t Times) {
	if c.fenced {
		return
	}
	nodes := c.withoutEjected(c.nodes(t.Now), t.Now)
	p := c.preemptor(t.Now)
	for _, w := range c.queue(t.Now) {
		nodes := nodes
		if w.it.Terms.Approval != nil {
			nodes = c.approvedNodes(w, nodes, t.Now)
		}
		if w.it.Spec.Steps[w.group.Step].Gang {
			if !c.placeGang(b, w, nodes, t.Now) {
				c.noteWait(w, nodes, t.Now)
			}
			continue
		}
		if !c.placeTasks(b, w, nodes, t.Now) {
			c.noteWait(w, nodes, t.Now)
			p.preempt(w, nodes)
		}
	}
	c.copies(b, nodes, t.Now)
}

// nodes returns the workers that take new tasks, in the order of their IDs.
func (c *Core) nodes(now time.Duration) []*placement.Node {
	var out []*placement.Node
	for _, id := range slices.Sorted(maps.Keys(c.workers)) {
		b := c.workers[id]
		if !c.takes(b) {
			continue
		}
		out = append(out, c.node(b, now))
	}
	return out
}

func (c *Core) node(b *worker.Book, now time.Duration) *placement.Node {
	n := &placement.Node{
		ID:        b.Incarnation.ID,
		Free:      b.Free(),
		Rack:      b.Rack,
		Labels:    b.Labels,
		BusyUntil: b.BusyUntil(now),
	}
	for _, r := range b.Runs {
		n.Serves = n.Serves || r.Target > 0
		if r.Fills {
			n.FillCPU += c.fillCPU(r)
		}
	}
	return n
}

// fillCPU returns the processor time that a task that fills could use.
func (c *Core) fillCPU(r *worker.Run) int {
	it := c.jobs[r.ID.Task.Job]
	if it == nil {
		return 0
	}
	return it.Step(r.ID.Task).Need.CPU
}

// takes reports whether a worker takes new tasks.
func (c *Core) takes(b *worker.Book) bool {
	return b.Listed && !b.Draining && b.Closed == "" && reachable(b)
}

func (c *Core) request(it *item, g job.TaskGroup) placement.Request {
	s := it.Spec.Steps[g.Step]
	key := worker.StepKey{Job: it.Spec.ID, Occurrence: g.Occurrence, Step: g.Step}
	return placement.Request{
		Room:     s.ReservedResources(),
		Label:    s.Label,
		DataRack: s.DataRack,
		Taken:    func(id string) int { return c.workers[id].Count(key) },
		Most:     s.MaxPerWorker,
		Serves:   s.TailLatencyTarget > 0,
		Fills:    s.BestEffort,
		SoftCPU:  s.Need.CPU,
	}
}

// placeTasks reports whether every task of a group found a worker.
func (c *Core) placeTasks(b *Batch, w waiting, nodes []*placement.Node, now time.Duration) bool {
	req := c.request(w.it, w.group)
	req.Ends = now + c.lasts(w.it.Spec.Steps[w.group.Step])
	for _, k := range w.group.Waiting {
		t := job.TaskID{Job: w.it.Spec.ID, Occurrence: w.group.Occurrence, Step: w.group.Step, Index: k}
		req.Shun = w.it.shun[t]
		n := placement.Choose(nodes, req)
		if n == nil {
			return false
		}
		req.Take(n)
		book := c.workers[n.ID]
		c.planned(b, w.it, w.it.Place(t, locate(book)), book, now)
	}
	return true
}

// placeGang reports whether all tasks of a gang found workers.
func (c *Core) placeGang(b *Batch, w waiting, nodes []*placement.Node, now time.Duration) bool {
	req := c.request(w.it, w.group)
	s := w.it.Spec.Steps[w.group.Step]
	req.Ends = now + c.lasts(s)
	chosen := placement.ChooseGang(nodes, req, s.Count, s.SameRack)
	if chosen == nil {
		return false
	}
	at := make([]job.Location, 0, len(chosen))
	for _, n := range chosen {
		req.Take(n)
		at = append(at, locate(c.workers[n.ID]))
	}
	for i, r := range w.it.PlaceGang(w.group.Occurrence, w.group.Step, at) {
		c.planned(b, w.it, r, c.workers[at[i].Worker.ID], now)
	}
	return true
}

// foreverLasts stands for the time that a long-running task is at work.
const foreverLasts = 1000 * time.Hour

// lasts returns how long a task of a step is expected to be at work.
func (c *Core) lasts(s job.Step) time.Duration {
	if s.LongRunning {
		return foreverLasts
	}
	return time.Duration(c.demand.usual() * float64(s.Estimate))
}

func locate(b *worker.Book) job.Location {
	return job.Location{Worker: b.Incarnation, Address: b.Address}
}

// planned notes a run that is to be logged and then ordered.
func (c *Core) planned(b *Batch, it *item, r job.RunID, book *worker.Book, now time.Duration) {
	s := it.Step(r.Task)
	book.Add(worker.NewRun(r, s, worker.Planned, now, c.lasts(s)))
	it.stillSince = 0
	b.starts = append(b.starts, start{run: r, worker: book.Incarnation})
	c.touch(it)
}

// encode writes down the progress of every job that changed, and which ends of
// the workers that covers.
func (c *Core) encode(b *Batch, t Times) error {
	for _, it := range c.open {
		if !c.dirty[it] {
			continue
		}
		if err := c.encodeJob(b, it); err != nil {
			return err
		}
	}
	clear(c.dirty)
	if err := c.encodeClosed(b); err != nil {
		return err
	}
	for id, book := range c.workers {
		if book.Seen > book.Logged {
			b.ends[id] = loggedEnds{book.Incarnation.StartedAt, book.Seen}
		}
	}
	c.expireEnded(b, t.Wall)
	for _, id := range c.forgetIntake {
		b.Forget = append(b.Forget, joblog.DeleteIntake(id)...)
	}
	for _, id := range c.forgetJournal {
		b.Progress = append(b.Progress, joblog.DeleteProgressSubmission(id))
	}
	c.forgetIntake, c.forgetJournal = nil, nil
	return nil
}

// encodeJob writes down a job's progress, and the job itself unless the log
// holds it.
func (c *Core) encodeJob(b *Batch, it *item) error {
	it.Finalize()
	if it.submission != nil {
		e, err := joblog.ProgressSubmissionEntry(it.submission)
		if err != nil {
			return err
		}
		b.Progress = append(b.Progress, e)
		it.submission = nil
		it.inJournal = true
	}
	e, err := joblog.ProgressEntry(it.Spec.ID, &it.Progress)
	if err != nil {
		return err
	}
	b.Progress = append(b.Progress, e)
	b.logs[it] = logged{it.Phase, it.version}
	it.planned = it.version
	return nil
}

// expireEnded removes the progress of jobs whose state needs not be known any
// longer.
func (c *Core) expireEnded(b *Batch, wall int64) {
	for id, p := range c.ended {
		if wall-p.EndedAt > c.opt.StatusTime.Milliseconds() {
			delete(c.ended, id)
			b.Progress = append(b.Progress, joblog.DeleteProgress(id))
		}
	}
}

// Versions returns up to which version of each job a batch holds it.
func (b *Batch) Versions() map[job.ID]int {
	out := make(map[job.ID]int, len(b.logs))
	for it, l := range b.logs {
		out[it.Spec.ID] = l.version
	}
	return out
}

// Committed takes in that a batch is logged. It returns the starts to order.
func (c *Core) Committed(b *Batch, t Times) []job.RunID {
	for it, l := range b.logs {
		it.logged = l.phase
		it.committed = l.version
	}
	for id, e := range b.ends {
		if book := c.workers[id]; book != nil && book.Incarnation.StartedAt == e.born {
			book.Logged = max(book.Logged, e.number)
		}
	}
	for _, cl := range b.closed {
		cl.logged = true
	}
	c.settle()
	var out []job.RunID
	for _, s := range b.starts {
		if c.commitStart(s, t) {
			out = append(out, s.run)
		}
	}
	return out
}

// commitStart reports whether a logged run should be ordered now. One that is
// no longer wanted was never ordered, so it is simply dropped.
func (c *Core) commitStart(s start, t Times) bool {
	book := c.workers[s.worker.ID]
	if book == nil {
		return false
	}
	r := book.Runs[s.run]
	if r == nil {
		return false
	}
	it := c.jobs[s.run.Task.Job]
	if book.Incarnation != s.worker || it == nil || r.Stopping || it.Redundant(s.run) {
		c.over(book, r, job.EndWorkerLost, "", t)
		return false
	}
	c.logPlaced(it, r, book, t.Now)
	r.State = worker.Ordered
	r.Since = t.Now
	return true
}

// settle moves jobs of which nothing is left to the ended ones.
func (c *Core) settle() {
	c.open = slices.DeleteFunc(c.open, func(it *item) bool {
		if c.dirty[it] || it.logged != it.Phase || !it.Finalize() {
			return false
		}
		id := it.Spec.ID
		delete(c.jobs, id)
		c.dropApprovals(id)
		c.ended[id] = job.Progress{Phase: it.Phase, EndedAt: it.EndedAt}
		if it.inIntake {
			c.forgetIntake = append(c.forgetIntake, id)
		}
		if it.inJournal {
			c.forgetJournal = append(c.forgetJournal, id)
		}
		return true
	})
}
