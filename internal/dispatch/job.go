package dispatch

import (
	"container/list"
	"time"

	"greengagedeck/internal/request"
)

// Job is one request that waits for a slot or holds one.
type Job struct {
	Entry string
	Team  string
	// Class is the declared class.
	Class    request.Class
	Deadline time.Time
	// Avoid names a host that the job should not get again, if there is
	// another.
	Avoid string
	// Foreign is set for a job that stays here: another daemon handed it
	// over, or could not take it.
	Foreign bool
	// Limits are those of the job's entry.
	Limits JobLimits
	// Granted is called by the owner of the scheduler when the job gets a
	// slot or is refused. The scheduler itself never calls it.
	Granted func(Start)

	state   jobState
	flow    *flow
	index   int           // position in flow.jobs while queued
	cost    time.Duration // expected size
	slack   time.Duration // time to spare at the start
	host    *hostSlots
	started time.Time
	long    bool          // counts against the long share
	running *list.Element // position in Scheduler.watched while short
}

// JobLimits is what the entry of a job may use.
type JobLimits struct {
	// Slots is how many slots the entry may hold at once, 0 for no limit.
	Slots int
	// Queue is how many of the entry's jobs may wait, 0 for no limit.
	Queue int
	// Weight is the share of the entry's team; 0 counts as 1.
	Weight float64
	// Cores and MemoryGB are what one job needs of a host.
	Cores    int
	MemoryGB int
}

type jobState uint8

const (
	jobNew jobState = iota
	jobQueued
	jobRunning
	jobDone
)

// Waiting reports whether the job waits in a queue.
func (j *Job) Waiting() bool { return j.state == jobQueued }

// jobHeap orders the jobs of one flow by deadline.
type jobHeap struct {
	jobs []*Job
	// moves counts the steps of the heap's work.
	moves int
}

// Len implements heap.Interface.
func (h *jobHeap) Len() int { return len(h.jobs) }

// Less implements heap.Interface.
func (h *jobHeap) Less(i, k int) bool { return h.jobs[i].Deadline.Before(h.jobs[k].Deadline) }

// Swap implements heap.Interface.
func (h *jobHeap) Swap(i, k int) {
	h.moves++
	h.jobs[i], h.jobs[k] = h.jobs[k], h.jobs[i]
	h.jobs[i].index = i
	h.jobs[k].index = k
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*Job)
	j.index = len(h.jobs)
	h.jobs = append(h.jobs, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := len(h.jobs) - 1
	j := h.jobs[last]
	h.jobs[last] = nil
	h.jobs = h.jobs[:last]
	return j
}
