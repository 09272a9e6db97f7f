package pool

import (
	"fmt"

	"greengagedeck/internal/catalogue"
)

// CheckDrain returns why a drain may not start now, or "". It counts everything
// that already uses the pools' budgets, whatever started it. It is called again
// when the record is applied, so two authors that both planned within the budget
// never use the same part of it twice.
func (s *State) CheckDrain(c *catalogue.State, b StartDrain) string {
	return s.BudgetUsage().CheckDrain(c, b)
}

// BudgetUsage holds how much of every budget of a state is used. Planners that
// check many drains use one BudgetUsage for all of them.
type BudgetUsage struct {
	state *State
	pools map[string]*PoolUsage
	// waves counts the hosts that each wave has drained or taken out of
	// service. Failed hosts are counted by their pool's budget only; otherwise
	// they would block the wave for good.
	waves map[string]int
}

// BudgetUsage computes how much of every budget of s is used.
func (s *State) BudgetUsage() *BudgetUsage {
	l := &BudgetUsage{state: s}
	l.recount()
	return l
}

func (l *BudgetUsage) recount() {
	l.pools, l.waves = map[string]*PoolUsage{}, map[string]int{}
	for _, h := range l.state.Hosts {
		l.poolUsage(h.Pool).countHost(h)
	}
	for _, d := range l.state.Drains {
		h := l.state.Hosts[d.Host]
		l.poolUsage(d.From).countDrain(d, h)
		if d.Purpose == PurposeMove {
			l.poolUsage(d.To).Arriving++
		}
		if d.Wave != "" && !h.Failed {
			l.waves[d.Wave]++
		}
	}
}

// poolUsage returns the usage of a pool, to be modified in place.
func (l *BudgetUsage) poolUsage(pool string) *PoolUsage {
	u, ok := l.pools[pool]
	if !ok {
		u = &PoolUsage{RacksInMaintenance: map[string]bool{}, available: map[string]int{}}
		l.pools[pool] = u
	}
	return u
}

// Pool returns how much of a pool's budgets is used.
func (l *BudgetUsage) Pool(pool string) PoolUsage { return *l.poolUsage(pool) }

// PoolUsage computes how much of a pool's budgets is used.
func (s *State) PoolUsage(pool string) PoolUsage { return s.BudgetUsage().Pool(pool) }

// BeginDrain marks the host of d as draining in the underlying state and counts
// the drain.
func (l *BudgetUsage) BeginDrain(d Drain) {
	l.state.BeginDrain(d)
	l.recount()
}

// CheckDrain returns why a drain may not start now, or "".
func (l *BudgetUsage) CheckDrain(c *catalogue.State, b StartDrain) string {
	s := l.state
	h, ok := s.Hosts[b.Host]
	if !ok {
		return "no such host " + b.Host
	}
	if h.Phase != PhaseServing {
		return fmt.Sprintf("host %s is %s for %s", b.Host, h.Phase, s.Drains[h.DrainID])
	}
	if h.Pool != b.From {
		return fmt.Sprintf("host %s belongs to %s, not %s", b.Host, h.Pool, b.From)
	}
	if reason := l.checkPurpose(c, b, h); reason != "" {
		return reason
	}
	return l.checkUnavailable(c, b, h)
}

func (l *BudgetUsage) checkPurpose(c *catalogue.State, b StartDrain, h Host) string {
	switch b.Purpose {
	case PurposeMove:
		return l.checkMove(c, b, h)
	case PurposeMaintenance:
		return l.checkMaintenance(c, b, h)
	case PurposeRetire:
		return l.checkRetire(c, b, h)
	case PurposeReplace:
		return ""
	default:
		return fmt.Sprintf("unknown purpose %q", b.Purpose)
	}
}

func (l *BudgetUsage) checkMove(c *catalogue.State, b StartDrain, h Host) string {
	from := c.Pools[b.From].Value
	to, ok := c.Pools[b.To]
	if !ok || b.To == b.From {
		return fmt.Sprintf("cannot move host from %s to %q", b.From, b.To)
	}
	requested := h.RequestedPool == b.To
	if !requested && !from.Spare && !to.Value.Spare {
		return fmt.Sprintf("neither %s nor %s is a spare pool", b.From, b.To)
	}
	if !requested && h.Failed {
		return "host " + b.Host + " has failed"
	}
	src, dst := l.Pool(b.From), l.Pool(b.To)
	if left := src.Owned - src.Leaving - 1; left < from.MinHosts {
		return fmt.Sprintf("pool %s would keep %d hosts of at least %d", b.From, left, from.MinHosts)
	}
	if got := dst.Owned - dst.Leaving + dst.Arriving + 1; to.Value.MaxHosts > 0 && got > to.Value.MaxHosts {
		return fmt.Sprintf("pool %s would own %d hosts of at most %d", b.To, got, to.Value.MaxHosts)
	}
	return ""
}

