package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// runKey identifies a run of a task.
type runKey struct {
	task string
	run  int
}

// taskRuns is what the stand-ins have seen of one task.
type taskRuns struct {
	// active is how many runs are at work.
	active int
	// doneAt is when a run first ended done, and done holds all such ends by the
	// number of the run.
	doneAt   time.Time
	done     map[int]*doneEnd
	failures int
	// lapsed is set if a run ended with its lease.
	lapsed bool
	starts int
	// together is set if two runs were at work at the same time.
	together bool
}

// doneEnd is the end of a run that ended done.
type doneEnd struct {
	at time.Time
	// acknowledged is set once the end was acknowledged, with no lapse of the
	// worker's lease between the two.
	acknowledged bool
	// startedAfter is set if a run was started after it.
	startedAfter bool
}

// acknowledged reports whether an end done of the task was acknowledged.
func (t *taskRuns) acknowledged() bool {
	for _, e := range t.done {
		if e.acknowledged {
			return true
		}
	}
	return false
}

// startedTwice reports whether the task breaks TWICE: two runs at the same time, or
// a start after a run had ended done, if that end was acknowledged then or later.
func (t *taskRuns) startedTwice() bool {
	for _, e := range t.done {
		if e.acknowledged && e.startedAfter {
			return true
		}
	}
	return t.together
}

// recorder writes what was sent, answered and run, and keeps what the rules
// are checked with.
type recorder struct {
	began time.Time

	mu    sync.Mutex
	file  *os.File
	tasks map[string]*taskRuns
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: f, tasks: map[string]*taskRuns{}}, nil
}

func (r *recorder) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

// write writes a line. The caller holds r.mu.
func (r *recorder) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// task returns the runs of a task. The caller holds r.mu.
func (r *recorder) task(name string) *taskRuns {
	t := r.tasks[name]
	if t == nil {
		t = &taskRuns{done: map[int]*doneEnd{}}
		r.tasks[name] = t
	}
	return t
}

func (r *recorder) started(worker string, k runKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.task(k.task)
	note := ""
	if t.active > 0 {
		t.together = true
		note = "  while another run is at work"
	}
	for _, e := range t.done {
		e.startedAfter = true
	}
	if len(t.done) > 0 {
		note += "  after a run had ended done"
	}
	t.active++
	t.starts++
	r.write("%s starts %s run %d%s", worker, k.task, k.run, note)
}

func (r *recorder) ended(worker string, k runKey, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.task(k.task)
	t.active--
	switch how {
	case "done":
		now := time.Now()
		if t.doneAt.IsZero() {
			t.doneAt = now
		}
		t.done[k.run] = &doneEnd{at: now}
	case "failed":
		t.failures++
	case "lapsed":
		t.lapsed = true
	}
	r.write("%s ends %s run %d: %s", worker, k.task, k.run, how)
}

// acknowledged records that the end of a run was acknowledged. lapsedAt is when the
// worker's lease last was lapsed.
func (r *recorder) acknowledged(k runKey, lapsedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.task(k.task).done[k.run]; e != nil && lapsedAt.Before(e.at) {
		e.acknowledged = true
	}
}

// count returns how many tasks a predicate holds for, and the first of them.
func (r *recorder) count(holds func(*taskRuns) bool) (n int, first string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, t := range r.tasks {
		if holds(t) {
			n++
			if first == "" || name < first {
				first = name
			}
		}
	}
	return n, first
}

// startedTwice counts the tasks that break TWICE.
func (r *recorder) startedTwice() (n int, first string) {
	return r.count((*taskRuns).startedTwice)
}

func (r *recorder) get(name string) taskRuns {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *r.task(name)
}
