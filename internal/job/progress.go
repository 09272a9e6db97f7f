package job

// Phase is the state of a job in its life cycle.
type Phase uint8

// The phases of a job. The last three are final.
const (
	// Queued jobs have no task that a worker is known to have started: runs of it may have
	// been planned or ordered.
	Queued Phase = iota
	// Running jobs have a task that a worker has started.
	Running
	// Completed jobs have every task done.
	Completed
	// Failed jobs have a task that reached the maximum number of failures.
	Failed
	// Cancelled jobs were cancelled before they completed or failed.
	Cancelled
)

var phaseNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

// String returns the name used in answers to callers and in logs.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Final reports whether the job has ended.
func (p Phase) Final() bool { return p >= Completed }

// Incarnation identifies one start of a worker. A worker that restarts may keep
// its ID, but has no record of the runs before the restart.
type Incarnation struct {
	_ struct{} `cbor:",toarray"`
	// ID is the worker's ID.
	ID string
	// StartedAt is when the worker started, in milliseconds since 1970 by its
	// own clock.
	StartedAt int64
}

// Location is the worker that was ordered to start a run. The address lets the
// next holder reach a worker that is missing from the platform's list.
type Location struct {
	_       struct{} `cbor:",toarray"`
	Worker  Incarnation
	Address string
}

// Run is one start of a task that was ordered and whose end is not known.
type Run struct {
	_      struct{} `cbor:",toarray"`
	Number int
	At     Location
}

// Task is the state of one task.
type Task struct {
	_    struct{} `cbor:",toarray"`
	Done bool
	// LastRun is the highest run number that was assigned.
	LastRun int
	// Failures counts the runs that failed.
	Failures int
	// Checkpoint is the newest saved checkpoint, or empty.
	Checkpoint string
	// Runs are the runs that may be active, oldest first.
	Runs []Run
}

// findRun returns the index in Runs of a run number, or -1.
func (t *Task) findRun(number int) int {
	for i, r := range t.Runs {
		if r.Number == number {
			return i
		}
	}
	return -1
}

func (t *Task) removeRun(i int) { t.Runs = append(t.Runs[:i:i], t.Runs[i+1:]...) }

// StepProgress is the state of one step.
type StepProgress struct {
	_     struct{} `cbor:",toarray"`
	Tasks []Task
	// Done counts the tasks that are done.
	Done int
	// GangFailures counts the runs of a gang in which a member failed, and
	// LastFailedRun is the number of the last of them.
	GangFailures  int
	LastFailedRun int
}

// Occurrence is one repetition of a job's steps. A job that is not repeated has
// one.
type Occurrence struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Steps  []StepProgress
}

func newOccurrence(number int, steps []Step) *Occurrence {
	o := &Occurrence{Number: number, Steps: make([]StepProgress, len(steps))}
	for i, s := range steps {
		o.Steps[i].Tasks = make([]Task, s.Count)
	}
	return o
}

// allDone reports whether every task of every step is done.
func (o *Occurrence) allDone() bool {
	for i := range o.Steps {
		if o.Steps[i].Done < len(o.Steps[i].Tasks) {
			return false
		}
	}
	return true
}

// dependenciesDone reports whether the steps that a step depends on are done.
func (o *Occurrence) dependenciesDone(s Step) bool {
	for _, a := range s.After {
		if o.Steps[a].Done < len(o.Steps[a].Tasks) {
			return false
		}
	}
	return true
}

// hasActiveRuns reports whether a run of the occurrence may be active.
func (o *Occurrence) hasActiveRuns() bool {
	for i := range o.Steps {
		for k := range o.Steps[i].Tasks {
			if len(o.Steps[i].Tasks[k].Runs) > 0 {
				return true
			}
		}
	}
	return false
}

// Fits reports whether the progress is one that a job with this specification can have.
func (p *Progress) Fits(s *Spec) bool {
	for _, o := range p.Occurrences {
		if o == nil || len(o.Steps) != len(s.Steps) {
			return false
		}
		for i, st := range s.Steps {
			if len(o.Steps[i].Tasks) != st.Count {
				return false
			}
		}
	}
	return true
}

// Damaged returns a progress that fits no job, with the same owner.
func (p *Progress) Damaged() *Progress {
	damaged := p.Summary()
	damaged.Occurrences = []*Occurrence{nil}
	return &damaged
}

// Summary returns what tells of the phase and the owner of a job, and nothing of its steps.
func (p *Progress) Summary() Progress {
	return Progress{Phase: p.Phase, EndedAt: p.EndedAt, Customer: p.Customer, Entry: p.Entry, Selector: p.Selector, Started: p.Started}
}

// Progress is the part of a job's state that changes. Every record of it in the
// log holds all of it.
type Progress struct {
	Phase Phase `cbor:"1,keyasint,omitempty"`
	// Occurrences are those that were released and have not been removed.
	Occurrences []*Occurrence `cbor:"2,keyasint,omitempty"`
	// NextOccurrence is the number of the next occurrence to release.
	NextOccurrence int `cbor:"3,keyasint,omitempty"`
	// EndedAt is when the job reached a final phase, in milliseconds since
	// 1970.
	EndedAt int64 `cbor:"4,keyasint,omitempty"`
	// Crashes are the counts of the tasks under which workers have crashed and
	// which are not done.
	Crashes []CrashCount `cbor:"5,keyasint,omitempty"`
	// Customer is the customer that the job belongs to, and Entry the catalogue entry of
	// such a job. Both are kept with the phase of an ended job.
	Customer CustomerID `cbor:"6,keyasint,omitempty"`
	Entry    string     `cbor:"7,keyasint,omitempty"`
	// Selector is that of the entry. The number before belongs to the record that holds a
	// progress.
	Selector Selector `cbor:"9,keyasint,omitzero"`
	// Started is set once a worker is known to have started a task. Earlier releases do not
	// know it: their jobs are Running once a run was planned.
	Started bool `cbor:"10,keyasint,omitempty"`
}

// CorrectPhase corrects the phase in a progress that an earlier release has logged. It is Running
// only if the progress shows that a worker has started a task.
func (p *Progress) CorrectPhase() {
	if p.Phase != Running || p.Started {
		return
	}
	if p.Started = p.showsStart(); !p.Started {
		p.Phase = Queued
	}
}

// showsStart reports whether the progress of a job shows that one of its tasks has run. That an
// occurrence of a repeated job is not there any more shows that it is done.
func (p *Progress) showsStart() bool {
	if p.NextOccurrence > len(p.Occurrences) {
		return true
	}
	return p.anyTask(func(t *Task) bool { return t.Done || t.Failures > 0 || t.Checkpoint != "" })
}

// planned reports whether a run of a task of the job was ever planned.
func (p *Progress) planned() bool {
	return p.Phase != Queued || p.anyTask(func(t *Task) bool { return t.LastRun > 0 })
}

// anyTask reports whether f returns true for any task.
func (p *Progress) anyTask(f func(*Task) bool) bool {
	for _, o := range p.Occurrences {
		if o == nil {
			continue
		}
		for s := range o.Steps {
			for k := range o.Steps[s].Tasks {
				if f(&o.Steps[s].Tasks[k]) {
					return true
				}
			}
		}
	}
	return false
}

// Owner returns whose job it is.
func (p *Progress) Owner() Owner {
	return Owner{Customer: p.Customer, Entry: p.Entry, Selector: p.Selector}
}
