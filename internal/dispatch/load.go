package dispatch

import (
	"time"

	"greengagedeck/internal/request"
)

// Load is how busy a scheduler is.
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
	l := Load{Slots: s.slots, Free: s.free()}
	for _, q := range s.queues {
		l.Queued += q.jobs
	}
	l.Wait = s.wait(request.ClassShort, s.queues[request.ClassShort].work)
	return l
}

// State returns what zone-mates need to know.
func (s *Scheduler) State() State {
	st := State{Free: s.free()}
	if room := s.longSlots() - s.long; room > 0 {
		st.LongFree = min(room, s.longRoom())
	}
	st.LongQueued = s.queues[request.ClassLong].own
	st.Queued = s.queues[request.ClassShort].own + s.queues[request.ClassUrgent].own
	return st
}

// longRoom is how many long jobs the hosts have room for.
func (s *Scheduler) longRoom() int {
	n := 0
	for _, h := range s.hosts {
		room := min(h.target.Slots-h.used, s.longPart(h.target.Slots)-h.long)
		n += max(0, room)
	}
	return n
}

// Wait returns how long a new job would wait for a slot, and the size it is
// expected to have.
func (s *Scheduler) Wait(j *Job) (wait, size time.Duration) {
	c := s.effectiveClass(j)
	if !s.Full(j) {
		return 0, s.expectedSize(c, j)
	}
	return s.expectedWait(c, j), s.expectedSize(c, j)
}

// expectedWait is how long a new job would wait for a slot.
func (s *Scheduler) expectedWait(c request.Class, j *Job) time.Duration {
	return s.wait(c, s.queues[c].backlog(j.Team, j.Limits.Weight))
}

func (s *Scheduler) expectedSize(c request.Class, j *Job) time.Duration {
	return s.sizes.of(j.Entry).expected(c == request.ClassLong)
}

// wait is how long the slots of a class take to work off the queues of more
// pressing classes and the given work of its own.
func (s *Scheduler) wait(c request.Class, own time.Duration) time.Duration {
	work := own
	for _, more := range request.Classes {
		if more == c {
			break
		}
		work += s.queues[more].work
	}
	if work == 0 && s.free() > 0 {
		return 0
	}
	slots := s.slots - s.long
	if c == request.ClassLong {
		slots = s.longSlots()
	}
	return work / time.Duration(max(1, slots))
}

// LongHeld reports whether long work holds slots of the pool.
func (d *Dispatcher) LongHeld(pool string) bool {
	p := d.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.long > 0
}
