package duty

import (
	"context"
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
	probeInterval = 500 * time.Millisecond
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
		logUnreachableSince: map[Name]time.Duration{},
	}
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
	if slices.ContainsFunc(results, checkResult.needsHeartbeats) {
		// Only the newest heartbeats show whether a holder is unreachable for
		// every daemon or for this one alone, and which daemons can claim.
		m.readHeartbeats(ctx)
		m.updateRanks(results)
	}
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
	rank   int
}

// checkResult is a checked duty with the outcome of the probe of its holder.
type checkResult struct {
	dutyCheck
	result ProbeResult
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
	if m.leaving || m.confirmedAt == 0 {
		return nil
	}
	live := m.table.livePeers(now, maxHeartbeatAge)
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
			rank:   m.table.rank(n, m.opt.Self, live),
		}
		if s.vacant || now >= m.lastProbe[n]+probeIntervalForRank(s.rank) {
			m.lastProbe[n] = now
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b dutyCheck) int { return strings.Compare(string(a.duty), string(b.duty)) })
	return out
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

// updateRanks recomputes the ranks from the current heartbeats.
func (m *monitor) updateRanks(results []checkResult) {
	now := m.opt.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.table.livePeers(now, maxHeartbeatAge)
	for i := range results {
		results[i].rank = m.table.rank(results[i].duty, m.opt.Self, live)
	}
}

// isClaimable reports whether no daemon can act for a duty, according to a
// check that began at start. A holder that answers and can act keeps its duty
// even when the log is too slow to take its heartbeats.
func (m *monitor) isClaimable(r checkResult, start time.Duration) bool {
	logUnreachable := m.logUnreachableTooLong(r, start)
	switch {
	case r.vacant || r.result == ProbeProcessEnded || logUnreachable:
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
	ended := r.result == ProbeProcessEnded || m.table.vacant(r.duty) || own
	since := max(m.claimableSince[r.duty], m.startedAt+startupDelay)
	m.mu.Unlock()
	if now < since+time.Duration(r.rank)*rankDelay && !own {
		m.lastProbe[r.duty] = 0
		return
	}
	m.opt.Logger.Info().Str("duty", string(r.duty)).Str("holder", r.holder.ID()).Bool("vacant", r.vacant).Bool("ended", ended).Int("rank", r.rank).Msg("claiming a duty")
	m.claimDuty(ctx, r.duty, r.token, ended)
	delete(m.claimableSince, r.duty)
}

// readHeartbeats reads the heartbeats that were appended since the last read.
func (m *monitor) readHeartbeats(ctx context.Context) {
	start := m.opt.Clock.Now()
	recs, _, err := m.tail.Next(ctx, 0)
	if err != nil {
		m.recordLogFailure("read heartbeats", err)
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
	m.lastRead = start
}
