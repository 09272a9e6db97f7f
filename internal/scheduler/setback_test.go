package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// setBackPatience is how long a worker may take to get tasks again after it has come
// back.
const setBackPatience = 10 * time.Second

// Guards against a worker that is never used again: its time of day was set back before
// it came back, so that it seems to have started earlier than it had.
func TestWorkerIsUsedAgainAfterItsTimeOfDayWasSetBack(t *testing.T) {
	for name, address := range map[string]string{"at its address": "a", "at another address": "a2"} {
		t.Run(name, func(t *testing.T) {
			p := newCrashPool(t)
			w := p.workers[0]
			w.listing.Incarnation.StartedAt = 100
			p.takeOver()
			p.g.Expect(p.awaitStart()).To(Equal(w))
			for range 5 {
				p.tick()
			}
			w.crash()
			p.restart(w)
			w.listing.Incarnation.StartedAt = 50
			w.listing.Address = address
			for range int(setBackPatience / crashTick) {
				if p.tick() == w {
					return
				}
			}
			t.Fatalf("no start for %v after the worker is back", setBackPatience)
		})
	}
}
