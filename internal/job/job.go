package job

import (
	"slices"
	"time"
)

// CustomerID is the name of a customer. The empty one stands for work of no customer.
type CustomerID string

// Terms are the scheduling settings that a job takes from its catalogue entry
// when it is accepted.
type Terms struct {
	// Entry is the catalogue entry through which the job was submitted.
	Entry string `cbor:"1,keyasint"`
	// Pool is the pool of workers that runs it.
	Pool string `cbor:"2,keyasint"`
	// Priority is the entry's class of work; 0 is placed first.
	Priority int `cbor:"3,keyasint,omitempty"`
	// MaxAttempts is the number of failures of a task at which the job fails.
	MaxAttempts int `cbor:"4,keyasint"`
	// StretchFactor times the length of the job's critical path, plus Slack,
	// is the time in which the job should complete.
	StretchFactor float64       `cbor:"5,keyasint,omitempty"`
	Slack         time.Duration `cbor:"6,keyasint,omitempty"`
	// Version is the version of the configuration that the terms are from.
	Version int64 `cbor:"7,keyasint,omitempty"`
	// Approval, if set, means that a service must approve the workers of each
	// step.
	Approval *ApprovalSettings `cbor:"8,keyasint,omitempty"`
	// Customer is the customer that submitted the job, or empty if the entry is public or
	// the configuration has no customers.
	Customer CustomerID `cbor:"9,keyasint,omitempty"`
	// Selector selects the requests that the entry served. It is zero in jobs that an
	// earlier release accepted.
	Selector Selector `cbor:"10,keyasint,omitzero"`
}

// ApprovalSettings describes the service that approves workers for a step.
type ApprovalSettings struct {
	// DecisionTime is how long a call to the service takes, and TimePerWorker
	// how much longer for each worker that the call names.
	DecisionTime  time.Duration `cbor:"1,keyasint,omitempty"`
	TimePerWorker time.Duration `cbor:"2,keyasint,omitempty"`
	// Validity is how long an approval is valid.
	Validity time.Duration `cbor:"3,keyasint,omitempty"`
}

// Job is an accepted job and its progress. Only its methods change it, and the
// effect of each depends on its arguments alone.
type Job struct {
	Spec  Spec
	Terms Terms
	Progress
	// planned is set once a run was planned.
	planned bool
}

// New returns a job that has not started a task.
func New(spec Spec, terms Terms) *Job {
	j := &Job{Spec: spec, Terms: terms}
	j.takeOwner()
	if spec.Repeat == 0 {
		j.Occurrences = []*Occurrence{newOccurrence(0, spec.Steps)}
		j.NextOccurrence = 1
	}
	return j
}

// Restore returns a job with progress that was read from the log.
func Restore(spec Spec, terms Terms, p Progress) *Job {
	j := &Job{Spec: spec, Terms: terms, Progress: p, planned: p.planned()}
	if j.Customer == "" {
		// A holder of an earlier release drops the owner when it logs progress.
		j.takeOwner()
	}
	return j
}

// takeOwner sets the owner in the progress from the terms.
func (j *Job) takeOwner() {
	owner := j.Terms.Owner()
	j.Customer, j.Entry, j.Selector = owner.Customer, owner.Entry, owner.Selector
}

// occurrence returns the occurrence with the given number, or nil when it was
// not released or has been removed.
func (j *Job) occurrence(number int) *Occurrence {
	for _, o := range j.Occurrences {
		if o.Number == number {
			return o
		}
	}
	return nil
}

// Task returns the state of a task, or nil when no current occurrence of the
// job has the task.
func (j *Job) Task(t TaskID) *Task {
	o := j.occurrence(t.Occurrence)
	if o == nil || t.Step >= len(o.Steps) || t.Index >= len(o.Steps[t.Step].Tasks) {
		return nil
	}
	return &o.Steps[t.Step].Tasks[t.Index]
}

// Step returns the step that a task belongs to.
func (j *Job) Step(t TaskID) Step { return j.Spec.Steps[t.Step] }

// TaskGroup is the tasks of one step that can start: the steps it depends on
// are done, and the tasks have no active run.
type TaskGroup struct {
	Occurrence int
	Step       int
	// Waiting holds the indexes of the tasks to start. For a gang it holds all
	// members.
	Waiting []int
}

