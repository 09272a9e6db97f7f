package jobsim

import (
	"fmt"
	"sync"
	"time"

	"greengagedeck/internal/job"
)

const (
	// maxStanding is for how long a job with a ready task may have no run.
	maxStanding = 3 * time.Second
	// standingInterval is the interval at which the jobs are looked at.
	standingInterval = 25 * time.Millisecond
	// spareRoom is how many times a pool must have room for a ready task, and
	// maxUsedShare how much of the pool may be in use, for the task to count as
	// one that could run.
	spareRoom    = 2
	maxUsedShare = 0.5
)

// StepShape is what the liveness checker knows of a step.
type StepShape struct {
	Count int
	Need  job.Resources
	After []int
}

// LivenessChecker finds jobs that stand: none of their tasks runs for maxStanding
// while one is ready, its pool has room for it and little of the pool is in use. It
// goes by what the workers see themselves.
type LivenessChecker struct {
	runs    *RunChecker
	workers []*Worker

	mu   sync.Mutex
	jobs map[job.ID]*watchedJob
}

// watchedJob is an accepted job.
type watchedJob struct {
	pool  string
	steps []StepShape
	// standsSince is zero while the job does not stand, and longest is the longest
	// time for which it has stood, which began at longestFrom.
	standsSince time.Time
	longest     time.Duration
	longestFrom time.Time
}

// NewLivenessChecker returns a checker that watches no job.
func NewLivenessChecker(runs *RunChecker, workers []*Worker) *LivenessChecker {
	return &LivenessChecker{runs: runs, workers: workers, jobs: map[job.ID]*watchedJob{}}
}

// Accepted has a job watched that a pool has accepted.
func (l *LivenessChecker) Accepted(id job.ID, pool string, steps []StepShape) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id] = &watchedJob{pool: pool, steps: steps}
}

// Watch looks at the jobs until done is closed.
func (l *LivenessChecker) Watch(done <-chan struct{}) {
	ticker := time.NewTicker(standingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-ticker.C:
			l.look(now)
		}
	}
}

// look records which jobs stand.
func (l *LivenessChecker) look(now time.Time) {
	free := map[string][]job.Resources{}
	idle := map[string]bool{}
	for pool, workers := range l.workersByPool() {
		free[pool], idle[pool] = l.freeRoom(workers)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, j := range l.jobs {
		stands := idle[j.pool] && l.runs.activeRuns(id) == 0 && l.hasReadyTask(id, j, free[j.pool])
		switch {
		case !stands:
			j.standsSince = time.Time{}
		case j.standsSince.IsZero():
			j.standsSince = now
		case now.Sub(j.standsSince) > j.longest:
			j.longest, j.longestFrom = now.Sub(j.standsSince), j.standsSince
		}
	}
}

// workersByPool returns the workers that are up.
func (l *LivenessChecker) workersByPool() map[string][]*Worker {
	out := map[string][]*Worker{}
	for _, w := range l.workers {
		if w.isUp() {
			out[w.pool] = append(out[w.pool], w)
		}
	}
	return out
}

// freeRoom returns what is free on each of the workers, and whether at most
// maxUsedShare of them all is in use.
func (l *LivenessChecker) freeRoom(workers []*Worker) (free []job.Resources, idle bool) {
	var total, rest job.Resources
	for _, w := range workers {
		capacity, used := w.load()
		left := job.Resources{CPU: capacity.CPU - used.CPU, MemoryMB: capacity.MemoryMB - used.MemoryMB}
		free = append(free, left)
		total, rest = total.Add(capacity), rest.Add(left)
	}
	const minFree = 1 - maxUsedShare
	return free, float64(rest.CPU) > minFree*float64(total.CPU) && float64(rest.MemoryMB) > minFree*float64(total.MemoryMB)
}

// hasReadyTask reports whether a task of a job is ready for which there is spareRoom.
func (l *LivenessChecker) hasReadyTask(id job.ID, j *watchedJob, free []job.Resources) bool {
	for n, s := range j.steps {
		ready := true
		for _, before := range s.After {
			ready = ready && l.runs.succeeded(id, before) == j.steps[before].Count
		}
		if ready && l.runs.succeeded(id, n) < s.Count && places(s.Need, free) >= spareRoom {
			return true
		}
	}
	return false
}

// places returns for how many tasks there is room.
func places(need job.Resources, free []job.Resources) int {
	n := 0
	for _, f := range free {
		n += max(0, min(f.CPU/need.CPU, f.MemoryMB/need.MemoryMB))
	}
	return n
}

// Violations describes the jobs that have stood for longer than maxStanding.
func (l *LivenessChecker) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id, j := range l.jobs {
		if j.longest > maxStanding {
			out = append(out, fmt.Sprintf("job %s of pool %s stands for %v from %s", id, j.pool, j.longest.Round(time.Millisecond), j.longestFrom.UTC().Format(timeFormat)))
		}
	}
	return out
}

// Longest returns the longest time for which a job has stood.
func (l *LivenessChecker) Longest() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var most time.Duration
	for _, j := range l.jobs {
		most = max(most, j.longest)
	}
	return most
}
