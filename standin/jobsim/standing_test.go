package jobsim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/job"
)

const (
	// burstTasks is how many tasks the job of a burst has, some on every worker.
	burstTasks = 6 * soakWorkers
	// bursts is how often jobs come in a burst, and burstPause how long the workers
	// are idle in between: for longer than they keep connections.
	bursts     = 3
	burstPause = 2 * time.Second
	// loadBeforeLoss is for how long jobs come before a loss of power.
	loadBeforeLoss = 4 * time.Second
	// lossDuration is how long a loss of power takes.
	lossDuration = time.Second
	// keptIdle is for how long the workers keep a connection that is idle.
	keptIdle = 700 * time.Millisecond
)

// standing is a soak whose jobs are watched.
type standing struct {
	*soak
	liveness *LivenessChecker
	rand     *rand.Rand
	jobs     int
}

// startStanding starts a deployment and watches its jobs until the test ends.
func startStanding(t *testing.T, idle IdleTimeouts) *standing {
	t.Logf("seed %d", *soakSeed)
	s := &standing{soak: newSoak(t, soakDaemons, idle), rand: rand.New(rand.NewPCG(*soakSeed, 4))}
	s.liveness = NewLivenessChecker(s.checker, s.workers)
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { s.liveness.Watch(done) })
	t.Cleanup(func() {
		close(done)
		watch.Wait()
	})
	s.g.Eventually(func() int {
		status, _ := s.call(s.daemons[0], fasthttp.MethodGet, "/q/", nil)
		return status
	}, 10*time.Second, 50*time.Millisecond).Should(Equal(fasthttp.StatusOK))
	time.Sleep(2 * time.Second)
	return s
}

// accept hands in a job of tasks of a duration until it is accepted.
func (s *standing) accept(duration time.Duration, steps ...soakStep) {
	s.jobs++
	id := job.ID(fmt.Sprintf("%016x", *soakSeed<<32|uint64(s.jobs)))
	var needs []job.Resources
	var shapes []StepShape
	for _, st := range steps {
		need := job.Resources{CPU: st.CPU, MemoryMB: st.MemoryMB}
		needs = append(needs, need)
		shapes = append(shapes, StepShape{st.Count, need, st.After})
	}
	s.checker.Submitted(id, needs)
	body, err := json.Marshal(map[string]any{"spec": strconv.FormatInt(duration.Milliseconds(), 10), "steps": steps})
	s.g.Expect(err).NotTo(HaveOccurred())
	s.g.Eventually(func() int {
		status, _ := s.call(s.daemons[s.rand.IntN(len(s.daemons))], fasthttp.MethodPost, "/q/"+string(id), body)
		return status
	}, 10*time.Second, 100*time.Millisecond).Should(Equal(fasthttp.StatusOK))
	s.liveness.Accepted(id, "p", shapes)
	s.accepted = append(s.accepted, id)
}

// expectNoneStands expects that all jobs end, and that none has stood.
func (s *standing) expectNoneStands(t *testing.T) {
	notEnded := s.awaitEnds()
	t.Logf("%d jobs, the longest stand is %v", len(s.accepted), s.liveness.Longest())
	s.g.Expect(s.liveness.Violations()).To(BeEmpty())
	s.g.Expect(notEnded).To(BeEmpty(), "accepted jobs that have not ended")
	s.g.Expect(s.checker.Violations()).To(BeEmpty())
}

// submitFor hands in small jobs for a time, more than the pool can take.
func (s *standing) submitFor(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		s.accept(time.Duration(100+s.rand.IntN(400))*time.Millisecond,
			soakStep{Count: 2 + s.rand.IntN(8), CPU: 300, MemoryMB: 128},
			soakStep{Count: 2, CPU: 300, MemoryMB: 128, After: []int{0}})
		time.Sleep(time.Duration(s.rand.IntN(20)) * time.Millisecond)
	}
}

