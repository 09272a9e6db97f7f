package scheduler

import (
	"math"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/placement"
	"greengagedeck/internal/worker"
)

const (
	// failuresToEject is how many jobs in a row have to fail on a worker, with
	// no success between, for it to be ejected.
	failuresToEject = 3
	// ejectFirst and ejectMost bound how long an ejected worker gets no tasks.
	// The time doubles as long as it fails again.
	ejectFirst = 2 * time.Second
	ejectMost  = 16 * time.Second
	// maxEjectedShare is the part of a pool's workers that may be ejected:
	// where more fail, the fault is not theirs.
	maxEjectedShare = 1.0 / 3
	// overdueFactor, overdueSpread and overdueSlack tell when a run takes
	// suspiciously long: at least that many times its estimate, and that many
	// standard deviations more than is usual for its entry.
	overdueFactor = 2.5
	overdueSpread = 4
	overdueSlack  = 300 * time.Millisecond
	// stallRuns and stallShare tell when a worker stands still: that many of
	// its runs, and that part of those that had time to end, are overdue.
	stallRuns  = 2
	stallShare = 0.75
	// paceTasks is over how many tasks the pace of an entry is averaged.
	paceTasks = 100
)

// pace is how long the tasks of an entry take against their estimates.
type pace struct {
	mean, variance float64
	seen           int
}

// note takes in the ratio of actual to estimated time of one task.
func (p *pace) note(ratio float64) {
	p.seen = min(p.seen+1, paceTasks)
	share := 1 / float64(p.seen)
	off := ratio - p.mean
	p.mean += off * share
	p.variance += (off*off*(1-share) - p.variance) * share
}

// late returns how many times its estimate a task may take before it is overdue.
// Little is known at first, so that a task has to take far longer then.
func (p *pace) late() float64 {
	if p == nil || p.seen == 0 {
		return 2 * overdueFactor
	}
	unsure := 1 + 4/float64(p.seen)
	return max(overdueFactor, p.mean+overdueSpread*math.Sqrt(p.variance)) * unsure
}

// took notes how long a task of an entry was at work.
func (c *Core) took(entry string, actual, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	ratio := actual.Seconds() / estimate.Seconds()
	c.demand.took(ratio)
	p := c.paces[entry]
	if p == nil {
		p = &pace{}
		c.paces[entry] = p
	}
	p.note(ratio)
}

// health is how a worker has done lately.
type health struct {
	// failed is the last job that failed there, and failures how many have in
	// a row.
	failed   job.ID
	failures int
	// until is when an ejection ends, and length how long it is.
	until  time.Duration
	length time.Duration
	// stalled is set while the worker's runs take suspiciously long.
	stalled bool
}

func (c *Core) healthOf(id string) *health {
	h := c.health[id]
	if h == nil {
		h = &health{}
		c.health[id] = h
	}
	return h
}

// succeeded notes a success on a worker.
func (c *Core) succeeded(id string) {
	h := c.healthOf(id)
	if h.length > 0 {
		c.opt.Logger.Info().Str("worker", id).Msg("worker does well again")
	}
	*h = health{stalled: h.stalled}
}

// failedOn notes the failure of a job on a worker. Several failures of one job
// count once: it may be hopeless itself.
func (c *Core) failedOn(id string, j job.ID, now time.Duration) {
	h := c.healthOf(id)
	if h.failed == j && h.failures > 0 {
		return
	}
	h.failed = j
	h.failures++
	if h.failures < failuresToEject {
		return
	}
	h.length = min(ejectMost, max(ejectFirst, 2*h.length))
	h.until = now + h.length
	// After that time a single failure ejects it again.
	h.failures = failuresToEject - 1
	c.opt.Logger.Warn().Str("worker", id).Str("job", string(j)).Dur("for", h.length).Msg("worker ejected: it fails what it starts")
}

// ejected reports whether a worker should get no tasks.
func (c *Core) ejected(id string, now time.Duration) bool {
	h := c.health[id]
	return h != nil && (h.stalled || now < h.until)
}

