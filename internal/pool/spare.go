package pool

import (
	"fmt"
	"math"
	"time"
)

// Load is a pool's part in one availability zone.
type Load struct {
	Pool string
	// Hosts counts the pool's usable hosts in the zone and those that are
	// being moved in; Lent counts those of them that come from a spare pool.
	Hosts, Lent int
	// Demand is the work that runs or was refused, in hosts that it would fill.
	Demand float64
}

// SpareInput is what a spare policy looks at.
type SpareInput struct {
	Now time.Time
	// Elapsed is the time since the decision before.
	Elapsed time.Duration
	// Idle counts the usable hosts of spare pools in the zone.
	Idle  int
	Loads []Load
}

// Change is a number of hosts to lend to a pool or, when negative, to take
// back, and why.
type Change struct {
	Pool   string
	Hosts  int
	Reason string
}

// PoolMemory is what a spare policy remembers of a pool.
type PoolMemory struct {
	// Mean is the demand, in hosts, averaged over Smoothing.
	Mean float64
	// Short and Surplus are the host-seconds that the pool lacked, or held
	// without need, since the last change.
	Short, Surplus float64
	// Day holds the mean demand of the last day by slot of the day, 0 for a
	// slot that was never seen.
	Day [daySlots]float32
}

// SpareMemory is what a spare policy remembers, by pool.
type SpareMemory map[string]PoolMemory

// SparePolicy decides how many hosts pools borrow from the spare pools of their
// zone. Decide is a pure function: it changes neither m nor in.
type SparePolicy interface {
	Decide(m SpareMemory, in SpareInput) (SpareMemory, []Change)
	// Hold returns how many spare hosts of the zone, lent ones included, are
	// worth keeping in the near future.
	Hold(m SpareMemory, in SpareInput) int
}

// daySlots is how many slots the history of a day has.
const daySlots = 48

const slotLength = 24 * time.Hour / daySlots

func slotOf(t time.Time) int {
	sinceMidnight := t.Sub(t.Truncate(24 * time.Hour))
	return int(sinceMidnight/slotLength) % daySlots
}

// SpareRates holds the prices that spare policies weigh.
type SpareRates struct {
	// TargetUse is the mean share of a pool's slots that should be busy.
	TargetUse float64
	// Smoothing is the time over which demand is averaged. It must be many
	// times longer than a burst.
	Smoothing time.Duration
	// MoveCost is what one host move costs, as time that one host is missed.
	MoveCost time.Duration
	// HoldCost is how long a lent host may go unused before it is returned.
	HoldCost time.Duration
	// Lead is how long before an expected demand hosts are moved.
	Lead time.Duration
}

// DefaultSpareRates are the rates of the daemon.
var DefaultSpareRates = SpareRates{
	TargetUse: 0.5,
	Smoothing: 5 * time.Minute,
	MoveCost:  10 * time.Minute,
	HoldCost:  20 * time.Minute,
	Lead:      15 * time.Minute,
}

// smooth moves mean towards demand as an exponential average does in elapsed.
func smooth(mean, demand float64, elapsed, over time.Duration) float64 {
	share := 1 - math.Exp(-elapsed.Seconds()/over.Seconds())
	return mean + share*(demand-mean)
}

// NoLending never moves a host.
type NoLending struct{}

// Decide implements SparePolicy.
func (NoLending) Decide(m SpareMemory, _ SpareInput) (SpareMemory, []Change) { return m, nil }

// Hold implements SparePolicy: it keeps every spare host.
func (NoLending) Hold(_ SpareMemory, in SpareInput) int { return spareHosts(in) }

func spareHosts(in SpareInput) int {
	n := in.Idle
	for _, l := range in.Loads {
		n += l.Lent
	}
	return n
}

// Threshold lends a host when a pool's use is above High and takes one back
// when it is below Low.
type Threshold struct {
	High, Low float64
	Smoothing time.Duration
}

// DefaultThreshold is a threshold with a wide hysteresis.
var DefaultThreshold = Threshold{High: 0.6, Low: 0.3, Smoothing: time.Minute}

// Decide implements SparePolicy.
func (t Threshold) Decide(m SpareMemory, in SpareInput) (SpareMemory, []Change) {
	next := make(SpareMemory, len(in.Loads))
	idle := in.Idle
	var changes []Change
	for _, l := range in.Loads {
		pm := m[l.Pool]
		pm.Mean = smooth(pm.Mean, l.Demand, in.Elapsed, t.Smoothing)
		use := pm.Mean / float64(max(l.Hosts, 1))
		switch {
		case use > t.High && idle > 0:
			idle--
			changes = append(changes, Change{l.Pool, 1, fmt.Sprintf("use %.2f above %.2f", use, t.High)})
		case use < t.Low && l.Lent > 0:
			changes = append(changes, Change{l.Pool, -1, fmt.Sprintf("use %.2f below %.2f", use, t.Low)})
		}
		next[l.Pool] = pm
	}
	return next, changes
}

// Hold implements SparePolicy: a threshold knows of no future, so it keeps
// every spare host.
func (Threshold) Hold(_ SpareMemory, in SpareInput) int { return spareHosts(in) }

