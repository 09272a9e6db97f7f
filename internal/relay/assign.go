package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"greengagedeck/internal/duty"
	"greengagedeck/internal/worker"
)

const (
	// workersPerCore is how many busy workers a relay with one core carries the orders
	// of.
	workersPerCore = 320
	// ownShare is the part of the workers that this daemon could carry the orders of
	// up to which it does: it also decides for them. Above ownFactor times as many, relays
	// carry the orders of all.
	ownShare  = 0.25
	ownFactor = 2
	// assignmentIdle is how long a worker without orders stays assigned to a relay.
	assignmentIdle = 10 * time.Second
	// directPeriod is how long the orders for a worker that a relay did not reach are
	// sent by this daemon.
	directPeriod = 5 * time.Second
)

// direct stands for this daemon among the relays.
const direct = ""

// assignments tell which relay carries the orders of which worker. An assignment
// stays, so that a worker keeps its connections. It is not safe for concurrent use.
type assignments struct {
	self duty.Member
	// relays are the daemons that may be assigned workers, by ID.
	relays map[string]duty.Member
	// counts is how many workers are assigned to each relay.
	counts   map[string]int
	byWorker map[string]*assignment
}

// assignment is the relay of one worker.
type assignment struct {
	relay  string
	usedAt time.Duration
	// directUntil is until when the relay is not used.
	directUntil time.Duration
}

func newAssignments(self duty.Member) *assignments {
	return &assignments{self: self, relays: map[string]duty.Member{}, counts: map[string]int{}, byWorker: map[string]*assignment{}}
}

// setRelays replaces the daemons that may be assigned workers, and forgets the workers
// that have had no orders for long.
func (a *assignments) setRelays(relays []duty.Member, now time.Duration) {
	clear(a.relays)
	for _, m := range relays {
		a.relays[m.ID()] = m
	}
	tooMany := float64(len(a.byWorker)) > ownFactor*a.ownLimit()
	for id, as := range a.byWorker {
		_, known := a.relays[as.relay]
		ended := !known && (as.relay != direct || tooMany)
		if ended || now-as.usedAt > assignmentIdle {
			a.remove(id, as)
		}
	}
}

// ownLimit returns up to how many workers this daemon sends the orders itself.
func (a *assignments) ownLimit() float64 { return ownShare * capacity(a.self) }

func (a *assignments) remove(workerID string, as *assignment) {
	delete(a.byWorker, workerID)
	if a.counts[as.relay]--; a.counts[as.relay] <= 0 {
		delete(a.counts, as.relay)
	}
}

// relayOf returns the relay for an order to a worker, or direct.
func (a *assignments) relayOf(to worker.Target, now time.Duration) string {
	as := a.byWorker[to.ID]
	if as == nil {
		as = &assignment{relay: a.choose(to)}
		a.byWorker[to.ID] = as
		a.counts[as.relay]++
	}
	as.usedAt = now
	if now < as.directUntil {
		return direct
	}
	return as.relay
}

// bypass has the orders for a worker sent by this daemon for directPeriod.
func (a *assignments) bypass(workerID string, now time.Duration) {
	if as := a.byWorker[workerID]; as != nil {
		as.directUntil = now + directPeriod
	}
}

// choose returns the relay for a worker without one: this daemon while it has few
// workers, else the relay in the worker's zone that is loaded the least. Without one
// that can take the worker, it is this daemon.
func (a *assignments) choose(to worker.Target) string {
	if float64(len(a.byWorker)) < a.ownLimit() {
		return direct
	}
	var open []duty.Member
	for _, m := range a.relays {
		if float64(a.counts[m.ID()]) < capacity(m) {
			open = append(open, m)
		}
	}
	if len(open) == 0 {
		return direct
	}
	best := slices.MinFunc(open, func(x, y duty.Member) int {
		return cmp.Or(
			cmp.Compare(zoneRank(x, to), zoneRank(y, to)),
			cmp.Compare(y.Weight, x.Weight),
			cmp.Compare(a.rank(x), a.rank(y)),
		)
	})
	return best.ID()
}

// rank orders relays of equal weight differently for each daemon, so that the holders
// of several pools use different ones.
func (a *assignments) rank(m duty.Member) uint64 {
	return xxhash.Sum64String(a.self.Host + "|" + m.Host)
}

// capacity returns how many workers a daemon can carry the orders of.
func capacity(m duty.Member) float64 { return m.Weight * workersPerCore }

// zoneRank orders relays in the zone of a worker before others.
func zoneRank(m duty.Member, to worker.Target) int {
	if m.Zone == to.Zone {
		return 0
	}
	return 1
}
