package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/dispatch"
	"greengagedeck/internal/request"
)

// A host that fails everything at once always has free slots. It must not get
// all work for that, or nothing could be compared with it.
func TestEquallyFreeHostsTakeTurns(t *testing.T) {
	g := NewWithT(t)
	const hostCount, jobs = 3, 30
	s := dispatch.NewScheduler(dispatch.SchedulerConfig{LongShare: 0.5})
	s.SetTargets(hosts(hostCount, 8))
	starts := map[string]int{}
	for range jobs {
		j := job("reserve", "a", request.ClassShort, time.Hour)
		g.Expect(s.Offer(epoch, j)).To(BeNil())
		st, ok := s.Next(epoch)
		g.Expect(ok).To(BeTrue())
		starts[st.Target.Host]++
		s.Finish(epoch, j, true)
	}
	g.Expect(starts).To(Equal(map[string]int{"w00": 10, "w01": 10, "w02": 10}))
}
