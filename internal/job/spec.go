// Package job holds what callers hand in and what becomes of it: jobs, their
// steps, tasks and runs. It does no I/O and reads no clock.
package job

import (
	"time"

	"github.com/rotisserie/eris"
)

// ID names a job: 16 hexadecimal digits that the caller chose.
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

// Resources are an amount of a worker's room.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU      int `cbor:"1,keyasint,omitempty"`
	MemoryMB int `cbor:"2,keyasint,omitempty"`
	GPU      int `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Sub returns the difference of two amounts.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Times returns n times the amount.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * n, MemoryMB: r.MemoryMB * n, GPU: r.GPU * n}
}

// Fits reports whether r is at most o in every kind.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.MemoryMB <= o.MemoryMB && r.GPU <= o.GPU
}

// Step is a number of equal tasks.
type Step struct {
	Count int       `cbor:"1,keyasint"`
	Need  Resources `cbor:"2,keyasint"`
	// Estimate is a rough guess of a task's time at work, 0 for none.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps all of whose tasks must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set for tasks that save their progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks work only while all of one run are there, and end together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack gangs are slower when they span racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label, if set, is one that the worker must have.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack, if set, is the rack that holds the data; elsewhere the tasks
	// are slower.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker, if set, bounds the step's tasks on one worker.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative tasks may have several copies at work; the first counts.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled and are started again
	// however they end.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run; those of one image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailTarget, if set, is what the tail of the response times of a serving
	// task must stay below.
	TailTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// Fills is set for tasks whose processor share is not taken from a
	// worker's room: they use what others leave.
	Fills bool `cbor:"15,keyasint,omitempty"`
	// MayMiss is how many long-running tasks may be away at once by the
	// system's own doing.
	MayMiss int `cbor:"16,keyasint,omitempty"`
}

// Room returns what one task of the step takes of a worker's room.
func (s Step) Room() Resources {
	if s.Fills {
		return Resources{MemoryMB: s.Need.MemoryMB, GPU: s.Need.GPU}
	}
	return s.Need
}

// Spec is a job as a caller handed it in.
type Spec struct {
	ID ID `cbor:"1,keyasint"`
	// Text is passed to the workers unchanged.
	Text  string `cbor:"2,keyasint,omitempty"`
	Steps []Step `cbor:"3,keyasint"`
	// Repeat, if positive, is how many times the steps run.
	Repeat int `cbor:"4,keyasint,omitempty"`
	// First is when a repeated job is due for the first time, in milliseconds
	// since 1970.
	First int64 `cbor:"5,keyasint,omitempty"`
	// Interval is the time between two of its runs.
	Interval time.Duration `cbor:"6,keyasint,omitempty"`
}

// Limits of what a caller may hand in. They bound what one job can cost the
// daemon that holds it.
const (
	MaxTextBytes = 4000
	MaxSteps     = 256
	MaxTasks     = 10_000
	maxRepeat    = 1_000_000
)

// Check returns what is wrong with the job, or nil.
func (s *Spec) Check() error {
	switch {
	case !s.ID.Valid():
		return eris.Errorf("id %q is not %d hexadecimal digits", s.ID, idLength)
	case len(s.Text) > MaxTextBytes:
		return eris.Errorf("spec has %d bytes, more than %d", len(s.Text), MaxTextBytes)
	case len(s.Steps) == 0:
		return eris.New("a job needs at least one step")
	case len(s.Steps) > MaxSteps:
		return eris.Errorf("%d steps are more than %d", len(s.Steps), MaxSteps)
	case s.Repeat < 0 || s.Repeat > maxRepeat:
		return eris.Errorf("repetitions %d are not within 0 and %d", s.Repeat, maxRepeat)
	case s.Repeat > 1 && s.Interval < 0:
		return eris.Errorf("the interval %v is negative", s.Interval)
	}
	tasks := 0
	for i, st := range s.Steps {
		if err := st.check(i); err != nil {
			return eris.Wrapf(err, "step %d", i)
		}
		tasks += st.Count
	}
	if tasks > MaxTasks {
		return eris.Errorf("%d tasks are more than %d", tasks, MaxTasks)
	}
	return nil
}

func (s Step) check(index int) error {
	switch {
	case s.Count < 1:
		return eris.Errorf("count %d is less than 1", s.Count)
	case s.Need.CPU < 0 || s.Need.MemoryMB < 0 || s.Need.GPU < 0:
		return eris.New("a requested amount is negative")
	case s.MaxPerWorker < 0 || s.MayMiss < 0 || s.Estimate < 0 || s.TailTarget < 0:
		return eris.New("a limit is negative")
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return eris.Errorf("after names step %d, which is not an earlier one", a)
		}
	}
	return nil
}
