package pool

import (
	"fmt"

	"greengagedeck/internal/catalogue"
)

// CheckDrain says why a drain may not start now, or returns "". It looks at
// everything that already spends the pools' budgets, whatever started it: the
// fold calls it again when it applies the record, so two authors that each saw
// room never spend the same budget twice.
func (s *State) CheckDrain(c *catalogue.State, b StartDrain) string {
	return s.Ledger().CheckDrain(c, b)
}

// Ledger holds what is spent of every budget of a state. Planners that check
// many drains use one for all of them.
type Ledger struct {
	state *State
	pools map[string]*Spent
	// waves counts the hosts that each wave has out. Those that failed are
	// counted by their pool's budget instead, or a wave could never pass
	// them.
	waves map[string]int
}

// Ledger counts what is spent of every budget of s.
func (s *State) Ledger() *Ledger {
	l := &Ledger{state: s}
	l.recount()
	return l
}

func (l *Ledger) recount() {
	l.pools, l.waves = map[string]*Spent{}, map[string]int{}
	for _, h := range l.state.Hosts {
		l.spent(h.Pool).add(h)
	}
	for _, d := range l.state.Drains {
		h := l.state.Hosts[d.Host]
		l.spent(d.From).addLeaving(d, h)
		if d.Purpose == PurposeMove {
			l.spent(d.To).Arriving++
		}
		if d.Wave != "" && !h.Failed {
			l.waves[d.Wave]++
		}
	}
}

// spent returns the entry of a pool, to be changed in place.
func (l *Ledger) spent(pool string) *Spent {
	u, ok := l.pools[pool]
	if !ok {
		u = &Spent{MaintainedRacks: map[string]bool{}, available: map[string]int{}}
		l.pools[pool] = u
	}
	return u
}

// Spent returns what is spent of a pool's budgets.
func (l *Ledger) Spent(pool string) Spent { return *l.spent(pool) }

// Spent counts what is spent of a pool's budgets.
func (s *State) Spent(pool string) Spent { return s.Ledger().Spent(pool) }

// Begin marks the host of d as draining in the ledger's state, and counts it.
func (l *Ledger) Begin(d Drain) {
	l.state.Begin(d)
	l.recount()
}

// CheckDrain says why a drain may not start now, or returns "".
func (l *Ledger) CheckDrain(c *catalogue.State, b StartDrain) string {
	s := l.state
	h, ok := s.Hosts[b.Host]
	if !ok {
		return "no such host " + b.Host
	}
	if h.Phase != PhaseServing {
		return fmt.Sprintf("host %s is %s for %s", b.Host, h.Phase, s.Drains[h.Drain])
	}
	if h.Pool != b.From {
		return fmt.Sprintf("host %s belongs to %s, not %s", b.Host, h.Pool, b.From)
	}
	if refusal := l.checkPurpose(c, b, h); refusal != "" {
		return refusal
	}
	return l.checkUnavailable(c, b, h)
}

