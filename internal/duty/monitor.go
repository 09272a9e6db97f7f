package duty

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"greengagedeck/internal/logstore"
)

const (
	// monitorInterval is the longest time between two checks for duties to
	// claim.
	monitorInterval = 250 * time.Millisecond
	// probeInterval is the time between two probes of a holder by the daemons
	// in the first rank group, which should claim its duty first. Each further
	// group probes less often than the one before.
	probeInterval = 250 * time.Millisecond
	// rankGroupSize is the number of consecutive ranks that share a probe
	// interval.
	rankGroupSize = 3
	// missingHeartbeatTimeout is how long no heartbeat must have come from a
	// holder that does not answer, or cannot act, before its duty is claimed.
	missingHeartbeatTimeout = 1500 * time.Millisecond
	// logUnreachableTimeout is how long the log must have answered this daemon
	// and not the holder before the holder's duty is claimed. A probe makes the
	// holder read the log again, so a holder that regains access to the log has
	// had an answer within this time.
	logUnreachableTimeout = 900 * time.Millisecond
	// rankDelay is the additional delay before each further candidate claims a
	// duty.
	rankDelay = 300 * time.Millisecond
	// heartbeatReadInterval is the longest time between two reads of the
	// heartbeats.
	heartbeatReadInterval = 2 * time.Second
	// maxHeartbeatAge is the age of the last heartbeat up to which a daemon
	// counts as live.
	maxHeartbeatAge = 2 * idleHeartbeatInterval
	// maxWitnesses is how many daemons are asked whether they reach a holder, and
	// minWitnesses how many must say that they do not.
	maxWitnesses = 4
	minWitnesses = 2
	// rankAge is how long the rank for a duty is used for the time between
	// probes.
	rankAge = time.Second
)

// monitor finds duties that no daemon can act for, and claims them when it is
// this daemon's turn by rank. It is used by one goroutine.
type monitor struct {
	*Elector
	tail *logstore.Tail
	// lastRead is when the last complete read of the heartbeats began.
	// answeringSince is when the first of an unbroken series of successful
	// reads began, or 0 if the last read failed.
	lastRead, answeringSince time.Duration
	// lastProbe is when each duty's holder was last probed, and claimableSince
	// is since when each duty can be claimed.
	lastProbe      map[Name]time.Duration
	claimableSince map[Name]time.Duration
	// ranks holds this daemon's last rank for each duty.
	ranks map[Name]knownRank
	// logUnreachableSince is since when the log has answered this daemon but
	// not the duty's holder.
	logUnreachableSince map[Name]time.Duration
}

func newMonitor(e *Elector) *monitor {
	return &monitor{
		Elector:             e,
		tail:                logstore.NewTail(e.opt.Log, heartbeatPartition),
		lastProbe:           map[Name]time.Duration{},
		claimableSince:      map[Name]time.Duration{},
		ranks:               map[Name]knownRank{},
		logUnreachableSince: map[Name]time.Duration{},
	}
}

// knownRank is a rank and when it was computed.
type knownRank struct {
	rank int
	at   time.Duration
}

func (m *monitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.check(ctx)
		pause(ctx, monitorInterval, m.claimsChanged)
	}
}

// check probes holders and claims the duties that no daemon can act for.
func (m *monitor) check(ctx context.Context) {
	start := m.opt.Clock.Now()
	if m.lastRead == 0 || start-m.lastRead >= heartbeatReadInterval {
		m.readHeartbeats(ctx)
	}
	if m.lastRead == 0 {
		return
	}
	results := m.probe(ctx, m.dueChecks())
	needsHeartbeats := slices.ContainsFunc(results, checkResult.needsHeartbeats)
	var questions sync.WaitGroup
	questions.Go(func() { m.askWitnesses(ctx, results) })
	if needsHeartbeats {
		// Only the newest heartbeats show whether a holder is unreachable for
		// every daemon or for this one alone, and which daemons can claim.
		m.readHeartbeats(ctx)
	}
	questions.Wait()
	for _, r := range results {
		if !m.isClaimable(r, start) {
			delete(m.claimableSince, r.duty)
			continue
		}
		m.claimInTurn(ctx, r)
	}
}

