package dispatch

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// DefaultReportInterval is the shortest time between two reports of a
// daemon's state to its zone-mates.
const DefaultReportInterval = 10 * time.Millisecond

// countInterval is how often a state that has changed in number only is sent.
const countInterval = 100 * time.Millisecond

// refreshInterval is how often a state that has not changed is sent again.
const refreshInterval = 5 * time.Second

// pullInterval is the shortest time between two pulls.
const pullInterval = 500 * time.Microsecond

// The bytes of control messages, framing included.
const (
	reportBytes = 40
	pullBytes   = 48
)

// State is what a daemon tells its zone-mates of its part of a pool.
type State struct {
	// Free is how many more short requests it could start now, LongFree how
	// many long ones.
	Free     int `cbor:"1,keyasint,omitempty"`
	LongFree int `cbor:"2,keyasint,omitempty"`
	// Queued is how many of its own urgent and short requests wait, and
	// LongQueued how many long ones.
	Queued     int `cbor:"3,keyasint,omitempty"`
	LongQueued int `cbor:"4,keyasint,omitempty"`
}

// Waits reports whether requests wait that could be handed over.
func (s State) Waits(long bool) bool {
	if long {
		return s.LongQueued > 0
	}
	return s.Queued > 0
}

// kind is the part of a state that others act on.
type kind struct {
	free, longFree, queued, longQueued bool
}

func (s State) kind() kind {
	return kind{s.Free > 0, s.LongFree > 0, s.Queued > 0, s.LongQueued > 0}
}

// Lending decides when a daemon without a free slot hands a new request to a
// zone-mate that has one, and when one without work asks a zone-mate for a
// request that waits. It knows what the mates last reported; a report that was
// wrong costs a wait at the mate, never a second use of a slot.
//
// It does no I/O, reads no clock and is not safe for concurrent use.
type Lending struct {
	known map[string]State
	// order holds the mates by ID, so that equal mates are chosen alike in
	// every run.
	order    []string
	sent     State
	sentAt   time.Time
	untold   bool // a mate has had no report yet
	pulledAt time.Time
	interval time.Duration
	budget   *rate.Limiter
}

// NewLending returns a lending without mates.
func NewLending(budget *rate.Limiter) *Lending {
	return &Lending{known: map[string]State{}, interval: DefaultReportInterval, budget: budget}
}

// SetMates replaces the live zone-mates, this daemon not included. A new mate
// counts as full until it reports.
func (l *Lending) SetMates(mates []string) {
	known := make(map[string]State, len(mates))
	for _, m := range mates {
		s, ok := l.known[m]
		if !ok {
			l.untold = true
		}
		known[m] = s
	}
	l.known = known
	l.order = append(l.order[:0], mates...)
}

// Observe takes in what a mate reported.
func (l *Lending) Observe(mate string, s State) {
	if _, ok := l.known[mate]; ok {
		l.known[mate] = s
	}
}

// LendTo returns the mate with most free slots and counts one of them as taken.
func (l *Lending) LendTo(long bool) (string, bool) {
	best, most := "", 0
	for _, m := range l.order {
		if n := freeFor(l.known[m], long); n > most {
			best, most = m, n
		}
	}
	if most == 0 {
		return "", false
	}
	s := l.known[best]
	s.Free = max(0, s.Free-1)
	if long {
		s.LongFree--
	}
	l.known[best] = s
	return best, true
}

// PullFrom returns the mate with most requests waiting, given own free slots,
// and counts one of them as gone.
func (l *Lending) PullFrom(own State) (mate string, long, ok bool) {
	best, most := "", 0
	for _, m := range l.order {
		s := l.known[m]
		if own.Free > 0 && s.Queued > most {
			best, most, long = m, s.Queued, false
		}
	}
	if most == 0 && own.LongFree > 0 {
		for _, m := range l.order {
			if s := l.known[m]; s.LongQueued > most {
				best, most, long = m, s.LongQueued, true
			}
		}
	}
	if most == 0 {
		return "", false, false
	}
	s := l.known[best]
	if long {
		s.LongQueued--
	} else {
		s.Queued--
	}
	l.known[best] = s
	return best, long, true
}

// Pull is PullFrom within the budget of control bytes, and no more often than
// an answer to the last pull takes.
func (l *Lending) Pull(now time.Time, own State) (mate string, long, ok bool) {
	if now.Sub(l.pulledAt) < pullInterval {
		return "", false, false
	}
	mate, long, ok = l.PullFrom(own)
	if !ok || !l.budget.AllowN(now, pullBytes) {
		return "", false, false
	}
	l.pulledAt = now
	return mate, long, true
}

// Mates returns the live zone-mates.
func (l *Lending) Mates() []string { return slices.Clone(l.order) }

// Due reports whether the own state is to be sent, or a pull may be made.
func (l *Lending) Due(now time.Time, own State) bool {
	if len(l.order) == 0 {
		return false
	}
	return l.stale(now, own) || l.wanted(own)
}

// stale reports whether the mates should hear of the own state: it has changed
// in kind, or in number for a while, a mate never heard of it, or a report may
// have been lost.
func (l *Lending) stale(now time.Time, own State) bool {
	if l.untold || own.kind() != l.sent.kind() {
		return true
	}
	age := now.Sub(l.sentAt)
	return age >= refreshInterval || (own != l.sent && age >= countInterval)
}

// wanted reports whether a mate has requests waiting that could run here.
func (l *Lending) wanted(own State) bool {
	if own.Free == 0 {
		return false
	}
	for _, s := range l.known {
		if s.Queued > 0 || (s.LongQueued > 0 && own.LongFree > 0) {
			return true
		}
	}
	return false
}

// Report returns whether the own state should be sent now. Otherwise it returns
// when to ask again, or 0 for the next change.
func (l *Lending) Report(now time.Time, own State) (send bool, again time.Duration) {
	if len(l.order) == 0 || !l.stale(now, own) {
		return false, 0
	}
	if wait := l.sentAt.Add(l.interval).Sub(now); wait > 0 {
		return false, wait
	}
	if !l.budget.AllowN(now, reportBytes*len(l.order)) {
		return false, l.interval
	}
	l.sent = own
	l.sentAt = now
	l.untold = false
	return true, 0
}

func freeFor(s State, long bool) int {
	if long {
		return s.LongFree
	}
	return s.Free
}
