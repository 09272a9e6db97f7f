package maintenance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan measures one call of Plan for a wave that is on schedule (idle) and
// for one that has to drain hosts (due).
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{50, 250, 1000} {
		for name, now := range map[string]time.Time{"idle": simStart.Add(-time.Hour), "due": simStart.Add(time.Hour)} {
			b.Run(fmt.Sprintf("%s/hosts=%d", name, n), func(b *testing.B) {
				s := newSim()
				s.addPool("p", 4)
				for i := range n {
					h := fmt.Sprintf("h%04d", i)
					s.addHost(h, "p", fmt.Sprintf("z%d", i/150), fmt.Sprintf("r%d", i/4))
				}
				s.addDaemon("d1", "z0")
				s.setWave(newWave("w"))
				p := s.published("z0")
				in := Inputs{Self: "d1", Zone: "z0", Timing: DefaultTiming}
				for b.Loop() {
					Plan(p, now, in)
				}
			})
		}
	}
}
