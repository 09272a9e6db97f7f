package duty

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/record"
	"greengagedeck/internal/verdict"
)

const (
	// holderClaimWait is how long a read of the claims by a holder waits for
	// one, and idleClaimWait one by any other daemon: a holder may act for a
	// lease after each.
	holderClaimWait = 700 * time.Millisecond
	idleClaimWait   = 1400 * time.Millisecond
	// refreshTimeout bounds a read of the claims on behalf of a probe.
	refreshTimeout = 250 * time.Millisecond
)

// followClaims reads claims as they are made.
func (k *Keeper) followClaims(ctx context.Context) {
	tail := logstore.NewTail(k.opt.Log, claimPartition)
	for ctx.Err() == nil {
		start := k.opt.Clock.Now()
		wait := k.claimWait()
		recs, _, err := tail.Next(ctx, wait)
		if err != nil {
			k.failed("read claims", err)
			clock.Sleep(ctx, retryPause)
			continue
		}
		now := k.opt.Clock.Now()
		confirmed := start
		if len(recs) == 0 && now-start >= wait {
			// Nothing was claimed while the answer waited.
			confirmed = start + wait
		}
		k.mu.Lock()
		k.foldClaims(recs, now)
		k.claimEnd = max(k.claimEnd, tail.Position())
		k.confirmed = max(k.confirmed, confirmed)
		k.mu.Unlock()
		wake(k.news)
	}
}

// foldClaims notes claims and what they mean for this daemon's duties.
func (k *Keeper) foldClaims(recs []logstore.Record, now time.Duration) {
	for _, r := range recs {
		n := Name(r.Key)
		before := k.table.claims[n]
		if err := k.table.foldClaim(r, now); err != nil {
			k.opt.Logger.Warn().Err(err).Int64("offset", r.Offset).Msg("claim ignored: it cannot be read")
		}
		k.claimEnd = max(k.claimEnd, r.Offset+1)
		k.settle(n, before)
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
		k.opt.Observer.Gained(Gain{Duty: n, Token: c.Token, Before: before, ActsFor: c.ActsFor})
		wake(k.beatNow)
	}
	k.heldGauge.Update(float64(len(k.held)))
}

func (k *Keeper) claimWait() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.held) > 0 {
		return holderClaimWait
	}
	return idleClaimWait
}

// ownBefore reports whether the process that ran here before held the duty.
func (k *Keeper) ownBefore(n Name) bool {
	c := k.table.claims[n]
	return !c.Released && c.Holder.Host == k.opt.Self.Host
}

// claim claims a duty from the holder under the token before. Of several daemons
// that do so only one succeeds; the outcome is read from the log. ended says that
// the process of that holder has ended.
func (k *Keeper) claim(ctx context.Context, n Name, before Token, ended bool) {
	c := claim{Holder: k.opt.Self}
	if !ended {
		// It reads of the claim, or stops for want of a read, within a lease.
		c.ActsFor = k.opt.Lease
	}
	k.append(ctx, n, before, c)
}

// append appends a claim where the claims end, if the last one of the duty is
// still the one under the token before: what was found out about its holder says
// nothing about a later one.
func (k *Keeper) append(ctx context.Context, n Name, before Token, c claim) bool {
	k.mu.Lock()
	at := k.claimEnd
	last := k.table.claims[n].Token
	c.ActsFor = max(c.ActsFor, k.table.actsFor(n, k.opt.Clock.Now()))
	k.mu.Unlock()
	if last != before {
		return false
	}
	value, err := record.Encode(c)
	if err != nil {
		k.failed("encode claim", err)
		return false
	}
	got, err := k.opt.Log.Append(ctx, claimPartition, []logstore.Entry{{Key: string(n), Value: value}}, logstore.Condition{ExpectedEnd: &at})
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

// catchUp reads the claims from an offset on. The loop that follows them may
// still wait for the next, or for an answer that is lost.
func (k *Keeper) catchUp(ctx context.Context, from int64) {
	start := k.opt.Clock.Now()
	b, err := k.opt.Log.Read(ctx, claimPartition, from, 0)
	if err != nil {
		k.failed("read claims", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.foldClaims(b.Records, k.opt.Clock.Now())
	k.confirmed = max(k.confirmed, start)
}

// refreshes reads the claims when a probe asks for it: the log may be back before
// the loop that follows the claims knows.
func (k *Keeper) refreshes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.refreshNow:
		}
		k.mu.Lock()
		from := k.claimEnd
		k.mu.Unlock()
		once, cancel := context.WithTimeout(ctx, refreshTimeout)
		k.catchUp(once, from)
		cancel()
	}
}

// Release gives up every duty, so that others can claim it at once. It
// returns an error when the log did not take a release; the others then wait
// for the lease to end.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	for {
		n, token, ok := k.anyHeld()
		if !ok {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return eris.Wrapf(verdict.Refuse(verdict.ReasonDeadline, "%v", err), "release %s", n)
		}
		if !k.append(ctx, n, token, claim{Holder: k.opt.Self, Released: true}) {
			clock.Sleep(ctx, retryPause)
		}
	}
}

func (k *Keeper) anyHeld() (Name, Token, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for n, t := range k.held {
		return n, t, true
	}
	return "", 0, false
}
