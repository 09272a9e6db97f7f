package pool

import (
	"fmt"
	"math"
	"time"
)

// PoolLoad is the demand and the hosts of a pool in one availability zone.
type PoolLoad struct {
	Pool string
	// Hosts counts the pool's usable hosts in the zone and those that are being
	// moved in. Borrowed counts those of them that come from a spare pool.
	Hosts, Borrowed int
	// Demand is the number of hosts that the running and the rejected requests
	// would fill.
	Demand float64
}

// SpareInput is the input of a spare policy.
type SpareInput struct {
	Now time.Time
	// Elapsed is the time since the previous decision.
	Elapsed time.Duration
	// IdleHosts counts the usable hosts of spare pools in the zone.
	IdleHosts int
	Loads     []PoolLoad
}

// LendingChange is the number of hosts to lend to a pool or, if negative, to take
// back from it, and the reason.
type LendingChange struct {
	Pool   string
	Hosts  int
	Reason string
}

// PoolPolicyState is the state of a spare policy for one pool.
type PoolPolicyState struct {
	// MeanDemand is the demand, in hosts, averaged over SmoothingTime.
	MeanDemand float64
	// Shortage and Surplus are the host-seconds that the pool lacked, or held
	// unused, since the last change.
	Shortage, Surplus float64
	// DailyDemand holds the mean demand of the last day by time slot of the
	// day, or 0 for a time slot without data.
	DailyDemand [timeSlotsPerDay]float32
}

// SparePolicyState is the state of a spare policy, by pool.
type SparePolicyState map[string]PoolPolicyState

// SparePolicy decides how many hosts pools borrow from the spare pools of their
// zone. Decide is a pure function: it modifies neither m nor in.
type SparePolicy interface {
	Decide(m SparePolicyState, in SpareInput) (SparePolicyState, []LendingChange)
	// SpareTarget returns how many spare hosts of the zone, including borrowed
	// ones, to keep for the near future.
	SpareTarget(m SparePolicyState, in SpareInput) int
}

// timeSlotsPerDay is the number of time slots in the demand history of a day.
const timeSlotsPerDay = 48

const timeSlotLength = 24 * time.Hour / timeSlotsPerDay

func timeSlotOfDay(t time.Time) int {
	sinceMidnight := t.Sub(t.Truncate(24 * time.Hour))
	return int(sinceMidnight/timeSlotLength) % timeSlotsPerDay
}

// SpareParams holds the costs and time constants of spare policies.
type SpareParams struct {
	// TargetUtilization is the mean share of a pool's slots that should be busy.
	TargetUtilization float64
	// SmoothingTime is the time over which demand is averaged. It must be many
	// times longer than a burst.
	SmoothingTime time.Duration
	// MoveCost is the cost of moving one host, as the time for which lacking
	// one host costs the same.
	MoveCost time.Duration
	// HoldCost is the time that a borrowed host may be unused before it is
	// returned.
	HoldCost time.Duration
	// LeadTime is how long before an expected demand hosts are moved.
	LeadTime time.Duration
}

// DefaultSpareParams are the parameters that the daemon uses.
var DefaultSpareParams = SpareParams{
	TargetUtilization: 0.5,
	SmoothingTime:     5 * time.Minute,
	MoveCost:          10 * time.Minute,
	HoldCost:          20 * time.Minute,
	LeadTime:          15 * time.Minute,
}

// exponentialAverage returns mean after demand has lasted for elapsed, as an
// exponential moving average with the time constant over.
func exponentialAverage(mean, demand float64, elapsed, over time.Duration) float64 {
	share := 1 - math.Exp(-elapsed.Seconds()/over.Seconds())
	return mean + share*(demand-mean)
}

// NoLending never moves a host.
type NoLending struct{}

// Decide implements SparePolicy.
func (NoLending) Decide(m SparePolicyState, _ SpareInput) (SparePolicyState, []LendingChange) {
	return m, nil
}

