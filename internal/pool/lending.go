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
	DefaultDecisionInterval = 10 * time.Second
	// DefaultProposalTTL is how long a proposal is kept while budgets do not
	// allow the move.
	DefaultProposalTTL = time.Minute
)

// LendingPlannerOptions configures a LendingPlanner. Zone and Demand are required.
type LendingPlannerOptions struct {
	Zone string
	// Demand returns, by pool, how many slots of the zone run requests, plus
	// how many the rejected requests would have used (RejectedDemand). A queued
	// request counts only once it runs or is rejected.
	Demand func() map[string]float64
	// Policy defaults to DefaultPredictive.
	Policy      SparePolicy
	Interval    time.Duration
	ProposalTTL time.Duration
	Metrics     tally.Scope
}

// LendingPlanner turns the decisions of a spare policy for a zone into proposed
// moves of hosts. After a restart it takes the demand of the last day from the
// replicated state.
type LendingPlanner struct {
	opts             LendingPlannerOptions
	spareTargetGauge tally.Gauge
	changesDecided   tally.Counter

	mu           sync.Mutex
	policyState  SparePolicyState
	lastDecision time.Time
	proposals    []proposal
	spareTarget  int
	// currentSlot is the index of the current time slot, and lastEndedSlot the
	// demand in the last time slot that has ended.
	currentSlot   int64
	lastEndedSlot *SlotDemand
}

type proposal struct {
	move      Move
	createdAt time.Time
}

// NewLendingPlanner returns a LendingPlanner without policy state.
func NewLendingPlanner(opts LendingPlannerOptions) *LendingPlanner {
	if opts.Policy == nil {
		opts.Policy = DefaultPredictive
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	option.Default(&opts.Interval, DefaultDecisionInterval)
	option.Default(&opts.ProposalTTL, DefaultProposalTTL)
	scope := opts.Metrics.SubScope("pool")
	return &LendingPlanner{
		opts:             opts,
		spareTargetGauge: scope.Gauge("spare_hosts_to_hold"),
		changesDecided:   scope.Counter("spare_changes_decided"),
	}
}

// Proposals returns the moves that the policy proposes at now. The policy decides
// at most once per Interval.
func (l *LendingPlanner) Proposals(p PublishedState, now time.Time) []Move {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proposals = slices.DeleteFunc(l.proposals, func(pr proposal) bool {
		return now.Sub(pr.createdAt) >= l.opts.ProposalTTL || !notStarted(p.Pools, pr.move)
	})
	if now.Sub(l.lastDecision) >= l.opts.Interval {
		l.decide(p, now)
	}
	moves := make([]Move, 0, len(l.proposals))
	for _, pr := range l.proposals {
		moves = append(moves, pr.move)
	}
	return moves
}

// notStarted reports whether a move has not started.
func notStarted(s *State, m Move) bool {
	h := s.Hosts[m.Host]
	return h.Pool == m.From && h.Usable()
}

// SpareTarget returns how many spare hosts the policy wants the zone to keep.
func (l *LendingPlanner) SpareTarget() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.spareTarget
}

// decide runs the policy and adds its changes to the proposals. It must be called
// with mu held.
func (l *LendingPlanner) decide(p PublishedState, now time.Time) {
	in := newSpareInput(p, l.opts.Zone, l.opts.Demand())
	in.Now = now
	if !l.lastDecision.IsZero() {
		in.Elapsed = now.Sub(l.lastDecision)
	}
	l.lastDecision = now
	if l.policyState == nil {
		l.policyState = policyStateFromDemand(p.Pools.Demand[l.opts.Zone])
	}
	l.advanceTimeSlot(now)
	state, changes := l.opts.Policy.Decide(l.policyState, in)
	l.policyState = state
	l.spareTarget = l.opts.Policy.SpareTarget(state, in)
	l.spareTargetGauge.Update(float64(l.spareTarget))
	for _, ch := range changes {
		l.changesDecided.Inc(1)
		l.addProposals(p, ch, now)
	}
}

// advanceTimeSlot sets lastEndedSlot when a new time slot has started. The demand
// of a time slot is the mean demand at its end.
func (l *LendingPlanner) advanceTimeSlot(now time.Time) {
	slot := timeSlotIndex(now)
	if l.currentSlot != 0 && slot != l.currentSlot {
		l.lastEndedSlot = &SlotDemand{Zone: l.opts.Zone, Index: l.currentSlot, Pools: map[string]float32{}}
		for pool, state := range l.policyState {
			l.lastEndedSlot.Pools[pool] = float32(state.MeanDemand)
		}
	}
	l.currentSlot = slot
}