// withoutEjected leaves out ejected workers. Where too many are, they are only
// avoided.
func (c *Core) withoutEjected(nodes []*placement.Node, now time.Duration) []*placement.Node {
	out := make([]*placement.Node, 0, len(nodes))
	for _, n := range nodes {
		if c.ejected(n.ID, now) {
			n.Avoid = true
		} else {
			out = append(out, n)
		}
	}
	if float64(len(nodes)-len(out)) > maxEjectedShare*float64(len(nodes)) {
		return nodes
	}
	return out
}

// overdue reports whether a run takes suspiciously long.
func (c *Core) overdue(r *worker.Run, now time.Duration) bool {
	it := c.jobs[r.ID.Task.Job]
	if it == nil || r.State != worker.Confirmed || it.Task(r.ID.Task) == nil {
		return false
	}
	s := it.Step(r.ID.Task)
	if s.LongRunning || s.BestEffort || s.Gang || s.Estimate == 0 {
		return false
	}
	return now-r.Since > time.Duration(c.paces[it.Terms.Entry].late()*float64(s.Estimate))+overdueSlack
}

// watchStalls finds the workers that stand still and starts what waits there
// anew elsewhere.
func (c *Core) watchStalls(now time.Duration) {
	for id, b := range c.workers {
		late, mature := 0, 0
		for _, r := range b.Runs {
			switch {
			case c.overdue(r, now):
				late++
				mature++
			case r.State == worker.Confirmed && now-r.Since > overdueSlack:
				mature++
			}
		}
		stalled := late >= stallRuns && float64(late) >= stallShare*float64(mature)
		h := c.health[id]
		if stalled == (h != nil && h.stalled) {
			continue
		}
		c.healthOf(id).stalled = stalled
		c.changed = true
		c.opt.Logger.Info().Str("worker", id).Bool("stalled", stalled).Int("late", late).Int("runs", mature).Msg("worker's speed changed")
		if stalled {
			c.restartOverdue(b, now)
		}
	}
}

// restartOverdue stops the overdue runs of a worker that stands still, so that
// they start elsewhere. Those that may have copies keep going beside theirs.
func (c *Core) restartOverdue(b *worker.Book, now time.Duration) {
	for _, r := range sortedRuns(b) {
		if c.overdue(r, now) && !c.jobs[r.ID.Task.Job].Step(r.ID.Task).Speculative {
			c.stop(b, r, "its worker stands still")
		}
	}
}

// copies starts a second run of tasks that may have several and whose only one
// is overdue.
func (c *Core) copies(b *Batch, nodes []*placement.Node, now time.Duration) {
	for _, it := range c.open {
		if it.Phase.Final() || !it.speculative() {
			continue
		}
		for _, r := range it.ActiveRuns() {
			c.copyOf(b, it, r, nodes, now)
		}
	}
}

func (c *Core) copyOf(b *Batch, it *item, r job.RunID, nodes []*placement.Node, now time.Duration) {
	s := it.Step(r.Task)
	task := it.Task(r.Task)
	if !s.Speculative || s.Gang || len(task.Runs) != 1 {
		return
	}
	at := task.Runs[0].At.Worker.ID
	book := c.workers[at]
	if book == nil || book.Runs[r] == nil || !c.overdue(book.Runs[r], now) {
		return
	}
	req := c.request(it, job.TaskGroup{Occurrence: r.Task.Occurrence, Step: r.Task.Step})
	req.Shun = at
	req.Ends = now + c.lasts(s)
	n := placement.Choose(nodes, req)
	if n == nil || n.ID == at {
		return
	}
	req.Take(n)
	to := c.workers[n.ID]
	run := it.Place(r.Task, locate(to))
	c.opt.Logger.Debug().Stringer("task", r.Task).Int("run", run.Number).Str("worker", n.ID).Str("beside", at).Msg("copy of an overdue run")
	c.planned(b, it, run, to, now)
}

// speculative reports whether a step of the job may have copies.
func (it *item) speculative() bool {
	for _, s := range it.Spec.Steps {
		if s.Speculative {
			return true
		}
	}
	return false
}
