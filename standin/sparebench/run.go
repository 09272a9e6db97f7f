package sparebench

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/record"
)

// Scenario describes one deployment and its demand.
type Scenario struct {
	Name      string
	Catalogue catalogue.Document
	Peaks     []Peak
	Weights   Weights
	// MeanUse is the mean demand outside peaks, as a share of a pool's hosts.
	MeanUse float64
	// Days is the number of simulated days, of which the first Warmup are not
	// measured.
	Days, Warmup int
	Seed         uint64
}

// Result holds the measurements of one policy. BufferHours and Moves are per day.
type Result struct {
	Policy string
	// BufferHours is the host-hours of spare hosts that were held idle or were
	// lent beyond the demand.
	BufferHours float64
	Moves       float64
	// Unmet is the share of the offered short work that was refused.
	Unmet float64
	// BlockedMoves counts the moves that the policy proposed but that were
	// not made, because a budget did not allow them or because all spare
	// hosts held were lent.
	BlockedMoves int
	// LimitViolations is the sum over all seconds of the number of pools that
	// were outside their limits.
	LimitViolations int
}

const (
	// moveTime is the time that a host is out of service during a move.
	moveTime = 20 * time.Second
	// maxWait is the longest time that short work waits; it is rejected if it
	// would wait longer.
	maxWait = 2 * time.Second
	// acquireTime is the time it takes to get back a spare host that was
	// released.
	acquireTime = 10 * time.Minute
	// decisionInterval is the time between two decisions of a policy.
	decisionInterval = pool.DefaultDecisionInterval
)

// simulation simulates one policy in one scenario.
type simulation struct {
	sc           Scenario
	catalogue    catalogue.State
	state        pool.State
	offset       uint64
	start        time.Time
	now          time.Time
	zones        []*zone
	demands      map[string]*demand
	pools        []string
	pendingMoves []pendingMove
	result       Result
	offered      float64
	unmet        float64
	moves        int
	measured     bool
	// poolsOutsideLimits is the number of pools that are outside their
	// limits now.
	poolsOutsideLimits int
}

// zone is one availability zone of the deployment.
type zone struct {
	name    string
	lending *pool.LendingPlanner
	queues  map[string]*queue
	// lent and idle count the zone's spare hosts. Hosts that are moving to
	// another pool count as lent.
	lent, idle int
	// held is the number of spare hosts that the zone has, including lent ones.
	// Hosts that the policy does not hold are released at once; it takes
	// acquireTime to get one back.
	held         int
	lastAcquired time.Time
}

// queue models the work of a pool in one zone as a fluid.
type queue struct {
	hosts, lent int
	// running is in hosts and waiting in host-seconds of work. refused is the
	// work rejected in the seconds since the last decision.
	running, waiting float64
	refused, seconds float64
	mean             float64
}

type pendingMove struct {
	drain string
	zone  string
	ends  time.Time
}

// Run simulates a scenario with one policy and returns the measurements.
func Run(sc Scenario, name string, policy pool.SparePolicy) (Result, error) {
	b := newSimulation(sc, policy)
	b.result.Policy = name
	total := sc.Days * 24 * int(time.Hour/time.Second)
	for s := range total {
		if err := b.step(time.Duration(s) * time.Second); err != nil {
			return b.result, err
		}
	}
	days := float64(sc.Days - sc.Warmup)
	b.result.BufferHours /= days
	b.result.Moves = float64(b.moves) / days
	b.result.Unmet = b.unmet / b.offered
	return b.result, nil
}

