package jobsim

import (
	"encoding/json"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/logstore/logtest"
)

const (
	// firstAcceptance bounds the time until daemons that have just started accept a job.
	firstAcceptance = 10 * time.Second
	// stoppingTask is the run time of a task that a daemon outlives which is told to stop
	// and cannot hand its duties over.
	stoppingTask = "300"
	// nextStepTime is how long after a step the next one may start on a busy machine.
	nextStepTime = 1500 * time.Millisecond
)

// claims is the partition of the claims of duties.
var claims = logstore.Partition{Topic: "duty"}

// submitSteps submits a job of two tasks, one after the other.
func (s *soak) submitSteps(id job.ID) {
	steps := []soakStep{{Count: 1, CPU: 500, MemoryMB: 64}, {Count: 1, CPU: 500, MemoryMB: 64, After: []int{0}}}
	s.checker.Submitted(id, []job.Resources{{CPU: 500, MemoryMB: 64}, {CPU: 500, MemoryMB: 64}})
	body, err := json.Marshal(map[string]any{"spec": stoppingTask, "steps": steps})
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Eventually(func() int {
		status, _ := s.call(s.daemons[0], fasthttp.MethodPost, "/q/"+string(id), body)
		return status
	}, firstAcceptance, 100*time.Millisecond).Should(Equal(fasthttp.StatusOK))
}

// Guards against a daemon that is told to stop and no longer schedules a pool while no other
// daemon may claim it, since the release of the duty is not stored.
func TestStoppingDaemonSchedulesUntilItsDutiesAreReleased(t *testing.T) {
	const first, id = "00000000000000aa", "00000000000000bb"
	s := newSoak(t, 1, IdleTimeouts{})
	s.submitSteps(first)
	s.g.Eventually(func() int { return s.checker.Started(first) }, firstAcceptance, time.Millisecond).Should(Equal(2))
	s.submitSteps(id)
	s.g.Eventually(func() int { return s.checker.Started(id) }, nextStepTime, time.Millisecond).Should(Equal(1))
	s.store.Log.SetFault(func(c logtest.Call) logtest.Fault {
		return logtest.Fault{Rejected: c.Op == logtest.Append && c.Partition == claims}
	})
	s.daemons[0].signal(syscall.SIGTERM)
	s.g.Eventually(func() int { return s.checker.Started(id) }, nextStepTime, time.Millisecond).Should(Equal(2))
}
