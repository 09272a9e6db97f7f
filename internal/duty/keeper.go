package duty

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/option"
	"greengagedeck/internal/record"
	"greengagedeck/internal/verdict"
)

// The partitions of the product's topic for duties.
var (
	claimPartition     = logstore.Partition{Topic: "duty", Part: 0}
	heartbeatPartition = logstore.Partition{Topic: "duty", Part: 1}
)

const (
	// DefaultLease is how long a holder may act after it last knew that nobody
	// else had claimed its duty.
	DefaultLease = 2500 * time.Millisecond
	// OrderLease is how long a holder may give orders that check no fencing
	// token after its last heartbeat. It has ended when the heartbeat is old
	// enough for others to claim the duty.
	OrderLease = 1300 * time.Millisecond
	// DefaultHeartbeat is the time between the heartbeats of a holder.
	DefaultHeartbeat = 500 * time.Millisecond
	// idleFactor is how many times longer that is for a daemon without duties.
	idleFactor = 3
	// claimWait is how long a read of the claims waits for one.
	claimWait = 700 * time.Millisecond
	// deadSilence is how long a holder without a process has to be silent for
	// its duty to be claimed, and silentFor how long any other.
	deadSilence = 700 * time.Millisecond
	silentFor   = OrderLease + 200*time.Millisecond
	// probedRanks is how many candidates probe a silent holder at once.
	probedRanks = 3
	// settleTime is how long a new daemon waits for the heartbeats of others
	// before it claims what nobody holds.
	settleTime = 600 * time.Millisecond
	// claimInterval is the longest time between two looks for what to claim.
	claimInterval = 250 * time.Millisecond
	// rankDelay is how much later each further candidate claims.
	rankDelay = 300 * time.Millisecond
	// peerAge is the age of the last heartbeat up to which a daemon counts as
	// live.
	peerAge = 2200 * time.Millisecond
	// retryPause is the wait after a call of the log that failed.
	retryPause = 150 * time.Millisecond
)

// Gain is a duty that this daemon has come to hold.
type Gain struct {
	Duty  Name
	Token Token
	// Before is the claim before. Its token is 0 when there was none.
	Before Claim
}

// Observer is told when this daemon gains and loses duties, in order. It must
// not block.
type Observer interface {
	Gained(g Gain)
	Lost(n Name, t Token)
}

// Options configure a Keeper.
type Options struct {
	Self  Member
	Log   logstore.Log
	Clock clock.Clock
	// Wanted returns the duties that somebody should hold.
	Wanted   func() []Name
	Observer Observer
	// Prober is asked about holders whose heartbeats fail to come.
	Prober Prober
	Lease  time.Duration
	// Heartbeat is the time between a holder's heartbeats, 0 for
	// DefaultHeartbeat.
	Heartbeat time.Duration
	Logger    zerolog.Logger
	Scope     tally.Scope
}

// Keeper claims duties, keeps those that it holds and knows who holds the others.
//
// A holder needs no write to keep a duty: it may act for a lease after each
// read of the claims that showed none by another daemon. A daemon that claims a
// duty therefore has to expect its predecessor to act for a lease from the
// claim on, but for orders under OrderLease, which also depends on heartbeats.
type Keeper struct {
	opt     Options
	started time.Duration
	// patience bounds the heartbeats.
	patience logstore.Patience
	// news wakes the claim loop.
	news chan struct{}

	mu      sync.Mutex
	table   *table
	leaving bool
	held    map[Name]Token
	// heartbeat is when the last heartbeat that arrived was sent, and confirmed
	// a moment up to which no claim is unknown here.
	heartbeat time.Duration
	confirmed time.Duration
	// peersRead is when the last complete read of the heartbeats began.
	peersRead time.Duration
	// claimable is since when a duty could be claimed, as seen here.
	claimable map[Name]time.Duration
	claimEnd  int64
	logDown   bool

	claims, claimsLost, heartbeatErrors tally.Counter
	heldGauge                           tally.Gauge
}

// NewKeeper returns a keeper that does nothing until Run.
func NewKeeper(o Options) *Keeper {
	option.Default(&o.Lease, DefaultLease)
	option.Default(&o.Heartbeat, DefaultHeartbeat)
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	scope := o.Scope.SubScope("duty")
	return &Keeper{
		opt:             o,
		started:         o.Clock.Now(),
		news:            make(chan struct{}, 1),
		table:           newTable(),
		held:            map[Name]Token{},
		claimable:       map[Name]time.Duration{},
		claims:          scope.Counter("claims"),
		claimsLost:      scope.Counter("claims_lost"),
		heartbeatErrors: scope.Counter("heartbeat_errors"),
		heldGauge:       scope.Gauge("held"),
	}
}

