package duty

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/option"
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
	// settleTime is how long a new daemon waits for the heartbeats of others
	// before it claims what nobody holds.
	settleTime = 600 * time.Millisecond
	// retryPause is the wait after a call of the log that failed.
	retryPause = 150 * time.Millisecond
)

// Gain is a duty that this daemon has come to hold.
type Gain struct {
	Duty  Name
	Token Token
	// Before is the claim before. Its token is 0 when there was none.
	Before Claim
	// ActsFor is how long an earlier holder may still act.
	ActsFor time.Duration
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
	// Prober asks the holders of duties whether they can act.
	Prober Prober
	Lease  time.Duration
	Logger zerolog.Logger
	Scope  tally.Scope
}

// Keeper claims duties, keeps those that it holds and knows who holds the others.
//
// A holder needs no write to keep a duty: it may act for a lease after each
// read of the claims that showed none by another daemon. A daemon that claims a
// duty therefore has to expect its predecessor to act for a lease from the
// claim on, unless its process has ended.
type Keeper struct {
	opt     Options
	started time.Duration
	// news wakes the watch, beatNow the heartbeats, and refreshNow has the claims
	// read at once.
	news, beatNow, refreshNow chan struct{}

	mu      sync.Mutex
	table   *table
	leaving bool
	held    map[Name]Token
	// confirmed is a moment up to which no claim is unknown here, and beaten
	// when the last heartbeat that arrived was sent.
	confirmed time.Duration
	beaten    time.Duration
	// claimEnd is where the claims end, as far as this daemon knows.
	claimEnd int64
	logDown  bool

	claims, claimsLost, heartbeatErrors tally.Counter
	heldGauge                           tally.Gauge
}

// NewKeeper returns a keeper that does nothing until Run.
func NewKeeper(o Options) *Keeper {
	option.Default(&o.Lease, DefaultLease)
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	scope := o.Scope.SubScope("duty")
	return &Keeper{
		opt:             o,
		started:         o.Clock.Now(),
		news:            make(chan struct{}, 1),
		beatNow:         make(chan struct{}, 1),
		refreshNow:      make(chan struct{}, 1),
		table:           newTable(),
		held:            map[Name]Token{},
		claims:          scope.Counter("claims"),
		claimsLost:      scope.Counter("claims_lost"),
		heartbeatErrors: scope.Counter("heartbeat_errors"),
		heldGauge:       scope.Gauge("held"),
	}
}

// NextIncarnation returns a number for a new life of the daemon on a host that
// is above those of all earlier lives, whatever the time of day did meanwhile.
func NextIncarnation(ctx context.Context, l logstore.Log, host string, wall time.Time) (int64, error) {
	recs, _, err := logstore.NewestOfAllKeys(ctx, l, heartbeatPartition)
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

// Holder returns the last claim of a duty.
func (k *Keeper) Holder(n Name) (Claim, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c, ok := k.table.claims[n]
	return c, ok && !c.Released
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

// LogAge returns how long ago the log is known to have answered this daemon.
func (k *Keeper) LogAge() time.Duration {
	now := k.opt.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	return now - max(k.beaten, k.confirmed)
}

// Run keeps duties until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { k.followClaims(ctx) })
	loops.Go(func() { k.refreshes(ctx) })
	loops.Go(func() { k.heartbeats(ctx) })
	loops.Go(func() { newWatch(k).run(ctx) })
	loops.Wait()
}

// Leave says that this daemon stops: it claims nothing further.
func (k *Keeper) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
}

// wake has a loop go on at once.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
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

// recovered notes that the log answered.
func (k *Keeper) recovered() {
	if k.logDown {
		k.logDown = false
		k.opt.Logger.Info().Msg("log reachable")
	}
}

// pause waits for d, until something comes from wake, or until ctx ends.
func pause(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-t.C:
	}
}
