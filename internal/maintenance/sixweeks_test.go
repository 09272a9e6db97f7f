package maintenance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/record"
)

// The fleet size that waves are designed for, and the failures of an ordinary day.
const (
	fleetHosts     = 1000
	fleetPools     = 57
	fleetZones     = 7
	hostsPerRack   = 4
	failuresPerDay = 14
	repairTime     = 4 * time.Hour
	poolBudget     = 3
	sixWeeks       = 42 * 24 * time.Hour
	sixWeeksTick   = 10 * time.Minute
	sixWeeksSeed   = 1
)

func newSixWeeksSim() *sim {
	s := newSim()
	for i := range fleetPools {
		s.addPool(fmt.Sprintf("pool-%02d", i), poolBudget)
	}
	for i := range fleetHosts {
		zone := fmt.Sprintf("z%d", i%fleetZones)
		name := fmt.Sprintf("h%04d", i)
		h := catalogue.Host{
			Name: name, Pool: fmt.Sprintf("pool-%02d", i%fleetPools), Zone: zone,
			Rack: fmt.Sprintf("%s-r%02d", zone, i/fleetZones/hostsPerRack),
		}
		s.state.catalogue.Hosts[name] = catalogue.Versioned[catalogue.Host]{Version: 1, Value: h}
		s.hosts[name] = &simHost{healthy: true}
	}
	s.state.pools.Reconcile(1, s.state)
	for i := range fleetZones {
		s.addDaemon(fmt.Sprintf("d%d", i), fmt.Sprintf("z%d", i))
	}
	w := newWave("six-weekly")
	w.MaxParallel = 14
	w.Deadline = simStart.Add(sixWeeks)
	s.setWave(w)
	return s
}

// failRandomHost repairs the hosts whose repair is due and, at random times, fails a
// usable host. It returns the number of hosts that it failed.
func (s *sim) failRandomHost(rng *rand.Rand, names []string, repairs map[string]time.Time) (failed int) {
	for name, at := range repairs {
		if s.now.After(at) {
			s.setFailed(false, name)
			delete(repairs, name)
		}
	}
	if rng.Float64() >= failuresPerDay*sixWeeksTick.Hours()/24 {
		return 0
	}
	name := names[rng.IntN(len(names))]
	if !s.state.pools.Hosts[name].Usable() {
		return 0
	}
	s.setFailed(true, name)
	repairs[name] = s.now.Add(repairTime)
	return 1
}

// checkDrains fails the test if a drain that is not in seen took a pool over its
// budget, or if two racks of a pool are in maintenance at once.
func (s *sim) checkDrains(g Gomega, seen map[string]bool) {
	for id, d := range s.state.pools.Drains {
		unavailable, racks := s.unavailability(d.From)
		g.Expect(len(racks)).To(BeNumerically("<=", 1), "racks of pool %s", d.From)
		if !seen[id] {
			g.Expect(unavailable).To(BeNumerically("<=", poolBudget), "pool %s", d.From)
		}
		seen[id] = true
	}
}

func TestWaveOverThousandHostsInSixWeeks(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(sixWeeksSeed, 0))
	s := newSixWeeksSim()
	names := make([]string, 0, fleetHosts)
	for name := range s.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	repairs, seen := map[string]time.Time{}, map[string]bool{}
	var failed, mostOut int
	var finished time.Time
	for s.now.Before(simStart.Add(sixWeeks)) {
		failed += s.failRandomHost(rng, names, repairs)
		s.tick(sixWeeksTick)
		s.checkDrains(g, seen)
		mostOut = max(mostOut, len(s.state.pools.Drains))
		if s.now.Equal(simStart.Add(sixWeeks / 2)) {
			g.Expect(s.doneCount("six-weekly")).To(BeNumerically("~", fleetHosts/2, fleetHosts/10), "halfway")
		}
		if finished.IsZero() && s.doneCount("six-weekly") == fleetHosts {
			finished = s.now
		}
	}
	g.Expect(s.doneCount("six-weekly")).To(Equal(fleetHosts))
	for name, h := range s.hosts {
		g.Expect(h.reboots).To(Equal(1), name)
	}
	records := 0
	for kind, n := range s.accepted {
		if kind != pool.KindHealth {
			records += n
		}
	}
	days := sixWeeks.Hours() / 24
	state, _ := record.Encode(s.state.waves)
	t.Logf("seed %d: %d hosts done after %.1f days; %d other hosts failed; at most %d out at once",
		sixWeeksSeed, fleetHosts, finished.Sub(simStart).Hours()/24, failed, mostOut)
	t.Logf("%.0f records a day for the wave, %.0f for failed hosts; %d rejected in total; wave state %d bytes",
		float64(records)/days, float64(s.accepted[pool.KindHealth])/days, len(s.rejected), len(state))
}
