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

func (s *sim) pick() *simNode { return s.live[s.rng.Intn(len(s.live))] }

// randomly runs do again and again, every mean on average.
func (s *sim) randomly(mean time.Duration, do func()) {
	s.after(s.upTo(2*mean), func() {
		do()
		s.randomly(mean, do)
	})
}

// fault causes one random fault or change.
func (s *sim) fault() {
	switch s.rng.Intn(12) {
	case 0:
		s.kill()
	case 1, 2:
		n := s.pick()
		n.paused = s.now + s.upTo(5*time.Second)
	case 3:
		zone := s.pick().zone
		s.isolate(func(n *simNode) bool { return n.zone == zone })
	case 4, 5:
		a, b := s.pick(), s.pick()
		s.isolate(func(n *simNode) bool { return n == a || n == b })
	case 6:
		s.logUp = false
		s.after(s.upTo(4*time.Second), func() { s.logUp = true })
	case 7:
		for range 1 + s.rng.Intn(3) {
			s.join(fmt.Sprint("z", s.rng.Intn(4)))
		}
	case 8, 9:
		s.reap()
	default:
		s.usurp()
	}
}

// usurp cuts two daemons off, also from the log, and lets newcomers join at
// about that moment, so that they may take the place of a whole pair.
func (s *sim) usurp() {
	a, b := s.pick(), s.pick()
	s.after(s.upTo(500*time.Millisecond), func() {
		s.isolate(func(n *simNode) bool { return n == a || n == b })
		s.noLog[a.id], s.noLog[b.id] = true, true
	})
	for range 2 + s.rng.Intn(3) {
		s.after(s.upTo(500*time.Millisecond), func() { s.join(fmt.Sprint("z", s.rng.Intn(4))) })
	}
}

// kill ends a daemon; while more than half of the schedule's daemons live.
func (s *sim) kill() {
	if len(s.live) > 4 {
		n := s.pick()
		n.alive = false
		s.live = slices.DeleteFunc(s.live, func(l *simNode) bool { return l == n })
	}
}

// reap removes a dead daemon, or wrongly one that is cut off or paused. The
// wrongly removed all lie in one zone.
func (s *sim) reap() {
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
	n := s.pick()
	if n.zone == "z0" && (n.paused > s.now || s.island[n.id] != 0) {
		s.remove(n.id)
	}
}

// suspend takes any daemon out of the active ones for a while, rightly or not.
func (s *sim) suspend() {
	n := s.pick()
	s.append(membership.KindSuspend, membership.Suspend{ID: n.id})
	s.after(s.upTo(4*time.Second), func() {
		s.append(membership.KindResume, membership.Resume{ID: n.id})
	})
}

// isolate cuts nodes off from the others, and half of the time from the log.
func (s *sim) isolate(which func(*simNode) bool) {
	island, noLog, back := 1+s.rng.Intn(1000), s.rng.Intn(2) == 0, s.upTo(6*time.Second)
	for _, n := range s.live {
		if which(n) {
			s.island[n.id] = island
			s.noLog[n.id] = noLog
			s.after(back, func() {
				s.island[n.id] = 0
				s.noLog[n.id] = false
			})
		}
	}
}

// newRequest makes an ID by some daemon's clock and claims it at one to three
// daemons, at once or later.
func (s *sim) newRequest() {
	if s.rng.Intn(2) == 0 {
		s.rivals()
		return
	}
	id := s.newID()
	for range 1 + s.rng.Intn(3) {
		n := s.pick()
		s.claimAt(n, id, s.soonOrLater())
	}
}

func (s *sim) newID() ulid.ULID {
	var id ulid.ULID
	_, _ = s.rng.Read(id[:])
	_ = id.SetTime(ulid.Timestamp(s.pick().clock()))
	return id
}

func (s *sim) soonOrLater() time.Duration {
	if s.rng.Intn(2) == 0 {
		return s.upTo(simDuration)
	}
	return s.upTo(30 * time.Millisecond)
}

func (s *sim) claimAt(n *simNode, id ulid.ULID, d time.Duration) {
	start := s.rng.Intn(5) > 0
	s.after(d, func() { n.local(func() { n.claim(id, start) }) })
}

// rivals looks for an ID of which two daemons see disjoint pairs, and claims
// it at both: what only the fence and the lease keep apart.
func (s *sim) rivals() {
	x, y := s.pick(), s.pick()
	for range 20 {
		id := s.newID()
		px, okx := x.keeper.Pair(id)
		py, oky := y.keeper.Pair(id)
		if okx && oky && !px.Has(py.Home) && !px.Has(py.Backup) {
			s.claimAt(x, id, s.upTo(200*time.Millisecond))
			s.claimAt(y, id, s.upTo(2*time.Second))
			s.claimAt(y, id, s.soonOrLater())
			return
		}
	}
}

func schedule(seed int64, b bug) *sim {
	s := newSim(seed, 3, 4+int(seed%4), b)
	s.run(simWarmup)
	s.randomly(900*time.Millisecond, s.fault)
	s.randomly(60*time.Millisecond, s.newRequest)
	s.run(simDuration)
	return s
}

// runSchedules runs n schedules, or until one breaks the promise if one is
// enough, and returns the seeds of those that broke it.
func runSchedules(first int64, n int, b bug, oneIsEnough bool) (broken []int64, stats map[string]int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	stats = map[string]int{}
	workers := min(4, runtime.GOMAXPROCS(0))
	for w := range workers {
		wg.Go(func() {
			for i := w; i < n; i += workers {
				s := schedule(first+int64(i), b)
				mu.Lock()
				if s.violations() > 0 {
					broken = append(broken, first+int64(i))
				}
				for k, v := range s.stats {
					stats[k] += v
				}
				stop := oneIsEnough && len(broken) > 0
				mu.Unlock()
				if stop {
					return
				}
			}
		})
	}
	wg.Wait()
	slices.Sort(broken)
	return broken, stats
}

// TestAtMostOneStartPerID holds the promise of this slice under random kills,
// pauses, cuts, joins, removals, clock errors and lost messages.
func TestAtMostOneStartPerID(t *testing.T) {
	g := NewWithT(t)
	broken, stats := runSchedules(*firstSeed, *schedules, noBug, false)
	t.Logf("%d schedules from seed %d: broken %v", *schedules, *firstSeed, broken)
	for _, k := range slices.Sorted(maps.Keys(stats)) {
		t.Logf("%8d %s", stats[k], k)
	}
	g.Expect(broken).To(BeEmpty())
	// The schedules reach what they are meant to reach.
	for _, k := range []string{"granted", "abandoned", "duplicate", "unreachable", "other-epoch", "no-lease", "out-of-window"} {
		g.Expect(stats[k]).To(BeNumerically(">", 0), k)
	}
}

// TestCheckNoticesAMissingGuard takes each guard out and expects the schedules
// to show it.
func TestCheckNoticesAMissingGuard(t *testing.T) {
	for _, b := range []bug{skipBackup, skipLease, skipVouch, skipFence, earlyEpoch} {
		t.Run(string(b), func(t *testing.T) {
			broken, _ := runSchedules(*firstSeed, 1000, b, true)
			t.Logf("broken with seeds %v", broken)
			NewWithT(t).Expect(broken).NotTo(BeEmpty())
		})
	}
}
