package pool

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/option"
	"greengagedeck/internal/record"
)

// Defaults of LendingOptions.
const (
	DefaultDecideInterval = 10 * time.Second
	// DefaultProposalLife is how long a proposal stands while budgets have no
	// room for it.
	DefaultProposalLife = time.Minute
)

// LendingOptions configures a Lending. Zone and Demand are required.
type LendingOptions struct {
	Zone string
	// Demand returns, by pool, how many slots of the zone run work, and how
	// many the work that was refused would have filled (Refusals). Work that
	// waits counts once it runs or is refused.
	Demand func() map[string]float64
	// Policy defaults to DefaultPredictive.
	Policy       SparePolicy
	Interval     time.Duration
	ProposalLife time.Duration
	Metrics      tally.Scope
}

// Lending turns what a spare policy decides for a zone into moves of hosts. A
// daemon that starts anew takes the last day's demand from the folded state.
type Lending struct {
	opts    LendingOptions
	hold    tally.Gauge
	changes tally.Counter

	mu        sync.Mutex
	memory    SpareMemory
	decided   time.Time
	proposals []proposal
	held      int
	// slot is the index of the current slot of the day and ended the last one
	// that has ended, with what it was like.
	slot  int64
	ended *SlotDemand
}

type proposal struct {
	move Move
	made time.Time
}

