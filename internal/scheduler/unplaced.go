package scheduler

import (
	"math"
	"slices"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// maxUnplacedGroups bounds the groups in a Report.
const maxUnplacedGroups = 64

// UnplacedTasks is a group of equal tasks that wait because no worker takes them.
type UnplacedTasks struct {
	// Count is the number of tasks, and Need what each reserves on its host.
	Count int           `cbor:"1,keyasint"`
	Need  job.Resources `cbor:"2,keyasint"`
	// MaxPerHost limits the number of these tasks on one host, 0 for no limit.
	MaxPerHost int `cbor:"3,keyasint,omitempty"`
	// Label, if set, is a label that the host must have.
	Label string `cbor:"4,keyasint,omitempty"`
}

// unplacedTasks returns the group of count tasks of a step.
func unplacedTasks(s job.Step, count int) UnplacedTasks {
	return UnplacedTasks{Count: count, Need: s.ReservedResources(), MaxPerHost: s.MaxPerWorker, Label: s.Label}
}

// sameKind reports whether the tasks of two groups need the same of a host.
func (u UnplacedTasks) sameKind(o UnplacedTasks) bool {
	return u.Need == o.Need && u.Label == o.Label
}

// spread returns the number of hosts that MaxPerHost alone calls for, 0 for no
// limit.
func (u UnplacedTasks) spread() int {
	if u.MaxPerHost == 0 {
		return 0
	}
	return (u.Count + u.MaxPerHost - 1) / u.MaxPerHost
}

// addUnplaced adds a group of tasks to groups. Tasks of the same kind that spread
// over as many hosts are one group, whose limit is the sum of their limits.
func addUnplaced(groups []UnplacedTasks, g UnplacedTasks) []UnplacedTasks {
	i := slices.IndexFunc(groups, func(o UnplacedTasks) bool { return g.sameKind(o) && g.spread() == o.spread() })
	if i < 0 {
		return append(groups, g)
	}
	groups[i].Count += g.Count
	groups[i].MaxPerHost += g.MaxPerHost
	return groups
}

// stepTasks is the group of a step's tasks that need a place.
type stepTasks struct {
	step worker.StepKey
	UnplacedTasks
}

// mergeSteps returns the groups of all steps.
func mergeSteps(steps []stepTasks) []UnplacedTasks {
	var out []UnplacedTasks
	for _, s := range steps {
		out = addUnplaced(out, s.UnplacedTasks)
	}
	return out
}

// addKind adds a group of tasks to groups unless they hold one of the same kind.
func addKind(groups []UnplacedTasks, g UnplacedTasks) []UnplacedTasks {
	if slices.ContainsFunc(groups, g.sameKind) {
		return groups
	}
	return append(groups, g)
}

// unknownCapacity is the capacity assumed of hosts while none is known: limits of
// tasks per host alone then tell how many are needed.
var unknownCapacity = job.Resources{CPU: math.MaxInt, MemoryMB: math.MaxInt, GPU: math.MaxInt}

// assumedHostCapacity returns the capacity that a further host is assumed to have:
// that of the largest worker that the pool has had.
func (c *Core) assumedHostCapacity() job.Resources {
	if c.largestCapacity == (job.Resources{}) {
		return unknownCapacity
	}
	return c.largestCapacity
}

// recordCapacity updates largestCapacity with the capacity of a worker.
func (c *Core) recordCapacity(r job.Resources) {
	if c.largestCapacity.FitsIn(r) {
		c.largestCapacity = r
	}
}

// hostsToFill returns how many empty hosts a first-fit packing of the tasks
// uses. Tasks that fit on no host are not counted.
func hostsToFill(groups []UnplacedTasks, host job.Resources) int {
	var free []job.Resources
	for _, g := range groups {
		if !g.Need.FitsIn(host) {
			continue
		}
		for at, left := 0, g.Count; left > 0; at++ {
			if at == len(free) {
				free = append(free, host)
			}
			for n := 0; left > 0 && g.Need.FitsIn(free[at]) && (g.MaxPerHost == 0 || n < g.MaxPerHost); n++ {
				free[at] = free[at].Sub(g.Need)
				left--
			}
		}
	}
	return len(free)
}

// stalledAfter is how long a job may have no active run, with tasks that find
// no worker, before it counts as stalled.
const stalledAfter = 2 * time.Second

// halfUsed reports whether half of the pool's processors are in use. Waiting
// tasks are then served by the hosts that the pool's demand calls for. A pool
// without workers is not used.
func (c *Core) halfUsed(used job.Resources) bool {
	var capacity job.Resources
	for _, ws := range c.workers {
		if ws.Listed {
			capacity = capacity.Add(ws.Capacity)
		}
	}
	return capacity.CPU > 0 && 2*used.CPU >= capacity.CPU
}

// hasStalledJob reports whether a job is stalled because no worker takes its
// tasks: what the pool has free in total may be on workers that take no tasks.
func (c *Core) hasStalledJob(now time.Duration) bool {
	for j := range c.openJobs.all() {
		if !j.Phase.Final() && c.jobStalled(j, now) && !c.grantForbidsJob(j) {
			return true
		}
	}
	return false
}
