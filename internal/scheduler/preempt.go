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
	// preemptDelay is how long a job waits before it may preempt less urgent
	// jobs, and the least time between two preemptions for it.
	preemptDelay = 400 * time.Millisecond
	// preemptMinRemaining is how much longer a run must still be expected to
	// take for stopping it to be worthwhile.
	preemptMinRemaining = 600 * time.Millisecond
	// maxPreemptSearches bounds for how many groups one plan searches for runs
	// to stop.
	maxPreemptSearches = 8
	// maxPreemptGroups bounds the waiting groups that one plan considers for that, the
	// most urgent first.
	maxPreemptGroups = 128
)

// preemptor finds the runs of a pool that may be stopped for more urgent jobs.
// One is created for every plan. It examines the runs only when a group waits
// that is more urgent than some job that may have runs.
type preemptor struct {
	core *Core
	now  time.Duration
	// leastUrgent is the priority of the least urgent job that may have runs.
	leastUrgent int
	// candidatesByWorker are the runs that may be stopped, by worker, those
	// first whose stop loses the least work.
	candidatesByWorker map[string][]*worker.Run
	// groups counts the groups that were considered, and searches those for which runs to
	// stop were searched.
	groups, searches int
}

// newPreemptor returns a preemptor for one plan.
func (c *Core) newPreemptor(now time.Duration) *preemptor {
	p := &preemptor{core: c, now: now}
	for priority := range c.planned {
		p.leastUrgent = max(p.leastUrgent, priority)
	}
	return p
}

// mayPreempt reports whether runs may be stopped at all for a group.
func (p *preemptor) mayPreempt(pg pendingGroup) bool {
	return p.groups < maxPreemptGroups && p.searches < maxPreemptSearches && pg.job.Terms.Priority < p.leastUrgent
}

// preempt frees resources for a group that fits on no worker by stopping runs
// of less urgent jobs on one worker. The most urgent group is placed first once
// these resources are free.
func (p *preemptor) preempt(pg pendingGroup, nodes []*placement.Node) {
	if !p.mayPreempt(pg) || pg.job.Spec.Steps[pg.group.Step].Gang {
		return
	}
	p.groups++
	if pg.class(p.now) >= classExcess {
		// Neither late jobs nor excess ones are worth the work of others.
		return
	}
	if p.now < max(pg.job.arrived, pg.job.lastPreemption)+preemptDelay {
		return
	}
	p.searches++
	id, runs := p.cheapest(pg, nodes)
	if runs == nil {
		return
	}
	pg.job.lastPreemption = p.now
	for _, r := range runs {
		p.core.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", id).Str("for", string(pg.job.Spec.ID)).Int("priority", pg.job.Terms.Priority).Msg("run preempted")
		p.core.requestStop(p.core.workers[id], r, "preempted by "+string(pg.job.Spec.ID))
	}
}

// cheapest returns the worker on which freeing resources for one task of a
// group loses the least work, with the runs to stop there, or nil when there is
// none.
func (p *preemptor) cheapest(pg pendingGroup, nodes []*placement.Node) (string, []*worker.Run) {
	req := p.core.approvedRequest(pg.job, pg.group, p.now)
	var best []*worker.Run
	var workerID string
	for _, n := range nodes {
		runs := p.victims(n, pg.job.Terms.Priority, req)
		if runs != nil && (best == nil || lostWork(runs, p.now) < lostWork(best, p.now)) {
			best, workerID = runs, n.ID
		}
	}
	return workerID, best
}

// victims returns the runs on a node whose end frees enough resources for one
// task, or nil when there are none.
func (p *preemptor) victims(n *placement.Node, priority int, req placement.Request) []*worker.Run {
	var out []*worker.Run
	freed := *n
	for _, r := range p.candidates(n.ID) {
		if r.Stopping || p.core.jobs[r.ID.Task.Job].Terms.Priority <= priority {
			continue
		}
		out = append(out, r)
		freed.Free = freed.Free.Add(r.Resources)
		if placement.Choose([]*placement.Node{&freed}, req) != nil {
			return out
		}
	}
	return nil
}