func (l *BudgetUsage) checkRetire(c *catalogue.State, b StartDrain, h Host) string {
	if _, ok := c.Hosts[b.Host]; ok {
		return "the catalogue still names host " + b.Host
	}
	p, ok := c.Pools[b.From]
	if !ok || h.Failed {
		return ""
	}
	u := l.Pool(b.From)
	if left := u.Owned - u.Leaving - 1; left < p.Value.MinHosts {
		return fmt.Sprintf("pool %s would keep %d hosts of at least %d", b.From, left, p.Value.MinHosts)
	}
	return ""
}

func (l *BudgetUsage) checkMaintenance(c *catalogue.State, b StartDrain, h Host) string {
	w, ok := c.Waves[b.Wave]
	if !ok {
		return "no such wave " + b.Wave
	}
	if w.Value.Paused {
		return "wave " + b.Wave + " is paused"
	}
	if !WaveSelects(w.Value, h) {
		return fmt.Sprintf("wave %s does not select host %s", b.Wave, b.Host)
	}
	if n := l.waves[b.Wave]; n >= w.Value.MaxParallel {
		return fmt.Sprintf("wave %s has %d hosts out of at most %d", b.Wave, n, w.Value.MaxParallel)
	}
	u := l.Pool(b.From)
	for rack := range u.RacksInMaintenance {
		if rack != h.rackKey() {
			return fmt.Sprintf("pool %s already has hosts of another rack in maintenance", b.From)
		}
	}
	return ""
}

// WaveSelects reports whether a wave includes a host.
func WaveSelects(w catalogue.Wave, h Host) bool {
	return (w.Pool == "" || w.Pool == h.Pool) && (w.Zone == "" || w.Zone == h.Zone)
}

// checkUnavailable enforces the pool's availability budget. A failed host is
// already counted, so draining it uses no more of the budget.
//
// Maintenance must also leave enough of the budget for the loss of the pool's
// largest rack. A pool whose racks are too large for that is maintained one host
// at a time, while all other hosts are available.
func (l *BudgetUsage) checkUnavailable(c *catalogue.State, b StartDrain, h Host) string {
	p, ok := c.Pools[b.From]
	if !ok || h.Failed {
		return ""
	}
	u := l.Pool(b.From)
	limit := p.Value.MaxUnavailable
	if u.Unavailable+1 > limit {
		return fmt.Sprintf("pool %s has %d hosts unavailable of at most %d", b.From, u.Unavailable, limit)
	}
	if b.Purpose != PurposeMaintenance || u.Unavailable == 0 {
		return ""
	}
	if rack := u.largestRackExcluding(h.rackKey()); u.Unavailable+1+rack > limit {
		return fmt.Sprintf("pool %s has %d hosts unavailable and could lose a rack of %d, of at most %d",
			b.From, u.Unavailable, rack, limit)
	}
	return ""
}

// PoolUsage holds how much of a pool's budgets is used.
type PoolUsage struct {
	// Owned counts the pool's hosts, Leaving those of them that are being moved
	// to another pool or retired, and Arriving the hosts that are being moved
	// in.
	Owned, Leaving, Arriving int
	// Unavailable counts the pool's hosts that are draining, out of service or
	// failed.
	Unavailable int
	// RacksInMaintenance holds the racks with hosts drained for maintenance.
	// Failed hosts in maintenance are not included: they count as an outage.
	RacksInMaintenance map[string]bool
	// available counts usable hosts by rack.
	available map[string]int
}

func (u *PoolUsage) countHost(h Host) {
	u.Owned++
	if h.Usable() {
		u.available[h.rackKey()]++
		return
	}
	u.Unavailable++
}

// countDrain counts a drain of one of the pool's hosts.
func (u *PoolUsage) countDrain(d Drain, h Host) {
	switch d.Purpose {
	case PurposeMaintenance:
		if !h.Failed {
			u.RacksInMaintenance[h.rackKey()] = true
		}
	case PurposeMove, PurposeRetire:
		u.Leaving++
	}
}

// largestRackExcluding returns how many usable hosts the pool would lose with its
// largest rack, not counting one host of drainedRack.
func (u PoolUsage) largestRackExcluding(drainedRack string) int {
	largest := 0
	for rack, n := range u.available {
		if rack == drainedRack {
			n--
		}
		largest = max(largest, n)
	}
	return largest
}

// rackKey identifies the host's rack across all zones.
func (h Host) rackKey() string { return h.Zone + "/" + h.Rack }
