package dispatch

import (
	"time"

	"greengagedeck/internal/request"
)

// Load holds how busy a scheduler is.
type Load struct {
	// Slots is how many slots there are and Free how many are idle.
	Slots int `cbor:"1,keyasint,omitempty"`
	Free  int `cbor:"2,keyasint,omitempty"`
	// Wait is the expected wait of a new job of short class.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
	// Queued is how many jobs wait.
	Queued int `cbor:"4,keyasint,omitempty"`
}

// Load returns how busy the scheduler is.
func (s *Scheduler) Load() Load {
	l := Load{Slots: s.totalSlots, Free: s.freeSlots()}
	for _, q := range s.queues {
		l.Queued += q.jobs
	}
	l.Wait = s.queueDelay(request.ClassShort, s.queues[request.ClassShort].queuedWork)
	return l
}

// State returns the state to report to zone peers.
func (s *Scheduler) State() PoolState {
	st := PoolState{Free: s.freeSlots()}
	if free := s.longSlotLimit() - s.usedByLong; free > 0 {
		st.FreeLong = min(free, s.freeLongSlots())
	}
	st.QueuedLong = s.queues[request.ClassLong].transferable
	st.Queued = s.queues[request.ClassShort].transferable + s.queues[request.ClassUrgent].transferable
	return st
}

// freeLongSlots returns how many more long jobs the hosts can take.
func (s *Scheduler) freeLongSlots() int {
	n := 0
	for _, h := range s.hosts {
		free := min(h.target.Slots-h.used, s.longShareOf(h.target.Slots)-h.usedByLong)
		n += max(0, free)
	}
	return n
}

// EstimateWait returns how long a new job would wait for a slot, and its
// expected run time.
func (s *Scheduler) EstimateWait(j *Job) (wait, runTime time.Duration) {
	c := s.effectiveClass(j)
	if !s.MustWait(j) {
		return 0, s.expectedRunTime(c, j)
	}
	return s.expectedWait(c, j), s.expectedRunTime(c, j)
}

// expectedWait returns how long a new job would wait for a slot.
func (s *Scheduler) expectedWait(c request.Class, j *Job) time.Duration {
	return s.queueDelay(c, s.queues[c].backlogAhead(j.Team, j.Limits.Weight))
}

func (s *Scheduler) expectedRunTime(c request.Class, j *Job) time.Duration {
	return s.runStats.forEntry(j.Entry).expectedRunTime(c == request.ClassLong)
}

// queueDelay returns how long the slots of a class take to work off the queues
// of more urgent classes and the given work of its own class.
func (s *Scheduler) queueDelay(c request.Class, own time.Duration) time.Duration {
	work := own
	for _, class := range request.Classes {
		if class == c {
			break
		}
		work += s.queues[class].queuedWork
	}
	if work == 0 && s.freeSlots() > 0 {
		return 0
	}
	slots := s.totalSlots - s.usedByLong
	if c == request.ClassLong {
		slots = s.longSlotLimit()
	}
	return work / time.Duration(max(1, slots))
}

// RunsLongJobs reports whether long jobs hold slots of the pool.
func (d *Dispatcher) RunsLongJobs(pool string) bool {
	p := d.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.usedByLong > 0
}
