package limits

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/verdict"
)

const (
	// appendDelay is how long an append waits for further raises, so that one covers them
	// all, and appendGap the least time between two appends. It is longer after a large one:
	// the log takes appendRate bytes per second of them.
	appendDelay = 5 * time.Millisecond
	appendGap   = 50 * time.Millisecond
	appendRate  = 1 << 20
	// logRetry is the delay after a failed call to the log.
	logRetry = 100 * time.Millisecond
	// readTimeout bounds the reads of the partition that a decision or a response waits for.
	readTimeout = time.Second
	// maxAppendWait is how long a response waits for the append that raises a grant. The
	// caller gives up after exchangeTimeout.
	maxAppendWait = 150 * time.Millisecond
	// trackInterval is the least time between two looks at which pools have a holder.
	trackInterval = time.Second
	// listInterval is the least time between two listings because of a holder whose
	// registration cannot be found.
	listInterval = time.Second
)

// session is one period in which this daemon is the allocator.
type session struct {
	svc   *Service
	token int64
	lease Lease
	log   logstore.Log
	// wake wakes the loop that appends.
	wake chan struct{}
	// timeout is used by that loop alone, as are mustRead and doubtful. mustRead is set if
	// the partition may hold records that have not been read, and doubtful if the proposal in
	// progress may have been appended.
	timeout            logstore.AdaptiveTimeout
	mustRead, doubtful bool
	// reading admits one read of registrations at a time.
	reading sync.Mutex

	mu    sync.Mutex
	alloc *Allocator
	// appended is closed when an append has ended, and replaced.
	appended chan struct{}
	// logDown is set while the last append failed.
	logDown             bool
	trackedAt, listedAt time.Duration
	laterAllocator      int64
	counted             Counts
}

func newSession(s *Service, token int64, lease Lease) *session {
	return &session{
		svc:      s,
		token:    token,
		lease:    lease,
		log:      logstore.Reported(s.opt.Log, s.logOutage),
		wake:     make(chan struct{}, 1),
		appended: make(chan struct{}),
	}
}

func (x *session) now() time.Duration { return x.svc.opt.Clock.Now() }

func (x *session) logger() *zerolog.Logger { return &x.svc.opt.Logger }

func (x *session) limits() InEffect {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.alloc.limits
}

func (x *session) lastVersion() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.alloc.number
}

// takeOver appends the token of this allocator at the end of what it has read. From then on
// every append of an earlier allocator or session conflicts, also one that the log has not
// carried out yet. It reports whether it did; if not, ctx has ended or there is a later
// allocator.
func (x *session) takeOver(ctx context.Context) bool {
	e, err := allocatorEntry(x.token)
	if err != nil {
		x.logger().Error().Err(err).Msg("failed to encode the allocator's token")
		return false
	}
	for ctx.Err() == nil {
		recs, end, err := x.list(ctx)
		if err == nil {
			if last := lastAllocator(recs); last > x.token {
				x.logger().Info().Int64("token", x.token).Int64("newer_token", last).Msg("a later allocator of customers' limits is known")
				return false
			}
			if x.lease.Remaining() > 0 {
				var result logstore.AppendResult
				result, err = x.append(ctx, []logstore.Entry{e}, end)
				if err == nil {
					x.start(recs, result.End)
					return true
				}
			}
		}
		clock.Sleep(ctx, logRetry)
	}
	return false
}

// lastAllocator returns the token of the last allocator.
func lastAllocator(recs []logstore.Record) int64 {
	last := int64(0)
	for _, r := range recs {
		if d, err := decode(r); err == nil && d.kind == kindAllocator {
			last = max(last, d.token)
		}
	}
	return last
}

func (x *session) start(recs []logstore.Record, end int64) {
	limits, _ := x.svc.opt.Config.Get()
	o := AllocatorOptions{Token: x.token, FirstVersion: x.svc.firstVersion(), RetireAfter: x.svc.opt.RetireAfter}
	now := x.now()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.alloc = NewAllocator(o, limits, now)
	x.loaded(x.alloc.Load(recs, end, true, now))
}

