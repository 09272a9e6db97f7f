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
	// maxKeptResponse is the largest answer that is kept for a resend.
	maxKeptResponse = 4 << 10
	// unprovenRetryAfter is when a refused request may be sent again.
	unprovenRetryAfter = time.Second
	// maxMints bounds the IDs tried for a request that came without one.
	maxMints = 8
)

// Guard answers requests through another server and lets each non-idempotent
// one through at most once. Idempotent requests pass straight through.
type Guard struct {
	service *Service
	next    request.Server
}

// NewGuard returns a guard around next.
func NewGuard(s *Service, next request.Server) *Guard {
	return &Guard{service: s, next: next}
}

// Serve implements request.Server. It gives a request without an ID one.
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
		return g.run(ctx, r, out.grant)
	case resultDuplicate:
		return g.duplicate(out.answer)
	default:
		return nil, g.unproven(r, out.reason)
	}
}

// claim claims the request's ID. No caller knows an ID that was made here, so
// it may be exchanged for one whose pair is live.
func (g *Guard) claim(ctx context.Context, id ulid.ULID, r *request.Request) outcome {
	fp := fingerprint(r)
	if !r.IDGenerated {
		return g.service.claim(ctx, id, fp)
	}
	id = g.service.mintLive(id)
	out := g.service.claim(ctx, id, fp)
	for i := 0; i < maxMints && out.result == resultRefused && out.unreachable && ctx.Err() == nil; i++ {
		id = g.service.mintLive(request.NewID(time.Now()))
		out = g.service.claim(ctx, id, fp)
	}
	r.ID = id.String()
	return out
}

// mintLive returns id or, if its pair is not live, another ID whose pair is,
// as far as one is found.
func (s *Service) mintLive(id ulid.ULID) ulid.ULID {
	for range maxMints {
		t, ok := s.start(id, 0)
		if !ok || s.opt.Members.Live(t.pair.Home) && s.opt.Members.Live(t.pair.Backup) {
			return id
		}
		s.metrics.reminted.Inc(1)
		id = request.NewID(time.Now())
	}
	return id
}

// run passes a claimed request on and settles its claim.
func (g *Guard) run(ctx context.Context, r *request.Request, held grant) (*request.Response, error) {
	resp, err := g.next.Serve(ctx, r)
	switch {
	case err == nil:
		go g.service.complete(held, keepable(resp))
	case verdict.Of(err) == verdict.NotRun:
		g.service.abandon(held)
	case verdict.Of(err) == verdict.Ran:
		go g.service.complete(held, nil)
	}
	// A request that may have run keeps its claim.
	return resp, err
}

// keepable returns the answer if it is small enough to be kept.
func keepable(resp *request.Response) *request.Response {
	if size(resp) > maxKeptResponse {
		return nil
	}
	return resp
}

// duplicate answers a resend with what is known of the first send.
func (g *Guard) duplicate(a ClaimAnswer) (*request.Response, error) {
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

// unproven refuses a request. This send starts nothing, but unless the ID was
// made here, an earlier send of the same request may have run.
func (g *Guard) unproven(r *request.Request, reason string) error {
	g.service.metrics.unproven(reason)
	e := &verdict.Error{
		Verdict:    verdict.MayHaveRun,
		Reason:     verdict.ReasonUnproven,
		Detail:     "not sent, for no proof that an earlier send did not run: " + reason,
		RetryAfter: unprovenRetryAfter,
	}
	if r.IDGenerated {
		e.Verdict = verdict.NotRun
		e.Detail = "not sent, for its ID could not be claimed: " + reason
	}
	return e
}

// fingerprint is the hash of what a request asks for.
func fingerprint(r *request.Request) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Entry, r.Owner, r.Method, r.Path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}
