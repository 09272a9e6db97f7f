package dedupe

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/request"
)

const (
	// claimTimeout limits one claim call to a daemon of the pair.
	claimTimeout = time.Second
	// notifyTimeout limits how long an answer is delayed by abandoning a claim.
	notifyTimeout = 250 * time.Millisecond
)

// heldClaim is a claim that this daemon made and has to abandon or complete.
type heldClaim struct {
	id    ulid.ULID
	token ulid.ULID
	pair  Pair
}

// claimOutcome is the outcome of a claim at both daemons of the pair.
type claimOutcome struct {
	result claimResult
	held   heldClaim
	answer ClaimAnswer
	// reason is why the claim was rejected.
	reason string
	// unreachable is set if a daemon of the pair did not answer the claim.
	unreachable bool
}

// claim claims an ID. If the epochs differ, it catches up and tries once more.
func (s *Service) claim(ctx context.Context, id ulid.ULID, fingerprint uint64) claimOutcome {
	defer s.metrics.observeLatency(time.Now())
	out := s.claimOnce(ctx, id, fingerprint)
	if out.result != resultRejected || out.answer.Status != StatusOtherEpoch {
		return out
	}
	s.metrics.retried.Inc(1)
	if out.answer.Epoch > s.epoch() {
		s.catchUp(ctx, out.held.pair.Primary)
		s.catchUp(ctx, out.held.pair.Backup)
	}
	return s.claimOnce(ctx, id, fingerprint)
}

func (s *Service) epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Epoch()
}

// newAttempt returns a new claim attempt in the current epoch. The result is
// false if the epoch has no pair for the ID.
func (s *Service) newAttempt(id ulid.ULID, fingerprint uint64) (*claimAttempt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pair, ok := s.store.Pair(id)
	claim := Claim{Epoch: s.store.Epoch(), ID: id, Token: ulid.Make(), Fingerprint: fingerprint}
	return &claimAttempt{claim: claim, pair: pair}, ok
}

func (s *Service) claimOnce(ctx context.Context, id ulid.ULID, fingerprint uint64) claimOutcome {
	t, ok := s.newAttempt(id, fingerprint)
	if !ok {
		return claimOutcome{result: resultRejected, reason: "fewer than two zones"}
	}
	out := claimOutcome{held: heldClaim{id: id, token: t.claim.Token, pair: t.pair}}
	for {
		a, err := s.sendClaim(ctx, t.nextDaemon(), t.claim)
		if err != nil {
			out.result, out.reason, out.unreachable = resultRejected, "unreachable", true
			break
		}
		out.answer = a
		out.result = t.recordAnswer(a)
		if out.result != resultAskBackup {
			out.reason = a.Status.String()
			break
		}
	}
	if out.result == resultGranted {
		s.metrics.granted.Inc(1)
		return out
	}
	if out.answer.Status == StatusGranted {
		out.reason = "not-vouched"
	}
	if t.granted > 0 || out.unreachable {
		s.abandon(out.held)
	}
	return out
}

func (s *Service) sendClaim(ctx context.Context, to string, c Claim) (ClaimAnswer, error) {
	if to == s.opt.Self {
		return s.claimLocal(c), nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var a ClaimAnswer
	err := s.opt.Caller.Call(ctx, to, MethodClaim, c, &a)
	return a, err
}

// abandon withdraws a claim at both daemons of the pair so that a resend may run.
// A daemon that does not receive the message keeps the claim until its window has
// passed.
func (s *Service) abandon(held heldClaim) {
	s.metrics.abandoned.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	s.notifyPair(held.pair, func(to string) {
		_ = s.opt.Caller.Call(ctx, to, MethodAbandon, Abandon{ID: held.id, Token: held.token}, nil)
	})
}

// complete reports to both daemons of the pair that the request ran.
func (s *Service) complete(held heldClaim, r *request.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	s.notifyPair(held.pair, func(to string) {
		_ = s.opt.Caller.Send(ctx, to, MethodComplete, Complete{ID: held.id, Token: held.token, Response: r})
	})
}

func (s *Service) notifyPair(p Pair, notify func(to string)) {
	var wg sync.WaitGroup
	wg.Go(func() { notify(p.Primary) })
	notify(p.Backup)
	wg.Wait()
}
