package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/platform"
)

const (
	// readLimit is how many records one read of the log asks for.
	readLimit = 512
	// readWait is how long a read at the end of the log waits for a new record.
	readWait = time.Second
	// readTimeout bounds one read of the log.
	readTimeout = 5 * time.Second
	// peerPollInterval is the time between checks for a peer with a higher
	// offset.
	peerPollInterval = 250 * time.Millisecond
)

// PeerProgress reports how far other daemons have applied the control stream,
// according to their heartbeats.
type PeerProgress interface {
	// MembersAhead returns the IDs of the daemons that have applied records beyond
	// an offset.
	MembersAhead(offset uint64) []string
}

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	Replica *Replica
	Log     platform.Log
	// Source fetches from peers.
	Source *PeerSource
	// Peers returns the peers to fetch from while running.
	Peers PeerProgress
	// Seeds returns the peer addresses to fetch from when the log is unreachable
	// before the state is ready, or truncated without a usable snapshot.
	Seeds  func() []string
	Logger zerolog.Logger
	Scope  tally.Scope
}

// Follower keeps a replica up to date from the log and, while the log fails, from
// peers.
type Follower struct {
	opt FollowerOptions

	ready      atomic.Bool
	caughtUpNs atomic.Int64
	logDown    atomic.Bool

	reads      tally.Counter
	readErrors tally.Counter
	truncated  tally.Counter
	offset     tally.Gauge
}

// NewFollower returns a follower that does nothing until Run is called.
func NewFollower(opt FollowerOptions) *Follower {
	scope := opt.Scope.SubScope("replica")
	return &Follower{
		opt:        opt,
		reads:      scope.Counter("log_reads"),
		readErrors: scope.Counter("log_read_errors"),
		truncated:  scope.Counter("log_truncated"),
		offset:     scope.Gauge("offset"),
	}
}

// Ready reports whether the state has at least once caught up with the end of the log
// or, while the log was unreachable, with every peer that answered.
func (f *Follower) Ready() bool { return f.ready.Load() }

// LogConfirmed returns the latest time at which the state is known to have contained
// every record of the log, or the zero time. It is the start of the last read that
// reached the end of the log.
func (f *Follower) LogConfirmed() time.Time {
	ns := f.caughtUpNs.Load()
	if ns == 0 {
		return time.Time{}
	}
	return processStart.Add(time.Duration(ns))
}

// LogDown reports whether the last read of the log failed.
func (f *Follower) LogDown() bool { return f.logDown.Load() }

// processStart has a monotonic clock reading, so that times derived from it are
// unaffected by steps of the wall clock.
var processStart = time.Now()

// Run follows the log and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	go f.fetchFromPeers(ctx)
	retry := newBackoff()
	for ctx.Err() == nil {
		if f.readOnce(ctx) {
			retry.Reset()
			continue
		}
		clock.Sleep(ctx, retry.NextBackOff())
	}
	return ctx.Err()
}

// readOnce reads the log once and applies the records read. It returns false if the
// next read should be delayed.
func (f *Follower) readOnce(ctx context.Context) bool {
	start := time.Now()
	from := f.opt.Replica.State().Offset + 1
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	f.reads.Inc(1)
	recs, err := f.opt.Log.Read(rctx, platform.StreamControl, from, readLimit, readWait)
	if err != nil {
		return f.handleReadError(ctx, err)
	}
	f.setLogDown(false)
	reached := f.opt.Replica.Apply(recs)
	f.offset.Update(float64(reached))
	if len(recs) < readLimit && f.unappliedCount(reached, recs) == 0 {
		f.setCaughtUp(start)
	}
	return true
}

// unappliedCount returns how many of the records read were not applied because a gap
// precedes them.
func (f *Follower) unappliedCount(reached uint64, recs []platform.LogRecord) uint64 {
	if len(recs) == 0 || recs[len(recs)-1].Offset <= reached {
		return 0
	}
	return recs[len(recs)-1].Offset - reached
}

// setCaughtUp records that at the given time the state contained every record of the
// log.
func (f *Follower) setCaughtUp(at time.Time) {
	f.caughtUpNs.Store(int64(at.Sub(processStart)))
	f.setReady("log")
}

func (f *Follower) setReady(source string) {
	if !f.ready.Swap(true) {
		f.opt.Logger.Info().Str("source", source).Uint64("offset", f.opt.Replica.State().Offset).Msg("replicated state is up to date")
	}
}

func (f *Follower) setLogDown(down bool) {
	if f.logDown.Swap(down) == down {
		return
	}
	if down {
		f.opt.Logger.Warn().Msg("log unreachable")
		return
	}
	f.opt.Logger.Info().Msg("log reachable")
}

func (f *Follower) handleReadError(ctx context.Context, err error) bool {
	var te *platform.TruncatedError
	if eris.As(err, &te) {
		f.truncated.Inc(1)
		f.opt.Logger.Warn().Uint64("oldest", te.Oldest).Msg("log truncated beyond the offset of this replica")
		return f.loadSnapshot(ctx) || f.fetchFromSeeds(ctx)
	}
	if ctx.Err() != nil {
		return false
	}
	f.readErrors.Inc(1)
	f.setLogDown(true)
	if !f.Ready() {
		f.fetchFromSeeds(ctx)
	}
	return false
}

// loadSnapshot restores the newest snapshot in the log and reports whether the
// offset advanced.
func (f *Follower) loadSnapshot(ctx context.Context) bool {
	before := f.opt.Replica.State().Offset
	data, err := ReadSnapshot(ctx, f.opt.Log)
	if err != nil {
		f.opt.Logger.Warn().Err(err).Msg("cannot read a snapshot from the log")
		return false
	}
	if err := f.opt.Replica.Restore(data); err != nil {
		f.opt.Logger.Warn().Err(err).Msg("cannot restore the snapshot from the log")
		return false
	}
	return f.opt.Replica.State().Offset > before
}

// fetchFromSeeds fetches from every configured peer that answers and reports whether
// the offset advanced. It makes a daemon that cannot reach the log ready, since its
// state is then the newest among the peers that it can reach.
func (f *Follower) fetchFromSeeds(ctx context.Context) bool {
	before := f.opt.Replica.State().Offset
	answered := 0
	for _, addr := range f.opt.Seeds() {
		if f.opt.Source.FetchAddress(ctx, addr) {
			answered++
		}
	}
	after := f.opt.Replica.State().Offset
	if answered > 0 && after > 0 {
		f.setReady("peers")
	}
	return after > before
}

// fetchFromPeers repeatedly fetches from a peer with a higher offset. With a healthy
// log this is rarely needed; it is the only source of records for a daemon that is
// partitioned from the platform.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, peerPollInterval)
		offset := f.opt.Replica.State().Offset
		for _, id := range f.opt.Peers.MembersAhead(offset) {
			if f.opt.Source.Fetch(ctx, id) {
				break
			}
		}
	}
}
