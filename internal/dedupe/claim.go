package dedupe

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/request"
)

const (
	// claimTimeout bounds one call to a daemon of the pair.
	claimTimeout = time.Second
	// releaseTimeout bounds how long an answer waits for an abandon.
	releaseTimeout = 250 * time.Millisecond
)

// grant is a claim that this daemon holds.
type grant struct {
	id    ulid.ULID
	token ulid.ULID
	pair  Pair
}

// outcome is what became of a claim.
type outcome struct {
	result result
	grant  grant
	answer ClaimAnswer
	// reason says why nothing was proved.
	reason string
	// unreachable is set when a daemon of the pair did not get the claim.
	unreachable bool
}

// claim claims an ID, a second time after catching up if epochs differ.
func (s *Service) claim(ctx context.Context, id ulid.ULID, fingerprint uint64) outcome {
	defer s.metrics.observe(time.Now())
	out := s.claimOnce(ctx, id, fingerprint)
	if out.result != resultRefused || out.answer.Status != StatusOtherEpoch {
		return out
	}
	s.metrics.retried.Inc(1)
	if out.answer.Epoch > s.epoch() {
		s.catchUp(ctx, out.grant.pair.Home)
		s.catchUp(ctx, out.grant.pair.Backup)
	}
	return s.claimOnce(ctx, id, fingerprint)
}

func (s *Service) epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keeper.Epoch()
}

// start returns a new try in the current epoch.
func (s *Service) start(id ulid.ULID, fingerprint uint64) (*try, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pair, ok := s.keeper.Pair(id)
	claim := Claim{Epoch: s.keeper.Epoch(), ID: id, Token: ulid.Make(), Fingerprint: fingerprint}
	return &try{claim: claim, pair: pair}, ok
}

func (s *Service) claimOnce(ctx context.Context, id ulid.ULID, fingerprint uint64) outcome {
	t, ok := s.start(id, fingerprint)
	if !ok {
		return outcome{result: resultRefused, reason: "fewer than two zones"}
	}
	out := outcome{grant: grant{id: id, token: t.claim.Token, pair: t.pair}}
	for {
		a, err := s.ask(ctx, t.target(), t.claim)
		if err != nil {
			out.result, out.reason, out.unreachable = resultRefused, "unreachable", true
			break
		}
		out.answer = a
		out.result = t.take(a)
		if out.result != resultMore {
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
	if t.asked > 0 || out.unreachable {
		s.abandon(out.grant)
	}
	return out
}

func (s *Service) ask(ctx context.Context, to string, c Claim) (ClaimAnswer, error) {
	if to == s.opt.Self {
		return s.claimLocal(c), nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var a ClaimAnswer
	err := s.opt.Caller.Call(ctx, to, MethodClaim, c, &a)
	return a, err
}

// abandon takes a claim back at both of the pair, so that a resend may run. A
// daemon that does not hear of it keeps the claim until its window has passed.
func (s *Service) abandon(g grant) {
	s.metrics.abandoned.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	s.tellPair(g.pair, func(to string) {
		_ = s.opt.Caller.Call(ctx, to, MethodAbandon, Abandon{ID: g.id, Token: g.token}, nil)
	})
}

// complete tells both of the pair that the request ran.
func (s *Service) complete(g grant, r *request.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	s.tellPair(g.pair, func(to string) {
		_ = s.opt.Caller.Send(ctx, to, MethodComplete, Complete{ID: g.id, Token: g.token, Response: r})
	})
}

func (s *Service) tellPair(p Pair, tell func(to string)) {
	var wg sync.WaitGroup
	wg.Go(func() { tell(p.Home) })
	tell(p.Backup)
	wg.Wait()
}
