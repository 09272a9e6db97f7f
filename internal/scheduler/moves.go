package scheduler

import (
	"maps"
	"slices"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// recordUnplacedMove records that no other worker took a task in this plan that has
// to leave its own. Tasks that end by themselves are left out.
func (c *Core) recordUnplacedMove(j *trackedJob, t job.TaskID) {
	if j.Step(t).LongRunning {
		c.unplacedMoves = append(c.unplacedMoves, t)
	}
}

// mayMove reports whether one more task of a step may be stopped to be moved. At most
// MaxUnavailable long-running ones are stopped at once, and one in any case. A task
// whose worker does not answer is not waited for.
func (c *Core) mayMove(j *trackedJob, t job.TaskID) bool {
	s := j.Step(t)
	if !s.LongRunning {
		return true
	}
	moving := 0
	for other := range c.places {
		if worker.StepKeyOf(other) == worker.StepKeyOf(t) && c.isStopping(j, other) {
			moving++
		}
	}
	return moving < max(1, s.MaxUnavailable)
}

// isStopping reports whether a run of a task is being stopped on a worker that
// answers.
func (c *Core) isStopping(j *trackedJob, t job.TaskID) bool {
	return slices.ContainsFunc(j.Task(t).Runs, func(r job.Run) bool {
		ws := c.workers[r.At.Worker.ID]
		if ws == nil || !reachable(ws) {
			return false
		}
		run := ws.Runs[job.RunID{Task: t, Number: r.Number}]
		return run != nil && run.Stopping
	})
}

// addUnplacedMoves adds to groups of waiting tasks those that have to leave their
// workers and that no other worker took in the last plan. A task that has no run any
// more waits, and is in its group already.
func (c *Core) addUnplacedMoves(groups []stepTasks) []stepTasks {
	counts := map[worker.StepKey]int{}
	for _, t := range c.unplacedMoves {
		if j := c.jobs[t.Job]; j != nil && j.Task(t) != nil && !j.Phase.Final() && !c.hasToStart(t) {
			counts[worker.StepKeyOf(t)]++
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(counts), compareSteps) {
		i := slices.IndexFunc(groups, func(g stepTasks) bool { return g.step == k })
		if i < 0 {
			i = len(groups)
			groups = append(groups, stepTasks{k, unplacedTasks(c.jobs[k.Job].Spec.Steps[k.Step], 0)})
		}
		groups[i].Count += counts[k]
	}
	return groups
}

// compareSteps orders steps by job, occurrence and index.
func compareSteps(a, b worker.StepKey) int {
	return compareTasks(
		job.TaskID{Job: a.Job, Occurrence: a.Occurrence, Step: a.Step},
		job.TaskID{Job: b.Job, Occurrence: b.Occurrence, Step: b.Step},
	)
}
