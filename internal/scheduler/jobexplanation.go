package scheduler

import (
	"slices"
	"time"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

const (
	// maxExplainedSteps and maxExplainedRuns bound an explanation. A job has at most
	// job.MaxTasks tasks unless an earlier release accepted it.
	maxExplainedSteps = job.MaxTasks
	maxExplainedRuns  = job.MaxTasks
)

// JobExplanation is what a pool's holder knows of a job. Of one that has ended, or whose
// submission has not been read since the pool was taken over, only the phase, the customer
// and the time of the end are known.
type JobExplanation struct {
	ID       job.ID      `cbor:"1,keyasint"`
	Phase    job.Phase   `cbor:"2,keyasint,omitempty"`
	Customer customer.ID `cbor:"3,keyasint,omitempty"`
	Entry    string      `cbor:"4,keyasint,omitempty"`
	Pool     string      `cbor:"5,keyasint,omitempty"`
	Priority int         `cbor:"6,keyasint,omitempty"`
	// Age is how long ago the job was accepted, and Objective the age at which it should
	// be done.
	Age       time.Duration `cbor:"7,keyasint,omitempty"`
	Objective time.Duration `cbor:"8,keyasint,omitempty"`
	// Slack is how much longer the job can wait without being late, going by the
	// estimates. It is negative for a job that will be late.
	Slack time.Duration `cbor:"9,keyasint,omitempty"`
	// EndedAt is when the job ended, in milliseconds since 1970, or 0.
	EndedAt int64 `cbor:"10,keyasint,omitempty"`
	// Open is set while the job has not ended, or has runs that may be active. The fields
	// from Entry to Slack and those below are set only then.
	Open bool `cbor:"11,keyasint,omitempty"`
	// Repeats is set if another occurrence of the job is due in DueIn.
	Repeats bool          `cbor:"12,keyasint,omitempty"`
	DueIn   time.Duration `cbor:"13,keyasint,omitempty"`
	// Steps are the steps of the current occurrences, and StepsLeftOut how many more there
	// are. Runs are the runs that may be active, and RunsLeftOut how many more there are.
	Steps        []StepExplanation `cbor:"14,keyasint,omitempty"`
	StepsLeftOut int               `cbor:"15,keyasint,omitempty"`
	Runs         []RunExplanation  `cbor:"16,keyasint,omitempty"`
	RunsLeftOut  int               `cbor:"17,keyasint,omitempty"`
	// Unstored is set while the log may not hold the job, which is not accepted yet.
	Unstored bool `cbor:"18,keyasint,omitempty"`
}

// StepExplanation is the state of a step of one occurrence of a job.
type StepExplanation struct {
	Occurrence int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
	// Tasks is the number of tasks: those that are done, that have a run which may be
	// active, that could start, and the others, whose turn has not come.
	Tasks   int `cbor:"3,keyasint"`
	Done    int `cbor:"4,keyasint,omitempty"`
	Running int `cbor:"5,keyasint,omitempty"`
	Waiting int `cbor:"6,keyasint,omitempty"`
	// Reason is why tasks wait, or why their turn has not come. WaitingFor is for how long
	// the tasks that could start have waited.
	Reason     NoRunReason   `cbor:"7,keyasint,omitempty"`
	WaitingFor time.Duration `cbor:"8,keyasint,omitempty"`
	// Need is what a task reserves, and MostFreeCPU the most free processor time on a
	// worker that could take one, if there is too little.
	Need        job.Resources `cbor:"9,keyasint"`
	MostFreeCPU int           `cbor:"10,keyasint,omitempty"`
}

// RunExplanation is a run that may be active.
type RunExplanation struct {
	Task   string `cbor:"1,keyasint"`
	Number int    `cbor:"2,keyasint"`
	Worker string `cbor:"3,keyasint"`
	// Active is set if the worker has the run as far as is known. Otherwise Reason is why
	// the run does not count as active.
	Active bool        `cbor:"4,keyasint,omitempty"`
	Reason NoRunReason `cbor:"5,keyasint,omitempty"`
	// Since is for how long the run has been planned, ordered or active.
	Since time.Duration `cbor:"6,keyasint,omitempty"`
	// Silent is how long ago the worker last answered, if it does not answer.
	Silent time.Duration `cbor:"7,keyasint,omitempty"`
	// StopReason is why the run is being stopped, or empty.
	StopReason string `cbor:"8,keyasint,omitempty"`
}

// Explain returns what is known of a job, or false if it is not known or the pool is not
// taken over yet.
func (r *Runner) Explain(id job.ID) (JobExplanation, bool) {
	h := r.holderState()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready {
		return JobExplanation{}, false
	}
	return r.core.Explain(id, r.times(), h)
}

// Explain does what Runner.Explain does. It changes nothing.
func (c *Core) Explain(id job.ID, t Times, h HolderState) (JobExplanation, bool) {
	phase, known := c.Lookup(id)
	x := JobExplanation{ID: id, Pool: c.opt.Pool, Phase: phase}
	j := c.jobs[id]
	switch {
	case !known:
		return JobExplanation{}, false
	case j != nil:
		c.explainJob(&x, j, t)
		c.explainSteps(&x, j, c.newWaitExplainer(h, t.Now))
		c.explainRuns(&x, j, h, t.Now)
	default:
		p, ended := c.endedJobs[id]
		if !ended {
			// Its submission has not been read yet.
			p = *c.restoredProgress[id]
		}
		x.Customer, x.EndedAt = p.Customer, p.EndedAt
	}
	return x, true
}

// explainJob adds what concerns the whole job.
func (c *Core) explainJob(x *JobExplanation, j *trackedJob, t Times) {
	x.Open, x.Unstored = true, !j.stored
	x.Customer, x.Entry, x.Priority = j.Terms.Customer, j.Terms.Entry, j.Terms.Priority
	x.Age, x.Objective = t.Now-j.arrived, j.objective
	x.Slack = j.arrived + j.objective - j.RemainingCriticalPath() - t.Now
	x.EndedAt = j.EndedAt
	if due, ok := j.NextDue(); ok {
		x.Repeats, x.DueIn = true, max(0, time.Duration(due-t.Wall)*time.Millisecond)
	}
}

// explainSteps adds the steps of the current occurrences.
func (c *Core) explainSteps(x *JobExplanation, j *trackedJob, e *waitExplainer) {
	waiting := map[worker.StepKey]job.TaskGroup{}
	for g := range j.waitingGroups() {
		waiting[worker.StepKey{Occurrence: g.Occurrence, Step: g.Step}] = g
	}
	for _, o := range j.Occurrences {
		for i := range o.Steps {
			if len(x.Steps) == maxExplainedSteps {
				x.StepsLeftOut++
				continue
			}
			s := taskCounts(o, i, j.Spec.Steps[i])
			if g, ok := waiting[worker.StepKey{Occurrence: o.Number, Step: i}]; ok {
				s.Waiting = len(g.Waiting)
				s.Reason, s.MostFreeCPU = e.explain(j, g)
				s.WaitingFor = e.now - j.waitingSince(g, e.now)
			} else if s.Done+s.Running < s.Tasks && !j.Phase.Final() {
				s.Reason = notReadyReason(o, j.Spec.Steps[i])
			}
			x.Steps = append(x.Steps, s)
		}
	}
}

// taskCounts returns the state of a step without the tasks that wait.
func taskCounts(o *job.Occurrence, step int, s job.Step) StepExplanation {
	x := StepExplanation{Occurrence: o.Number, Step: step, Tasks: len(o.Steps[step].Tasks), Need: s.ReservedResources()}
	for k := range o.Steps[step].Tasks {
		switch t := &o.Steps[step].Tasks[k]; {
		case t.Done:
			x.Done++
		case len(t.Runs) > 0:
			x.Running++
		}
	}
	return x
}

// notReadyReason returns why the turn of a step's tasks has not come.
func notReadyReason(o *job.Occurrence, s job.Step) NoRunReason {
	blocked := slices.ContainsFunc(s.After, func(a int) bool { return o.Steps[a].Done < len(o.Steps[a].Tasks) })
	switch {
	case blocked:
		return NoRunEarlierSteps
	case s.Gang:
		return NoRunGangActive
	default:
		return NoRunNotQueued
	}
}

// explainRuns adds the runs that may be active.
func (c *Core) explainRuns(x *JobExplanation, j *trackedJob, h HolderState, now time.Duration) {
	j.EachActiveRun(func(id job.RunID, at job.Location) {
		if len(x.Runs) == maxExplainedRuns {
			x.RunsLeftOut++
			return
		}
		x.Runs = append(x.Runs, c.explainRun(id, at, h, now))
	})
}

// explainRun returns the state of a run that may be active.
func (c *Core) explainRun(id job.RunID, at job.Location, h HolderState, now time.Duration) RunExplanation {
	x := RunExplanation{Task: id.Task.String(), Number: id.Number, Worker: at.Worker.ID}
	ws := c.workers[at.Worker.ID]
	if ws == nil || ws.Runs[id] == nil {
		x.Reason = NoRunUntracked
		return x
	}
	r := ws.Runs[id]
	x.Since, x.StopReason = now-r.StateSince, r.StopReason
	if !reachable(ws) {
		x.Silent = now - ws.LastAnswer
	}
	if r.State == worker.RunConfirmed && !r.Stopping && reachable(ws) {
		x.Active = true
	} else {
		x.Reason = c.inactiveReason(ws, r, h, now)
	}
	return x
}
