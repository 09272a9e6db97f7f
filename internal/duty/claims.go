package duty

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/verdict"
)

const (
	// holderReadWait and idleReadWait bound how long a blocking read of the
	// claim partition waits for a new claim, for a daemon that holds duties and
	// for one that holds none. The wait of a holder is shorter because each
	// completed read lets it act for one more lease from when the read began.
	holderReadWait = 500 * time.Millisecond
	idleReadWait   = 1400 * time.Millisecond
	// refreshTimeout bounds a read of the claims that a probe has asked for.
	refreshTimeout = 250 * time.Millisecond
)

// followClaims reads new claims until ctx ends.
func (e *Elector) followClaims(ctx context.Context) {
	tail := logstore.NewTail(e.opt.Log, claimPartition)
	for ctx.Err() == nil {
		start := e.opt.Clock.Now()
		wait := e.claimReadWait()
		recs, _, err := tail.Next(ctx, wait)
		if err != nil {
			e.logOutage.Failed("read claims", err)
			clock.Sleep(ctx, retryPause)
			continue
		}
		e.mu.Lock()
		e.applyClaims(recs, e.opt.Clock.Now())
		e.nextClaimOffset = max(e.nextClaimOffset, tail.Position())
		// An answer without claims does not tell when the log looked for them.
		e.confirm(start)
		e.mu.Unlock()
		wake(e.claimsChanged)
	}
}

// applyClaims applies claims to the table and to the duties held here. The
// caller holds e.mu.
func (e *Elector) applyClaims(recs []logstore.Record, now time.Duration) {
	for _, r := range recs {
		n := Name(r.Key)
		e.nextClaimOffset = max(e.nextClaimOffset, r.Offset+1)
		if n == reserved {
			continue
		}
		previous := e.table.claims[n]
		if err := e.table.applyClaim(r, now); err != nil {
			e.opt.Logger.Warn().Err(err).Int64("offset", r.Offset).Msg("ignoring undecodable claim record")
		}
		e.reconcile(n, previous)
	}
}

// reconcile compares a duty's last claim with what this daemon holds, and
// reports duties acquired and lost to the observer. previous is the claim
// before the last one. The caller holds e.mu.
func (e *Elector) reconcile(n Name, previous Claim) {
	c := e.table.claims[n]
	token, held := e.held[n]
	own := c.Holder == e.opt.Self && !c.Released
	if held && (!own || c.Token != token) {
		delete(e.held, n)
		e.claimsLost.Inc(1)
		e.logLost(n, token, c)
		e.opt.Observer.Lost(n, token)
	}
	if own && e.held[n] != c.Token {
		e.held[n] = c.Token
		e.claims.Inc(1)
		e.opt.Logger.Info().Str("duty", string(n)).Int64("token", int64(c.Token)).Msg("duty gained")
		e.opt.Observer.Acquired(Acquisition{Duty: n, Token: c.Token, Tokens: reservedTokens(n, claimRecord{}), Previous: previous, PriorLeaseRemaining: c.PriorLeaseRemaining})
		wake(e.heartbeatNow)
	}
	e.heldGauge.Update(float64(len(e.held)))
}

func (e *Elector) claimReadWait() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.held) > 0 {
		return holderReadWait
	}
	return idleReadWait
}

// heldByOwnHost reports whether an earlier process on this host holds the duty.
// The caller holds e.mu.
func (e *Elector) heldByOwnHost(n Name) bool {
	c := e.table.claims[n]
	return !c.Released && c.Holder.Host == e.opt.Self.Host
}

// claimDuty claims a duty whose last claim has the token expected. If several
// daemons do so, only one conditional append succeeds; the claims read back
// from the log show which. ended is set if the process of the last holder has
// ended.
func (e *Elector) claimDuty(ctx context.Context, n Name, expected Token, ended bool) {
	c := claimRecord{Holder: e.opt.Self}
	if !ended {
		// The last holder either reads this claim or stops acting because it
		// has not read the claims for a lease.
		c.PriorLeaseRemaining = e.opt.Lease
	}
	e.appendClaim(ctx, n, expected, c)
}

