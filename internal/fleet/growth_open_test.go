package fleet

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a task with a required label that gets hosts without that label.
func TestPoolGetsHostWithRequiredLabel(t *testing.T) {
	step := spreadStep(2)
	step.Label = "rack-2"
	s := newGrowthSim(t, 5, 6, step)
	s.addHost("m-labelled", standbyPool, "rack-2")
	s.addHost("m-labelled-2", standbyPool, "rack-2")
	took := s.runUntil(30*time.Second, s.allRunning)
	s.g.Expect(took).To(BeNumerically("<=", growthMove+growthJoin+2*growthStep), strings.Join(s.decisions, "\n"))
}

// Guards against a pool that no worker is left in and that gets no host, since the size
// of the hosts that the tasks need is taken from its workers.
func TestPoolWithoutWorkersGetsHosts(t *testing.T) {
	s := newGrowthSim(t, 6, 10, spreadStep(5))
	s.g.Expect(s.runUntil(5*time.Second, s.allRunning)).To(BeNumerically("<", 5*time.Second))
	s.decisions = nil
	for _, h := range s.hosts[:6] {
		// Its host stays listed as up without a worker.
		h.Worker, h.running = "", nil
	}
	took := s.runUntil(30*time.Second, s.allRunning)
	s.g.Expect(took).To(BeNumerically("<=", growthMove+growthJoin+2*growthStep), strings.Join(s.decisions, "\n"))
}
