package job

// Phase is where a job stands.
type Phase uint8

// The phases of a job. The last three are final.
const (
	// Queued jobs have started no task.
	Queued Phase = iota
	// Running jobs have started a task.
	Running
	// Completed jobs have every task done.
	Completed
	// Failed jobs have a task that failed as often as it may.
	Failed
	// Cancelled jobs were cancelled before they ended.
	Cancelled
)

var phaseNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

// String returns the word for callers and logs.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}

// Final reports whether the job has ended.
func (p Phase) Final() bool { return p >= Completed }

// Incarnation is one life of a worker. A worker that starts again may keep its
// ID; it then knows nothing of what ran before.
type Incarnation struct {
	_ struct{} `cbor:",toarray"`
	// ID is the worker's ID.
	ID string
	// Born is when it started, in milliseconds since 1970 by its own clock.
	Born int64
}

// Location is where a run was ordered. The address lets the next holder reach a
// worker that the platform's list does not name at the moment.
type Location struct {
	_       struct{} `cbor:",toarray"`
	Worker  Incarnation
	Address string
}

// Run is a start of a task that was ordered and whose end is not known.
type Run struct {
	_      struct{} `cbor:",toarray"`
	Number int
	At     Location
}

// Task is what is known of one task.
type Task struct {
	_    struct{} `cbor:",toarray"`
	Done bool
	// LastRun is the highest run number given out.
	LastRun int
	// Failures counts the runs that failed.
	Failures int
	// Checkpoint is the newest saved progress, or empty.
	Checkpoint string
	// Runs are those that may be at work, oldest first.
	Runs []Run
}

// find returns the index of an active run, or -1.
func (t *Task) find(number int) int {
	for i, r := range t.Runs {
		if r.Number == number {
			return i
		}
	}
	return -1
}

func (t *Task) remove(i int) { t.Runs = append(t.Runs[:i:i], t.Runs[i+1:]...) }

// StepProgress is what is known of one step.
type StepProgress struct {
	_     struct{} `cbor:",toarray"`
	Tasks []Task
	// Done counts the tasks that are done.
	Done int
	// GangFailures counts the runs of a gang in which a member failed, and
	// FailedRun is the last of them.
	GangFailures int
	FailedRun    int
}

// Occurrence is one run of a job's steps.
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

// done reports whether every task is done.
func (o *Occurrence) done() bool {
	for i := range o.Steps {
		if o.Steps[i].Done < len(o.Steps[i].Tasks) {
			return false
		}
	}
	return true
}

// turn reports whether the steps that come before a step are done.
func (o *Occurrence) turn(s Step) bool {
	for _, a := range s.After {
		if o.Steps[a].Done < len(o.Steps[a].Tasks) {
			return false
		}
	}
	return true
}

// active reports whether a run of the occurrence may be at work.
func (o *Occurrence) active() bool {
	for i := range o.Steps {
		for k := range o.Steps[i].Tasks {
			if len(o.Steps[i].Tasks[k].Runs) > 0 {
				return true
			}
		}
	}
	return false
}

// Progress is everything about a job that changes. It is logged whole.
type Progress struct {
	Phase Phase `cbor:"1,keyasint,omitempty"`
	// Occurrences are those that were released and have not ended.
	Occurrences []*Occurrence `cbor:"2,keyasint,omitempty"`
	// Next is the number of the next occurrence to release.
	Next int `cbor:"3,keyasint,omitempty"`
	// Ended is when the job reached a final phase, in milliseconds since 1970.
	Ended int64 `cbor:"4,keyasint,omitempty"`
}
