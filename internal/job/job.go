package job

import (
	"slices"
	"time"
)

// Terms are what the catalogue entry of a job promised when it was accepted.
type Terms struct {
	// Entry is the catalogue entry that the job came in by.
	Entry string `cbor:"1,keyasint"`
	// Pool is the pool of workers that runs it.
	Pool string `cbor:"2,keyasint"`
	// Priority is the entry's class of work; 0 comes first.
	Priority int `cbor:"3,keyasint,omitempty"`
	// MaxAttempts is how often a task may fail.
	MaxAttempts int `cbor:"4,keyasint"`
	// Stretch times the longest chain of work, and Slack on top, is the time
	// in which the job should be done.
	Stretch float64       `cbor:"5,keyasint,omitempty"`
	Slack   time.Duration `cbor:"6,keyasint,omitempty"`
	// Version is the configuration that the terms are from.
	Version int64 `cbor:"7,keyasint,omitempty"`
	// Advice, if set, says that workers must be approved for each step.
	Advice *Advice `cbor:"8,keyasint,omitempty"`
}

// Advice describes the service that approves workers for a step.
type Advice struct {
	// Decision is what a call takes, and PerWorker what each named worker
	// adds to it.
	Decision  time.Duration `cbor:"1,keyasint,omitempty"`
	PerWorker time.Duration `cbor:"2,keyasint,omitempty"`
	// Validity is how long an approval holds.
	Validity time.Duration `cbor:"3,keyasint,omitempty"`
}

// Job is an accepted job and its progress. It changes only by its methods, and
// each change depends on its arguments alone.
type Job struct {
	Spec  Spec
	Terms Terms
	Progress
}

// New returns a job that has not started.
func New(spec Spec, terms Terms) *Job {
	j := &Job{Spec: spec, Terms: terms}
	if spec.Repeat == 0 {
		j.Occurrences = []*Occurrence{newOccurrence(0, spec.Steps)}
		j.Next = 1
	}
	return j
}

// Restore returns a job with the progress that was logged.
func Restore(spec Spec, terms Terms, p Progress) *Job {
	return &Job{Spec: spec, Terms: terms, Progress: p}
}

// Due returns when the next occurrence of a repeated job is due, in
// milliseconds since 1970, or false when none is left.
func (j *Job) Due() (int64, bool) {
	if j.Phase.Final() || j.Next >= j.Spec.Repeat {
		return 0, false
	}
	return j.Spec.First + int64(j.Next)*j.Spec.Interval.Milliseconds(), true
}

// Release adds the occurrences that are due at a time of day, in milliseconds
// since 1970. It reports whether there were any.
func (j *Job) Release(now int64) bool {
	released := false
	for {
		due, ok := j.Due()
		if !ok || due > now {
			return released
		}
		j.Occurrences = append(j.Occurrences, newOccurrence(j.Next, j.Spec.Steps))
		j.Next++
		released = true
	}
}

// occurrence returns an active occurrence, or nil.
func (j *Job) occurrence(number int) *Occurrence {
	for _, o := range j.Occurrences {
		if o.Number == number {
			return o
		}
	}
	return nil
}

// Task returns what is known of a task, or nil when the job has no such task
// under way.
func (j *Job) Task(t TaskID) *Task {
	o := j.occurrence(t.Occurrence)
	if o == nil || t.Step >= len(o.Steps) || t.Index >= len(o.Steps[t.Step].Tasks) {
		return nil
	}
	return &o.Steps[t.Step].Tasks[t.Index]
}

// Step returns the step of a task.
func (j *Job) Step(t TaskID) Step { return j.Spec.Steps[t.Step] }

// Group is the tasks of one step whose turn has come and that no worker has.
type Group struct {
	Occurrence int
	Step       int
	// Waiting are the indexes of the tasks to start. All members of a gang
	// wait together or not at all.
	Waiting []int
}

// Waiting returns the groups to start, in the order of steps.
func (j *Job) Waiting() []Group {
	if j.Phase.Final() {
		return nil
	}
	var out []Group
	for _, o := range j.Occurrences {
		for i, s := range j.Spec.Steps {
			if o.Steps[i].Done == len(o.Steps[i].Tasks) || !o.turn(s) {
				continue
			}
			if w := o.Steps[i].waiting(s); len(w) > 0 {
				out = append(out, Group{Occurrence: o.Number, Step: i, Waiting: w})
			}
		}
	}
	return out
}

func (p *StepProgress) waiting(s Step) []int {
	var out []int
	for k := range p.Tasks {
		t := &p.Tasks[k]
		switch {
		case !t.Done && len(t.Runs) == 0:
			out = append(out, k)
		case s.Gang:
			// A gang starts anew only when its last run is wholly gone.
			return nil
		}
	}
	return out
}

// Place gives out the next run of a task and notes where it is ordered.
func (j *Job) Place(t TaskID, at Location) RunID {
	task := j.Task(t)
	return j.place(t, task.LastRun+1, at)
}

// PlaceGang gives out one run number to all members of a gang.
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
		runs = append(runs, j.place(t, number, l))
	}
	return runs
}

func (j *Job) place(t TaskID, number int, at Location) RunID {
	task := j.Task(t)
	task.LastRun = number
	task.Runs = append(task.Runs, Run{Number: number, At: at})
	j.Phase = Running
	return RunID{Task: t, Number: number}
}