// NextIncarnation returns a number for a new life of the daemon on a host that
// is above those of all earlier lives, whatever the time of day did meanwhile.
func NextIncarnation(ctx context.Context, l logstore.Log, host string, wall time.Time) (int64, error) {
	recs, _, err := logstore.All(ctx, l, heartbeatPartition)
	if err != nil {
		return 0, err
	}
	t := newTable()
	for _, r := range recs {
		if r.Key == host {
			// One that cannot be read is none of ours.
			_ = t.foldHeartbeat(r, 0)
		}
	}
	return max(wall.UnixMilli(), t.peers[host].Incarnation+1), nil
}

// Valid reports whether this daemon may act under a token now. A lease that
// ran out may become valid again, if nobody claimed the duty meanwhile.
func (k *Keeper) Valid(n Name, t Token) bool { return k.Remaining(n, t) > 0 }

// Remaining returns how long this daemon may still act under a token without a
// further renewal.
func (k *Keeper) Remaining(n Name, t Token) time.Duration {
	now := k.opt.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if held, ok := k.held[n]; !ok || held != t {
		return 0
	}
	return max(0, k.confirmed+k.opt.Lease-now)
}

// OrderTime returns how long this daemon may still give orders under a token
// that nobody checks.
func (k *Keeper) OrderTime(n Name, t Token) time.Duration {
	now := k.opt.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if held, ok := k.held[n]; !ok || held != t {
		return 0
	}
	return max(0, min(k.heartbeat, k.confirmed)+OrderLease-now)
}

// Holder returns the last claim of a duty.
func (k *Keeper) Holder(n Name) (Claim, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c, ok := k.table.claims[n]
	return c, ok && !c.Released
}

// Peers returns the daemons whose heartbeats arrive, this one among them.
func (k *Keeper) Peers() []Peer {
	now := k.opt.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.live(now, peerAge)
}

// Address returns where a life of a daemon is dialled, by its ID.
func (k *Keeper) Address(id string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range k.table.peers {
		if p.ID() == id {
			return p.Address, true
		}
	}
	for _, c := range k.table.claims {
		if c.Holder.ID() == id {
			return c.Holder.Address, true
		}
	}
	return "", false
}

// LogConfirmed returns the last moment at which the log is known to have
// answered, by this daemon's clock.
func (k *Keeper) LogConfirmed() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(k.heartbeat, k.confirmed)
}

// Run keeps duties until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { k.followClaims(ctx) })
	loops.Go(func() { k.heartbeats(ctx) })
	loops.Go(func() { k.claimLoop(ctx) })
	loops.Wait()
}

// claimLoop claims what has been abandoned. It is a loop of its own because
// probes take time.
func (k *Keeper) claimLoop(ctx context.Context) {
	for ctx.Err() == nil {
		t := time.NewTimer(claimInterval)
		select {
		case <-ctx.Done():
		case <-k.news:
		case <-t.C:
		}
		t.Stop()
		k.claimAbandoned(ctx)
	}
}

// tell has the claim loop look at once.
func (k *Keeper) tell() {
	select {
	case k.news <- struct{}{}:
	default:
	}
}

// followClaims reads claims as they are made.
func (k *Keeper) followClaims(ctx context.Context) {
	tail := logstore.NewTail(k.opt.Log, claimPartition)
	for ctx.Err() == nil {
		start := k.opt.Clock.Now()
		recs, _, err := tail.Next(ctx, claimWait)
		if err != nil {
			k.failed("read claims", err)
			sleep(ctx, retryPause)
			continue
		}
		now := k.opt.Clock.Now()
		confirmed := start
		if len(recs) == 0 && now-start >= claimWait {
			// Nothing was claimed while the answer waited.
			confirmed = start + claimWait
		}
		k.mu.Lock()
		k.foldClaims(recs, now)
		k.claimEnd = max(k.claimEnd, tail.Position())
		k.confirmed = max(k.confirmed, confirmed)
		k.mu.Unlock()
		k.tell()
	}
}

// foldClaims notes claims and what they mean for this daemon's duties.
func (k *Keeper) foldClaims(recs []logstore.Record, now time.Duration) {
	for _, r := range recs {
		before := k.table.claims[Name(r.Key)]
		if err := k.table.foldClaim(r, now); err != nil {
			k.opt.Logger.Warn().Err(err).Int64("offset", r.Offset).Msg("claim ignored: it cannot be read")
		}
		k.claimEnd = max(k.claimEnd, r.Offset+1)
		k.settle(Name(r.Key), before)
	}
}