// WaitingGroups returns the groups of tasks that can start, by occurrence and
// step.
func (j *Job) WaitingGroups() []TaskGroup {
	if j.Phase.Final() {
		return nil
	}
	var out []TaskGroup
	for _, o := range j.Occurrences {
		for i, s := range j.Spec.Steps {
			if o.Steps[i].Done == len(o.Steps[i].Tasks) || !o.dependenciesDone(s) {
				continue
			}
			if w := o.Steps[i].waitingTasks(s); len(w) > 0 {
				out = append(out, TaskGroup{Occurrence: o.Number, Step: i, Waiting: w})
			}
		}
	}
	return out
}

// waitingTasks returns the indexes of the tasks that have no active run and are
// not done.
func (p *StepProgress) waitingTasks(s Step) []int {
	var out []int
	for k := range p.Tasks {
		t := &p.Tasks[k]
		switch {
		case !t.Done && len(t.Runs) == 0:
			out = append(out, k)
		case s.Gang:
			// A gang restarts only after all members of its last run have ended.
			return nil
		}
	}
	return out
}

// Place adds a run of a task under the next run number, at the worker that is
// ordered to start it.
func (j *Job) Place(t TaskID, at Location) RunID {
	task := j.Task(t)
	return j.addRun(t, task.LastRun+1, at)
}

// PlaceGang adds a run of each member of a gang, all under the same run number.
func (j *Job) PlaceGang(occurrence, step int, at []Location) []RunID {
	p := &j.occurrence(occurrence).Steps[step]
	number := 0
	for k := range p.Tasks {
		number = max(number, p.Tasks[k].LastRun)
	}
	number++
	runs := make([]RunID, 0, len(at))
	for k, l := range at {
		t := TaskID{Job: j.Spec.ID, Occurrence: occurrence, Step: step, Index: k}
		runs = append(runs, j.addRun(t, number, l))
	}
	return runs
}

func (j *Job) addRun(t TaskID, number int, at Location) RunID {
	task := j.Task(t)
	task.LastRun = number
	task.Runs = append(task.Runs, Run{Number: number, At: at})
	j.planned = true
	return RunID{Task: t, Number: number}
}

// Planned reports whether a run of a task was ever planned.
func (j *Job) Planned() bool { return j.planned }

// TaskStarted records that a worker has started a task. It reports whether that is the first
// one of the job.
func (j *Job) TaskStarted() bool {
	if j.Started {
		return false
	}
	j.Started = true
	if j.Phase == Queued {
		j.Phase = Running
	}
	return true
}

// DiscardRun removes a run that never started and never will. It returns false
// when the run is not active.
func (j *Job) DiscardRun(r RunID) bool {
	task := j.Task(r.Task)
	if task == nil {
		return false
	}
	i := task.findRun(r.Number)
	if i < 0 {
		return false
	}
	task.removeRun(i)
	return true
}

// EndRun records the end of a run. It returns false when the run is not active,
// for example because its end was recorded before. now is the time of day in
// milliseconds since 1970.
func (j *Job) EndRun(r RunID, reason EndReason, checkpoint string, now int64) bool {
	task := j.Task(r.Task)
	if task == nil {
		return false
	}
	i := task.findRun(r.Number)
	if i < 0 {
		return false
	}
	worker := task.Runs[i].At.Worker.ID
	task.removeRun(i)
	j.SaveCheckpoint(r.Task, checkpoint)
	switch reason {
	case EndDone:
		j.recordSuccess(r, now)
	case EndFailed:
		j.recordFailure(r, now)
	case EndStartUnverified, EndCrashPossible, EndCrashSuspected, EndCrashedWorker:
		j.CountCrash(r.Task, worker, reason, now)
	default:
	}
	return true
}

func (j *Job) recordSuccess(r RunID, now int64) {
	o := j.occurrence(r.Task.Occurrence)
	p := &o.Steps[r.Task.Step]
	s := j.Step(r.Task)
	switch {
	case s.LongRunning:
		return
	case s.Gang:
		// When one member is done, the whole gang is done.
		for k := range p.Tasks {
			p.Tasks[k].Done = true
		}
		p.Done = len(p.Tasks)
	case !p.Tasks[r.Task.Index].Done:
		p.Tasks[r.Task.Index].Done = true
		p.Done++
	}
	j.pruneCrashes()
	if !o.allDone() || j.Phase.Final() {
		return
	}
	// An occurrence with speculative copies that are still active is kept until
	// they have ended.
	j.pruneOccurrences()
	if j.NextOccurrence >= max(1, j.Spec.Repeat) && !j.hasUnfinishedOccurrence() {
		j.finish(Completed, now)
	}
}

