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

// Scenario is one deployment and its demand.
type Scenario struct {
	Name    string
	Fleet   catalogue.Document
	Peaks   []Peak
	Weights Weights
	// MeanUse is the mean demand outside peaks, as a share of a pool's hosts.
	MeanUse float64
	// Days are simulated; the first Warmup of them are not measured.
	Days, Warmup int
	Seed         uint64
}

// Result is what one policy did, measured per day.
type Result struct {
	Policy string
	// BufferHours counts host-hours of spare hosts that were held idle, or
	// lent beyond need.
	BufferHours float64
	Moves       float64
	// Unmet is the share of the offered short work that was refused.
	Unmet float64
	// HeldBack counts the decisions in which budgets, or the spare hosts
	// kept, had no room for a move that the policy wanted.
	HeldBack int
	// Broken counts seconds in which a pool was outside its limits.
	Broken int
}

const (
	// moveTime is how long a move keeps its host out of service.
	moveTime = 20 * time.Second
	// patience is how long short work may wait before it is refused.
	patience = 2 * time.Second
	// acquireTime is how long it takes to get a spare host that was given up.
	acquireTime = 10 * time.Minute
	// decideEvery is how often policies decide.
	decideEvery = pool.DefaultDecisionInterval
)

// bench runs one policy on one scenario.
type bench struct {
	sc       Scenario
	fleet    catalogue.State
	state    pool.State
	offset   uint64
	start    time.Time
	now      time.Time
	zones    []*zone
	demands  map[string]*demand
	pools    []string
	moving   []moving
	result   Result
	offered  float64
	unmet    float64
	moves    int
	measured bool
	// broken counts the pools that are outside their limits now.
	broken int
}

// zone is one availability zone of the deployment.
type zone struct {
	name    string
	lending *pool.LendingPlanner
	queues  map[string]*queue
	// lent and idle count the zone's spare hosts, arriving ones as lent.
	lent, idle int
	// kept is how many spare hosts the zone has, lent ones included. What a
	// policy does not hold is given up at once; to get a host again takes
	// acquireTime.
	kept     int
	acquired time.Time
}

// queue is a pool's waiting work in one zone, as a fluid.
type queue struct {
	hosts, lent int
	// running and waiting are in hosts and in host-seconds of work; refused
	// adds up over the seconds since the last decision.
	running, waiting float64
	refused, seconds float64
	mean             float64
}

type moving struct {
	drain string
	zone  string
	ends  time.Time
}

// Run measures one policy.
func Run(sc Scenario, name string, policy pool.SparePolicy) (Result, error) {
	b := newBench(sc, policy)
	b.result.Policy = name
	total := sc.Days * 24 * int(time.Hour/time.Second)
	for s := range total {
		if err := b.second(time.Duration(s) * time.Second); err != nil {
			return b.result, err
		}
	}
	days := float64(sc.Days - sc.Warmup)
	b.result.BufferHours /= days
	b.result.Moves = float64(b.moves) / days
	b.result.Unmet = b.unmet / b.offered
	return b.result, nil
}

func newBench(sc Scenario, policy pool.SparePolicy) *bench {
	b := &bench{
		sc:      sc,
		fleet:   stateOf(sc.Fleet),
		state:   pool.NewState(),
		offset:  1,
		start:   time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC),
		demands: map[string]*demand{},
	}
	b.state.Reconcile(b.offset, b)
	zones := map[string]bool{}
	owned := map[string]int{}
	for _, h := range sc.Fleet.Hosts {
		zones[h.Zone] = true
		owned[h.Pool]++
	}
	for _, name := range slices.Sorted(maps.Keys(b.fleet.Pools)) {
		if !b.fleet.Pools[name].Value.Spare {
			b.pools = append(b.pools, name)
			b.demands[name] = newDemand(sc.Seed, name, sc.MeanUse*float64(owned[name]), sc.Peaks)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		b.zones = append(b.zones, b.newZone(name, policy))
	}
	b.recount()
	for _, z := range b.zones {
		z.kept = z.idle
	}
	return b
}

func stateOf(doc catalogue.Document) catalogue.State {
	s := catalogue.NewState()
	for _, p := range doc.Pools {
		s.Pools[p.Name] = catalogue.Versioned[catalogue.Pool]{Version: 1, Value: p}
	}
	for _, h := range doc.Hosts {
		s.Hosts[h.Name] = catalogue.Versioned[catalogue.Host]{Version: 1, Value: h}
	}
	return s
}

func (b *bench) newZone(name string, policy pool.SparePolicy) *zone {
	z := &zone{name: name, queues: map[string]*queue{}}
	for _, p := range b.pools {
		z.queues[p] = &queue{}
	}
	z.lending = pool.NewLendingPlanner(pool.LendingPlannerOptions{
		Zone:     name,
		Policy:   policy,
		Interval: decideEvery,
		Demand:   func() map[string]float64 { return b.slots(z) },
	})
	return z
}

// Catalogue implements pool.View.
func (b *bench) Catalogue() *catalogue.State { return &b.fleet }

