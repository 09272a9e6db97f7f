package jobsim

import (
	"fmt"
	"sync"
)

// RunChecker records the runs on all workers and detects two violations: a task
// that runs twice at the same time, and a task that starts after its success was
// acknowledged.
type RunChecker struct {
	mu sync.Mutex
	// running maps each running task to its worker.
	running map[string]string
	// acknowledged holds the tasks whose success was acknowledged.
	acknowledged map[string]bool
	// started counts run starts by job.
	started    map[string]int
	violations []string
}

// NewRunChecker returns a checker that has recorded no runs.
func NewRunChecker() *RunChecker {
	return &RunChecker{running: map[string]string{}, acknowledged: map[string]bool{}, started: map[string]int{}}
}

func (c *RunChecker) start(task, job, worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.running[task]; ok {
		c.violations = append(c.violations, fmt.Sprintf("%s starts on %s while it runs on %s", task, worker, at))
	}
	if c.acknowledged[task] {
		c.violations = append(c.violations, fmt.Sprintf("%s starts on %s after its success was acknowledged", task, worker))
	}
	c.running[task] = worker
	c.started[job]++
}

func (c *RunChecker) end(task, worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[task] == worker {
		delete(c.running, task)
	}
}

func (c *RunChecker) acknowledge(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged[task] = true
}

// Started returns how many runs of a job were started.
func (c *RunChecker) Started(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started[job]
}

// Violations describes every violation that was detected.
func (c *RunChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