func newSimulation(sc Scenario, policy pool.SparePolicy) *simulation {
	b := &simulation{
		sc:        sc,
		catalogue: newCatalogueState(sc.Catalogue),
		state:     pool.NewState(),
		offset:    1,
		start:     time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC),
		demands:   map[string]*demand{},
	}
	b.state.Reconcile(b.offset, b)
	zones := map[string]bool{}
	owned := map[string]int{}
	for _, h := range sc.Catalogue.Hosts {
		zones[h.Zone] = true
		owned[h.Pool]++
	}
	for _, name := range slices.Sorted(maps.Keys(b.catalogue.Pools)) {
		if !b.catalogue.Pools[name].Value.Spare {
			b.pools = append(b.pools, name)
			b.demands[name] = newDemand(sc.Seed, name, sc.MeanUse*float64(owned[name]), sc.Peaks)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		b.zones = append(b.zones, b.newZone(name, policy))
	}
	b.recount()
	for _, z := range b.zones {
		z.held = z.idle
	}
	return b
}

func newCatalogueState(doc catalogue.Document) catalogue.State {
	s := catalogue.NewState()
	for _, p := range doc.Pools {
		s.Pools[p.Name] = catalogue.Versioned[catalogue.Pool]{Version: 1, Value: p}
	}
	for _, h := range doc.Hosts {
		s.Hosts[h.Name] = catalogue.Versioned[catalogue.Host]{Version: 1, Value: h}
	}
	return s
}

func (b *simulation) newZone(name string, policy pool.SparePolicy) *zone {
	z := &zone{name: name, queues: map[string]*queue{}}
	for _, p := range b.pools {
		z.queues[p] = &queue{}
	}
	z.lending = pool.NewLendingPlanner(pool.LendingPlannerOptions{
		Zone:     name,
		Policy:   policy,
		Interval: decisionInterval,
		Demand:   func() map[string]float64 { return b.slots(z) },
	})
	return z
}

// Catalogue implements pool.View. It returns the scenario's catalogue.
func (b *simulation) Catalogue() *catalogue.State { return &b.catalogue }

// ZoneMembers implements pool.View. Each zone has one daemon, named after the
// zone.
func (b *simulation) ZoneMembers(zone string) []string { return []string{zone} }

// slots returns the demand of each pool in a zone, in slots: the work that runs
// now plus the mean work per second that was rejected since the last decision.
func (b *simulation) slots(z *zone) map[string]float64 {
	slots := map[string]float64{}
	for name, q := range z.queues {
		perHost := float64(b.catalogue.Pools[name].Value.SlotsPerHost)
		slots[name] = (q.running + q.refused/max(q.seconds, 1)) * perHost
		q.refused, q.seconds = 0, 0
	}
	return slots
}

func (b *simulation) step(t time.Duration) error {
	b.now = b.start.Add(t)
	b.measured = t >= time.Duration(b.sc.Warmup)*24*time.Hour
	for _, name := range b.pools {
		offered, mean := b.demands[name].at(t)
		for _, z := range b.zones {
			b.serve(z.queues[name], offered/float64(len(b.zones)), mean/float64(len(b.zones)))
		}
	}
	if b.measured {
		b.addBufferCost()
	}
	if err := b.endMoves(); err != nil {
		return err
	}
	if t%decisionInterval == 0 {
		return b.decide()
	}
	return nil
}

// serve simulates one second of a queue, in which work arrives, runs, waits or is
// rejected.
func (b *simulation) serve(q *queue, offered, mean float64) {
	q.mean = mean
	q.waiting += offered
	q.running = min(q.waiting, float64(q.hosts))
	q.waiting -= q.running
	refused := max(0, q.waiting-maxWait.Seconds()*float64(q.hosts))
	q.waiting -= refused
	q.refused += refused
	q.seconds++
	if b.measured {
		b.offered += offered
		b.unmet += refused
	}
}

// addBufferCost adds the buffer cost and the limit violations of one second.
func (b *simulation) addBufferCost() {
	const hour = 3600
	for _, z := range b.zones {
		hosts := float64(min(z.idle, z.held-z.lent))
		for _, q := range z.queues {
			need := math.Ceil(q.mean / pool.DefaultSpareParams.TargetUtilization)
			hosts += min(float64(q.lent), max(0, float64(q.hosts)-need))
		}
		b.result.BufferHours += hosts / hour
	}
	b.result.LimitViolations += b.poolsOutsideLimits
}

