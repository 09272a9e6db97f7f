package jobsim

import (
	"fmt"
	"sync"
)

// Ledger holds what workers do against what must never happen: two runs of a task
// at once, or one after its success was noted.
type Ledger struct {
	mu sync.Mutex
	// running is the worker that runs a task.
	running map[string]string
	// noted holds the tasks whose success was acknowledged.
	noted map[string]bool
	// started counts the starts by job.
	started    map[string]int
	violations []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{running: map[string]string{}, noted: map[string]bool{}, started: map[string]int{}}
}

func (l *Ledger) start(task, job, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.running[task]; ok {
		l.violations = append(l.violations, fmt.Sprintf("%s starts on %s while it runs on %s", task, worker, at))
	}
	if l.noted[task] {
		l.violations = append(l.violations, fmt.Sprintf("%s starts on %s after its success was noted", task, worker))
	}
	l.running[task] = worker
	l.started[job]++
}

func (l *Ledger) end(task, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[task] == worker {
		delete(l.running, task)
	}
}

func (l *Ledger) note(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noted[task] = true
}

// Started returns how many runs of a job were started.
func (l *Ledger) Started(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started[job]
}

// Violations returns what must not have happened.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}