// BreakEven lends hosts once their lack has cost as much as a move, and takes
// them back once holding them unused has. Like the rule to buy skis once
// renting has cost their price, it never costs more than about twice what
// knowing the future would.
type BreakEven struct {
	SpareRates
}

// Decide implements SparePolicy.
func (b BreakEven) Decide(m SpareMemory, in SpareInput) (SpareMemory, []Change) {
	return b.decide(m, in, func(pm PoolMemory) float64 { return b.need(pm.Mean) })
}

// need returns how many hosts a mean demand asks for.
func (b BreakEven) need(mean float64) float64 { return mean / b.TargetUse }

// decide weighs each pool's need for hosts against what it has.
func (b BreakEven) decide(m SpareMemory, in SpareInput, need func(PoolMemory) float64) (SpareMemory, []Change) {
	next := make(SpareMemory, len(in.Loads))
	idle := in.Idle
	var changes []Change
	for _, l := range in.Loads {
		pm := m[l.Pool]
		pm.Mean = smooth(pm.Mean, l.Demand, in.Elapsed, b.Smoothing)
		change := b.weigh(&pm, l, need(pm), idle, in.Elapsed)
		if change.Hosts != 0 {
			idle -= max(change.Hosts, 0)
			changes = append(changes, change)
		}
		next[l.Pool] = pm
	}
	return next, changes
}

// weigh adds what the pool lacked or held in excess, and returns the change
// that has paid for itself.
func (b BreakEven) weigh(pm *PoolMemory, l Load, need float64, idle int, elapsed time.Duration) Change {
	seconds := elapsed.Seconds()
	short := need - float64(l.Hosts)
	surplus := min(math.Floor(-short), float64(l.Lent))
	pm.Short = max(0, pm.Short+short*seconds)
	pm.Surplus = max(0, pm.Surplus+surplus*seconds)
	switch {
	case pm.Short >= b.MoveCost.Seconds() && short > 0:
		n := min(int(math.Ceil(short)), idle)
		reason := fmt.Sprintf("mean demand fills %.1f hosts, needs %.1f, has %d; %.0f host-seconds short",
			pm.Mean, need, l.Hosts, pm.Short)
		pm.Short = 0
		return Change{l.Pool, n, reason}
	case pm.Surplus >= b.HoldCost.Seconds() && surplus > 0:
		reason := fmt.Sprintf("mean demand fills %.1f hosts, needs %.1f, has %d; %.0f host-seconds unused",
			pm.Mean, need, l.Hosts, pm.Surplus)
		pm.Surplus = 0
		return Change{l.Pool, -int(surplus), reason}
	}
	return Change{}
}

// Hold implements SparePolicy: break-even knows of no future, so it keeps
// every spare host.
func (BreakEven) Hold(_ SpareMemory, in SpareInput) int { return spareHosts(in) }

// Predictive is BreakEven on the larger of the demand now and the demand of
// the same time yesterday, so that a nightly peak finds its hosts in place.
type Predictive struct {
	BreakEven
	// Reserve is how many idle spare hosts to hold beyond what yesterday
	// needed.
	Reserve int
}

// DefaultPredictive is the policy of the daemon.
var DefaultPredictive = Predictive{BreakEven: BreakEven{SpareRates: DefaultSpareRates}, Reserve: 1}

// Decide implements SparePolicy.
func (p Predictive) Decide(m SpareMemory, in SpareInput) (SpareMemory, []Change) {
	ahead := slotOf(in.Now.Add(p.Lead))
	next, changes := p.decide(m, in, func(pm PoolMemory) float64 {
		return max(p.need(pm.Mean), p.need(float64(pm.Day[ahead])))
	})
	slot := slotOf(in.Now)
	for name, pm := range next {
		pm.Day[slot] = float32(pm.Mean)
		next[name] = pm
	}
	return next, changes
}

// holdAhead is how far ahead spare hosts must be held: it takes that long to
// get one.
const holdAhead = 2 * time.Hour

// Hold implements SparePolicy: it keeps what yesterday's demand of the next
// hours would borrow at most, and the reserve. Until it has seen a day it
// keeps every spare host.
func (p Predictive) Hold(m SpareMemory, in SpareInput) int {
	most := 0
	for ahead := time.Duration(0); ahead <= holdAhead; ahead += slotLength {
		lent, seen := p.lentAt(m, in, slotOf(in.Now.Add(ahead)))
		if !seen {
			return spareHosts(in)
		}
		most = max(most, lent)
	}
	return min(most+p.Reserve, spareHosts(in))
}

// lentAt returns how many hosts a slot of yesterday would borrow, and whether
// yesterday was seen.
func (p Predictive) lentAt(m SpareMemory, in SpareInput, slot int) (int, bool) {
	lent := 0
	for _, l := range in.Loads {
		mean := float64(m[l.Pool].Day[slot])
		if mean == 0 {
			return 0, false
		}
		own := float64(l.Hosts - l.Lent)
		lent += int(math.Ceil(max(0, p.need(mean)-own)))
	}
	return max(lent, spareHosts(in)-in.Idle), true
}