// candidates returns the runs on a worker that may be stopped at all.
func (p *preemptor) candidates(id string) []*worker.Run {
	if runs, known := p.candidatesByWorker[id]; known {
		return runs
	}
	if p.candidatesByWorker == nil {
		p.candidatesByWorker = map[string][]*worker.Run{}
	}
	var out []*worker.Run
	for _, r := range sortedRuns(p.core.workers[id]) {
		if j := p.core.jobs[r.ID.Task.Job]; j != nil && p.core.preemptible(j, r, p.now) {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(x, y *worker.Run) int {
		return cmp.Compare(lostWork([]*worker.Run{x}, p.now), lostWork([]*worker.Run{y}, p.now))
	})
	p.candidatesByWorker[id] = out
	return out
}

// preemptible reports whether a run may be stopped for a more urgent job.
func (c *Core) preemptible(j *trackedJob, r *worker.Run, now time.Duration) bool {
	if r.State != worker.RunConfirmed || r.Stopping || j.Task(r.ID.Task) == nil {
		return false
	}
	s := j.Step(r.ID.Task)
	return !s.LongRunning && !s.Gang && r.StateSince+r.ExpectedDuration-now > preemptMinRemaining
}

// lostWork returns the work that is lost when runs are stopped, in thousandths
// of a core times nanoseconds.
func lostWork(runs []*worker.Run, now time.Duration) time.Duration {
	var sum time.Duration
	for _, r := range runs {
		sum += time.Duration(max(1, r.Resources.CPU)) * (now - r.StateSince)
	}
	return sum
}

// evacuate stops runs on draining workers and on workers that were cordoned with
// evacuate set, and promises each of their tasks a place on another worker.
// On cordoned workers it stops long-running tasks, within the MaxUnavailable of
// each step; on draining workers it stops every run that would not end in time, at
// most MaxUnavailable long-running ones of a step at once. Runs of a customer that uses
// more than its grant go on as long as they can, since they would not be started again.
func (c *Core) evacuate(t Times) {
	c.unplacedMoves = c.unplacedMoves[:0]
	workers := c.evacuating(t.Now)
	if len(workers) == 0 {
		return
	}
	e := &evacuation{core: c, now: t.Now, nodes: c.freeNodes(t.Now), seen: map[worker.StepKey]bool{}}
	for _, ws := range workers {
		for _, r := range sortedRuns(ws) {
			j := c.jobs[r.ID.Task.Job]
			if j == nil || r.Stopping || r.State != worker.RunConfirmed || j.Task(r.ID.Task) == nil {
				continue
			}
			switch {
			case !c.shouldEvacuate(ws, j, r, t.Now) || !c.grantAllowsMove(j):
			case !e.reserve(j, r.ID.Task):
				c.recordUnplacedMove(j, r.ID.Task)
			case !c.mayMove(j, r.ID.Task):
				e.temporary = append(e.temporary, r.ID.Task)
			default:
				c.requestStop(ws, r, "its worker is draining or cordoned")
			}
		}
	}
	for _, t := range e.temporary {
		delete(c.places, t)
	}
}

// evacuation finds places for the tasks to be moved in one plan.
type evacuation struct {
	core  *Core
	now   time.Duration
	nodes *placement.Index
	// seen are the steps whose inactive tasks have been looked for.
	seen map[worker.StepKey]bool
	// temporary are the tasks that hold a place for this evacuation only: inactive
	// ones, and those that move later.
	temporary []job.TaskID
}

// reserve promises a task a place that no inactive task of its step can take. It
// reports whether there is one.
func (e *evacuation) reserve(j *trackedJob, t job.TaskID) bool {
	if key := worker.StepKeyOf(t); !e.seen[key] {
		e.seen[key] = true
		e.reserveForInactive(j, t)
	}
	return e.core.reserve(t, e.nodes, nil, e.now)
}

// reserveForInactive reserves places for the tasks of a step that have to start
// and have none.
func (e *evacuation) reserveForInactive(j *trackedJob, t job.TaskID) {
	for k := range j.Step(t).Count {
		t.Index = k
		if _, promised := e.core.places[t]; promised || !e.core.hasToStart(t) {
			continue
		}
		if !e.core.reserve(t, e.nodes, nil, e.now) {
			return
		}
		e.temporary = append(e.temporary, t)
	}
}

// evacuating returns the workers to evacuate. Draining ones come first: tasks
// that are moved off them count as unavailable for the others.
func (c *Core) evacuating(now time.Duration) []*worker.State {
	c.refreshWorkers(now)
	var out []*worker.State
	for id := range c.index.draining {
		out = append(out, c.workers[id])
	}
	for id, cn := range c.cordons {
		ws := c.workers[id]
		if ws != nil && !ws.Draining && !cn.lifted && cn.Evacuate {
			out = append(out, ws)
		}
	}
	slices.SortFunc(out, func(x, y *worker.State) int {
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

// drainTolerance is how much longer than it announced a draining worker is
// assumed to stay.
const drainTolerance = 2 * time.Second

// shouldEvacuate reports whether a run should be moved off a worker.
func (c *Core) shouldEvacuate(ws *worker.State, j *trackedJob, r *worker.Run, now time.Duration) bool {
	s := j.Step(r.ID.Task)
	switch {
	case s.Gang:
		return false
	case ws.Draining && s.LongRunning:
		return true
	case ws.Draining:
		return r.StateSince+r.ExpectedDuration-now > ws.DrainRemaining+drainTolerance
	default:
		return s.LongRunning && c.mayMakeUnavailable(j, r.ID.Task)
	}
}
