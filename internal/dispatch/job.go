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
	// AvoidHost names a host that the job should get only if there is no
	// other.
	AvoidHost string
	// NoHandover is set for a job that must stay on this daemon: another
	// daemon handed it over, or could not take it.
	NoHandover bool
	// Limits are those of the job's entry.
	Limits JobLimits
	// OnDecision is called by the owner of the scheduler when the job gets
	// a slot, is rejected or is to be handed over. The scheduler itself
	// never calls it.
	OnDecision func(Decision)

	state        jobState
	flow         *flow
	heapIndex    int           // position in flow.jobs while queued
	cost         time.Duration // expected run time
	slack        time.Duration // spare time before the deadline that the job needs at its start
	host         *hostSlots
	startedAt    time.Time
	countsAsLong bool          // counts against the long share
	shortElem    *list.Element // position in Scheduler.shortRunning while it counts as short
}

// JobLimits holds the limits and the weight of a job, and the resources that it
// needs.
type JobLimits struct {
	// Slots is how many slots the entry may hold at once, 0 for no limit.
	Slots int
	// Queue is how many of the entry's jobs may wait, 0 for no limit.
	Queue int
	// Weight is the fair-share weight of the entry's team; 0 counts as 1.
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
	// swaps counts the swaps of heap elements.
	swaps int
}

// Len implements heap.Interface.
func (h *jobHeap) Len() int { return len(h.jobs) }

// Less implements heap.Interface.
func (h *jobHeap) Less(i, k int) bool { return h.jobs[i].Deadline.Before(h.jobs[k].Deadline) }

// Swap implements heap.Interface.
func (h *jobHeap) Swap(i, k int) {
	h.swaps++
	h.jobs[i], h.jobs[k] = h.jobs[k], h.jobs[i]
	h.jobs[i].heapIndex = i
	h.jobs[k].heapIndex = k
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*Job)
	j.heapIndex = len(h.jobs)
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