func (l *Ledger) checkPurpose(c *catalogue.State, b StartDrain, h Host) string {
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

func (l *Ledger) checkMove(c *catalogue.State, b StartDrain, h Host) string {
	from := c.Pools[b.From].Value
	to, ok := c.Pools[b.To]
	if !ok || b.To == b.From {
		return fmt.Sprintf("cannot move host from %s to %q", b.From, b.To)
	}
	wanted := h.Wanted == b.To
	if !wanted && !from.Spare && !to.Value.Spare {
		return fmt.Sprintf("neither %s nor %s is a spare pool", b.From, b.To)
	}
	if !wanted && h.Failed {
		return "host " + b.Host + " has failed"
	}
	src, dst := l.Spent(b.From), l.Spent(b.To)
	if left := src.Owned - src.Leaving - 1; left < from.MinHosts {
		return fmt.Sprintf("pool %s would keep %d hosts of at least %d", b.From, left, from.MinHosts)
	}
	if got := dst.Owned - dst.Leaving + dst.Arriving + 1; to.Value.MaxHosts > 0 && got > to.Value.MaxHosts {
		return fmt.Sprintf("pool %s would own %d hosts of at most %d", b.To, got, to.Value.MaxHosts)
	}
	return ""
}

func (l *Ledger) checkRetire(c *catalogue.State, b StartDrain, h Host) string {
	if _, ok := c.Hosts[b.Host]; ok {
		return "the catalogue still names host " + b.Host
	}
	p, ok := c.Pools[b.From]
	if !ok || h.Failed {
		return ""
	}
	u := l.Spent(b.From)
	if left := u.Owned - u.Leaving - 1; left < p.Value.MinHosts {
		return fmt.Sprintf("pool %s would keep %d hosts of at least %d", b.From, left, p.Value.MinHosts)
	}
	return ""
}

func (l *Ledger) checkMaintenance(c *catalogue.State, b StartDrain, h Host) string {
	w, ok := c.Waves[b.Wave]
	if !ok {
		return "no such wave " + b.Wave
	}
	if w.Value.Paused {
		return "wave " + b.Wave + " is paused"
	}
	if !Selects(w.Value, h) {
		return fmt.Sprintf("wave %s does not select host %s", b.Wave, b.Host)
	}
	if n := l.waves[b.Wave]; n >= w.Value.MaxParallel {
		return fmt.Sprintf("wave %s has %d hosts out of at most %d", b.Wave, n, w.Value.MaxParallel)
	}
	u := l.Spent(b.From)
	for rack := range u.MaintainedRacks {
		if rack != h.rackKey() {
			return fmt.Sprintf("pool %s already has hosts of another rack in maintenance", b.From)
		}
	}
	return ""
}

// Selects reports whether a wave covers a host.
func Selects(w catalogue.Wave, h Host) bool {
	return (w.Pool == "" || w.Pool == h.Pool) && (w.Zone == "" || w.Zone == h.Zone)
}

// checkUnavailable keeps the pool's availability budget. A host that has
// failed is counted already, so to drain it spends nothing more.
//
// Maintenance must also leave room for the loss of the pool's largest rack. A
// pool whose racks are so large that its budget never has that room is
// maintained one host at a time, with all others available.
func (l *Ledger) checkUnavailable(c *catalogue.State, b StartDrain, h Host) string {
	p, ok := c.Pools[b.From]
	if !ok || h.Failed {
		return ""
	}
	u := l.Spent(b.From)
	limit := p.Value.MaxUnavailable
	if u.Unavailable+1 > limit {
		return fmt.Sprintf("pool %s has %d hosts unavailable of at most %d", b.From, u.Unavailable, limit)
	}
	if b.Purpose != PurposeMaintenance || u.Unavailable == 0 {
		return ""
	}
	if rack := u.largestRackWithout(h.rackKey()); u.Unavailable+1+rack > limit {
		return fmt.Sprintf("pool %s has %d hosts unavailable and could lose a rack of %d, of at most %d",
			b.From, u.Unavailable, rack, limit)
	}
	return ""
}

// Spent is how much of a pool's budgets is spent.
type Spent struct {
	// Owned counts the pool's hosts; Leaving those of them that are being
	// moved away or retired; Arriving the hosts that are being moved in.
	Owned, Leaving, Arriving int
	// Unavailable counts the pool's hosts that drain, are out or have failed.
	Unavailable int
	// MaintainedRacks holds the racks with hosts drained for maintenance.
	// A host that failed there is an outage like any other.
	MaintainedRacks map[string]bool
	// available counts usable hosts by rack.
	available map[string]int
}

func (u *Spent) add(h Host) {
	u.Owned++
	if h.Usable() {
		u.available[h.rackKey()]++
		return
	}
	u.Unavailable++
}

// addLeaving adds a drain of one of the pool's hosts.
func (u *Spent) addLeaving(d Drain, h Host) {
	switch d.Purpose {
	case PurposeMaintenance:
		if !h.Failed {
			u.MaintainedRacks[h.rackKey()] = true
		}
	case PurposeMove, PurposeRetire:
		u.Leaving++
	}
}

// largestRackWithout returns how many usable hosts the pool would lose with its
// largest rack, once a host of the given rack has been taken.
func (u Spent) largestRackWithout(taken string) int {
	largest := 0
	for rack, n := range u.available {
		if rack == taken {
			n--
		}
		largest = max(largest, n)
	}
	return largest
}

// rackKey names a rack across zones.
func (h Host) rackKey() string { return h.Zone + "/" + h.Rack }
