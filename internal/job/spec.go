// Package job defines jobs, their steps, tasks and runs, and how the state of a
// job changes as its runs start and end. It does no I/O and reads no clock.
package job

import (
	"time"

	"github.com/rotisserie/eris"
)

// ID identifies a job: 16 hexadecimal digits chosen by the caller.
type ID string

// idLength is the length of an ID in digits.
const idLength = 16

// Valid reports whether the ID is well formed.
func (id ID) Valid() bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// Step is a set of Count identical tasks.
type Step struct {
	Count int       `cbor:"1,keyasint"`
	Need  Resources `cbor:"2,keyasint"`
	// Estimate is the estimated running time of a task, 0 if unknown.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the earlier steps whose tasks must all be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set for tasks that save checkpoints.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is set for tasks that make progress only while all members of the
	// run are active. They end together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack is set for gangs that run more slowly when they span racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label, if set, is a label that the worker must have.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack, if set, is the rack that holds the tasks' data. The tasks run
	// more slowly in other racks.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker, if set, limits the number of the step's tasks on one worker.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative is set for tasks that may have several active copies. The
	// first copy to complete counts.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning is set for tasks that run until the job is cancelled. They
	// are restarted however they end.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names the program that the tasks run. Tasks of the same image
	// behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailLatencyTarget, if set, is the upper limit for the tail of a serving
	// task's response times.
	TailLatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort is set for tasks whose processor share is not reserved on the
	// worker: they use what other tasks leave idle.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many long-running tasks the system itself may take
	// out of service at the same time.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// ReservedResources returns the resources that one task of the step reserves on
// its worker.
func (s Step) ReservedResources() Resources {
	if s.BestEffort {
		return Resources{MemoryMB: s.Need.MemoryMB, GPU: s.Need.GPU}
	}
	return s.Need
}

// Spec is a job as submitted by a caller.
type Spec struct {
	ID ID `cbor:"1,keyasint"`
	// Payload is passed to the workers unchanged.
	Payload string `cbor:"2,keyasint,omitempty"`
	Steps   []Step `cbor:"3,keyasint"`
	// Repeat, if positive, is how many times the steps run.
	Repeat int `cbor:"4,keyasint,omitempty"`
	// FirstDue is when the first occurrence of a repeated job is due, in
	// milliseconds since 1970.
	FirstDue int64 `cbor:"5,keyasint,omitempty"`
	// Interval is the time between two occurrences.
	Interval time.Duration `cbor:"6,keyasint,omitempty"`
}

// Limits of a submitted job. They bound the resources that one job can use at
// the daemon that holds its pool.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 256
	// MaxTasks bounds the tasks of a job, a speculative one counted twice for its copy.
	// The progress of all of them has to fit into one record of the log.
	MaxTasks  = 2_000
	maxRepeat = 1_000_000
	// maxWellFormedTasks bounds the tasks of a well-formed job. Earlier releases
	// accepted that many.
	maxWellFormedTasks = 10_000
)

// Validate returns an error that describes the first invalid part of a job that is
// submitted, or nil.
func (s *Spec) Validate() error {
	if err := s.CheckForm(); err != nil {
		return err
	}
	if tasks := s.tasks(); tasks > MaxTasks {
		return eris.Errorf("%d tasks are more than %d", tasks, MaxTasks)
	}
	return nil
}

// CheckForm returns an error that describes the first part of a job with which it cannot
// be run, or nil. It does for jobs that were accepted, perhaps by an earlier release.
func (s *Spec) CheckForm() error {
	switch {
	case !s.ID.Valid():
		return eris.Errorf("id %q is not %d hexadecimal digits", s.ID, idLength)
	case len(s.Payload) > MaxPayloadBytes:
		return eris.Errorf("spec has %d bytes, more than %d", len(s.Payload), MaxPayloadBytes)
	case len(s.Steps) == 0:
		return eris.New("a job needs at least one step")
	case len(s.Steps) > MaxSteps:
		return eris.Errorf("%d steps are more than %d", len(s.Steps), MaxSteps)
	case s.Repeat < 0 || s.Repeat > maxRepeat:
		return eris.Errorf("repetitions %d are not within 0 and %d", s.Repeat, maxRepeat)
	case s.Repeat > 1 && s.Interval < 0:
		return eris.Errorf("the interval %v is negative", s.Interval)
	}
	for i, st := range s.Steps {
		if err := st.validate(i); err != nil {
			return eris.Wrapf(err, "step %d", i)
		}
	}
	return nil
}

// MaxEncodedBytes returns more bytes than the encoded job has.
func (s *Spec) MaxEncodedBytes() int {
	const perStep, perNumber = 160, 9
	n := perStep + len(s.Payload)
	for _, st := range s.Steps {
		n += perStep + len(st.Label) + len(st.DataRack) + len(st.Image) + perNumber*len(st.After)
	}
	return n
}

// tasks returns how many tasks of MaxTasks one occurrence of the job takes.
func (s *Spec) tasks() int {
	n := 0
	for _, st := range s.Steps {
		n += st.Count
		if st.Speculative {
			n += st.Count
		}
	}
	return n
}

func (s Step) validate(index int) error {
	switch {
	case s.Count < 1:
		return eris.Errorf("count %d is less than 1", s.Count)
	case s.Count > maxWellFormedTasks:
		return eris.Errorf("count %d is more than %d", s.Count, maxWellFormedTasks)
	case s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.Estimate < 0 || s.TailLatencyTarget < 0:
		return eris.New("a limit is negative")
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return eris.Errorf("after names step %d, which is not an earlier one", a)
		}
	}
	return s.Need.Validate()
}
