package dispatch

import (
	"container/heap"
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
	// Foreign is set for a job that another daemon handed over.
	Foreign bool
	// Limits are those of the job's entry.
	Limits JobLimits
	// Granted is called by the owner of the scheduler when the job gets a
	// slot or is refused. The scheduler itself never calls it.
	Granted func(Start)

	state   jobState
	flow    *flow
	index   int // position in flow.jobs while queued
	cost    time.Duration
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

// jobHeap orders the jobs of one flow by deadline.
type jobHeap []*Job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, k int) bool { return h[i].Deadline.Before(h[k].Deadline) }

func (h jobHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].index = i
	h[k].index = k
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*Job)
	j.index = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	last := len(old) - 1
	j := old[last]
	old[last] = nil
	*h = old[:last]
	return j
}

var _ heap.Interface = (*jobHeap)(nil)
