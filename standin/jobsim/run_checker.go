package jobsim

import (
	"fmt"
	"sync"
	"time"

	"greengagedeck/internal/job"
)

// RunChecker records the runs on all workers and detects violations: a task that
// runs twice at the same time, a task that starts after its success was
// acknowledged, a start that brings a worker over its capacity, and what
// crash_checker.go lists for tasks that crash their workers.
type RunChecker struct {
	mu sync.Mutex
	// running holds the active run of each running task.
	running map[job.TaskID]activity
	// lapsed holds the last runs that ended as their lease had expired, by task, and lapseGaps
	// the times from such an end to the next start.
	lapsed    map[job.TaskID]activity
	lapseGaps []time.Duration
	// acknowledged holds the tasks whose success was acknowledged.
	acknowledged map[job.TaskID]bool
	// done holds the tasks of which a run has ended with success, by job.
	done map[job.ID]map[job.TaskID]bool
	// started counts run starts by job.
	started map[job.ID]int
	// needs holds what the tasks of each step of a job take.
	needs      map[job.ID][]job.Resources
	violations []string

	// deadly maps each job with a deadly task to that task.
	deadly map[job.ID]job.TaskID
	// crashes holds, by task, the crashes of workers while it ran there, in order.
	// excessStarts counts the starts of a deadly task after crashBudget crashes.
	crashes      map[job.TaskID][]crash
	excessStarts map[job.TaskID]int
	// shownFailed is when a job was first shown as failed.
	shownFailed map[job.ID]time.Time
	// innocentFailed describes the jobs without a deadly task among them.
	innocentFailed []string
	// judgedShrunk counts the starts that a shrunk capacity limited.
	judgedShrunk int
	// onStart, if set, is called with mu held after the start of a run has been recorded.
	onStart func(t job.TaskID, worker string)
}

// NewRunChecker returns a checker that has recorded no runs.
func NewRunChecker() *RunChecker {
	return &RunChecker{
		running:      map[job.TaskID]activity{},
		lapsed:       map[job.TaskID]activity{},
		acknowledged: map[job.TaskID]bool{},
		done:         map[job.ID]map[job.TaskID]bool{},
		started:      map[job.ID]int{},
		needs:        map[job.ID][]job.Resources{},
		deadly:       map[job.ID]job.TaskID{},
		crashes:      map[job.TaskID][]crash{},
		excessStarts: map[job.TaskID]int{},
		shownFailed:  map[job.ID]time.Time{},
	}
}

// Submitted records what the tasks of each step of a job take, before the job is
// submitted.
func (c *RunChecker) Submitted(id job.ID, needs []job.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.needs[id] = needs
}

// need returns what a task takes, zero if its job was not submitted.
func (c *RunChecker) need(t job.TaskID) job.Resources {
	c.mu.Lock()
	defer c.mu.Unlock()
	if steps := c.needs[t.Job]; t.Step < len(steps) {
		return steps[t.Step]
	}
	return job.Resources{}
}

func (c *RunChecker) start(t job.TaskID, worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkActive(t, worker, time.Now())
	if c.acknowledged[t] {
		c.addViolation("%s starts on %s after its success was acknowledged", t, worker)
	}
	c.checkCrashBudget(t, worker)
	c.checkStartAfterFailure(t, worker)
	c.running[t] = activity{worker: worker}
	c.started[t.Job]++
	if c.onStart != nil {
		c.onStart(t, worker)
	}
}

// checkCapacity checks what the runs on a worker take after a start against the
// capacity that counts.
func (c *RunChecker) checkCapacity(t job.TaskID, worker string, used, counted job.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counted != fullCapacity {
		c.judgedShrunk++
	}
	if !used.FitsIn(counted) {
		c.addViolation("LIMIT: the start of %s on %s brings it to %+v, its capacity is %+v", t, worker, used, counted)
	}
}

// JudgedShrunk returns how many starts a shrunk capacity limited. Without any, no
// violation of LIMIT says nothing on capacities that shrink.
func (c *RunChecker) JudgedShrunk() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.judgedShrunk
}

func (c *RunChecker) end(t job.TaskID, worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[t].worker == worker {
		delete(c.running, t)
	}
}

// succeed records that a run of a task has ended with success.
func (c *RunChecker) succeed(t job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done[t.Job] == nil {
		c.done[t.Job] = map[job.TaskID]bool{}
	}
	c.done[t.Job][t] = true
}

// succeeded returns how many tasks of a step have ended with success.
func (c *RunChecker) succeeded(id job.ID, step int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for t := range c.done[id] {
		if t.Step == step {
			n++
		}
	}
	return n
}

// activeRuns returns how many tasks of a job run.
func (c *RunChecker) activeRuns(id job.ID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for t := range c.running {
		if t.Job == id {
			n++
		}
	}
	return n
}

func (c *RunChecker) acknowledge(t job.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged[t] = true
}

// Started returns how many runs of a job were started.
func (c *RunChecker) Started(id job.ID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started[id]
}

// report records a violation that a worker detected.
func (c *RunChecker) report(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

// addViolation records a violation with its time. It must be called with mu held.
func (c *RunChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, time.Now().UTC().Format(timeFormat)+" "+fmt.Sprintf(format, args...))
}

// timeFormat is that of the daemons' logs.
const timeFormat = "2006-01-02T15:04:05.000Z"

// Violations describes every violation that was detected.
func (c *RunChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
