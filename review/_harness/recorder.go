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
	// doneAt is when a run ended done, and acknowledged whether that end was
	// acknowledged.
	doneAt       time.Time
	acknowledged bool
	failures     int
	// lapsed is set if a run ended with its lease.
	lapsed bool
	starts int
	// startAfterDone is set if a run was started after one had ended done.
	startAfterDone bool
	// together is set if two runs were at work at the same time.
	together bool
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
		t = &taskRuns{}
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
	if !t.doneAt.IsZero() {
		t.startAfterDone = true
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
		if t.doneAt.IsZero() {
			t.doneAt = time.Now()
		}
	case "failed":
		t.failures++
	case "lapsed":
		t.lapsed = true
	}
	r.write("%s ends %s run %d: %s", worker, k.task, k.run, how)
}

func (r *recorder) acknowledged(worker string, k runKey, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if how == "done" {
		r.task(k.task).acknowledged = true
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

// startedTwice counts the tasks that break TWICE: two runs at the same time, or a
// start after a run had ended done, if that end was acknowledged then or later.
func (r *recorder) startedTwice() (n int, first string) {
	return r.count(func(t *taskRuns) bool { return t.together || t.startAfterDone && t.acknowledged })
}

func (r *recorder) get(name string) taskRuns {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *r.task(name)
}
