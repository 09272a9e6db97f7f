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
	// watchInterval is the longest time between two looks for what to claim.
	watchInterval = 250 * time.Millisecond
	// probeInterval is the time between two probes of a holder by the daemons
	// that should claim its duty first. The others probe less often, the less
	// the further down they stand.
	probeInterval = 500 * time.Millisecond
	// firstRanks is how many daemons count as the first.
	firstRanks = 3
	// silentFor is how long a holder that does not answer, or cannot act, has
	// to send no heartbeat for its duty to be claimed.
	silentFor = 1500 * time.Millisecond
	// cutOffFor is how long the log must have answered here, and not the holder,
	// for a duty to be claimed. A holder that is probed reads the log anew: one that
	// comes back has answered it by then.
	cutOffFor = 900 * time.Millisecond
	// rankDelay is how much later each further candidate claims.
	rankDelay = 300 * time.Millisecond
	// peersInterval is the longest time between two reads of the heartbeats.
	peersInterval = 2 * time.Second
	// peerAge is the age of the last heartbeat up to which a daemon counts as
	// live.
	peerAge = 2 * idleInterval
)

// watch finds the duties that nobody can act for and claims those whose turn
// it is here. It is used by one goroutine.
type watch struct {
	*Keeper
	tail *logstore.Tail
	// read is when the last complete read of the heartbeats began, and answers
	// since when every such read was answered, 0 if the last one was not.
	read, answers time.Duration
	// probed is when each holder was probed last, by duty, and claimable since
	// when a duty could be claimed.
	probed    map[Name]time.Duration
	claimable map[Name]time.Duration
	// cutOff is since when the log has answered here and not the holder.
	cutOff map[Name]time.Duration
}

func newWatch(k *Keeper) *watch {
	return &watch{
		Keeper:    k,
		tail:      logstore.NewTail(k.opt.Log, heartbeatPartition),
		probed:    map[Name]time.Duration{},
		claimable: map[Name]time.Duration{},
		cutOff:    map[Name]time.Duration{},
	}
}

func (w *watch) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.look(ctx)
		pause(ctx, watchInterval, w.news)
	}
}

// look probes holders and claims what has been abandoned.
func (w *watch) look(ctx context.Context) {
	begun := w.opt.Clock.Now()
	if w.read == 0 || begun-w.read >= peersInterval {
		w.readPeers(ctx)
	}
	if w.read == 0 {
		return
	}
	found := w.probe(ctx, w.due())
	if slices.ContainsFunc(found, finding.open) {
		// Only the newest heartbeats tell a holder that nobody reaches from one
		// that is cut off from this daemon alone, and who is there to claim.
		w.readPeers(ctx)
		w.rank(found)
	}
	for _, f := range found {
		if !w.abandoned(f, begun) {
			delete(w.claimable, f.duty)
			continue
		}
		w.claimInTurn(ctx, f)
	}
}

// suspect is a duty whose holder is to be probed, unless it has none.
type suspect struct {
	duty   Name
	holder Member
	// token is the one that the holder holds it under.
	token Token
	// vacant is set when nobody holds the duty.
	vacant bool
	rank   int
}

// finding is what a probe found.
type finding struct {
	suspect
	health Health
}

// open findings leave open whether the holder can act, or who should follow it.
func (f finding) open() bool { return f.vacant || f.health != Able }

// due returns the duties without a holder, and those whose holder is to be
// probed now.
func (w *watch) due() []suspect {
	now := w.opt.Clock.Now()
	wanted := w.opt.Wanted()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving || w.confirmed == 0 {
		return nil
	}
	live := w.table.live(now, peerAge)
	var out []suspect
	for _, n := range wanted {
		if _, held := w.held[n]; held {
			continue
		}
		s := suspect{
			duty:   n,
			holder: w.table.claims[n].Holder,
			token:  w.table.claims[n].Token,
			vacant: w.table.vacant(n) || w.ownBefore(n),
			rank:   w.table.rank(n, w.opt.Self, live),
		}
		if s.vacant || now >= w.probed[n]+probePause(s.rank) {
			w.probed[n] = now
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b suspect) int { return strings.Compare(string(a.duty), string(b.duty)) })
	return out
}