// ZoneMembers implements pool.View: one daemon a zone, named like the zone.
func (b *bench) ZoneMembers(zone string) []string { return []string{zone} }

// slots returns the work that runs in a zone now and the work refused since the
// last decision, in slots.
func (b *bench) slots(z *zone) map[string]float64 {
	slots := map[string]float64{}
	for name, q := range z.queues {
		perHost := float64(b.fleet.Pools[name].Value.SlotsPerHost)
		slots[name] = (q.running + q.refused/max(q.seconds, 1)) * perHost
		q.refused, q.seconds = 0, 0
	}
	return slots
}

func (b *bench) second(t time.Duration) error {
	b.now = b.start.Add(t)
	b.measured = t >= time.Duration(b.sc.Warmup)*24*time.Hour
	for _, name := range b.pools {
		offered, mean := b.demands[name].at(t)
		for _, z := range b.zones {
			b.serve(z.queues[name], offered/float64(len(b.zones)), mean/float64(len(b.zones)))
		}
	}
	if b.measured {
		b.charge()
	}
	if err := b.endMoves(); err != nil {
		return err
	}
	if t%decideEvery == 0 {
		return b.decide()
	}
	return nil
}

// serve lets a second of work arrive, run, wait, or be refused.
func (b *bench) serve(q *queue, offered, mean float64) {
	q.mean = mean
	q.waiting += offered
	q.running = min(q.waiting, float64(q.hosts))
	q.waiting -= q.running
	refused := max(0, q.waiting-patience.Seconds()*float64(q.hosts))
	q.waiting -= refused
	q.refused += refused
	q.seconds++
	if b.measured {
		b.offered += offered
		b.unmet += refused
	}
}

// charge adds one second of buffer cost.
func (b *bench) charge() {
	const hour = 3600
	for _, z := range b.zones {
		hosts := float64(min(z.idle, z.kept-z.lent))
		for _, q := range z.queues {
			need := math.Ceil(q.mean / pool.DefaultSpareParams.TargetUtilization)
			hosts += min(float64(q.lent), max(0, float64(q.hosts)-need))
		}
		b.result.BufferHours += hosts / hour
	}
	b.result.Broken += b.broken
}

// outside reports whether a pool is outside its limits.
func (b *bench) outside(p catalogue.Pool) bool {
	u := b.state.PoolUsage(p.Name)
	tooMany := p.MaxHosts > 0 && u.Owned > p.MaxHosts
	return u.Owned < p.MinHosts || tooMany || u.Unavailable > p.MaxUnavailable
}

// decide lets each zone's policy act. The fold takes or refuses each move.
func (b *bench) decide() error {
	for _, z := range b.zones {
		p := pool.PublishedState{Pools: &b.state, Catalogue: &b.fleet, Members: []string{z.name}}
		moves := z.lending.Proposals(p, b.now)
		z.keep(b.now)
		for _, m := range moves {
			if b.fleet.Pools[m.From].Value.Spare && z.lent >= z.kept {
				b.result.HeldBack++
				continue
			}
			body := pool.StartDrain{Host: m.Host, Purpose: pool.PurposeMove, From: m.From, To: m.To}
			id, out, err := b.apply(z.name, pool.KindDrain, m.Cause, body)
			if err != nil {
				return err
			}
			if !out.Accepted {
				b.result.HeldBack++
				continue
			}
			b.moving = append(b.moving, moving{drain: id, zone: z.name, ends: b.now.Add(moveTime)})
			if b.measured {
				b.moves++
			}
		}
	}
	return nil
}

// keep follows the number of spare hosts that the policy holds.
func (z *zone) keep(now time.Time) {
	held := max(z.lending.SpareTarget(), z.lent)
	switch {
	case held <= z.kept:
		z.kept = held
		z.acquired = now
	case now.Sub(z.acquired) >= acquireTime:
		z.kept++
		z.acquired = now
	}
}

// endMoves acknowledges the moves that have waited long enough.
func (b *bench) endMoves() error {
	for len(b.moving) > 0 && !b.now.Before(b.moving[0].ends) {
		m := b.moving[0]
		b.moving = b.moving[1:]
		ack := pool.Ack{Drain: m.drain, Round: b.state.Drains[m.drain].Round}
		_, out, err := b.apply(m.zone, pool.KindAck, record.Cause{}, ack)
		if err != nil {
			return err
		}
		if !out.Accepted {
			return eris.Errorf("acknowledgement turned down: %s", out.Reason)
		}
	}
	return nil
}

func (b *bench) apply(author string, kind record.Kind, cause record.Cause, body any) (string, record.Outcome, error) {
	r, err := record.New(kind, author, b.now, cause, body)
	if err != nil {
		return "", record.Outcome{}, err
	}
	b.offset++
	out := b.state.Apply(b.offset, r, b)
	b.recount()
	return r.ID.String(), out, nil
}

// recount counts the hosts of each pool in each zone, and the pools that are
// outside their limits.
func (b *bench) recount() {
	b.broken = 0
	for _, p := range b.fleet.Pools {
		if b.outside(p.Value) {
			b.broken++
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