// hasUnfinishedOccurrence reports whether a released occurrence has tasks that
// are not done.
func (j *Job) hasUnfinishedOccurrence() bool {
	return slices.ContainsFunc(j.Occurrences, func(o *Occurrence) bool { return !o.allDone() })
}

// pruneOccurrences removes the occurrences that have ended and have no active
// runs.
func (j *Job) pruneOccurrences() {
	j.Occurrences = slices.DeleteFunc(j.Occurrences, func(o *Occurrence) bool {
		return (o.allDone() || j.Phase.Final()) && !o.hasActiveRuns()
	})
}

func (j *Job) recordFailure(r RunID, now int64) {
	s := j.Step(r.Task)
	if s.LongRunning {
		return
	}
	p := &j.occurrence(r.Task.Occurrence).Steps[r.Task.Step]
	task := &p.Tasks[r.Task.Index]
	task.Failures++
	failures := task.Failures
	if s.Gang {
		if r.Number > p.LastFailedRun {
			p.LastFailedRun = r.Number
			p.GangFailures++
		}
		failures = p.GangFailures
	}
	if failures >= j.Terms.MaxAttempts && !task.Done && !j.Phase.Final() {
		j.finish(Failed, now)
	}
}

// Cancel cancels the job. It returns false when the job has already ended.
func (j *Job) Cancel(now int64) bool {
	if j.Phase.Final() {
		return false
	}
	j.finish(Cancelled, now)
	return true
}

// Fail gives the job up. It has no effect if the job has already ended.
func (j *Job) Fail(now int64) {
	if !j.Phase.Final() {
		j.finish(Failed, now)
	}
}

func (j *Job) finish(p Phase, now int64) {
	j.Phase = p
	j.EndedAt = now
	j.pruneOccurrences()
}

// Finalize removes the occurrences that have ended. It reports whether the job
// has ended and none of its runs is active.
func (j *Job) Finalize() bool {
	j.pruneOccurrences()
	return j.Phase.Final() && len(j.Occurrences) == 0
}

// ActiveRuns returns the runs that may be active.
func (j *Job) ActiveRuns() []RunID {
	var out []RunID
	j.EachActiveRun(func(r RunID, _ Location) { out = append(out, r) })
	return out
}

// EachActiveRun calls f for every run that may be active.
func (j *Job) EachActiveRun(f func(RunID, Location)) {
	for _, o := range j.Occurrences {
		for s := range o.Steps {
			for k := range o.Steps[s].Tasks {
				id := TaskID{Job: j.Spec.ID, Occurrence: o.Number, Step: s, Index: k}
				for _, r := range o.Steps[s].Tasks[k].Runs {
					f(RunID{Task: id, Number: r.Number}, r.At)
				}
			}
		}
	}
}

// HasActiveRuns reports whether a run of the job may be active.
func (j *Job) HasActiveRuns() bool {
	return slices.ContainsFunc(j.Occurrences, (*Occurrence).hasActiveRuns)
}

// Redundant reports whether a run is no longer needed: its job has ended or
// another run of its task is done.
func (j *Job) Redundant(r RunID) bool {
	if j.Phase.Final() {
		return true
	}
	task := j.Task(r.Task)
	return task == nil || task.Done
}

// RemainingCriticalPath returns the estimated time of the longest chain of
// dependent steps that are not done, in the first current occurrence.
func (j *Job) RemainingCriticalPath() time.Duration {
	if len(j.Occurrences) == 0 {
		return 0
	}
	o := j.Occurrences[0]
	longest := make([]time.Duration, len(j.Spec.Steps))
	var critical time.Duration
	for i, s := range j.Spec.Steps {
		if o.Steps[i].Done == len(o.Steps[i].Tasks) {
			continue
		}
		for _, a := range s.After {
			longest[i] = max(longest[i], longest[a])
		}
		longest[i] += s.Estimate
		critical = max(critical, longest[i])
	}
	return critical
}