// SpareTarget implements SparePolicy: it keeps every spare host.
func (NoLending) SpareTarget(_ SparePolicyState, in SpareInput) int { return totalSpareHosts(in) }

func totalSpareHosts(in SpareInput) int {
	n := in.IdleHosts
	for _, l := range in.Loads {
		n += l.Borrowed
	}
	return n
}

// Threshold lends a host to a pool whose utilization is above High and takes one
// back from a pool whose utilization is below Low.
type Threshold struct {
	High, Low     float64
	SmoothingTime time.Duration
}

// DefaultThreshold is a Threshold policy with a wide hysteresis.
var DefaultThreshold = Threshold{High: 0.6, Low: 0.3, SmoothingTime: time.Minute}

// Decide implements SparePolicy.
func (t Threshold) Decide(m SparePolicyState, in SpareInput) (SparePolicyState, []LendingChange) {
	next := make(SparePolicyState, len(in.Loads))
	idle := in.IdleHosts
	var changes []LendingChange
	for _, l := range in.Loads {
		pm := m[l.Pool]
		pm.MeanDemand = exponentialAverage(pm.MeanDemand, l.Demand, in.Elapsed, t.SmoothingTime)
		use := pm.MeanDemand / float64(max(l.Hosts, 1))
		switch {
		case use > t.High && idle > 0:
			idle--
			changes = append(changes, LendingChange{l.Pool, 1, fmt.Sprintf("use %.2f above %.2f", use, t.High)})
		case use < t.Low && l.Borrowed > 0:
			changes = append(changes, LendingChange{l.Pool, -1, fmt.Sprintf("use %.2f below %.2f", use, t.Low)})
		}
		next[l.Pool] = pm
	}
	return next, changes
}

// SpareTarget implements SparePolicy: a threshold makes no forecast, so it keeps
// every spare host.
func (Threshold) SpareTarget(_ SparePolicyState, in SpareInput) int { return totalSpareHosts(in) }

// BreakEven lends hosts once the shortage has cost as much as a move (MoveCost),
// and takes them back once holding them unused has cost HoldCost. As in the ski
// rental problem, the total cost is at most about twice that of an optimal policy
// that knows the future demand.
type BreakEven struct {
	SpareParams
}

// Decide implements SparePolicy.
func (b BreakEven) Decide(m SparePolicyState, in SpareInput) (SparePolicyState, []LendingChange) {
	return b.decide(m, in, func(pm PoolPolicyState) float64 { return b.requiredHosts(pm.MeanDemand) })
}

// requiredHosts returns how many hosts a mean demand requires at the target
// utilization.
func (b BreakEven) requiredHosts(mean float64) float64 { return mean / b.TargetUtilization }

// decide compares the hosts that each pool requires with those it has.
func (b BreakEven) decide(m SparePolicyState, in SpareInput, required func(PoolPolicyState) float64) (SparePolicyState, []LendingChange) {
	next := make(SparePolicyState, len(in.Loads))
	idle := in.IdleHosts
	var changes []LendingChange
	for _, l := range in.Loads {
		pm := m[l.Pool]
		pm.MeanDemand = exponentialAverage(pm.MeanDemand, l.Demand, in.Elapsed, b.SmoothingTime)
		change := b.evaluatePool(&pm, l, required(pm), idle, in.Elapsed)
		if change.Hosts != 0 {
			idle -= max(change.Hosts, 0)
			changes = append(changes, change)
		}
		next[l.Pool] = pm
	}
	return next, changes
}

