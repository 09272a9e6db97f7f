package targetsim

import (
	"slices"
	"sync"
)

// ExecutionCounter counts how often each request was started, over all targets.
type ExecutionCounter struct {
	mu     sync.Mutex
	starts map[string]int
	total  int
}

// NewExecutionCounter returns a counter without starts.
func NewExecutionCounter() *ExecutionCounter { return &ExecutionCounter{starts: map[string]int{}} }

func (c *ExecutionCounter) recordStart(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[id]++
	c.total++
}

// Count returns how often a request was started.
func (c *ExecutionCounter) Count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[id]
}

// Counts returns how often each of the given requests was started.
func (c *ExecutionCounter) Counts(ids []string) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int, len(ids))
	for _, id := range ids {
		out[id] = c.starts[id]
	}
	return out
}

// Summary holds the totals of an ExecutionCounter.
type Summary struct {
	// Executions counts all starts, Requests the distinct request IDs.
	Executions int `json:"executions"`
	Requests   int `json:"requests"`
	// MaxPerRequest is the highest number of starts of one request.
	MaxPerRequest int `json:"max_per_request"`
	// Repeated lists the requests that were started more than once.
	Repeated []string `json:"repeated"`
}

// Summary returns the totals of all counted starts.
func (c *ExecutionCounter) Summary() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Summary{Executions: c.total, Requests: len(c.starts), Repeated: []string{}}
	for id, n := range c.starts {
		s.MaxPerRequest = max(s.MaxPerRequest, n)
		if n > 1 {
			s.Repeated = append(s.Repeated, id)
		}
	}
	slices.Sort(s.Repeated)
	return s
}
