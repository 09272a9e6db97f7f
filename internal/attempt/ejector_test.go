package attempt_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"greengagedeck/internal/attempt"
)

var (
	errFailed = errors.New("failed")
	epoch     = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
)

// simulatedPool simulates requests to the hosts w-0, w-1, ... of one pool with an
// ejector.
type simulatedPool struct {
	*attempt.Ejector
	now     time.Time
	hosts   int
	changes []attempt.Change
}

func newSimulatedPool(hosts int) *simulatedPool {
	f := &simulatedPool{now: epoch, hosts: hosts}
	f.Ejector = attempt.NewEjector(attempt.EjectorOptions{
		OnChange: func(c attempt.Change) { f.changes = append(f.changes, c) },
	})
	return f
}

func hostName(i int) string { return fmt.Sprintf("w-%d", i) }

// sendRequest sends host i a request unless it is ejected. It reports whether the
// request was sent.
func (f *simulatedPool) sendRequest(i int, fails bool) bool {
	if f.Ejected(hostName(i), f.now) {
		return false
	}
	f.Started(hostName(i), f.now)
	var err error
	if fails {
		err = errFailed
	}
	f.Observe(hostName(i), "labada", err, time.Millisecond, f.now)
	return true
}

// runRounds sends one request to every host per round, with 100 ms between rounds.
func (f *simulatedPool) runRounds(n int, fails func(host int) bool) {
	for range n {
		for i := range f.hosts {
			f.sendRequest(i, fails(i))
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
}

func (f *simulatedPool) notServing() int {
	n := 0
	for _, h := range f.Snapshot(f.now) {
		if h.State != attempt.HealthServing {
			n++
		}
	}
	return n
}

func TestFailingHostIsEjected(t *testing.T) {
	for _, hosts := range []int{2, 3, 8} {
		g := NewWithT(t)
		f := newSimulatedPool(hosts)
		f.runRounds(10, func(host int) bool { return host == 1 })
		g.Expect(f.Ejected("w-1", f.now)).To(BeTrue())
		g.Expect(f.notServing()).To(Equal(1))
		g.Expect(f.changes).To(HaveLen(1))
		c := f.changes[0]
		g.Expect(c.Host).To(Equal("w-1"))
		g.Expect(c.To).To(Equal(attempt.HealthEjected))
		g.Expect(c.Failures).To(Equal(c.Attempts))
		g.Expect(c.OtherAttempts).To(BeNumerically(">=", 5))
		g.Expect(c.OtherFailures).To(BeZero())
	}
}

func TestWholePoolFailingEjectsNoHost(t *testing.T) {
	g := NewWithT(t)
	f := newSimulatedPool(9)
	f.runRounds(100, func(int) bool { return true })
	g.Expect(f.notServing()).To(BeZero())
}

func TestOnlyHostOfAPoolIsNotEjected(t *testing.T) {
	g := NewWithT(t)
	f := newSimulatedPool(1)
	f.runRounds(100, func(int) bool { return true })
	g.Expect(f.notServing()).To(BeZero())
}

func TestEjectedShareIsLimitedToOneThird(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 12).Draw(t, "hosts")
		bad := rapid.SliceOfN(rapid.Float64Range(0, 1), hosts, hosts).Draw(t, "failure ratios")
		f := newSimulatedPool(hosts)
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			f.runRounds(1, func(i int) bool { return rapid.Float64Range(0, 1).Draw(t, "draw") < bad[i] })
			if limit := max(1, hosts/3); f.notServing() > limit {
				t.Fatalf("%d of %d hosts ejected", f.notServing(), hosts)
			}
		}
	})
}

func TestProbeBackoffDoubles(t *testing.T) {
	g := NewWithT(t)
	f := newSimulatedPool(4)
	f.runRounds(10, func(host int) bool { return host == 0 })
	for _, backoff := range []time.Duration{5, 10, 20, 40} {
		ejected := f.changes[len(f.changes)-1]
		g.Expect(ejected.Until.Sub(ejected.At)).To(Equal(backoff * time.Second))
		f.now = ejected.Until.Add(-time.Nanosecond)
		g.Expect(f.Ejected("w-0", f.now)).To(BeTrue())
		f.now = ejected.Until
		g.Expect(f.Ejected("w-0", f.now)).To(BeFalse())
		f.Started("w-0", f.now)
		g.Expect(f.Ejected("w-0", f.now)).To(BeTrue(), "a probe is in progress")
		f.Observe("w-0", "labada", errFailed, time.Second, f.now)
	}
}

func TestHostIsRestoredAfterConsecutiveProbeSuccesses(t *testing.T) {
	g := NewWithT(t)
	f := newSimulatedPool(4)
	f.runRounds(10, func(host int) bool { return host == 0 })
	f.now = f.changes[0].Until
	for range 3 {
		g.Expect(f.notServing()).To(Equal(1))
		g.Expect(f.sendRequest(0, false)).To(BeTrue())
	}
	g.Expect(f.notServing()).To(BeZero())
	g.Expect(f.changes[len(f.changes)-1].To).To(Equal(attempt.HealthServing))
}

func TestProbeIsRepeatedAfterTimeout(t *testing.T) {
	g := NewWithT(t)
	f := newSimulatedPool(4)
	f.runRounds(10, func(host int) bool { return host == 0 })
	f.now = f.changes[0].Until
	f.Started("w-0", f.now)
	f.now = f.now.Add(9 * time.Second)
	g.Expect(f.Ejected("w-0", f.now)).To(BeTrue())
	f.now = f.now.Add(time.Second)
	g.Expect(f.Ejected("w-0", f.now)).To(BeFalse())
}
