package dispatch

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// DefaultReportInterval is the shortest time between two reports of a daemon's
// state to its zone peers.
const DefaultReportInterval = 10 * time.Millisecond

// countReportInterval is the shortest time between two reports if numbers of the
// state have changed, but none to or from zero.
const countReportInterval = 100 * time.Millisecond

// reportRefreshInterval is how often an unchanged state is sent again, in case
// a report was lost.
const reportRefreshInterval = 5 * time.Second

// minPullInterval is the shortest time between two pulls.
const minPullInterval = 500 * time.Microsecond

// Sizes of control messages in bytes, framing included.
const (
	reportBytes = 40
	pullBytes   = 48
)

// PoolState is the state of a daemon's part of a pool, as reported to its zone
// peers.
type PoolState struct {
	// Free is how many more short requests it could start now, FreeLong how
	// many long ones.
	Free     int `cbor:"1,keyasint,omitempty"`
	FreeLong int `cbor:"2,keyasint,omitempty"`
	// Queued is how many of its own urgent and short requests wait, and
	// QueuedLong how many long ones.
	Queued     int `cbor:"3,keyasint,omitempty"`
	QueuedLong int `cbor:"4,keyasint,omitempty"`
}

// HasQueued reports whether requests wait that could be handed over.
func (s PoolState) HasQueued(long bool) bool {
	if long {
		return s.QueuedLong > 0
	}
	return s.Queued > 0
}

// stateFlags holds which numbers of a PoolState are above zero. Zone peers act on
// these only.
type stateFlags struct {
	free, longFree, queued, longQueued bool
}

func (s PoolState) flags() stateFlags {
	return stateFlags{s.Free > 0, s.FreeLong > 0, s.Queued > 0, s.QueuedLong > 0}
}

// PeerBalancer decides when a daemon without a free slot hands a new request
// over to a zone peer that has one, and when a daemon without work asks a zone
// peer for a waiting request. It relies on the last reports of the zone peers. If
// a report is wrong, a request waits at the zone peer, but no slot is used twice.
//
// It does no I/O, reads no clock and is not safe for concurrent use.
type PeerBalancer struct {
	peerStates map[string]PoolState
	// peers holds the zone peers by ID, so that ties are resolved the same
	// way in every run.
	peers             []string
	lastSent          PoolState
	lastSentAt        time.Time
	hasUnreportedPeer bool // a zone peer has received no report yet
	lastPullAt        time.Time
	reportInterval    time.Duration
	budget            *rate.Limiter
}

// NewPeerBalancer returns a balancer without zone peers.
func NewPeerBalancer(budget *rate.Limiter) *PeerBalancer {
	return &PeerBalancer{peerStates: map[string]PoolState{}, reportInterval: DefaultReportInterval, budget: budget}
}

// SetZonePeers replaces the live zone peers, this daemon not included. A new
// zone peer counts as full until it reports.
func (l *PeerBalancer) SetZonePeers(zonePeers []string) {
	known := make(map[string]PoolState, len(zonePeers))
	for _, m := range zonePeers {
		s, ok := l.peerStates[m]
		if !ok {
			l.hasUnreportedPeer = true
		}
		known[m] = s
	}
	l.peerStates = known
	l.peers = append(l.peers[:0], zonePeers...)
}

// Observe records the state that a zone peer reported.
func (l *PeerBalancer) Observe(zonePeer string, s PoolState) {
	if _, ok := l.peerStates[zonePeer]; ok {
		l.peerStates[zonePeer] = s
	}
}

// ReserveSlot returns the zone peer with the most free slots and counts one of
// them as taken.
func (l *PeerBalancer) ReserveSlot(long bool) (string, bool) {
	best, most := "", 0
	for _, m := range l.peers {
		if n := freeSlotsFor(l.peerStates[m], long); n > most {
			best, most = m, n
		}
	}
	if most == 0 {
		return "", false
	}
	s := l.peerStates[best]
	s.Free = max(0, s.Free-1)
	if long {
		s.FreeLong--
	}
	l.peerStates[best] = s
	return best, true
}

// PickPullSource returns the zone peer with the most waiting requests that this
// daemon's free slots allow it to run, and counts one of them as handed over.
func (l *PeerBalancer) PickPullSource(own PoolState) (zonePeer string, long, ok bool) {
	best, most := "", 0
	for _, m := range l.peers {
		s := l.peerStates[m]
		if own.Free > 0 && s.Queued > most {
			best, most, long = m, s.Queued, false
		}
	}
	if most == 0 && own.FreeLong > 0 {
		for _, m := range l.peers {
			if s := l.peerStates[m]; s.QueuedLong > most {
				best, most, long = m, s.QueuedLong, true
			}
		}
	}
	if most == 0 {
		return "", false, false
	}
	s := l.peerStates[best]
	if long {
		s.QueuedLong--
	} else {
		s.Queued--
	}
	l.peerStates[best] = s
	return best, long, true
}

// NextPull returns the zone peer to pull from now, as PickPullSource does. It
// reports false if the control budget is used up or the last pull was less than
// minPullInterval ago, which leaves time for its answer.
func (l *PeerBalancer) NextPull(now time.Time, own PoolState) (zonePeer string, long, ok bool) {
	if now.Sub(l.lastPullAt) < minPullInterval {
		return "", false, false
	}
	zonePeer, long, ok = l.PickPullSource(own)
	if !ok || !l.budget.AllowN(now, pullBytes) {
		return "", false, false
	}
	l.lastPullAt = now
	return zonePeer, long, true
}

// ZonePeers returns the live zone peers.
func (l *PeerBalancer) ZonePeers() []string { return slices.Clone(l.peers) }

// ActionDue reports whether this daemon's state is to be sent, or a pull may be
// made.
func (l *PeerBalancer) ActionDue(now time.Time, own PoolState) bool {
	if len(l.peers) == 0 {
		return false
	}
	return l.reportNeeded(now, own) || l.pullPossible(own)
}

// reportNeeded reports whether the zone peers need this daemon's state: its
// flags have changed, its numbers changed and countReportInterval has passed, a
// zone peer never received it, or a report may have been lost.
func (l *PeerBalancer) reportNeeded(now time.Time, own PoolState) bool {
	if l.hasUnreportedPeer || own.flags() != l.lastSent.flags() {
		return true
	}
	age := now.Sub(l.lastSentAt)
	return age >= reportRefreshInterval || (own != l.lastSent && age >= countReportInterval)
}

// pullPossible reports whether a zone peer has waiting requests that could run
// here.
func (l *PeerBalancer) pullPossible(own PoolState) bool {
	if own.Free == 0 {
		return false
	}
	for _, s := range l.peerStates {
		if s.Queued > 0 || (s.QueuedLong > 0 && own.FreeLong > 0) {
			return true
		}
	}
	return false
}

// ReportDue returns whether this daemon's state should be sent now. Otherwise
// it returns when to ask again, or 0 for the next change.
func (l *PeerBalancer) ReportDue(now time.Time, own PoolState) (send bool, again time.Duration) {
	if len(l.peers) == 0 || !l.reportNeeded(now, own) {
		return false, 0
	}
	if wait := l.lastSentAt.Add(l.reportInterval).Sub(now); wait > 0 {
		return false, wait
	}
	if !l.budget.AllowN(now, reportBytes*len(l.peers)) {
		return false, l.reportInterval
	}
	l.lastSent = own
	l.lastSentAt = now
	l.hasUnreportedPeer = false
	return true, 0
}

func freeSlotsFor(s PoolState, long bool) int {
	if long {
		return s.FreeLong
	}
	return s.Free
}
