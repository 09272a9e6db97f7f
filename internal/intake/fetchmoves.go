package intake

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/policy"
)

// A daemon that starts does not know which entries configurations have sent to other
// pools before. It asks other daemons before it accepts jobs.

// MethodMoves asks a daemon for the entries that it has seen replaced.
const MethodMoves peer.Method = "policy.moves"

// MovesResponse is the response to MethodMoves, which has an empty request.
type MovesResponse struct {
	Moves []policy.Move `cbor:"1,keyasint,omitempty"`
}

const (
	// maxFetchTime is for how long a daemon that starts asks others, and holds up jobs
	// meanwhile.
	maxFetchTime = 2 * time.Second
	// fetchInterval is the time between two attempts.
	fetchInterval = 100 * time.Millisecond
	// maxAsked is how many other daemons are asked at once.
	maxAsked = 5
)

// registerMoves registers the handler for the requests of daemons that have started.
func (s *Service) registerMoves(m peer.Mux) {
	m.Handle(MethodMoves, func(context.Context, string, cbor.RawMessage) (any, error) {
		return MovesResponse{Moves: s.opt.Policy.Moves()}, nil
	})
}

// StartFetchingMoves asks other live daemons, whose IDs peers returns, in the background
// which entries were replaced before this process started. It must be called before the
// first request of a caller.
func (s *Service) StartFetchingMoves(ctx context.Context, peers func() []string) {
	fetched := make(chan struct{})
	s.fetched = fetched
	go func() {
		defer close(fetched)
		ctx, cancel := context.WithTimeout(ctx, maxFetchTime)
		defer cancel()
		for !s.fetchMovesFrom(ctx, peers()) && clock.Sleep(ctx, fetchInterval) {
		}
	}()
}

// awaitMoves waits until this daemon has fetched which entries were replaced before it
// started, or has given up. It reports whether it had to wait.
func (s *Service) awaitMoves(ctx context.Context) (waited bool) {
	if s.fetched == nil {
		return false
	}
	select {
	case <-s.fetched:
		return false
	default:
	}
	select {
	case <-s.fetched:
	case <-ctx.Done():
	}
	return true
}

// fetchMovesFrom asks up to maxAsked daemons. It reports whether any answered.
func (s *Service) fetchMovesFrom(ctx context.Context, ids []string) bool {
	var answered atomic.Bool
	var calls sync.WaitGroup
	for _, id := range ids[:min(len(ids), maxAsked)] {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			var a MovesResponse
			if s.opt.Caller.Call(ctx, id, MethodMoves, struct{}{}, &a) == nil {
				s.opt.Policy.AddMoves(a.Moves)
				answered.Store(true)
			}
		})
	}
	calls.Wait()
	return answered.Load()
}
