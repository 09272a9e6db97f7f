package dedupe

import (
	"flag"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	. "github.com/onsi/gomega"

	"greengagedeck/internal/membership"
)

var (
	schedules = flag.Int("dedupe.schedules", 1000, "random schedules to run")
	firstSeed = flag.Int64("dedupe.seed", 1, "seed of the first schedule")
)

const (
	simWarmup   = 2 * time.Second
	simDuration = 12 * time.Second
)

func (s *sim) pickNode() *simNode { return s.live[s.rng.Intn(len(s.live))] }

// repeatAtRandom runs do repeatedly at random intervals with the given mean.
func (s *sim) repeatAtRandom(mean time.Duration, do func()) {
	s.after(s.randomUpTo(2*mean), func() {
		do()
		s.repeatAtRandom(mean, do)
	})
}

// injectFault causes one random fault or membership change.
func (s *sim) injectFault() {
	switch s.rng.Intn(12) {
	case 0:
		s.kill()
	case 1, 2:
		n := s.pickNode()
		n.pausedUntil = s.now + s.randomUpTo(5*time.Second)
	case 3:
		zone := s.pickNode().zone
		s.isolate(func(n *simNode) bool { return n.zone == zone })
	case 4, 5:
		a, b := s.pickNode(), s.pickNode()
		s.isolate(func(n *simNode) bool { return n == a || n == b })
	case 6:
		s.logAvailable = false
		s.after(s.randomUpTo(4*time.Second), func() { s.logAvailable = true })
	case 7:
		for range 1 + s.rng.Intn(3) {
			s.join(fmt.Sprint("z", s.rng.Intn(4)))
		}
	case 8, 9:
		s.removeOrSuspend()
	default:
		s.replacePair()
	}
}

// replacePair isolates two daemons, also from the log, and lets new daemons join at
// about the same time, so that they may replace both daemons of a pair.
func (s *sim) replacePair() {
	a, b := s.pickNode(), s.pickNode()
	s.after(s.randomUpTo(500*time.Millisecond), func() {
		s.isolate(func(n *simNode) bool { return n == a || n == b })
		s.logBlocked[a.id], s.logBlocked[b.id] = true, true
	})
	for range 2 + s.rng.Intn(3) {
		s.after(s.randomUpTo(500*time.Millisecond), func() { s.join(fmt.Sprint("z", s.rng.Intn(4))) })
	}
}

// kill ends a daemon unless only four live ones are left, so that more than half of
// the schedule's initial daemons stay alive.
func (s *sim) kill() {
	if len(s.live) > 4 {
		n := s.pickNode()
		n.alive = false
		s.live = slices.DeleteFunc(s.live, func(l *simNode) bool { return l == n })
	}
}

// removeOrSuspend suspends a daemon, removes a dead one, or wrongly removes one that
// is isolated or paused. All wrongly removed daemons are in one zone.
func (s *sim) removeOrSuspend() {
	if s.rng.Intn(3) > 0 {
		s.suspend()
		return
	}
	for _, id := range s.order {
		n := s.nodes[id]
		if !n.alive && s.rng.Intn(2) == 0 {
			s.remove(id)
			return
		}
	}
	n := s.pickNode()
	if n.zone == "z0" && (n.pausedUntil > s.now || s.partition[n.id] != 0) {
		s.remove(n.id)
	}
}

// suspend suspends any daemon for a while, whether or not it is live.
func (s *sim) suspend() {
	n := s.pickNode()
	s.append(membership.KindSuspend, membership.Suspend{ID: n.id})
	s.after(s.randomUpTo(4*time.Second), func() {
		s.append(membership.KindResume, membership.Resume{ID: n.id})
	})
}

// isolate puts nodes into a partition, in half of the cases without the log.
func (s *sim) isolate(which func(*simNode) bool) {
	partition, logBlocked, back := 1+s.rng.Intn(1000), s.rng.Intn(2) == 0, s.randomUpTo(6*time.Second)
	for _, n := range s.live {
		if which(n) {
			s.partition[n.id] = partition
			s.logBlocked[n.id] = logBlocked
			s.after(back, func() {
				s.partition[n.id] = 0
				s.logBlocked[n.id] = false
			})
		}
	}
}