// LastEndedSlot returns the demand in the last time slot that has ended, or nil.
func (l *LendingPlanner) LastEndedSlot() *SlotDemand {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastEndedSlot
}

// addProposals selects the hosts of a change and proposes their moves. Several
// changes may select the same host; Plan starts only one drain of it.
func (l *LendingPlanner) addProposals(p PublishedState, ch LendingChange, now time.Time) {
	selectHosts := movesToBorrow
	if ch.Hosts < 0 {
		selectHosts = movesToReturn
	}
	pool := p.Catalogue.Pools[ch.Pool]
	cause := record.Cause{
		Object: "pool/" + ch.Pool, Owner: pool.Value.Owner, Version: pool.Version, Reason: ch.Reason,
	}
	for _, m := range selectHosts(p, l.opts.Zone, ch) {
		m.Cause = cause
		l.proposals = append(l.proposals, proposal{move: m, createdAt: now})
	}
}

// maxDemandPerHost limits a pool's demand to a multiple of its hosts: a burst of
// a few seconds is over before a host could be moved, however many of its
// requests were rejected.
const maxDemandPerHost = 2.0

// newSpareInput returns the policy input for a zone's hosts and demand.
func newSpareInput(p PublishedState, zone string, demand map[string]float64) SpareInput {
	loads := map[string]*PoolLoad{}
	for name, pool := range p.Catalogue.Pools {
		if !pool.Value.Spare {
			loads[name] = &PoolLoad{Pool: name, Demand: demand[name] / float64(max(pool.Value.SlotsPerHost, 1))}
		}
	}
	var in SpareInput
	for _, h := range p.Pools.Hosts {
		if h.Zone != zone {
			continue
		}
		if owner := effectivePool(p.Pools, h); owner != "" {
			in.countHost(loads[owner], isBorrowed(p.Catalogue, h))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		l := *loads[name]
		l.Demand = min(l.Demand, maxDemandPerHost*float64(max(l.Hosts, 1)))
		in.Loads = append(in.Loads, l)
	}
	return in
}

// effectivePool returns the pool that a host serves or is being moved to, or ""
// for a host that serves none.
func effectivePool(s *State, h Host) string {
	if d := s.Drains[h.DrainID]; d.Purpose == PurposeMove && h.Phase == PhaseDraining {
		return d.To
	}
	if h.Usable() {
		return h.Pool
	}
	return ""
}

// countHost counts a host in the load of its pool, or as an idle spare host if l
// is nil because the pool is a spare one.
func (in *SpareInput) countHost(l *PoolLoad, borrowed bool) {
	if l == nil {
		in.IdleHosts++
		return
	}
	l.Hosts++
	if borrowed {
		l.Borrowed++
	}
}

// isBorrowed reports whether the catalogue assigns the host to a spare pool.
func isBorrowed(c *catalogue.State, h Host) bool { return c.Pools[h.DeclaredPool].Value.Spare }

// movesToBorrow returns moves of idle spare hosts to the pool, preferring racks
// where the pool has the fewest hosts.
func movesToBorrow(p PublishedState, zone string, ch LendingChange) []Move {
	return selectMoves(p, zone, ch.Pool, ch.Hosts, func(h Host) (string, bool) {
		return ch.Pool, h.Pool != ch.Pool && p.Catalogue.Pools[h.Pool].Value.Spare
	})
}

// movesToReturn returns moves of borrowed hosts back to their spare pools.
func movesToReturn(p PublishedState, zone string, ch LendingChange) []Move {
	return selectMoves(p, zone, ch.Pool, -ch.Hosts, func(h Host) (string, bool) {
		return h.DeclaredPool, h.Pool == ch.Pool && h.DeclaredPool != ch.Pool && isBorrowed(p.Catalogue, h)
	})
}

// selectMoves returns up to n moves of usable hosts of the zone that eligible
// accepts, those on racks with the fewest hosts of pool first.
func selectMoves(p PublishedState, zone, pool string, n int, eligible func(Host) (to string, ok bool)) []Move {
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
		byRack := racks[p.Pools.Hosts[a.Host].rackKey()] - racks[p.Pools.Hosts[b.Host].rackKey()]
		if byRack != 0 {
			return byRack
		}
		return strings.Compare(a.Host, b.Host)
	})
	return moves[:min(n, len(moves))]
}
