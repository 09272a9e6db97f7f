package scheduler

import (
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// WorkerLoad is what a pool's holder reports of one worker.
type WorkerLoad struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// Runs counts the runs that the worker has or may have, and LongRunning the
	// long-running ones among them.
	Runs        int `cbor:"3,keyasint,omitempty"`
	LongRunning int `cbor:"4,keyasint,omitempty"`
	// Used is the resources that these runs take.
	Used     job.Resources `cbor:"5,keyasint"`
	Capacity job.Resources `cbor:"6,keyasint"`
	// Schedulable is set for a worker that takes new tasks.
	Schedulable bool `cbor:"7,keyasint,omitempty"`
	// Cordoned is set for a worker that a call has cordoned, and Empty for a
	// cordoned worker that has no run and will get none.
	Cordoned bool `cbor:"8,keyasint,omitempty"`
	Empty    bool `cbor:"9,keyasint,omitempty"`
	// EmptyIn is how long the worker's runs are expected to go on.
	EmptyIn time.Duration `cbor:"10,keyasint,omitempty"`
	// Joining is set for a worker that is listed and was not polled yet.
	Joining bool `cbor:"11,keyasint,omitempty"`
	// Draining is set for a worker that has announced that it will leave.
	Draining bool `cbor:"12,keyasint,omitempty"`
	// Evacuating is set for a cordoned worker whose long-running tasks are moved.
	Evacuating bool `cbor:"13,keyasint,omitempty"`
}

// Report is what a pool's holder reports of the pool.
type Report struct {
	// Used is the resources that runs take, Waiting those that tasks need which
	// could start now, and Late the part of Waiting that belongs to jobs which
	// are late anyway.
	Used    job.Resources `cbor:"1,keyasint"`
	Waiting job.Resources `cbor:"2,keyasint"`
	Late    job.Resources `cbor:"3,keyasint"`
	// LongRunning is the part of Used and Waiting that belongs to long-running
	// tasks.
	LongRunning job.Resources `cbor:"4,keyasint"`
	// CurrentDemand is the resources that recently submitted jobs need while
	// they run, and ExpectedDemand what jobs will need after the requested lead
	// time.
	CurrentDemand  job.Resources `cbor:"5,keyasint"`
	ExpectedDemand job.Resources `cbor:"6,keyasint"`
	Workers        []WorkerLoad  `cbor:"7,keyasint"`
	// HostsNeeded is how many hosts would be filled by the long-running tasks
	// that wait, or have to leave a worker that drains or is cordoned, because no
	// other has the resources for them. It is at least
	// one when another job is stalled because no worker takes its tasks.
	HostsNeeded int `cbor:"8,keyasint,omitempty"`
}

// Report describes the pool. lead is how far ahead demand is forecast.
func (c *Core) Report(now, lead time.Duration) Report {
	var rep Report
	var unplaced []taskGroup
	rep.CurrentDemand, rep.ExpectedDemand = c.demand.forecast(now, lead)
	for _, pg := range c.queue(now) {
		s := pg.job.Spec.Steps[pg.group.Step]
		needed := s.ReservedResources().Times(len(pg.group.Waiting))
		rep.Waiting = rep.Waiting.Add(needed)
		switch pg.class(now) {
		case classLongRunning:
			rep.LongRunning = rep.LongRunning.Add(needed)
			if pg.job.unplacedVersion != pg.job.version {
				// The next plan may place them.
				continue
			}
			unplaced = append(unplaced, taskGroup{step: pg.step(), count: len(pg.group.Waiting), need: s.ReservedResources(), maxPerHost: s.MaxPerWorker})
		case classLate:
			rep.Late = rep.Late.Add(needed)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.workers)) {
		rep.Workers = append(rep.Workers, c.workerLoad(id, &rep, now))
	}
	rep.HostsNeeded = hostsToFill(c.addUnplacedMoves(unplaced), c.largestCapacity())
	if rep.HostsNeeded == 0 && !c.halfUsed(rep.Used) && c.hasStalledJob(now) {
		rep.HostsNeeded = 1
	}
	return rep
}

// stalledAfter is how long a job may have no active run, with tasks that find
// no worker, before it counts as stalled.
const stalledAfter = 2 * time.Second

// halfUsed reports whether half of the pool's processors are in use. Waiting
// tasks are then served by the hosts that the pool's demand calls for.
func (c *Core) halfUsed(used job.Resources) bool {
	var capacity job.Resources
	for _, ws := range c.workers {
		if ws.Listed {
			capacity = capacity.Add(ws.Capacity)
		}
	}
	return 2*used.CPU >= capacity.CPU
}

// hasStalledJob reports whether a job is stalled because no worker takes its
// tasks: what the pool has free in total may be on workers that take no tasks.
func (c *Core) hasStalledJob(now time.Duration) bool {
	for _, j := range c.openJobs {
		if !j.Phase.Final() && j.stalled(now) {
			return true
		}
	}
	return false
}

// stalled reports whether the job has had no active run for stalledAfter although
// some of its tasks wait.
func (j *trackedJob) stalled(now time.Duration) bool {
	return j.stalledSince > 0 && now-j.stalledSince >= stalledAfter
}

// largestCapacity returns the capacity of the largest worker.
func (c *Core) largestCapacity() job.Resources {
	var largest job.Resources
	for _, ws := range c.workers {
		if largest.FitsIn(ws.Capacity) {
			largest = ws.Capacity
		}
	}
	return largest
}

// taskGroup is a number of equal tasks that need a place, of which a host takes at
// most maxPerHost, 0 for no limit.
type taskGroup struct {
	step       worker.StepKey
	count      int
	need       job.Resources
	maxPerHost int
}

// hostsToFill returns how many empty hosts a first-fit packing of the tasks
// uses. Tasks that fit on no host are not counted.
func hostsToFill(groups []taskGroup, host job.Resources) int {
	var free []job.Resources
	for _, g := range groups {
		if !g.need.FitsIn(host) {
			continue
		}
		for at, left := 0, g.count; left > 0; at++ {
			if at == len(free) {
				free = append(free, host)
			}
			for n := 0; left > 0 && g.need.FitsIn(free[at]) && (g.maxPerHost == 0 || n < g.maxPerHost); n++ {
				free[at] = free[at].Sub(g.need)
				left--
			}
		}
	}
	return len(free)
}

// workerLoad describes one worker and adds its runs to the report.
func (c *Core) workerLoad(id string, rep *Report, now time.Duration) WorkerLoad {
	ws := c.workers[id]
	l := WorkerLoad{
		ID:          id,
		Host:        ws.Host,
		Runs:        len(ws.Runs),
		Used:        ws.Used,
		Capacity:    ws.Capacity,
		Schedulable: c.acceptsTasks(ws) && !c.ejected(id, now),
		Joining:     ws.Listed && !ws.Draining && !ws.Fenced && ws.UnansweredCalls == 0,
		Draining:    ws.Draining,
		EmptyIn:     ws.BusyUntil(now) - now,
	}
	rep.Used = rep.Used.Add(ws.Used)
	for _, r := range ws.Runs {
		if j := c.jobs[r.ID.Task.Job]; j != nil && j.Task(r.ID.Task) != nil && j.Step(r.ID.Task).LongRunning {
			l.LongRunning++
			rep.LongRunning = rep.LongRunning.Add(r.Resources)
		}
	}
	if cn := c.cordons[id]; cn != nil && !cn.lifted {
		l.Cordoned = true
		l.Evacuating = cn.Evacuate
		l.Empty = cn.logged && len(ws.Runs) == 0 && ws.LastEndSeen == ws.LastEndAcknowledged
	}
	return l
}
