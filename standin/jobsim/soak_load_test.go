package jobsim

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
)

// The states of jobs that have ended.
const (
	stateCompleted = "completed"
	stateFailed    = "failed"
)

// soakStep is a step of a job as it is submitted.
type soakStep struct {
	Count    int   `json:"count"`
	CPU      int   `json:"cpu"`
	MemoryMB int   `json:"taskMemoryMb"`
	After    []int `json:"after,omitempty"`
}

// prepareJob returns the body of a random job, and makes it known to the checker.
func (s *soak) prepareJob(r *rand.Rand, id job.ID) []byte {
	duration := 20*time.Millisecond + time.Duration(r.Int64N(int64(taskDurationLimit-20*time.Millisecond)))
	steps := []soakStep{
		{Count: 1 + r.IntN(3), CPU: 500 * (1 + r.IntN(4)), MemoryMB: 64 << r.IntN(5)},
		{Count: 1, CPU: 1000, MemoryMB: 64, After: []int{0}},
	}
	var needs []job.Resources
	for _, st := range steps {
		needs = append(needs, job.Resources{CPU: st.CPU, MemoryMB: st.MemoryMB})
	}
	s.checker.Submitted(id, needs)
	if r.IntN(jobsPerDeadlyJob) == 0 {
		step := r.IntN(len(steps))
		s.checker.MarkDeadly(job.TaskID{Job: id, Step: step, Index: r.IntN(steps[step].Count)})
	}
	body, err := json.Marshal(map[string]any{"spec": strconv.FormatInt(duration.Milliseconds(), 10), "steps": steps})
	s.g.Expect(err).NotTo(HaveOccurred())
	return body
}

// servingWorkers returns the workers of the pool to which the queue was sent last.
func (s *soak) servingWorkers() []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool == "q" {
		return s.workers[soakWorkers:]
	}
	return s.workers[:soakWorkers]
}

// changeCapacities shrinks the capacity of one worker after the other that serves the
// queue for some seconds, until done is closed. All have the full capacity then.
func (s *soak) changeCapacities(seed uint64, done <-chan struct{}) {
	r := rand.New(rand.NewPCG(seed, 3))
	growsAt := map[*Worker]time.Time{}
	for {
		select {
		case <-done:
			for w := range growsAt {
				w.SetCapacity(100)
			}
			return
		case <-time.After(time.Duration(200+r.IntN(1000)) * time.Millisecond):
		}
		for w, at := range growsAt {
			if time.Now().After(at) {
				w.SetCapacity(100)
				delete(growsAt, w)
			}
		}
		serving := s.servingWorkers()
		w := serving[r.IntN(len(serving))]
		percent := minShrunkPercent + r.IntN(maxShrunkPercent-minShrunkPercent)
		duration := time.Duration(2000+r.IntN(16000)) * time.Millisecond
		if growsAt[w].IsZero() {
			w.SetCapacity(percent)
			growsAt[w] = time.Now().Add(duration)
		}
	}
}

// watchDeadlyJobs looks at the states of accepted jobs with a deadly task until done
// is closed, so that the checker learns soon when they are shown as failed.
func (s *soak) watchDeadlyJobs(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
		s.mu.Lock()
		accepted := slices.Clone(s.accepted)
		s.mu.Unlock()
		for _, id := range accepted {
			if s.checker.Deadly(id) {
				s.jobState(id)
			}
		}
	}
}