// dutyCheck is a duty that has no holder, or whose holder is to be probed.
type dutyCheck struct {
	duty   Name
	holder Member
	// token is the token of the duty's last claim.
	token Token
	// vacant is set if the duty has no holder.
	vacant bool
}

// checkResult is a checked duty with the outcome of the probe of its holder.
type checkResult struct {
	dutyCheck
	result ProbeResult
	// cutOff is set if daemons in other zones cannot reach the holder either.
	cutOff bool
}

// needsHeartbeats reports whether the newest heartbeats are needed to decide
// whether the holder can act, or which daemon should succeed it.
func (r checkResult) needsHeartbeats() bool { return r.vacant || r.result != ProbeAble }

// dueChecks returns the duties without a holder, and those whose holder is to
// be probed now.
func (m *monitor) dueChecks() []dutyCheck {
	now := m.opt.Clock.Now()
	wanted := m.opt.Wanted()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving || !m.claimsRead {
		return nil
	}
	var out []dutyCheck
	for _, n := range wanted {
		if _, held := m.held[n]; held {
			continue
		}
		s := dutyCheck{
			duty:   n,
			holder: m.table.claims[n].Holder,
			token:  m.table.claims[n].Token,
			vacant: m.table.vacant(n) || m.heldByOwnHost(n),
		}
		if s.vacant || now >= m.lastProbe[n]+probeIntervalForRank(m.recentRank(n, now)) {
			m.lastProbe[n] = now
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b dutyCheck) int { return strings.Compare(string(a.duty), string(b.duty)) })
	return out
}

// recentRank returns this daemon's rank for a duty, which may be rankAge old. The
// caller holds m.mu.
func (m *monitor) recentRank(n Name, now time.Duration) int {
	k, known := m.ranks[n]
	if !known || now-k.at > rankAge {
		return m.currentRank(n, now)
	}
	return k.rank
}

// currentRank returns this daemon's rank for a duty by the claims and heartbeats
// known now. The caller holds m.mu.
func (m *monitor) currentRank(n Name, now time.Duration) int {
	rank := m.table.rank(n, m.opt.Self, m.table.livePeers(now, maxHeartbeatAge))
	m.ranks[n] = knownRank{rank, now}
	return rank
}

// probeIntervalForRank returns the time between two probes by a daemon of a
// rank.
func probeIntervalForRank(rank int) time.Duration {
	step := time.Duration(1 + rank/rankGroupSize)
	return step * step * probeInterval
}

// probe probes the holders of duties concurrently.
func (m *monitor) probe(ctx context.Context, list []dutyCheck) []checkResult {
	out := make([]checkResult, len(list))
	var probes sync.WaitGroup
	for i, s := range list {
		out[i].dutyCheck = s
		if s.vacant {
			continue
		}
		probes.Go(func() { out[i].result = m.opt.Prober.Probe(ctx, s.holder, s.duty) })
	}
	probes.Wait()
	return out
}

// askWitnesses finds out whether daemons in other zones reach the holders that
// cannot be reached from here.
func (m *monitor) askWitnesses(ctx context.Context, results []checkResult) {
	var questions sync.WaitGroup
	for i := range results {
		r := &results[i]
		if r.result != ProbeUnreachable || r.vacant {
			continue
		}
		questions.Go(func() { r.cutOff = m.cutOff(ctx, r.holder) })
	}
	questions.Wait()
}

// cutOff reports whether a daemon's host is cut off, going by daemons in zones
// other than its own and this one's: if this zone is cut off instead, they do not
// answer.
func (m *monitor) cutOff(ctx context.Context, holder Member) bool {
	witnesses := m.witnesses(holder)
	answers := make([]WitnessResult, len(witnesses))
	var questions sync.WaitGroup
	for i, w := range witnesses {
		questions.Go(func() { answers[i] = m.opt.Prober.Witness(ctx, w.Member, holder) })
	}
	questions.Wait()
	unreachable := 0
	for _, a := range answers {
		switch a {
		case WitnessReaches:
			return false
		case WitnessCannotReach:
			unreachable++
		}
	}
	return unreachable >= minWitnesses
}

