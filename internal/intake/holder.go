package intake

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/duty"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
)

const (
	// silentPeriod is how long a holder that did not answer is not asked again:
	// requests go to the intake log at once meanwhile.
	silentPeriod = 300 * time.Millisecond
	// minHolderTime and maxHolderTime bound the time that a holder has to answer
	// a request, which is holderTimeFactor times what it took to answer lately.
	minHolderTime    = 500 * time.Millisecond
	maxHolderTime    = 900 * time.Millisecond
	holderTimeFactor = 4
	// holderTimeFraction is the fraction of the remaining time of a caller's
	// request that the holder has to answer. The rest is for the append to the
	// intake log when the holder does not answer.
	holderTimeFraction = 0.5
	// latencyWeight is the weight of the last answer in the average latency.
	latencyWeight = 0.2
	// maxTrackedHolders bounds the holders that are known; every change of a
	// duty's holder adds one.
	maxTrackedHolders = 256
)

// holderHealth is what this daemon knows of one holder of a pool.
type holderHealth struct {
	// latency is the average time to an answer, or 0 if there was none yet.
	latency time.Duration
	// silentUntil is until when the holder is not asked.
	silentUntil time.Duration
}

// holderTracker knows which holders answer this daemon, and how fast. It is safe
// for concurrent use.
type holderTracker struct {
	mu sync.Mutex
	// byID holds the health of holders by Member.ID.
	byID map[string]*holderHealth
}

func newHolderTracker() *holderTracker { return &holderTracker{byID: map[string]*holderHealth{}} }

// timeLimit returns how long to wait for an answer of a holder, or false when the
// holder is not to be asked now.
func (t *holderTracker) timeLimit(id string, now time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.byID[id]
	switch {
	case h == nil:
		return maxHolderTime, true
	case now < h.silentUntil:
		return 0, false
	case h.latency == 0:
		return maxHolderTime, true
	default:
		return min(maxHolderTime, max(minHolderTime, holderTimeFactor*h.latency)), true
	}
}

// observe records whether a holder answered a call, and how long that took.
func (t *holderTracker) observe(id string, answered bool, took, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.byID[id]
	if h == nil {
		if len(t.byID) >= maxTrackedHolders {
			clear(t.byID)
		}
		h = &holderHealth{}
		t.byID[id] = h
	}
	switch {
	case !answered:
		h.silentUntil = now + silentPeriod
	case h.latency == 0:
		h.latency, h.silentUntil = took, 0
	default:
		h.latency += time.Duration(latencyWeight * float64(took-h.latency))
		h.silentUntil = 0
	}
}

// callHolder calls the holder of a pool. When this daemon is the holder, it calls
// local instead. The error is scheduler.ErrPoolNotHeld if the call certainly had no
// effect since there is no holder to call, or it was not sent.
func (s *Service) callHolder(ctx context.Context, pool string, m peer.Method, req, resp any, local func(context.Context) error) error {
	c, ok := s.opt.Holders.Holder(duty.OfPool(pool))
	if !ok {
		return scheduler.ErrPoolNotHeld
	}
	id := c.Holder.ID()
	limit, ask := s.holders.timeLimit(id, s.opt.Clock.Now())
	if !ask {
		return scheduler.ErrPoolNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, limitToFraction(ctx, limit))
	defer cancel()
	if c.Holder == s.opt.Self {
		return local(ctx)
	}
	start := s.opt.Clock.Now()
	err := s.opt.Caller.Call(ctx, id, m, req, resp)
	now := s.opt.Clock.Now()
	var remote *peer.RemoteError
	s.holders.observe(id, err == nil || errors.As(err, &remote), now-start, now)
	switch {
	case err == nil:
		return nil
	case eris.Is(err, peer.ErrNotSent):
		return scheduler.ErrPoolNotHeld
	default:
		return verdict.NewMayHaveRun(verdict.ReasonPeerLost, "%v", err)
	}
}

// limitToFraction returns the time limit of a call to a holder: at most
// holderTimeFraction of the time that the caller's request has left.
func limitToFraction(ctx context.Context, limit time.Duration) time.Duration {
	at, ok := ctx.Deadline()
	if !ok {
		return limit
	}
	return min(limit, time.Duration(holderTimeFraction*float64(time.Until(at))))
}