// settle compares a duty's last claim with what this daemon holds. before is
// the claim before it.
func (k *Keeper) settle(n Name, before Claim) {
	c := k.table.claims[n]
	token, held := k.held[n]
	own := c.Holder == k.opt.Self && !c.Released
	if held && (!own || c.Token != token) {
		delete(k.held, n)
		k.claimsLost.Inc(1)
		k.opt.Logger.Info().Str("duty", string(n)).Int64("token", int64(token)).Int64("newer_token", int64(c.Token)).Str("holder", c.Holder.ID()).Msg("duty lost")
		k.opt.Observer.Lost(n, token)
	}
	if own && k.held[n] != c.Token {
		k.held[n] = c.Token
		k.claims.Inc(1)
		k.opt.Logger.Info().Str("duty", string(n)).Int64("token", int64(c.Token)).Msg("duty gained")
		k.opt.Observer.Gained(Gain{Duty: n, Token: c.Token, Before: before})
	}
	delete(k.claimable, n)
	k.heldGauge.Update(float64(len(k.held)))
}

// heartbeats says that this daemon lives and reads who else does.
func (k *Keeper) heartbeats(ctx context.Context) {
	tail := logstore.NewTail(k.opt.Log, heartbeatPartition)
	var last time.Duration
	for ctx.Err() == nil {
		start := k.opt.Clock.Now()
		if start-last >= k.interval() {
			last = start
			k.beat(ctx)
		}
		k.readPeers(ctx, tail)
		k.tell()
		sleep(ctx, start+k.opt.Heartbeat-k.opt.Clock.Now())
	}
}

// interval returns the time between two heartbeats.
func (k *Keeper) interval() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.held) > 0 || k.leaving {
		return k.opt.Heartbeat
	}
	return idleFactor * k.opt.Heartbeat
}

func (k *Keeper) beat(ctx context.Context) {
	k.mu.Lock()
	h := heartbeat{Member: k.opt.Self, Leaving: k.leaving}
	k.mu.Unlock()
	value, err := record.Encode(h)
	if err != nil {
		k.failed("encode heartbeat", err)
		return
	}
	start := k.opt.Clock.Now()
	if err := k.appendHeartbeat(ctx, logstore.Entry{Key: h.Member.Host, Value: value}); err != nil {
		k.heartbeatErrors.Inc(1)
		k.failed("heartbeat", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heartbeat = start
	if k.logDown {
		k.logDown = false
		k.opt.Logger.Info().Msg("log reachable")
	}
}

func (k *Keeper) appendHeartbeat(ctx context.Context, e logstore.Entry) error {
	ctx, cancel := k.patience.Context(ctx, 0)
	defer cancel()
	_, err := k.opt.Log.Append(ctx, heartbeatPartition, []logstore.Entry{e}, logstore.Condition{})
	k.patience.Note(err)
	return err
}

func (k *Keeper) readPeers(ctx context.Context, tail *logstore.Tail) {
	start := k.opt.Clock.Now()
	recs, _, err := tail.Next(ctx, 0)
	if err != nil {
		k.failed("read heartbeats", err)
		return
	}
	now := k.opt.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range recs {
		if err := k.table.foldHeartbeat(r, now); err != nil {
			k.opt.Logger.Warn().Err(err).Int64("offset", r.Offset).Msg("heartbeat ignored: it cannot be read")
		}
	}
	k.peersRead = start
}

// failed notes that the log did not answer; only changes are logged.
func (k *Keeper) failed(what string, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.logDown {
		k.logDown = true
		k.opt.Logger.Warn().Err(err).Str("call", what).Msg("log unreachable")
	}
}

// claimAbandoned claims the duties that nobody can act for and that are this
// daemon's turn.
func (k *Keeper) claimAbandoned(ctx context.Context) {
	var probes sync.WaitGroup
	for _, s := range k.suspects() {
		probes.Go(func() {
			if s.vacant || k.abandoned(ctx, s) {
				k.claimInTurn(ctx, s)
			} else {
				k.forgetClaimable(s.duty)
			}
		})
	}
	probes.Wait()
}

// suspect is a duty that this daemon may have to claim.
type suspect struct {
	duty   Name
	holder Member
	// vacant is set when nobody holds the duty.
	vacant bool
	// silence is how long the holder has sent no heartbeat.
	silence time.Duration
	rank    int
}

// suspects returns the duties without a holder or with a silent one, as far as
// this daemon is among the first that should claim them.
func (k *Keeper) suspects() []suspect {
	now := k.opt.Clock.Now()
	wanted := k.opt.Wanted()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving || k.confirmed == 0 || k.peersRead == 0 {
		return nil
	}
	live := k.table.live(now, peerAge)
	var out []suspect
	for _, n := range wanted {
		if _, held := k.held[n]; held {
			continue
		}
		s := suspect{duty: n, holder: k.table.claims[n].Holder, vacant: k.table.vacant(n) || k.ownBefore(n)}
		if !s.vacant {
			s.silence = k.table.silence(n, k.peersRead)
			if s.silence < deadSilence {
				delete(k.claimable, n)
				continue
			}
		}
		s.rank = k.table.rank(n, k.opt.Self, live)
		if s.vacant || s.rank < probedRanks {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b suspect) int { return strings.Compare(string(a.duty), string(b.duty)) })
	return out
}

// abandoned probes a silent holder. One that answers and can act keeps its duty
// even when the log is too slow for its heartbeats.
func (k *Keeper) abandoned(ctx context.Context, s suspect) bool {
	h := k.opt.Prober.Probe(ctx, s.holder, s.duty)
	switch h {
	case Able:
		return false
	case Dead:
		return true
	default:
		return s.silence >= silentFor
	}
}

func (k *Keeper) forgetClaimable(n Name) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.claimable, n)
}