// witnesses returns the daemons to ask about a holder, as many zones as possible
// among them.
func (m *monitor) witnesses(holder Member) []Peer {
	now := m.opt.Clock.Now()
	m.mu.Lock()
	live := m.table.livePeers(now, maxHeartbeatAge)
	m.mu.Unlock()
	byZone := map[string][]Peer{}
	for _, p := range live {
		if !p.Leaving && p.Zone != holder.Zone && p.Zone != m.opt.Self.Zone {
			byZone[p.Zone] = append(byZone[p.Zone], p)
		}
	}
	zones := slices.Sorted(maps.Keys(byZone))
	var out []Peer
	for round := 0; len(out) < maxWitnesses; round++ {
		before := len(out)
		for _, z := range zones {
			if list := byZone[z]; round < len(list) && len(out) < maxWitnesses {
				out = append(out, list[(round+int(now/time.Second))%len(list)])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}

// isClaimable reports whether no daemon can act for a duty, according to a
// check that began at start. A holder that answers and can act keeps its duty
// even when the log is too slow to take its heartbeats.
func (m *monitor) isClaimable(r checkResult, start time.Duration) bool {
	logUnreachable := m.logUnreachableTooLong(r, start)
	switch {
	case r.vacant || r.result == ProbeProcessEnded || r.cutOff || logUnreachable:
		return true
	case r.result == ProbeAble || m.answeringSince == 0:
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.vacant(r.duty) {
		return true
	}
	// Time in which the log did not answer is not counted, since no heartbeat
	// could arrive then.
	silent := m.lastRead-max(m.table.lastSignOfLife(r.duty), m.answeringSince) >= missingHeartbeatTimeout
	if !silent {
		// Check this duty again soon.
		m.lastProbe[r.duty] = 0
	}
	return silent
}

// logUnreachableTooLong reports whether the log has answered this daemon but
// not the holder for so long that the holder cannot be about to regain access.
// start is when the check began.
func (m *monitor) logUnreachableTooLong(r checkResult, start time.Duration) bool {
	if r.result != ProbeLogUnreachable || m.lastRead < start {
		delete(m.logUnreachableSince, r.duty)
		return false
	}
	since, seen := m.logUnreachableSince[r.duty]
	if !seen {
		m.logUnreachableSince[r.duty] = m.lastRead
		return false
	}
	return m.lastRead-since >= logUnreachableTimeout
}

// claimInTurn claims a duty once the candidates that rank before this daemon
// have had time to do so.
func (m *monitor) claimInTurn(ctx context.Context, r checkResult) {
	now := m.opt.Clock.Now()
	if _, ok := m.claimableSince[r.duty]; !ok {
		m.claimableSince[r.duty] = now
	}
	m.mu.Lock()
	own := m.heldByOwnHost(r.duty)
	ended := m.table.vacant(r.duty) || own || r.result == ProbeProcessEnded && refusalSuffices(r.duty)
	since := max(m.claimableSince[r.duty], m.startedAt+startupDelay)
	// The rank takes account of what this daemon claimed a moment ago.
	rank := m.currentRank(r.duty, now)
	m.mu.Unlock()
	if now < since+time.Duration(rank)*rankDelay && !own {
		m.lastProbe[r.duty] = 0
		return
	}
	m.opt.Logger.Info().Str("duty", string(r.duty)).Str("holder", r.holder.ID()).Bool("vacant", r.vacant).Bool("ended", ended).Bool("cut_off", r.cutOff).Int("rank", rank).Msg("claiming a duty")
	m.claimDuty(ctx, r.duty, r.token, ended)
	delete(m.claimableSince, r.duty)
}

// refusalSuffices reports whether a holder counts as ended once its host refuses
// connections. An interrupted link may refuse them as well, while the holder of a pool
// goes on to extend leases.
func refusalSuffices(n Name) bool { return n == Fleet }

// readHeartbeats reads the heartbeats that were appended since the last read.
func (m *monitor) readHeartbeats(ctx context.Context) {
	start := m.opt.Clock.Now()
	recs, _, err := m.tail.Next(ctx, 0)
	if err != nil {
		m.logOutage.Failed("read heartbeats", err)
		m.answeringSince = 0
		return
	}
	if m.answeringSince == 0 {
		m.answeringSince = start
	}
	now := m.opt.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range recs {
		if err := m.table.applyHeartbeat(r, now); err != nil {
			m.opt.Logger.Warn().Err(err).Int64("offset", r.Offset).Msg("ignoring undecodable heartbeat record")
		}
	}
	m.lastRead, m.heartbeatsReadAt = start, now
}