// appendClaim appends a claim at the end of the claims known here, provided
// that the duty's last claim still has the token expected: what was found out
// about that holder does not apply to a later one. A daemon that is stopping only
// gives duties up. It reports whether the claim was appended.
func (e *Elector) appendClaim(ctx context.Context, n Name, expected Token, c claimRecord) bool {
	e.mu.Lock()
	at := e.nextClaimOffset
	stopping := e.leaving && !c.Released
	last := e.table.claims[n].Token
	c.PriorLeaseRemaining = max(c.PriorLeaseRemaining, e.table.priorLeaseRemaining(n, e.opt.Clock.Now()))
	e.mu.Unlock()
	if stopping || last != expected {
		return false
	}
	entries, err := claimEntries(n, c)
	if err != nil {
		e.logOutage.Failed("encode claim", err)
		return false
	}
	result, err := e.opt.Log.Append(ctx, claimPartition, entries, logstore.Condition{ExpectedEnd: &at})
	var conflict *logstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		e.readClaims(ctx, at)
		return false
	case err != nil:
		e.logOutage.Failed("claim", err)
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyClaims([]logstore.Record{{Offset: result.Offset, Key: entries[0].Key, Value: entries[0].Value}}, e.opt.Clock.Now())
	e.nextClaimOffset = max(e.nextClaimOffset, result.Offset+int64(len(entries)))
	return true
}

// readClaims reads the claims from an offset on. It is needed because the loop
// in followClaims may be blocked in a read, or waiting for an answer that is
// lost.
func (e *Elector) readClaims(ctx context.Context, from int64) {
	start := e.opt.Clock.Now()
	b, err := e.opt.Log.Read(ctx, claimPartition, from, 0)
	if err != nil {
		e.logOutage.Failed("read claims", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyClaims(b.Records, e.opt.Clock.Now())
	e.confirm(start)
}

// confirm records that all claims up to a moment are known here. The caller holds e.mu.
func (e *Elector) confirm(at time.Duration) {
	e.claimsRead = true
	e.confirmedAt = max(e.confirmedAt, at)
}

// refreshOnRequest reads the claims whenever a probe asks for it: the log may
// answer again before followClaims notices.
func (e *Elector) refreshOnRequest(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.refreshNow:
		}
		e.mu.Lock()
		from := e.nextClaimOffset
		e.mu.Unlock()
		readCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
		e.readClaims(readCtx, from)
		cancel()
	}
}

// Release gives up every duty but those to keep, so that other daemons can claim them at
// once. The fleet duty must not be acted for any more when it is released. Release returns an
// error if the log did not accept a release; the other daemons then wait until this process
// has ended.
func (e *Elector) Release(ctx context.Context, keep ...Name) error {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	for {
		n, token, ok := e.anyHeldExcept(keep)
		if !ok {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return eris.Wrapf(verdict.NewNotRun(verdict.ReasonDeadline, "%v", err), "release %s", n)
		}
		e.tryRelease(ctx, n, token)
	}
}

// tryRelease appends the release of a duty once, and pauses if that fails.
func (e *Elector) tryRelease(ctx context.Context, n Name, t Token) {
	c := claimRecord{Holder: e.opt.Self, Released: true, ReleasedToken: t}
	if n != Fleet {
		// A pool's holder acts until it knows that its release is in the log.
		c.PriorLeaseRemaining = e.opt.Lease
	}
	if !e.appendClaim(ctx, n, t, c) {
		clock.Sleep(ctx, retryPause)
	}
}

// GiveUp gives up a duty that this daemon holds under a token and cannot act for, until it is
// no longer held or ctx ends. Any daemon may claim it then.
func (e *Elector) GiveUp(ctx context.Context, n Name, t Token) {
	for ctx.Err() == nil && e.holds(n, t) {
		e.tryRelease(ctx, n, t)
	}
}

// holds reports whether this daemon holds a duty under a token.
func (e *Elector) holds(n Name, t Token) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.held[n]
	return ok && held == t
}

// anyHeldExcept returns a duty that this daemon holds and is not to keep.
func (e *Elector) anyHeldExcept(keep []Name) (Name, Token, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n, t := range e.held {
		if !slices.Contains(keep, n) {
			return n, t, true
		}
	}
	return "", 0, false
}