// list lists the partition with a bounded wait.
func (x *session) list(ctx context.Context) ([]logstore.Record, int64, error) {
	ctx, cancel := x.timeout.Context(ctx, 0)
	defer cancel()
	recs, end, err := list(ctx, x.log)
	x.timeout.Observe(err)
	return recs, end, err
}

// append appends entries at an offset.
func (x *session) append(ctx context.Context, entries []logstore.Entry, at int64) (logstore.AppendResult, error) {
	ctx, cancel := x.timeout.Context(ctx, 0)
	defer cancel()
	result, err := x.log.Append(ctx, Partition, entries, logstore.Condition{ExpectedEnd: &at})
	x.timeout.Observe(err)
	x.svc.metrics.appends.Inc(1)
	for _, e := range entries {
		x.svc.metrics.appendedBytes.Inc(int64(len(e.Key) + len(e.Value)))
	}
	if err != nil {
		x.svc.metrics.appendsFailed.Inc(1)
	}
	return result, err
}

// run appends what the allocator proposes until ctx ends, no customer has a limit or a later
// allocator has taken over.
func (x *session) run(ctx context.Context) (superseded bool) {
	for {
		_, changed := x.svc.opt.Config.Get()
		if limited := x.applyLimits(); !limited {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			continue
		case <-x.wake:
		}
		clock.Sleep(ctx, appendDelay)
		x.propose(ctx)
		if x.superseded() {
			return true
		}
		clock.Sleep(ctx, appendGap-appendDelay)
	}
}

func (x *session) superseded() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.laterAllocator != 0
}

// applyLimits passes the limits in effect to the allocator, and reports whether there are any.
func (x *session) applyLimits() bool {
	limits, _ := x.svc.opt.Config.Get()
	now := x.now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if limits.Version == x.alloc.limits.Version {
		return true
	}
	for _, l := range x.alloc.SetLimits(limits, now) {
		x.logger().Info().Str("customer", string(l.Customer)).Interface("limit", l.Limit.resources()).Interface("used", l.Used.resources()).Msg("limit lowered below what the customer uses")
	}
	notify(x.wake)
	return len(limits.Limits) > 0
}

// propose makes one append if there is something to log.
func (x *session) propose(ctx context.Context) {
	if x.mustRead && x.read(ctx) != nil || x.lease.Remaining() <= 0 {
		x.retry(ctx)
		return
	}
	x.mustRead = false
	x.mu.Lock()
	p, err := x.alloc.Propose(x.now())
	x.mu.Unlock()
	if err != nil {
		x.logger().Error().Err(err).Msg("failed to encode bounds of customers")
	}
	if p == nil {
		return
	}
	result, err := x.append(ctx, p.Entries, p.At)
	if known := x.settle(p, result, err); !known {
		clock.Sleep(ctx, logRetry)
	}
	notify(x.wake)
}

// retry has the loop go on after a delay.
func (x *session) retry(ctx context.Context) {
	clock.Sleep(ctx, logRetry)
	notify(x.wake)
}

// settle records the outcome of an append, and reports whether the log answered. If the outcome
// is not known, the partition is read before anything else, and the append is repeated unchanged
// until something follows its place.
func (x *session) settle(p *Proposal, result logstore.AppendResult, err error) (answered bool) {
	now := x.now()
	x.mu.Lock()
	defer x.mu.Unlock()
	var conflict *logstore.ConflictError
	answered = err == nil || errors.As(err, &conflict)
	switch {
	case err == nil:
		x.doubtful = false
		x.alloc.Commit(p, result.End, now)
	case answered:
		x.doubtful, x.mustRead = false, true
	case verdict.Of(err) == verdict.NotRun && !x.doubtful:
		x.alloc.Abort(p)
	default:
		x.doubtful, x.mustRead = true, true
	}
	x.logDown = !answered
	x.count()
	close(x.appended)
	x.appended = make(chan struct{})
	return answered
}

// count passes the allocator's counts on. It must be called with mu held.
func (x *session) count() {
	c := x.alloc.Counts()
	x.svc.metrics.raised.Inc(c.Raised - x.counted.Raised)
	x.svc.metrics.lowered.Inc(c.Lowered - x.counted.Lowered)
	x.counted = c
}