// Checkpoint returns what a start of the task carries: the progress that the
// task saved, which is that of the whole gang in a gang.
func (j *Job) Checkpoint(t TaskID) string {
	if !j.Step(t).Gang {
		return j.Task(t).Checkpoint
	}
	// All members carry the same value, and that of any member is valid.
	return j.occurrence(t.Occurrence).Steps[t.Step].Tasks[0].Checkpoint
}

// Save notes progress that a task saved.
func (j *Job) Save(t TaskID, checkpoint string) {
	task := j.Task(t)
	if task == nil || checkpoint == "" {
		return
	}
	if j.Step(t).Gang {
		task = &j.occurrence(t.Occurrence).Steps[t.Step].Tasks[0]
	}
	task.Checkpoint = checkpoint
}

// Void removes a run that never started and never will.
func (j *Job) Void(r RunID) bool {
	task := j.Task(r.Task)
	if task == nil {
		return false
	}
	i := task.find(r.Number)
	if i < 0 {
		return false
	}
	task.remove(i)
	return true
}

// End notes the end of a run. It returns false when the run is not one whose
// end was awaited. now is the time of day in milliseconds since 1970.
func (j *Job) End(r RunID, how How, checkpoint string, now int64) bool {
	task := j.Task(r.Task)
	if task == nil {
		return false
	}
	i := task.find(r.Number)
	if i < 0 {
		return false
	}
	task.remove(i)
	j.Save(r.Task, checkpoint)
	switch how {
	case EndDone:
		j.done(r, now)
	case EndFailed:
		j.failed(r, now)
	default:
	}
	return true
}

func (j *Job) done(r RunID, now int64) {
	o := j.occurrence(r.Task.Occurrence)
	p := &o.Steps[r.Task.Step]
	s := j.Step(r.Task)
	switch {
	case s.LongRunning:
		return
	case s.Gang:
		// The end of one member stands for all of them.
		for k := range p.Tasks {
			p.Tasks[k].Done = true
		}
		p.Done = len(p.Tasks)
	case !p.Tasks[r.Task.Index].Done:
		p.Tasks[r.Task.Index].Done = true
		p.Done++
	}
	if !o.done() || j.Phase.Final() {
		return
	}
	// An occurrence with copies still at work stays until they have ended.
	j.prune()
	if j.Next >= max(1, j.Spec.Repeat) && !j.unfinished() {
		j.finish(Completed, now)
	}
}

// unfinished reports whether an occurrence has tasks left.
func (j *Job) unfinished() bool {
	return slices.ContainsFunc(j.Occurrences, func(o *Occurrence) bool { return !o.done() })
}

// prune drops the occurrences that are over.
func (j *Job) prune() {
	j.Occurrences = slices.DeleteFunc(j.Occurrences, func(o *Occurrence) bool {
		return (o.done() || j.Phase.Final()) && !o.active()
	})
}

func (j *Job) failed(r RunID, now int64) {
	s := j.Step(r.Task)
	if s.LongRunning {
		return
	}
	p := &j.occurrence(r.Task.Occurrence).Steps[r.Task.Step]
	task := &p.Tasks[r.Task.Index]
	task.Failures++
	attempts := task.Failures
	if s.Gang {
		if r.Number > p.FailedRun {
			p.FailedRun = r.Number
			p.GangFailures++
		}
		attempts = p.GangFailures
	}
	if attempts >= j.Terms.MaxAttempts && !task.Done && !j.Phase.Final() {
		j.finish(Failed, now)
	}
}

// Cancel ends the job unless it has ended. It returns whether it did.
func (j *Job) Cancel(now int64) bool {
	if j.Phase.Final() {
		return false
	}
	j.finish(Cancelled, now)
	return true
}

func (j *Job) finish(p Phase, now int64) {
	j.Phase = p
	j.Ended = now
	j.prune()
}

// Settle drops what an ended job no longer needs. It reports whether nothing
// of the job is at work any more.
func (j *Job) Settle() bool {
	j.prune()
	return j.Phase.Final() && len(j.Occurrences) == 0
}

// Active returns the runs that may be at work.
func (j *Job) Active() []RunID {
	var out []RunID
	j.EachActive(func(r RunID, _ Location) { out = append(out, r) })
	return out
}

// EachActive calls f for every run that may be at work.
func (j *Job) EachActive(f func(RunID, Location)) {
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

// AtWork reports whether a run of the job may be at work.
func (j *Job) AtWork() bool { return slices.ContainsFunc(j.Occurrences, (*Occurrence).active) }

// Needless reports whether a run serves no purpose any more: its job has ended
// or another run of its task is done.
func (j *Job) Needless(r RunID) bool {
	if j.Phase.Final() {
		return true
	}
	task := j.Task(r.Task)
	return task == nil || task.Done
}

// Chain returns the longest chain of estimated work that is left in the
// steps of the first occurrence under way.
func (j *Job) Chain() time.Duration {
	if len(j.Occurrences) == 0 {
		return 0
	}
	o := j.Occurrences[0]
	longest := make([]time.Duration, len(j.Spec.Steps))
	var chain time.Duration
	for i, s := range j.Spec.Steps {
		if o.Steps[i].Done == len(o.Steps[i].Tasks) {
			continue
		}
		for _, a := range s.After {
			longest[i] = max(longest[i], longest[a])
		}
		longest[i] += s.Estimate
		chain = max(chain, longest[i])
	}
	return chain
}
