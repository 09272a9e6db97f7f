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
	"greengagedeck/internal/telemetry"
)

// The partitions of the duty topic.
var (
	claimPartition     = logstore.Partition{Topic: "duty", Part: 0}
	heartbeatPartition = logstore.Partition{Topic: "duty", Part: 1}
)

const (
	// DefaultLease is how long a holder may act after the last moment at which
	// it knew that no other daemon had claimed its duty.
	DefaultLease = 2500 * time.Millisecond
	// startupDelay is how long a new daemon waits for the heartbeats of others
	// before it claims duties without a holder.
	startupDelay = 600 * time.Millisecond
	// retryPause is the delay after a failed call to the log.
	retryPause = 150 * time.Millisecond
)

// Acquisition describes a duty that this daemon has just acquired.
type Acquisition struct {
	Duty  Name
	Token Token
	// Tokens is how many consecutive tokens from Token on are this daemon's alone.
	Tokens int
	// Previous is the duty's claim before this one. Its token is 0 if there was
	// none.
	Previous Claim
	// PriorLeaseRemaining is how long an earlier holder may still act, counted
	// from the claim on.
	PriorLeaseRemaining time.Duration
}

// Observer is notified when this daemon acquires and loses duties, in order.
// Its methods must not block.
type Observer interface {
	Acquired(a Acquisition)
	Lost(n Name, t Token)
}

// Options configure an Elector.
type Options struct {
	Self  Member
	Log   logstore.Log
	Clock clock.Clock
	// Wanted returns the duties that some daemon should hold.
	Wanted   func() []Name
	Observer Observer
	// Prober checks whether the holder of a duty can act.
	Prober Prober
	Lease  time.Duration
	Logger zerolog.Logger
	Scope  tally.Scope
}

// Elector claims duties, keeps the ones it holds and tracks who holds the
// others.
//
// A holder writes nothing to keep a duty: it may act for one lease after each
// read of the claims that showed no claim by another daemon. A daemon that
// claims a duty therefore has to assume that the previous holder acts for one
// lease after the claim, unless the process of that holder has ended.
type Elector struct {
	opt       Options
	startedAt time.Duration
	// claimsChanged wakes the monitor, heartbeatNow triggers a heartbeat, and
	// refreshNow triggers a read of the claims.
	claimsChanged, heartbeatNow, refreshNow chan struct{}

	mu    sync.Mutex
	table *table
	// heartbeatsReadAt is when the heartbeats were last read.
	heartbeatsReadAt time.Duration
	leaving          bool
	held             map[Name]Token
	// confirmedAt is a time up to which all claims are known here. It counts from when
	// claimsRead is set.
	confirmedAt time.Duration
	claimsRead  bool
	// nextClaimOffset is the offset after the last claim known here.
	nextClaimOffset int64
	// logOutage reports when calls to the log fail.
	logOutage *telemetry.Outage

	claims, claimsLost, heartbeatErrors tally.Counter
	heldGauge                           tally.Gauge
}

// NewElector returns an Elector that is idle until Run is called.
func NewElector(o Options) *Elector {
	option.Default(&o.Lease, DefaultLease)
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	scope := o.Scope.SubScope("duty")
	return &Elector{
		opt:             o,
		startedAt:       o.Clock.Now(),
		claimsChanged:   make(chan struct{}, 1),
		heartbeatNow:    make(chan struct{}, 1),
		refreshNow:      make(chan struct{}, 1),
		table:           newTable(),
		held:            map[Name]Token{},
		logOutage:       telemetry.NewOutage(o.Logger, "log unreachable", "log reachable"),
		claims:          scope.Counter("claims"),
		claimsLost:      scope.Counter("claims_lost"),
		heartbeatErrors: scope.Counter("heartbeat_errors"),
		heldGauge:       scope.Gauge("held"),
	}
}

// NextIncarnation returns an incarnation number for a new process of the daemon
// on a host. It is higher than those of all earlier processes there, even if
// the wall clock was set back meanwhile.
func NextIncarnation(ctx context.Context, l logstore.Log, host string, wall time.Time) (int64, error) {
	recs, _, err := logstore.NewestOfAllKeys(ctx, l, heartbeatPartition)
	if err != nil {
		return 0, err
	}
	t := newTable()
	for _, r := range recs {
		if r.Key == host {
			// A record that cannot be decoded was not written by a daemon.
			_ = t.applyHeartbeat(r, 0)
		}
	}
	return max(wall.UnixMilli(), t.peers[host].Incarnation+1), nil
}

// Remaining returns how long this daemon may still act under a token if the
// claims are not read again.
func (e *Elector) Remaining(n Name, t Token) time.Duration {
	now := e.opt.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if held, ok := e.held[n]; !ok || held != t {
		return 0
	}
	return max(0, e.confirmedAt+e.opt.Lease-now)
}

// Holder returns a duty's last claim, and whether the duty has a holder.
func (e *Elector) Holder(n Name) (Claim, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.table.claims[n]
	return c, ok && !c.Released
}

// Address returns the address of a daemon by its Member.ID.
func (e *Elector) Address(id string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.table.peers {
		if p.ID() == id {
			return p.Address, true
		}
	}
	for _, c := range e.table.claims {
		if c.Holder.ID() == id {
			return c.Holder.Address, true
		}
	}
	return "", false
}

// LiveDaemons returns how many daemons are live, as far as is known.
func (e *Elector) LiveDaemons() int {
	now := e.opt.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.table.livePeers(now, maxHeartbeatAge))
}

// LivePeers returns the IDs of the other daemons that were live when this one last read the
// heartbeats: while the log does not answer it, the others are what it can turn to.
func (e *Elector) LivePeers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, p := range e.table.livePeers(e.heartbeatsReadAt, maxHeartbeatAge) {
		if p.Host != e.opt.Self.Host {
			out = append(out, p.ID())
		}
	}
	return out
}

// IdlePeers returns the other live daemons that hold no duty and are not stopping, as far
// as is known.
func (e *Elector) IdlePeers() []Member {
	now := e.opt.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	holders := map[string]bool{e.opt.Self.Host: true}
	for _, c := range e.table.claims {
		if !c.Released {
			holders[c.Holder.Host] = true
		}
	}
	var out []Member
	for _, p := range e.table.livePeers(now, maxHeartbeatAge) {
		if !p.Leaving && !holders[p.Host] {
			out = append(out, p.Member)
		}
	}
	return out
}

// Run claims and keeps duties until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { e.followClaims(ctx) })
	loops.Go(func() { e.refreshOnRequest(ctx) })
	loops.Go(func() { e.runHeartbeats(ctx) })
	loops.Go(func() { newMonitor(e).run(ctx) })
	loops.Wait()
}

// Leave announces that this daemon is stopping: it claims no further duties.
func (e *Elector) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// wake signals a loop to continue at once. It does not block.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause waits for d, until a value arrives on wake, or until ctx ends.
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
