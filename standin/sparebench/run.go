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
	// Unmet is the share of the offered short work that was rejected.
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
	// running is in hosts and waiting in host-seconds of work. rejected is the
	// work rejected since the last decision, seconds the time since then.
	running, waiting  float64
	rejected, seconds float64
	mean              float64
}

type pendingMove struct {
	drain string
	zone  string
	ends  time.Time
}

// Run simulates a scenario with one policy and returns the measurements.
func Run(sc Scenario, name string, policy pool.SparePolicy) (Result, error) {
	sim := newSimulation(sc, policy)
	sim.result.Policy = name
	total := sc.Days * 24 * int(time.Hour/time.Second)
	for s := range total {
		if err := sim.step(time.Duration(s) * time.Second); err != nil {
			return sim.result, err
		}
	}
	days := float64(sc.Days - sc.Warmup)
	sim.result.BufferHours /= days
	sim.result.Moves = float64(sim.moves) / days
	sim.result.Unmet = sim.unmet / sim.offered
	return sim.result, nil
}

func newSimulation(sc Scenario, policy pool.SparePolicy) *simulation {
	sim := &simulation{
		sc:        sc,
		catalogue: newCatalogueState(sc.Catalogue),
		state:     pool.NewState(),
		offset:    1,
		start:     time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC),
		demands:   map[string]*demand{},
	}
	sim.state.Reconcile(sim.offset, sim)
	zones := map[string]bool{}
	owned := map[string]int{}
	for _, h := range sc.Catalogue.Hosts {
		zones[h.Zone] = true
		owned[h.Pool]++
	}
	for _, name := range slices.Sorted(maps.Keys(sim.catalogue.Pools)) {
		if !sim.catalogue.Pools[name].Value.Spare {
			sim.pools = append(sim.pools, name)
			sim.demands[name] = newDemand(sc.Seed, name, sc.MeanUse*float64(owned[name]), sc.Peaks)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		sim.zones = append(sim.zones, sim.newZone(name, policy))
	}
	sim.recount()
	for _, z := range sim.zones {
		z.held = z.idle
	}
	return sim
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

func (sim *simulation) newZone(name string, policy pool.SparePolicy) *zone {
	z := &zone{name: name, queues: map[string]*queue{}}
	for _, p := range sim.pools {
		z.queues[p] = &queue{}
	}
	z.lending = pool.NewLendingPlanner(pool.LendingPlannerOptions{
		Zone:     name,
		Policy:   policy,
		Interval: decisionInterval,
		Demand:   func() map[string]float64 { return sim.demandInSlots(z) },
	})
	return z
}

// Catalogue implements pool.View. It returns the scenario's catalogue.
func (sim *simulation) Catalogue() *catalogue.State { return &sim.catalogue }

// ZoneMembers implements pool.View. Each zone has one daemon, named after the
// zone.
func (sim *simulation) ZoneMembers(zone string) []string { return []string{zone} }

// demandInSlots returns the demand of each pool in a zone, in slots: the work that
// runs now plus the mean work per second that was rejected since the last decision.
func (sim *simulation) demandInSlots(z *zone) map[string]float64 {
	slots := map[string]float64{}
	for name, q := range z.queues {
		perHost := float64(sim.catalogue.Pools[name].Value.SlotsPerHost)
		slots[name] = (q.running + q.rejected/max(q.seconds, 1)) * perHost
		q.rejected, q.seconds = 0, 0
	}
	return slots
}

func (sim *simulation) step(t time.Duration) error {
	sim.now = sim.start.Add(t)
	sim.measured = t >= time.Duration(sim.sc.Warmup)*24*time.Hour
	for _, name := range sim.pools {
		offered, mean := sim.demands[name].at(t)
		for _, z := range sim.zones {
			sim.serve(z.queues[name], offered/float64(len(sim.zones)), mean/float64(len(sim.zones)))
		}
	}
	if sim.measured {
		sim.addBufferCost()
	}
	if err := sim.endMoves(); err != nil {
		return err
	}
	if t%decisionInterval == 0 {
		return sim.decide()
	}
	return nil
}

// serve simulates one second of a queue, in which work arrives, runs, waits or is
// rejected.
func (sim *simulation) serve(q *queue, offered, mean float64) {
	q.mean = mean
	q.waiting += offered
	q.running = min(q.waiting, float64(q.hosts))
	q.waiting -= q.running
	rejected := max(0, q.waiting-maxWait.Seconds()*float64(q.hosts))
	q.waiting -= rejected
	q.rejected += rejected
	q.seconds++
	if sim.measured {
		sim.offered += offered
		sim.unmet += rejected
	}
}

// addBufferCost adds the buffer cost and the limit violations of one second.
func (sim *simulation) addBufferCost() {
	const hour = 3600
	for _, z := range sim.zones {
		hosts := float64(min(z.idle, z.held-z.lent))
		for _, q := range z.queues {
			need := math.Ceil(q.mean / pool.DefaultSpareParams.TargetUtilization)
			hosts += min(float64(q.lent), max(0, float64(q.hosts)-need))
		}
		sim.result.BufferHours += hosts / hour
	}
	sim.result.LimitViolations += sim.poolsOutsideLimits
}

// outsideLimits reports whether a pool is outside its limits.
func (sim *simulation) outsideLimits(p catalogue.Pool) bool {
	u := sim.state.PoolUsage(p.Name)
	tooMany := p.MaxHosts > 0 && u.Owned > p.MaxHosts
	return u.Owned < p.MinHosts || tooMany || u.Unavailable > p.MaxUnavailable
}

// decide runs each zone's policy. The pool state accepts or rejects each proposed
// move.
func (sim *simulation) decide() error {
	for _, z := range sim.zones {
		p := pool.PublishedState{Pools: &sim.state, Catalogue: &sim.catalogue, Members: []string{z.name}}
		moves := z.lending.Proposals(p, sim.now)
		z.updateHeld(sim.now)
		for _, m := range moves {
			if sim.catalogue.Pools[m.From].Value.Spare && z.lent >= z.held {
				sim.result.BlockedMoves++
				continue
			}
			body := pool.StartDrain{Host: m.Host, Purpose: pool.PurposeMove, From: m.From, To: m.To}
			id, out, err := sim.apply(z.name, pool.KindDrain, m.Cause, body)
			if err != nil {
				return err
			}
			if !out.Accepted {
				sim.result.BlockedMoves++
				continue
			}
			sim.pendingMoves = append(sim.pendingMoves, pendingMove{drain: id, zone: z.name, ends: sim.now.Add(moveTime)})
			if sim.measured {
				sim.moves++
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
func (sim *simulation) endMoves() error {
	for len(sim.pendingMoves) > 0 && !sim.now.Before(sim.pendingMoves[0].ends) {
		m := sim.pendingMoves[0]
		sim.pendingMoves = sim.pendingMoves[1:]
		ack := pool.Ack{Drain: m.drain, Round: sim.state.Drains[m.drain].Round}
		_, out, err := sim.apply(m.zone, pool.KindAck, record.Cause{}, ack)
		if err != nil {
			return err
		}
		if !out.Accepted {
			return eris.Errorf("acknowledgement of drain %s rejected: %s", m.drain, out.Reason)
		}
	}
	return nil
}

func (sim *simulation) apply(author string, kind record.Kind, cause record.Cause, body any) (string, record.Outcome, error) {
	r, err := record.New(kind, author, sim.now, cause, body)
	if err != nil {
		return "", record.Outcome{}, err
	}
	sim.offset++
	out := sim.state.Apply(sim.offset, r, sim)
	sim.recount()
	return r.ID.String(), out, nil
}

// recount updates the number of hosts of each pool in each zone and the number of
// pools that are outside their limits.
func (sim *simulation) recount() {
	sim.poolsOutsideLimits = 0
	for _, p := range sim.catalogue.Pools {
		if sim.outsideLimits(p.Value) {
			sim.poolsOutsideLimits++
		}
	}
	for _, z := range sim.zones {
		z.lent, z.idle = 0, 0
		for _, q := range z.queues {
			q.hosts, q.lent = 0, 0
		}
		for _, h := range sim.state.Hosts {
			if h.Zone == z.name && h.Usable() {
				z.countHost(h)
			}
		}
		for _, d := range sim.state.Drains {
			if d.Zone == z.name && z.queues[d.To] != nil {
				z.lent++
			}
		}
	}
}

func (z *zone) countHost(h pool.Host) {
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
