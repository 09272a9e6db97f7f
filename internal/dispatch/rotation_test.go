package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/request"
)

// A host that fails every request immediately always has free slots. If it
// therefore got all requests, its failure rate could not be compared with that
// of other hosts.
func TestEquallyFreeHostsRotate(t *testing.T) {
	g := NewWithT(t)
	const hostCount, jobs = 3, 30
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(newHosts(hostCount, 8))
	starts := map[string]int{}
	for range jobs {
		j := newJob("reserve", "a", request.ClassShort, time.Hour)
		g.Expect(s.Enqueue(epoch, j)).To(BeNil())
		st, ok := s.Next(epoch)
		g.Expect(ok).To(BeTrue())
		starts[st.Target.Host]++
		s.Finish(epoch, j, true)
	}
	g.Expect(starts).To(Equal(map[string]int{"w00": 10, "w01": 10, "w02": 10}))
}