// claimInTurn claims a duty once those that should do so first had their time.
func (k *Keeper) claimInTurn(ctx context.Context, s suspect) {
	now := k.opt.Clock.Now()
	k.mu.Lock()
	if _, ok := k.claimable[s.duty]; !ok {
		k.claimable[s.duty] = now
	}
	since := max(k.claimable[s.duty], k.started+settleTime)
	mine := now >= since+time.Duration(s.rank)*rankDelay || k.ownBefore(s.duty)
	k.mu.Unlock()
	if mine {
		k.opt.Logger.Info().Str("duty", string(s.duty)).Str("holder", s.holder.ID()).Bool("vacant", s.vacant).Dur("silence", s.silence).Int("rank", s.rank).Msg("claiming a duty")
		k.claim(ctx, s.duty)
	}
}

// ownBefore reports whether the process that ran here before held the duty.
func (k *Keeper) ownBefore(n Name) bool {
	c := k.table.claims[n]
	return !c.Released && c.Holder.Host == k.opt.Self.Host
}

// claim appends a claim where the last known one ends. Of several daemons that
// do so only one succeeds; the outcome is read from the log.
func (k *Keeper) claim(ctx context.Context, n Name) {
	k.append(ctx, n, claim{Holder: k.opt.Self})
}

func (k *Keeper) append(ctx context.Context, n Name, c claim) bool {
	value, err := record.Encode(c)
	if err != nil {
		k.failed("encode claim", err)
		return false
	}
	k.mu.Lock()
	at := k.claimEnd
	k.mu.Unlock()
	got, err := k.opt.Log.Append(ctx, claimPartition, []logstore.Entry{{Key: string(n), Value: value}}, logstore.Condition{At: &at})
	var conflict *logstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		k.catchUp(ctx, at)
		return false
	case err != nil:
		k.failed("claim", err)
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.foldClaims([]logstore.Record{{Offset: got.Offset, Key: string(n), Value: value}}, k.opt.Clock.Now())
	return true
}

// catchUp reads the claims that came before an own one. The loop that follows
// them may still wait for the next.
func (k *Keeper) catchUp(ctx context.Context, from int64) {
	b, err := k.opt.Log.Read(ctx, claimPartition, from, 0)
	if err != nil {
		k.failed("read claims", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.foldClaims(b.Records, k.opt.Clock.Now())
}

// Release gives up every duty, so that others can claim it at once. It
// returns an error when the log did not take a release; the others then wait
// for the lease to end.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	for {
		n, ok := k.anyHeld()
		if !ok {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return eris.Wrapf(verdict.Refuse(verdict.ReasonDeadline, "%v", err), "release %s", n)
		}
		if !k.append(ctx, n, claim{Holder: k.opt.Self, Released: true}) {
			sleep(ctx, retryPause)
		}
	}
}

// Leave says that this daemon stops: it claims nothing further.
func (k *Keeper) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
}

func (k *Keeper) anyHeld() (Name, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for n := range k.held {
		return n, true
	}
	return "", false
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
