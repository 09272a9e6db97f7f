package dispatch

import (
	"time"

	"golang.org/x/time/rate"
)

// How other zones are asked for their load.
const (
	// DefaultAskInterval is the shortest time between two questions to one
	// zone about one pool.
	DefaultAskInterval = 50 * time.Millisecond
	// answerExpiry is how long an answer is believed.
	answerExpiry = 250 * time.Millisecond
	// gainShare is the part of the own wait that a zone must stay under. It
	// keeps zones that are all overloaded from passing requests around.
	gainShare = 0.5
	// askBytes are the bytes of a question and its answer.
	askBytes = 96
	// assumedDistance is the way to a zone that has not answered yet.
	assumedDistance = time.Millisecond
)

// Zones decides when a request goes to another zone. Following Arora and Das,
// "A De-centralized Scheduling and Load Balancing Algorithm for Heterogeneous
// Grid Environments", a zone is asked for its load only while twice the
// distance to it is under the time that the own queue takes to empty, so that
// the answer comes while the request would have waited anyway.
//
// It does no I/O, reads no clock and is not safe for concurrent use.
type Zones struct {
	known  map[string]*zoneLoad
	order  []string
	budget *rate.Limiter
}

// zoneLoad is what is known of one other zone.
type zoneLoad struct {
	asked    time.Time
	answered time.Time
	load     Load
	// distance is the time of one message.
	distance time.Duration
}

// NewZones returns a Zones that knows of no zone.
func NewZones(budget *rate.Limiter) *Zones {
	return &Zones{known: map[string]*zoneLoad{}, budget: budget}
}

// SetZones replaces the zones that can be reached, in a fixed order.
func (z *Zones) SetZones(names []string) {
	known := make(map[string]*zoneLoad, len(names))
	for _, n := range names {
		known[n] = z.known[n]
		if known[n] == nil {
			known[n] = &zoneLoad{distance: assumedDistance}
		}
	}
	z.known = known
	z.order = append(z.order[:0], names...)
}

// Ask returns the zones to ask now, given the wait in the own zone, and notes
// that they are asked. It stays within the budget of control bytes.
func (z *Zones) Ask(now time.Time, wait time.Duration) []string {
	var out []string
	for _, n := range z.order {
		k := z.known[n]
		if 2*k.distance >= wait || now.Sub(k.asked) < DefaultAskInterval {
			continue
		}
		if !z.budget.AllowN(now, askBytes) {
			break
		}
		k.asked = now
		out = append(out, n)
	}
	return out
}

// Observe takes in a zone's answer, and the time from question to answer.
func (z *Zones) Observe(now time.Time, name string, l Load, roundTrip time.Duration) {
	k, ok := z.known[name]
	if !ok {
		return
	}
	k.answered = now
	k.load = l
	if roundTrip > 0 {
		k.distance = roundTrip / 2
	}
}

// Choose returns the zone that would serve a request soonest, if that is
// clearly sooner than here, and counts the request there. eligible may be nil.
func (z *Zones) Choose(now time.Time, wait, size time.Duration, eligible func(zone string) bool) (string, bool) {
	best, least := "", time.Duration(gainShare*float64(wait))
	for _, n := range z.order {
		k := z.known[n]
		if now.Sub(k.answered) > answerExpiry || k.load.Slots == 0 {
			continue
		}
		if eligible != nil && !eligible(n) {
			continue
		}
		if there := 2*k.distance + k.load.Wait; there < least {
			best, least = n, there
		}
	}
	if best == "" {
		return "", false
	}
	z.known[best].load.add(size)
	return best, true
}

// add counts one more request of the given size.
func (l *Load) add(size time.Duration) {
	if l.Free > 0 {
		l.Free--
		return
	}
	l.Wait += size / time.Duration(l.Slots)
}
