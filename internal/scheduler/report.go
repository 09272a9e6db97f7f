package scheduler

import (
	"maps"
	"slices"
	"time"

	"greengagedeck/internal/job"
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
	// could start now, as far as the limits of customers allow, and Late the part
	// of Waiting that belongs to jobs which are late anyway.
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
	// other has the resources for them. It is at least one when another job is
	// stalled because no worker takes its tasks. It is for readers that do not know
	// Unplaced.
	HostsNeeded int `cbor:"8,keyasint,omitempty"`
	// Unplaced describes the tasks for which HostsNeeded asks: all long-running
	// ones, and one of each kind that a stalled job waits with. There are at most
	// maxUnplacedGroups groups.
	Unplaced []UnplacedTasks `cbor:"9,keyasint,omitempty"`
}

// Report describes the pool. lead is how far ahead demand is forecast.
func (c *Core) Report(now, lead time.Duration) Report {
	var rep Report
	var waiting []stepTasks
	var stalled []UnplacedTasks
	rep.CurrentDemand, rep.ExpectedDemand = c.demand.Forecast(now, lead)
	heldBack := c.heldBackUse(now)
	rep.CurrentDemand, rep.ExpectedDemand = rep.CurrentDemand.Add(heldBack), rep.ExpectedDemand.Add(heldBack)
	allowed := c.newAllowances(now)
	for pg := range c.queue(now) {
		s := pg.job.Spec.Steps[pg.group.Step]
		// No host helps tasks that their customer's grant does not allow.
		tasks := allowed.take(pg)
		if tasks == 0 {
			continue
		}
		needed := s.ReservedResources().Times(tasks)
		rep.Waiting = rep.Waiting.Add(needed)
		switch pg.class(now) {
		case classLongRunning:
			rep.LongRunning = rep.LongRunning.Add(needed)
			if pg.job.unplanned {
				// The next plan may place them.
				continue
			}
			waiting = append(waiting, stepTasks{pg.step(), unplacedTasks(s, tasks)})
			continue
		case classLate:
			rep.Late = rep.Late.Add(needed)
		}
		if c.jobStalled(pg.job, now) {
			stalled = addKind(stalled, unplacedTasks(s, 1))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.workers)) {
		rep.Workers = append(rep.Workers, c.workerLoad(id, &rep, now))
	}
	longRunning := mergeSteps(c.addUnplacedMoves(waiting))
	rep.HostsNeeded = hostsToFill(longRunning, c.assumedHostCapacity())
	rep.Unplaced = longRunning
	if !c.halfUsed(rep.Used) {
		rep.Unplaced = append(rep.Unplaced, stalled...)
		if rep.HostsNeeded == 0 && c.hasStalledJob(now) {
			rep.HostsNeeded = 1
		}
	}
	rep.Unplaced = rep.Unplaced[:min(len(rep.Unplaced), maxUnplacedGroups)]
	return rep
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
