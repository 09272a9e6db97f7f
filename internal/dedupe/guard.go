package dedupe

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/request"
	"greengagedeck/internal/verdict"
)

const (
	// maxStoredResponse is the largest answer in bytes that is stored for
	// resends.
	maxStoredResponse = 4 << 10
	// unprovenRetryDelay is the Retry-After of a request that was rejected as
	// unproven.
	unprovenRetryDelay = time.Second
	// maxGeneratedIDs limits the IDs that are generated for a request that was
	// received without one.
	maxGeneratedIDs = 8
)

// Guard wraps another server and passes each non-idempotent request to it at most
// once. Idempotent requests are passed on without a claim.
type Guard struct {
	service *Service
	next    request.Server
}

// NewGuard returns a guard that wraps next.
func NewGuard(s *Service, next request.Server) *Guard {
	return &Guard{service: s, next: next}
}

// Serve implements request.Server. It generates an ID for a request without one.
func (g *Guard) Serve(ctx context.Context, r *request.Request) (*request.Response, error) {
	if r.Idempotent {
		return g.next.Serve(ctx, r)
	}
	if r.ID == "" {
		r.IDGenerated = true
		r.ID = request.NewID(time.Now()).String()
	}
	id, err := ulid.ParseStrict(r.ID)
	if err != nil {
		return nil, verdict.NewNotRun(verdict.ReasonBadRequest, "request ID %q is not a ULID", r.ID)
	}
	out := g.claim(ctx, id, r)
	switch out.result {
	case resultGranted:
		return g.runClaimed(ctx, r, out.held)
	case resultDuplicate:
		return g.answerDuplicate(out.answer)
	default:
		return nil, g.unprovenError(r, out.reason)
	}
}

// claim claims the request's ID. An ID that was generated here is not known to any
// caller, so it can be replaced by one whose pair is live.
func (g *Guard) claim(ctx context.Context, id ulid.ULID, r *request.Request) claimOutcome {
	fp := fingerprint(r)
	if !r.IDGenerated {
		return g.service.claim(ctx, id, fp)
	}
	id = g.service.idWithLivePair(id)
	out := g.service.claim(ctx, id, fp)
	for i := 0; i < maxGeneratedIDs && out.result == resultRejected && out.unreachable && ctx.Err() == nil; i++ {
		id = g.service.idWithLivePair(request.NewID(time.Now()))
		out = g.service.claim(ctx, id, fp)
	}
	r.ID = id.String()
	return out
}

// idWithLivePair returns id if its pair is live, otherwise a new ID whose pair is.
// If it finds none, it returns an ID whose pair is not live.
func (s *Service) idWithLivePair(id ulid.ULID) ulid.ULID {
	for range maxGeneratedIDs {
		t, ok := s.newAttempt(id, 0)
		if !ok || s.opt.Members.Live(t.pair.Primary) && s.opt.Members.Live(t.pair.Backup) {
			return id
		}
		s.metrics.regeneratedIDs.Inc(1)
		id = request.NewID(time.Now())
	}
	return id
}

// runClaimed passes a claimed request on, then completes or abandons its claim.
func (g *Guard) runClaimed(ctx context.Context, r *request.Request, held heldClaim) (*request.Response, error) {
	resp, err := g.next.Serve(ctx, r)
	switch {
	case err == nil:
		go g.service.complete(held, storableResponse(resp))
	case verdict.Of(err) == verdict.NotRun:
		g.service.abandon(held)
	case verdict.Of(err) == verdict.Ran:
		go g.service.complete(held, nil)
	}
	// The claim of a request that may have run is kept.
	return resp, err
}

// storableResponse returns the answer if it is small enough to be stored, else nil.
func storableResponse(resp *request.Response) *request.Response {
	if responseSize(resp) > maxStoredResponse {
		return nil
	}
	return resp
}

// answerDuplicate answers a resend according to what is known of the first send.
func (g *Guard) answerDuplicate(a ClaimAnswer) (*request.Response, error) {
	m := g.service.metrics
	m.duplicates.Inc(1)
	if a.Response != nil {
		m.replayed.Inc(1)
		return a.Response, nil
	}
	if a.Ran {
		return nil, &verdict.Error{
			Verdict: verdict.Ran,
			Reason:  verdict.ReasonDuplicate,
			Detail:  "an earlier send of the request ran; its answer is not kept",
		}
	}
	return nil, verdict.NewMayHaveRun(verdict.ReasonDuplicate, "an earlier send of the request is in progress or lost its answer")
}

// unprovenError returns the error for a rejected request. This send did not start
// the request, but unless the ID was generated here, an earlier send of the same
// request may have run.
func (g *Guard) unprovenError(r *request.Request, reason string) error {
	g.service.metrics.countUnproven(reason)
	e := &verdict.Error{
		Verdict:    verdict.MayHaveRun,
		Reason:     verdict.ReasonUnproven,
		Detail:     "not sent, for no proof that an earlier send did not run: " + reason,
		RetryAfter: unprovenRetryDelay,
	}
	if r.IDGenerated {
		e.Verdict = verdict.NotRun
		e.Detail = "not sent, for its ID could not be claimed: " + reason
	}
	return e
}

// fingerprint returns a hash of the request's content.
func fingerprint(r *request.Request) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Entry, r.Owner, r.Method, r.Path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}