// newRequest creates an ID with some daemon's clock and claims it at one to three
// daemons, immediately or later.
func (s *sim) newRequest() {
	if s.rng.Intn(2) == 0 {
		s.claimAtDisjointPairs()
		return
	}
	id := s.newID()
	for range 1 + s.rng.Intn(3) {
		n := s.pickNode()
		s.claimAt(n, id, s.randomDelay())
	}
}

func (s *sim) newID() ulid.ULID {
	var id ulid.ULID
	_, _ = s.rng.Read(id[:])
	_ = id.SetTime(ulid.Timestamp(s.pickNode().clock()))
	return id
}

func (s *sim) randomDelay() time.Duration {
	if s.rng.Intn(2) == 0 {
		return s.randomUpTo(simDuration)
	}
	return s.randomUpTo(30 * time.Millisecond)
}

func (s *sim) claimAt(n *simNode, id ulid.ULID, d time.Duration) {
	start := s.rng.Intn(5) > 0
	s.after(d, func() { n.runWhenActive(func() { n.claim(id, start) }) })
}

// claimAtDisjointPairs looks for an ID whose pairs in the epochs of two daemons are
// disjoint, and claims it at both daemons. Only the fence and the lease prevent that
// both claims are granted.
func (s *sim) claimAtDisjointPairs() {
	x, y := s.pickNode(), s.pickNode()
	for range 20 {
		id := s.newID()
		px, okx := x.store.Pair(id)
		py, oky := y.store.Pair(id)
		if okx && oky && !px.Has(py.Primary) && !px.Has(py.Backup) {
			s.claimAt(x, id, s.randomUpTo(200*time.Millisecond))
			s.claimAt(y, id, s.randomUpTo(2*time.Second))
			s.claimAt(y, id, s.randomDelay())
			return
		}
	}
}

func runSchedule(seed int64, b injectedBug) *sim {
	s := newSim(seed, 3, 4+int(seed%4), b)
	s.run(simWarmup)
	s.repeatAtRandom(900*time.Millisecond, s.injectFault)
	s.repeatAtRandom(60*time.Millisecond, s.newRequest)
	s.run(simDuration)
	return s
}

// runSchedules runs n schedules and returns the seeds of those in which an ID
// started more than once. With stopAtFirst it stops after the first such schedule.
func runSchedules(first int64, n int, b injectedBug, stopAtFirst bool) (failedSeeds []int64, stats map[string]int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	stats = map[string]int{}
	workers := min(4, runtime.GOMAXPROCS(0))
	for w := range workers {
		wg.Go(func() {
			for i := w; i < n; i += workers {
				s := runSchedule(first+int64(i), b)
				mu.Lock()
				if s.duplicateStarts() > 0 {
					failedSeeds = append(failedSeeds, first+int64(i))
				}
				for k, v := range s.stats {
					stats[k] += v
				}
				stop := stopAtFirst && len(failedSeeds) > 0
				mu.Unlock()
				if stop {
					return
				}
			}
		})
	}
	wg.Wait()
	slices.Sort(failedSeeds)
	return failedSeeds, stats
}

// TestAtMostOneStartPerID checks that no ID starts more than once under random
// kills, pauses, partitions, joins, removals, clock errors and lost messages.
func TestAtMostOneStartPerID(t *testing.T) {
	g := NewWithT(t)
	failedSeeds, stats := runSchedules(*firstSeed, *schedules, noBug, false)
	t.Logf("%d schedules from seed %d: failed seeds %v", *schedules, *firstSeed, failedSeeds)
	for _, k := range slices.Sorted(maps.Keys(stats)) {
		t.Logf("%8d %s", stats[k], k)
	}
	g.Expect(failedSeeds).To(BeEmpty())
	// The schedules must cover these outcomes.
	for _, k := range []string{"granted", "abandoned", "duplicate", "unreachable", "other-epoch", "no-lease", "out-of-window"} {
		g.Expect(stats[k]).To(BeNumerically(">", 0), k)
	}
}

// TestSimulationDetectsMissingSafeguards disables each safeguard in turn and checks that
// the schedules detect it.
func TestSimulationDetectsMissingSafeguards(t *testing.T) {
	for _, b := range []injectedBug{skipBackup, skipLease, skipHistoryCheck, skipFence, earlyEpoch} {
		t.Run(string(b), func(t *testing.T) {
			failedSeeds, _ := runSchedules(*firstSeed, 1000, b, true)
			t.Logf("failed seeds %v", failedSeeds)
			NewWithT(t).Expect(failedSeeds).NotTo(BeEmpty())
		})
	}
}
