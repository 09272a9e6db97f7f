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
	// readWait is how long a read waits for a record at the tail.
	readWait = time.Second
	// readTimeout bounds one read of the log.
	readTimeout = 5 * time.Second
	// peerPoll is the time between looks for a peer that is further on.
	peerPoll = 250 * time.Millisecond
)

// Ahead names daemons whose folded offset is higher than ours, as far as
// heartbeats tell.
type Ahead interface {
	Ahead(offset uint64) []string
}

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	Replica *Replica
	Log     platform.Log
	// Source fetches from peers.
	Source *PeerSource
	// Ahead names the peers to fetch from while running.
	Ahead Ahead
	// Seeds returns the peer addresses to ask at start.
	Seeds  func() []string
	Logger zerolog.Logger
	Scope  tally.Scope
}

// Follower keeps a replica current from the log and, while the log fails,
// from peers.
type Follower struct {
	opt FollowerOptions

	ready       atomic.Bool
	confirmedNs atomic.Int64
	logDown     atomic.Bool

	reads      tally.Counter
	readErrors tally.Counter
	truncated  tally.Counter
	offset     tally.Gauge
}

// NewFollower returns a follower that does nothing until Run.
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

// Ready reports whether the state has once been as new as the log's tail or,
// with the log unreachable, as every peer that answered.
func (f *Follower) Ready() bool { return f.ready.Load() }

// LogConfirmed returns the last moment for which the state is known to have
// held every record of the log, or the zero time. It is the start of the last
// read that reached the tail.
func (f *Follower) LogConfirmed() time.Time {
	ns := f.confirmedNs.Load()
	if ns == 0 {
		return time.Time{}
	}
	return processStart.Add(time.Duration(ns))
}

// LogDown reports whether the last read of the log failed.
func (f *Follower) LogDown() bool { return f.logDown.Load() }

// processStart carries a monotonic reading, so that times derived from it
// survive steps of the wall clock.
var processStart = time.Now()

// Run follows the log and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	go f.followPeers(ctx)
	pause := newPause()
	for ctx.Err() == nil {
		if f.readOnce(ctx) {
			pause.Reset()
			continue
		}
		clock.Sleep(ctx, pause.NextBackOff())
	}
	return ctx.Err()
}

// readOnce reads the log once and folds what came. It returns false when the
// next read should wait.
func (f *Follower) readOnce(ctx context.Context) bool {
	start := time.Now()
	from := f.opt.Replica.State().Offset + 1
	rctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	f.reads.Inc(1)
	recs, err := f.opt.Log.Read(rctx, platform.StreamControl, from, readLimit, readWait)
	if err != nil {
		return f.readFailed(ctx, err)
	}
	f.setLogDown(false)
	reached := f.opt.Replica.Fold(recs)
	f.offset.Update(float64(reached))
	if len(recs) < readLimit && f.unread(reached, recs) == 0 {
		f.confirm(start)
	}
	return true
}

// unread returns how many of the records read were not folded because a gap
// came before them.
func (f *Follower) unread(reached uint64, recs []platform.LogRecord) uint64 {
	if len(recs) == 0 || recs[len(recs)-1].Offset <= reached {
		return 0
	}
	return recs[len(recs)-1].Offset - reached
}

func (f *Follower) confirm(at time.Time) {
	f.confirmedNs.Store(int64(at.Sub(processStart)))
	f.setReady("log")
}

func (f *Follower) setReady(source string) {
	if !f.ready.Swap(true) {
		f.opt.Logger.Info().Str("source", source).Uint64("offset", f.opt.Replica.State().Offset).Msg("state is current")
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

func (f *Follower) readFailed(ctx context.Context, err error) bool {
	var te *platform.TruncatedError
	if eris.As(err, &te) {
		f.truncated.Inc(1)
		f.opt.Logger.Warn().Uint64("oldest", te.Oldest).Msg("log truncated past this replica")
		return f.loadSnapshot(ctx) || f.askSeeds(ctx)
	}
	if ctx.Err() != nil {
		return false
	}
	f.readErrors.Inc(1)
	f.setLogDown(true)
	if !f.Ready() {
		f.askSeeds(ctx)
	}
	return false
}

// loadSnapshot restores the newest snapshot of the log and reports whether
// the state moved on.
func (f *Follower) loadSnapshot(ctx context.Context) bool {
	before := f.opt.Replica.State().Offset
	data, err := ReadSnapshot(ctx, f.opt.Log)
	if err != nil {
		f.opt.Logger.Warn().Err(err).Msg("no snapshot from the log")
		return false
	}
	if err := f.opt.Replica.Restore(data); err != nil {
		f.opt.Logger.Warn().Err(err).Msg("snapshot not restored")
		return false
	}
	return f.opt.Replica.State().Offset > before
}

// askSeeds fetches from every configured peer that answers. Having the newest
// state among them makes a daemon ready that cannot reach the log: no peer it
// can reach has a newer one.
func (f *Follower) askSeeds(ctx context.Context) bool {
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

// followPeers fetches from peers that are further on. With a healthy log it
// is seldom needed; a daemon cut from the platform lives on it.
func (f *Follower) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, peerPoll)
		offset := f.opt.Replica.State().Offset
		for _, id := range f.opt.Ahead.Ahead(offset) {
			if f.opt.Source.Fetch(ctx, id) {
				break
			}
		}
	}
}