// probePause returns the time between two probes by a daemon of a rank.
func probePause(rank int) time.Duration {
	step := time.Duration(1 + rank/firstRanks)
	return step * step * probeInterval
}

// probe probes the holders of duties at the same time.
func (w *watch) probe(ctx context.Context, list []suspect) []finding {
	out := make([]finding, len(list))
	var probes sync.WaitGroup
	for i, s := range list {
		out[i].suspect = s
		if s.vacant {
			continue
		}
		probes.Go(func() { out[i].health = w.opt.Prober.Probe(ctx, s.holder, s.duty) })
	}
	probes.Wait()
	return out
}

// rank brings the ranks up to date with the heartbeats.
func (w *watch) rank(found []finding) {
	now := w.opt.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	live := w.table.live(now, peerAge)
	for i := range found {
		found[i].rank = w.table.rank(found[i].duty, w.opt.Self, live)
	}
}

// abandoned reports whether nobody can act for a duty, as a look that began at
// begun shows. A holder that answers and can act keeps its duty even when the log
// is too slow for its heartbeats.
func (w *watch) abandoned(f finding, begun time.Duration) bool {
	cut := w.cutOffLong(f, begun)
	switch {
	case f.vacant || f.health == Dead || cut:
		return true
	case f.health == Able || w.answers == 0:
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.table.vacant(f.duty) {
		return true
	}
	// While the log answered nobody, no heartbeat could come.
	silent := w.read-max(w.table.lastSign(f.duty), w.answers) >= silentFor
	if !silent {
		// The next look should come soon.
		w.probed[f.duty] = 0
	}
	return silent
}

// cutOffLong reports whether the log has answered here, and not the holder, for
// so long that it cannot be coming back.
func (w *watch) cutOffLong(f finding, begun time.Duration) bool {
	if f.health != CutOff || w.read < begun {
		delete(w.cutOff, f.duty)
		return false
	}
	since, seen := w.cutOff[f.duty]
	if !seen {
		w.cutOff[f.duty] = w.read
		return false
	}
	return w.read-since >= cutOffFor
}

// claimInTurn claims a duty once those that should do so first had their time.
func (w *watch) claimInTurn(ctx context.Context, f finding) {
	now := w.opt.Clock.Now()
	if _, ok := w.claimable[f.duty]; !ok {
		w.claimable[f.duty] = now
	}
	w.mu.Lock()
	own := w.ownBefore(f.duty)
	ended := f.health == Dead || w.table.vacant(f.duty) || own
	since := max(w.claimable[f.duty], w.started+settleTime)
	w.mu.Unlock()
	if now < since+time.Duration(f.rank)*rankDelay && !own {
		w.probed[f.duty] = 0
		return
	}
	w.opt.Logger.Info().Str("duty", string(f.duty)).Str("holder", f.holder.ID()).Bool("vacant", f.vacant).Bool("ended", ended).Int("rank", f.rank).Msg("claiming a duty")
	w.claim(ctx, f.duty, f.token, ended)
	delete(w.claimable, f.duty)
}

// readPeers reads the heartbeats that came since the last read.
func (w *watch) readPeers(ctx context.Context) {
	start := w.opt.Clock.Now()
	recs, _, err := w.tail.Next(ctx, 0)
	if err != nil {
		w.failed("read heartbeats", err)
		w.answers = 0
		return
	}
	if w.answers == 0 {
		w.answers = start
	}
	now := w.opt.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range recs {
		if err := w.table.foldHeartbeat(r, now); err != nil {
			w.opt.Logger.Warn().Err(err).Int64("offset", r.Offset).Msg("heartbeat ignored: it cannot be read")
		}
	}
	w.read = start
}
