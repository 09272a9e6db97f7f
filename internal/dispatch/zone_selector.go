package dispatch

import (
	"time"

	"golang.org/x/time/rate"
)

// Parameters of the load queries to other zones.
const (
	// DefaultQueryInterval is the shortest time between two load queries to
	// one zone about one pool.
	DefaultQueryInterval = 50 * time.Millisecond
	// loadExpiry is how long the reported load of a zone is used.
	loadExpiry = 250 * time.Millisecond
	// maxWaitShare is the share of this zone's wait that another zone's
	// delay must stay under. It keeps zones that are all overloaded from
	// passing requests around.
	maxWaitShare = 0.5
	// queryBytes is the size of a query and its answer.
	queryBytes = 96
	// defaultOneWayDelay is the assumed delay to a zone that has not
	// answered yet.
	defaultOneWayDelay = time.Millisecond
)

// ZoneSelector decides when a request goes to another zone. Following Arora and
// Das, "A De-centralized Scheduling and Load Balancing Algorithm for
// Heterogeneous Grid Environments", a zone is queried for its load only while
// twice the one-way delay to it is under the time that this zone's queue takes
// to empty, so that the answer comes while the request would have waited
// anyway.
//
// It does no I/O, reads no clock and is not safe for concurrent use.
type ZoneSelector struct {
	loads  map[string]*zoneLoad
	zones  []string
	budget *rate.Limiter
}

// zoneLoad is the last reported load of one other zone.
type zoneLoad struct {
	queriedAt  time.Time
	answeredAt time.Time
	load       Load
	// oneWayDelay is the time that one message takes.
	oneWayDelay time.Duration
}

// NewZoneSelector returns a selector without zones.
func NewZoneSelector(budget *rate.Limiter) *ZoneSelector {
	return &ZoneSelector{loads: map[string]*zoneLoad{}, budget: budget}
}

// SetZones replaces the zones that can be reached, in a fixed order.
func (z *ZoneSelector) SetZones(names []string) {
	known := make(map[string]*zoneLoad, len(names))
	for _, n := range names {
		known[n] = z.loads[n]
		if known[n] == nil {
			known[n] = &zoneLoad{oneWayDelay: defaultOneWayDelay}
		}
	}
	z.loads = known
	z.zones = append(z.zones[:0], names...)
}

// DueQueries returns the zones to query now, given the wait in this zone, and
// records the time of each query. It returns no more than the control budget
// allows.
func (z *ZoneSelector) DueQueries(now time.Time, wait time.Duration) []string {
	var out []string
	for _, n := range z.zones {
		k := z.loads[n]
		if 2*k.oneWayDelay >= wait || now.Sub(k.queriedAt) < DefaultQueryInterval {
			continue
		}
		if !z.budget.AllowN(now, queryBytes) {
			break
		}
		k.queriedAt = now
		out = append(out, n)
	}
	return out
}

// Observe records a zone's load and the round-trip time of the query.
func (z *ZoneSelector) Observe(now time.Time, name string, l Load, roundTrip time.Duration) {
	k, ok := z.loads[name]
	if !ok {
		return
	}
	k.answeredAt = now
	k.load = l
	if roundTrip > 0 {
		k.oneWayDelay = roundTrip / 2
	}
}

// Choose returns the zone that would serve a request soonest, if that is
// clearly sooner than here, and adds the request to that zone's load. eligible
// may be nil.
func (z *ZoneSelector) Choose(now time.Time, wait, runTime time.Duration, eligible func(zone string) bool) (string, bool) {
	best, least := "", time.Duration(maxWaitShare*float64(wait))
	for _, n := range z.zones {
		k := z.loads[n]
		if now.Sub(k.answeredAt) > loadExpiry || k.load.Slots == 0 {
			continue
		}
		if eligible != nil && !eligible(n) {
			continue
		}
		if there := 2*k.oneWayDelay + k.load.Wait; there < least {
			best, least = n, there
		}
	}
	if best == "" {
		return "", false
	}
	z.loads[best].load.addRequest(runTime)
	return best, true
}

// addRequest adds one request of the given run time to the load.
func (l *Load) addRequest(runTime time.Duration) {
	if l.Free > 0 {
		l.Free--
		return
	}
	l.Wait += runTime / time.Duration(l.Slots)
}