// evaluatePool adds to the pool's shortage or surplus and returns a change if
// either has reached its cost.
func (b BreakEven) evaluatePool(pm *PoolPolicyState, l PoolLoad, required float64, idle int, elapsed time.Duration) LendingChange {
	seconds := elapsed.Seconds()
	shortage := required - float64(l.Hosts)
	surplus := min(math.Floor(-shortage), float64(l.Borrowed))
	pm.Shortage = max(0, pm.Shortage+shortage*seconds)
	pm.Surplus = max(0, pm.Surplus+surplus*seconds)
	switch {
	case pm.Shortage >= b.MoveCost.Seconds() && shortage > 0:
		n := min(int(math.Ceil(shortage)), idle)
		reason := fmt.Sprintf("mean demand fills %.1f hosts, needs %.1f, has %d; %.0f host-seconds short",
			pm.MeanDemand, required, l.Hosts, pm.Shortage)
		pm.Shortage = 0
		return LendingChange{l.Pool, n, reason}
	case pm.Surplus >= b.HoldCost.Seconds() && surplus > 0:
		reason := fmt.Sprintf("mean demand fills %.1f hosts, needs %.1f, has %d; %.0f host-seconds unused",
			pm.MeanDemand, required, l.Hosts, pm.Surplus)
		pm.Surplus = 0
		return LendingChange{l.Pool, -int(surplus), reason}
	}
	return LendingChange{}
}

// SpareTarget implements SparePolicy: break-even makes no forecast, so it keeps
// every spare host.
func (BreakEven) SpareTarget(_ SparePolicyState, in SpareInput) int { return totalSpareHosts(in) }

// Predictive is BreakEven on the larger of the current demand and yesterday's
// demand at the time of day LeadTime from now, so that hosts are in place before a
// nightly peak.
type Predictive struct {
	BreakEven
	// Reserve is how many idle spare hosts to keep beyond what the demand of
	// the last day required.
	Reserve int
}

// DefaultPredictive is the policy that the daemon uses.
var DefaultPredictive = Predictive{BreakEven: BreakEven{SpareParams: DefaultSpareParams}, Reserve: 1}

// Decide implements SparePolicy.
func (p Predictive) Decide(m SparePolicyState, in SpareInput) (SparePolicyState, []LendingChange) {
	ahead := timeSlotOfDay(in.Now.Add(p.LeadTime))
	next, changes := p.decide(m, in, func(pm PoolPolicyState) float64 {
		return max(p.requiredHosts(pm.MeanDemand), p.requiredHosts(float64(pm.DailyDemand[ahead])))
	})
	slot := timeSlotOfDay(in.Now)
	for name, pm := range next {
		pm.DailyDemand[slot] = float32(pm.MeanDemand)
		next[name] = pm
	}
	return next, changes
}

// spareLookahead is how far ahead spare hosts are kept, since acquiring one takes
// that long.
const spareLookahead = 2 * time.Hour

// SpareTarget implements SparePolicy: it keeps the maximum number of hosts that
// yesterday's demand within spareLookahead of the current time of day would
// borrow, plus Reserve. Without data for that period it keeps every spare host.
func (p Predictive) SpareTarget(m SparePolicyState, in SpareInput) int {
	maxBorrowed := 0
	for ahead := time.Duration(0); ahead <= spareLookahead; ahead += timeSlotLength {
		borrowed, known := p.borrowedInSlot(m, in, timeSlotOfDay(in.Now.Add(ahead)))
		if !known {
			return totalSpareHosts(in)
		}
		maxBorrowed = max(maxBorrowed, borrowed)
	}
	return min(maxBorrowed+p.Reserve, totalSpareHosts(in))
}

// borrowedInSlot returns how many hosts yesterday's demand in a time slot would
// borrow, or how many are borrowed now if that is more, and whether yesterday's
// demand is known.
func (p Predictive) borrowedInSlot(m SparePolicyState, in SpareInput, slot int) (int, bool) {
	borrowed := 0
	for _, l := range in.Loads {
		mean := float64(m[l.Pool].DailyDemand[slot])
		if mean == 0 {
			return 0, false
		}
		own := float64(l.Hosts - l.Borrowed)
		borrowed += int(math.Ceil(max(0, p.requiredHosts(mean)-own)))
	}
	return max(borrowed, totalSpareHosts(in)-in.IdleHosts), true
}