// outsideLimits reports whether a pool is outside its limits.
func (b *simulation) outsideLimits(p catalogue.Pool) bool {
	u := b.state.PoolUsage(p.Name)
	tooMany := p.MaxHosts > 0 && u.Owned > p.MaxHosts
	return u.Owned < p.MinHosts || tooMany || u.Unavailable > p.MaxUnavailable
}

// decide runs each zone's policy. The pool state accepts or rejects each proposed
// move.
func (b *simulation) decide() error {
	for _, z := range b.zones {
		p := pool.PublishedState{Pools: &b.state, Catalogue: &b.catalogue, Members: []string{z.name}}
		moves := z.lending.Proposals(p, b.now)
		z.updateHeld(b.now)
		for _, m := range moves {
			if b.catalogue.Pools[m.From].Value.Spare && z.lent >= z.held {
				b.result.BlockedMoves++
				continue
			}
			body := pool.StartDrain{Host: m.Host, Purpose: pool.PurposeMove, From: m.From, To: m.To}
			id, out, err := b.apply(z.name, pool.KindDrain, m.Cause, body)
			if err != nil {
				return err
			}
			if !out.Accepted {
				b.result.BlockedMoves++
				continue
			}
			b.pendingMoves = append(b.pendingMoves, pendingMove{drain: id, zone: z.name, ends: b.now.Add(moveTime)})
			if b.measured {
				b.moves++
			}
		}
	}
	return nil
}

// updateHeld adjusts the number of held spare hosts to the policy's target. Hosts
// are released at once; each one acquired takes acquireTime.
func (z *zone) updateHeld(now time.Time) {
	target := max(z.lending.SpareTarget(), z.lent)
	switch {
	case target <= z.held:
		z.held = target
		z.lastAcquired = now
	case now.Sub(z.lastAcquired) >= acquireTime:
		z.held++
		z.lastAcquired = now
	}
}

// endMoves acknowledges the moves whose moveTime has passed.
func (b *simulation) endMoves() error {
	for len(b.pendingMoves) > 0 && !b.now.Before(b.pendingMoves[0].ends) {
		m := b.pendingMoves[0]
		b.pendingMoves = b.pendingMoves[1:]
		ack := pool.Ack{Drain: m.drain, Round: b.state.Drains[m.drain].Round}
		_, out, err := b.apply(m.zone, pool.KindAck, record.Cause{}, ack)
		if err != nil {
			return err
		}
		if !out.Accepted {
			return eris.Errorf("acknowledgement of drain %s rejected: %s", m.drain, out.Reason)
		}
	}
	return nil
}

func (b *simulation) apply(author string, kind record.Kind, cause record.Cause, body any) (string, record.Outcome, error) {
	r, err := record.New(kind, author, b.now, cause, body)
	if err != nil {
		return "", record.Outcome{}, err
	}
	b.offset++
	out := b.state.Apply(b.offset, r, b)
	b.recount()
	return r.ID.String(), out, nil
}

// recount updates the number of hosts of each pool in each zone and the number of
// pools that are outside their limits.
func (b *simulation) recount() {
	b.poolsOutsideLimits = 0
	for _, p := range b.catalogue.Pools {
		if b.outsideLimits(p.Value) {
			b.poolsOutsideLimits++
		}
	}
	for _, z := range b.zones {
		z.lent, z.idle = 0, 0
		for _, q := range z.queues {
			q.hosts, q.lent = 0, 0
		}
		for _, h := range b.state.Hosts {
			if h.Zone == z.name && h.Usable() {
				z.count(h)
			}
		}
		for _, d := range b.state.Drains {
			if d.Zone == z.name && z.queues[d.To] != nil {
				z.lent++
			}
		}
	}
}

func (z *zone) count(h pool.Host) {
	q, ok := z.queues[h.Pool]
	if !ok {
		z.idle++
		return
	}
	q.hosts++
	if h.DeclaredPool != h.Pool {
		q.lent++
		z.lent++
	}
}
