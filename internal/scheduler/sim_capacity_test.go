package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

const (
	// simHeartbeat is the time between two writes of a worker's entry in the list.
	simHeartbeat = 1500 * time.Millisecond
	// simContactTime is how long ago the holder has to have read the list to be in
	// touch.
	simContactTime = 3 * time.Second
	// simCapacityGrace is how long after it a shrink of the capacity counts.
	simCapacityGrace = simContactTime + simHeartbeat
)

// capacityChange is a change of a worker's capacity.
type capacityChange struct {
	at       time.Duration
	capacity job.Resources
}

// orderOrigin describes an order: when it was sent, and when its sender had last
// read the list of workers. It is zero for an order that no holder of the
// simulation sent.
type orderOrigin struct {
	sentAt, listReadAt time.Duration
	// holder is the token under which its sender claimed the pool, and process the start of the
	// worker's process that it was meant for.
	holder, process int64
	// poll is set for a poll.
	poll bool
}

// startFrom carries out a start order of the given origin.
func (s *simWorker) startFrom(origin orderOrigin, o worker.StartOrder) error {
	s.w.order = origin
	defer func() { s.w.order = orderOrigin{} }()
	return s.start(o)
}

// setCapacity changes a worker's capacity. Its entry in the list shows the change
// from its next heartbeat on.
func (s *simWorker) setCapacity(r job.Resources) {
	if len(s.capacities) == 0 {
		s.capacities = []capacityChange{{0, s.capacity}}
		s.listedCapacity = s.capacity
	}
	s.capacity = r
	s.capacities = append(s.capacities, capacityChange{s.w.now, r})
	s.w.after(time.Duration(s.w.rng.Int64N(int64(simHeartbeat)+1)), func() { s.listedCapacity = s.capacity })
}

// entryCapacity returns the capacity in the worker's entry in the list.
func (s *simWorker) entryCapacity() job.Resources {
	if len(s.capacities) == 0 {
		return s.capacity
	}
	return s.listedCapacity
}

// countedCapacity returns the capacity over which no order may bring the worker: the
// most that it had from simCapacityGrace before the order was sent on. Once the
// capacity has changed, the order of a holder that was not in touch when it sent it
// is not judged.
func (s *simWorker) countedCapacity(o orderOrigin) (job.Resources, bool) {
	if len(s.capacities) > 0 && o.sentAt > o.listReadAt+simContactTime {
		return job.Resources{}, false
	}
	if o.sentAt == 0 {
		o.sentAt = s.w.now
	}
	most := s.capacity
	for i, c := range s.capacities {
		last := i == len(s.capacities)-1
		if last || s.capacities[i+1].at > o.sentAt-simCapacityGrace {
			most.CPU = max(most.CPU, c.capacity.CPU)
			most.MemoryMB = max(most.MemoryMB, c.capacity.MemoryMB)
		}
	}
	return most, true
}

// share returns a percentage of an amount of resources.
func share(r job.Resources, percent int) job.Resources {
	return job.Resources{CPU: r.CPU * percent / 100, MemoryMB: r.MemoryMB * percent / 100, GPU: r.GPU}
}

// simCapacity is the capacity of a worker that has not shrunk.
var simCapacity = job.Resources{CPU: 8000, MemoryMB: 16000}

// randomCapacity shrinks a worker to 30 to 80 % for some seconds. In some cases the
// worker is out of reach from about the same time on, or the log is down, so that
// starts which were decided before stay under way for long.
func (w *simWorld) randomCapacity() {
	s := w.workers[w.rng.IntN(len(w.workers))]
	s.setCapacity(share(simCapacity, 30+w.rng.IntN(51)))
	w.after(time.Duration(2000+w.rng.IntN(20000))*time.Millisecond, func() { s.setCapacity(simCapacity) })
	faultAfter := time.Duration(w.rng.IntN(600)) * time.Millisecond
	faultEndsAfter := faultAfter + time.Duration(2000+w.rng.IntN(6000))*time.Millisecond
	switch w.rng.IntN(4) {
	case 0:
		w.after(faultAfter, func() { s.partitioned = true })
		w.after(faultEndsAfter, func() { s.partitioned = false })
	case 1:
		w.after(faultAfter, func() { w.logDown = true })
		w.after(faultEndsAfter, func() { w.logDown = false })
	}
}

// runCapacitySchedule does what runSchedule does in a pool with much to do, while
// capacities shrink and grow.
func runCapacitySchedule(w *simWorld) {
	w.takeOver()
	for range 40 {
		w.run(time.Duration(100+w.rng.IntN(900)) * time.Millisecond)
		w.randomEvent()
		w.submit(w.randomSpec(), 3)
		switch w.rng.IntN(8) {
		case 0, 1, 2:
			w.randomCapacity()
		case 3:
			w.listDown = true
			w.after(time.Duration(500+w.rng.IntN(4000))*time.Millisecond, func() { w.listDown = false })
		}
	}
	w.endFaults()
	w.listDown = false
	w.run(10 * time.Second)
	w.endFaults()
	for _, s := range w.workers {
		s.setCapacity(simCapacity)
	}
	w.run(60 * time.Second)
}

// Guards against starts that bring a worker over a capacity that has shrunk, under
// lost and late orders, replaced holders and a list that is not read.
func TestInvariantsUnderShrinkingCapacity(t *testing.T) {
	for i := range *schedules {
		seed := *scheduleSeed + uint64(i)
		w := newSimWorld(t, seed, 2+int(seed%4))
		runCapacitySchedule(w)
		failOnViolation(t, w, seed)
	}
}

// Guards against a pool that starts too much after the list was not read for as
// long as the holder may be without it.
func TestListUnreadWhileCapacityShrinksBreaksNoLimit(t *testing.T) {
	g := NewWithT(t)
	w := newSimWorld(t, 3, 2)
	w.takeOver()
	w.run(2 * time.Second)
	for _, s := range w.workers {
		s.setCapacity(share(simCapacity, 30))
	}
	w.run(simHeartbeat)
	w.listDown = true
	w.after(simContactTime-simListInterval, func() { w.listDown = false })
	for range 40 {
		w.submit(w.randomSpec(), 3)
		w.run(200 * time.Millisecond)
	}
	for _, s := range w.workers {
		s.setCapacity(simCapacity)
	}
	w.run(60 * time.Second)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.unfinished()).To(BeEmpty())
}

// Guards against two holders that together fill a worker which has shrunk: the
// earlier one resumes after it was replaced.
func TestTwoHoldersKeepTheCapacityThatShrankBetweenThem(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(20) {
		w := newSimWorld(t, seed+1, 2)
		w.takeOver()
		w.run(2 * time.Second)
		for range 6 {
			w.submit(w.randomSpec(), 3)
		}
		w.run(time.Duration(20+w.rng.IntN(200)) * time.Millisecond)
		earlier := w.holder
		earlier.paused = true
		for _, s := range w.workers {
			s.setCapacity(share(simCapacity, 40))
		}
		w.run(simDutyLease)
		w.takeOver()
		w.run(time.Duration(w.rng.IntN(3000)) * time.Millisecond)
		earlier.paused = false
		w.run(10 * time.Second)
		g.Expect(w.violations).To(BeEmpty(), "seed %d", seed+1)
	}
}
