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
	if refusal := s.checkPurpose(c, b, h); refusal != "" {
		return refusal
	}
	return s.checkUnavailable(c, b, h)
}

func (s *State) checkPurpose(c *catalogue.State, b StartDrain, h Host) string {
	switch b.Purpose {
	case PurposeMove:
		return s.checkMove(c, b, h)
	case PurposeMaintenance:
		return s.checkMaintenance(c, b, h)
	case PurposeRetire:
		return s.checkRetire(c, b, h)
	case PurposeReplace:
		return ""
	default:
		return fmt.Sprintf("unknown purpose %q", b.Purpose)
	}
}

func (s *State) checkMove(c *catalogue.State, b StartDrain, h Host) string {
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
	src, dst := s.Spent(b.From), s.Spent(b.To)
	if left := src.Owned - src.Leaving - 1; left < from.MinHosts {
		return fmt.Sprintf("pool %s would keep %d hosts of at least %d", b.From, left, from.MinHosts)
	}
	if got := dst.Owned - dst.Leaving + dst.Arriving + 1; to.Value.MaxHosts > 0 && got > to.Value.MaxHosts {
		return fmt.Sprintf("pool %s would own %d hosts of at most %d", b.To, got, to.Value.MaxHosts)
	}
	return ""
}

func (s *State) checkRetire(c *catalogue.State, b StartDrain, h Host) string {
	if _, ok := c.Hosts[b.Host]; ok {
		return "the catalogue still names host " + b.Host
	}
	p, ok := c.Pools[b.From]
	if !ok || h.Failed {
		return ""
	}
	u := s.Spent(b.From)
	if left := u.Owned - u.Leaving - 1; left < p.Value.MinHosts {
		return fmt.Sprintf("pool %s would keep %d hosts of at least %d", b.From, left, p.Value.MinHosts)
	}
	return ""
}

func (s *State) checkMaintenance(c *catalogue.State, b StartDrain, h Host) string {
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
	if n := s.inWave(b.Wave); n >= w.Value.MaxParallel {
		return fmt.Sprintf("wave %s has %d hosts out of at most %d", b.Wave, n, w.Value.MaxParallel)
	}
	u := s.Spent(b.From)
	for rack := range u.MaintainedRacks {
		if rack != h.rackKey() {
			return fmt.Sprintf("pool %s already has hosts of another rack in maintenance", b.From)
		}
	}
	return ""
}

// inWave counts the hosts that a wave has out. Those that failed are counted
// by their pool's budget instead, or a wave could never pass them.
func (s *State) inWave(wave string) int {
	n := 0
	for _, d := range s.Drains {
		if d.Wave == wave && !s.Hosts[d.Host].Failed {
			n++
		}
	}
	return n
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
func (s *State) checkUnavailable(c *catalogue.State, b StartDrain, h Host) string {
	p, ok := c.Pools[b.From]
	if !ok || h.Failed {
		return ""
	}
	u := s.Spent(b.From)
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

// Spent counts what is spent of a pool's budgets.
func (s *State) Spent(pool string) Spent {
	u := Spent{MaintainedRacks: map[string]bool{}, available: map[string]int{}}
	for _, h := range s.Hosts {
		if h.Pool == pool {
			u.add(h)
		}
	}
	for _, d := range s.Drains {
		u.addDrain(pool, d, s.Hosts[d.Host])
	}
	return u
}

func (u *Spent) add(h Host) {
	u.Owned++
	if h.Usable() {
		u.available[h.rackKey()]++
		return
	}
	u.Unavailable++
}

func (u *Spent) addDrain(pool string, d Drain, h Host) {
	switch {
	case d.Purpose == PurposeMove && d.To == pool:
		u.Arriving++
	case d.From != pool:
	case d.Purpose == PurposeMaintenance:
		if !h.Failed {
			u.MaintainedRacks[h.rackKey()] = true
		}
	case d.Purpose == PurposeMove || d.Purpose == PurposeRetire:
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