// NewLending returns a Lending that remembers nothing.
func NewLending(opts LendingOptions) *Lending {
	if opts.Policy == nil {
		opts.Policy = DefaultPredictive
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	option.Default(&opts.Interval, DefaultDecideInterval)
	option.Default(&opts.ProposalLife, DefaultProposalLife)
	scope := opts.Metrics.SubScope("pool")
	return &Lending{
		opts:    opts,
		hold:    scope.Gauge("spare_hosts_to_hold"),
		changes: scope.Counter("spare_changes_decided"),
	}
}

// Proposals returns the moves that the policy wants at now. It decides at most
// once in every Interval.
func (l *Lending) Proposals(p Published, now time.Time) []Move {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proposals = slices.DeleteFunc(l.proposals, func(pr proposal) bool {
		return now.Sub(pr.made) >= l.opts.ProposalLife || !stands(p.Pools, pr.move)
	})
	if now.Sub(l.decided) >= l.opts.Interval {
		l.decide(p, now)
	}
	moves := make([]Move, 0, len(l.proposals))
	for _, pr := range l.proposals {
		moves = append(moves, pr.move)
	}
	return moves
}

// stands reports whether a move has not begun.
func stands(s *State, m Move) bool {
	h := s.Hosts[m.Host]
	return h.Pool == m.From && h.Usable()
}

// Held returns how many spare hosts of the zone the policy would keep.
func (l *Lending) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// decide must be called with mu held.
func (l *Lending) decide(p Published, now time.Time) {
	in := spareInput(p, l.opts.Zone, l.opts.Demand())
	in.Now = now
	if !l.decided.IsZero() {
		in.Elapsed = now.Sub(l.decided)
	}
	l.decided = now
	if l.memory == nil {
		l.memory = remembered(p.Pools.Demand[l.opts.Zone])
	}
	l.endSlot(now)
	memory, changes := l.opts.Policy.Decide(l.memory, in)
	l.memory = memory
	l.held = l.opts.Policy.Hold(memory, in)
	l.hold.Update(float64(l.held))
	for _, ch := range changes {
		l.changes.Inc(1)
		l.propose(p, ch, now)
	}
}

// endSlot keeps what the slot that has ended was like, by the mean at its end.
func (l *Lending) endSlot(now time.Time) {
	slot := slotIndex(now)
	if l.slot != 0 && slot != l.slot {
		l.ended = &SlotDemand{Zone: l.opts.Zone, Index: l.slot, Pools: map[string]float32{}}
		for pool, pm := range l.memory {
			l.ended.Pools[pool] = float32(pm.Mean)
		}
	}
	l.slot = slot
}

// Ended returns the last slot of the day that has ended, or nil.
func (l *Lending) Ended() *SlotDemand {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// propose picks the hosts of a change. Several changes may name one host; the
// plan starts only one drain of it.
func (l *Lending) propose(p Published, ch Change, now time.Time) {
	picked := pickBorrowed
	if ch.Hosts < 0 {
		picked = pickReturned
	}
	pool := p.Catalogue.Pools[ch.Pool]
	cause := record.Cause{
		Object: "pool/" + ch.Pool, Owner: pool.Value.Owner, Version: pool.Version, Reason: ch.Reason,
	}
	for _, m := range picked(p, l.opts.Zone, ch) {
		m.Cause = cause
		l.proposals = append(l.proposals, proposal{move: m, made: now})
	}
}

// maxDemand bounds a pool's demand in multiples of its hosts: a flood of seconds
// is gone before a host could move, however much of it was refused.
const maxDemand = 2.0

// spareInput reads a zone's hosts and demand.
func spareInput(p Published, zone string, demand map[string]float64) SpareInput {
	loads := map[string]*Load{}
	for name, pool := range p.Catalogue.Pools {
		if !pool.Value.Spare {
			loads[name] = &Load{Pool: name, Demand: demand[name] / float64(max(pool.Value.SlotsPerHost, 1))}
		}
	}
	var in SpareInput
	for _, h := range p.Pools.Hosts {
		if h.Zone != zone {
			continue
		}
		if owner := ownerSoon(p.Pools, h); owner != "" {
			in.count(loads[owner], borrowed(p.Catalogue, h))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		l := *loads[name]
		l.Demand = min(l.Demand, maxDemand*float64(max(l.Hosts, 1)))
		in.Loads = append(in.Loads, l)
	}
	return in
}

// ownerSoon returns the pool that a host serves, or will serve once it has
// moved, and "" for a host that serves none.
func ownerSoon(s *State, h Host) string {
	if d := s.Drains[h.Drain]; d.Purpose == PurposeMove && h.Phase == PhaseDraining {
		return d.To
	}
	if h.Usable() {
		return h.Pool
	}
	return ""
}

// count adds a host to the load of its pool, or to the idle spare hosts when
// the pool has no load.
func (in *SpareInput) count(l *Load, lent bool) {
	if l == nil {
		in.Idle++
		return
	}
	l.Hosts++
	if lent {
		l.Lent++
	}
}

// borrowed reports whether a host's own pool, by the catalogue, is a spare one.
func borrowed(c *catalogue.State, h Host) bool { return c.Pools[h.Declared].Value.Spare }

// pickBorrowed returns moves of idle spare hosts to the pool, from the racks
// where it has the fewest hosts.
func pickBorrowed(p Published, zone string, ch Change) []Move {
	return pick(p, zone, ch.Pool, ch.Hosts, func(h Host) (string, bool) {
		return ch.Pool, h.Pool != ch.Pool && p.Catalogue.Pools[h.Pool].Value.Spare
	})
}

// pickReturned returns moves of lent hosts back to the spare pools they are
// from.
func pickReturned(p Published, zone string, ch Change) []Move {
	return pick(p, zone, ch.Pool, -ch.Hosts, func(h Host) (string, bool) {
		return h.Declared, h.Pool == ch.Pool && h.Declared != ch.Pool && borrowed(p.Catalogue, h)
	})
}

// pick returns up to n moves of usable hosts of the zone that eligible accepts,
// spread over the racks of pool.
func pick(p Published, zone, pool string, n int, eligible func(Host) (to string, ok bool)) []Move {
	racks := map[string]int{}
	var moves []Move
	for name, h := range p.Pools.Hosts {
		if h.Pool == pool {
			racks[h.rackKey()]++
		}
		if to, ok := eligible(h); ok && h.Zone == zone && h.Usable() {
			moves = append(moves, Move{Host: name, From: h.Pool, To: to})
		}
	}
	slices.SortFunc(moves, func(a, b Move) int {
		crowd := racks[p.Pools.Hosts[a.Host].rackKey()] - racks[p.Pools.Hosts[b.Host].rackKey()]
		if crowd != 0 {
			return crowd
		}
		return strings.Compare(a.Host, b.Host)
	})
	return moves[:min(n, len(moves))]
}
