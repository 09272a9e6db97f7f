package jobsim

import (
	"time"

	"greengagedeck/internal/job"
)

const (
	// capacityContact is how old the holder's knowledge of a capacity may be
	// without the heartbeat that shows it.
	capacityContact = 3 * time.Second
	// capacityGrace is how long after it a shrink of the capacity counts.
	capacityGrace = capacityContact + heartbeatInterval
)

// fullCapacity is the capacity of a worker that has not shrunk.
var fullCapacity = job.Resources{CPU: 8000, MemoryMB: 8192}

// capacityChange is a change of a worker's capacity.
type capacityChange struct {
	at       time.Time
	capacity job.Resources
}

// SetCapacity sets the capacity to a percentage of the full one. The worker's
// entry in the list shows it from its next heartbeat on.
func (w *Worker) SetCapacity(percent int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capacities = append(w.capacities, capacityChange{time.Now(), job.Resources{
		CPU:      fullCapacity.CPU * percent / 100,
		MemoryMB: fullCapacity.MemoryMB * percent / 100,
	}})
}

// capacity returns the present capacity. It must be called with mu held.
func (w *Worker) capacity() job.Resources { return w.capacities[len(w.capacities)-1].capacity }

// countedCapacity returns the most of each resource that the worker had in the
// last capacityGrace. It must be called with mu held.
func (w *Worker) countedCapacity(now time.Time) job.Resources {
	most := w.capacity()
	for i := len(w.capacities) - 1; i > 0 && now.Sub(w.capacities[i].at) <= capacityGrace; i-- {
		earlier := w.capacities[i-1].capacity
		most.CPU = max(most.CPU, earlier.CPU)
		most.MemoryMB = max(most.MemoryMB, earlier.MemoryMB)
	}
	return most
}

// checkCapacity passes what the runs take together with a task that starts to the
// checker. It must be called with mu held.
func (w *Worker) checkCapacity(t job.TaskID) {
	w.checker.checkCapacity(t, w.id, w.used().Add(w.checker.need(t)), w.countedCapacity(time.Now()))
}

// used returns what the runs take. It must be called with mu held.
func (w *Worker) used() job.Resources {
	var used job.Resources
	for t := range w.running {
		used = used.Add(w.checker.need(t))
	}
	return used
}

// load returns the capacity and what the runs take of it.
func (w *Worker) load() (capacity, used job.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.capacity(), w.used()
}

// isUp reports whether the worker has not crashed.
func (w *Worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}