// burst hands in a job with tasks for all workers at once, and then one of two steps
// after the workers have been idle.
func (s *standing) burst() {
	s.accept(200*time.Millisecond, soakStep{Count: burstTasks, CPU: 500, MemoryMB: 128})
	time.Sleep(burstPause)
	s.accept(200*time.Millisecond, soakStep{Count: 1, CPU: 500, MemoryMB: 128}, soakStep{Count: 2, CPU: 500, MemoryMB: 128, After: []int{0}})
	time.Sleep(burstPause)
}

// Without a fault no job may stand.
func TestNoJobStandsWithoutFaults(t *testing.T) {
	s := startStanding(t, IdleTimeouts{})
	s.submitFor(3 * time.Second)
	s.burst()
	s.expectNoneStands(t)
}

// Guards against jobs that stand because idle connections were closed.
func TestNoJobStandsAfterIdleConnectionsAreClosed(t *testing.T) {
	s := startStanding(t, IdleTimeouts{Store: 2 * keptIdle, Worker: keptIdle})
	for range bursts {
		s.burst()
	}
	s.expectNoneStands(t)
}

// Guards against workers and a store that are up and count as down, since the daemons use
// connections that the other end has closed while they were idle.
func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	s := startStanding(t, IdleTimeouts{Store: 2 * keptIdle, Worker: keptIdle})
	for range bursts {
		s.burst()
	}
	for _, message := range []string{"worker does not answer", "start got no answer", "log unreachable"} {
		s.g.Expect(s.logged(message)).To(BeZero(), message)
	}
}

// logged returns how often the daemons have logged a message.
func (s *standing) logged(message string) int {
	n := 0
	for _, d := range s.daemons {
		data, err := os.ReadFile(d.logFile)
		s.g.Expect(err).NotTo(HaveOccurred())
		n += bytes.Count(data, []byte(`"message":"`+message+`"`))
	}
	return n
}

// Guards against jobs that stand because connections were reset.
func TestNoJobStandsAfterResets(t *testing.T) {
	s := startStanding(t, IdleTimeouts{})
	for range bursts {
		s.submitFor(time.Second)
		s.store.ResetConnections()
		for _, w := range s.workers {
			w.ResetConnections()
		}
	}
	s.expectNoneStands(t)
}

// Guards against jobs that stand because idle workers have lost power.
func TestNoJobStandsAfterIdleWorkersLosePower(t *testing.T) {
	s := startStanding(t, IdleTimeouts{})
	for range bursts {
		s.burst()
		s.powerOffWorkers(comebackSame)
		time.Sleep(lossDuration)
	}
	s.burst()
	s.expectNoneStands(t)
}

// powerOffWorkers has all workers lose power at once.
func (s *standing) powerOffWorkers(as comeback) {
	for _, w := range s.workers {
		w.PowerOff(lossDuration, as)
	}
}

// Guards against jobs that stand because each task that had just started when all workers
// lost power at once is started again alone on a worker.
func TestNoJobStandsAfterBusyWorkersLosePower(t *testing.T) {
	s := startStanding(t, IdleTimeouts{})
	s.submitFor(loadBeforeLoss)
	s.powerOffWorkers(comebackSame)
	s.expectNoneStands(t)
}

// Guards against jobs that stand because the runs of workers that were replaced are kept
// until their leases have expired, or are started again alone on a worker.
func TestNoJobStandsAfterBusyWorkersAreReplaced(t *testing.T) {
	s := startStanding(t, IdleTimeouts{})
	s.submitFor(loadBeforeLoss)
	s.powerOffWorkers(comebackReplaced)
	s.expectNoneStands(t)
}

// Guards against jobs that stand because the runs of workers that were replaced are kept
// until leases of earlier holders have expired.
func TestNoJobStandsAfterAllLosePowerAndWorkersAreReplaced(t *testing.T) {
	s := startStanding(t, IdleTimeouts{})
	s.submitFor(loadBeforeLoss)
	s.powerOffWorkers(comebackReplaced)
	for _, d := range s.daemons {
		d.kill()
	}
	time.Sleep(lossDuration)
	for _, d := range s.daemons {
		s.g.Expect(d.start()).To(Succeed())
	}
	s.expectNoneStands(t)
}
