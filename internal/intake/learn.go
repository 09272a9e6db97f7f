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
// pools before. It learns that from other daemons before it accepts jobs.

// MethodMoves asks a daemon for the entries that it has seen replaced.
const MethodMoves peer.Method = "policy.moves"

// MovesResponse is the response to MethodMoves, which has an empty request.
type MovesResponse struct {
	Moves []policy.Move `cbor:"1,keyasint,omitempty"`
}

const (
	// maxLearnTime is for how long a daemon that starts tries to learn of moves, and
	// holds up jobs meanwhile.
	maxLearnTime = 2 * time.Second
	// learnInterval is the time between two attempts.
	learnInterval = 100 * time.Millisecond
	// maxTeachers is how many other daemons are asked at once.
	maxTeachers = 5
)

// registerMoves registers the handler for the requests of daemons that have started.
func (s *Service) registerMoves(m peer.Mux) {
	m.Handle(MethodMoves, func(context.Context, string, cbor.RawMessage) (any, error) {
		return MovesResponse{Moves: s.opt.Policy.Moves()}, nil
	})
}

// StartLearning learns in the background which entries were replaced before this process
// started, from other live daemons, whose IDs peers returns. It must be called before the
// first request of a caller.
func (s *Service) StartLearning(ctx context.Context, peers func() []string) {
	learned := make(chan struct{})
	s.learned = learned
	go func() {
		defer close(learned)
		ctx, cancel := context.WithTimeout(ctx, maxLearnTime)
		defer cancel()
		for !s.learnFrom(ctx, peers()) && clock.Sleep(ctx, learnInterval) {
		}
	}()
}

// awaitMoves waits until this daemon has learned which entries were replaced before it
// started, or has given up. It reports whether it had to wait.
func (s *Service) awaitMoves(ctx context.Context) (waited bool) {
	if s.learned == nil {
		return false
	}
	select {
	case <-s.learned:
		return false
	default:
	}
	select {
	case <-s.learned:
	case <-ctx.Done():
	}
	return true
}

// learnFrom asks up to maxTeachers daemons. It reports whether any answered.
func (s *Service) learnFrom(ctx context.Context, ids []string) bool {
	var answered atomic.Bool
	var calls sync.WaitGroup
	for _, id := range ids[:min(len(ids), maxTeachers)] {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			var a MovesResponse
			if s.opt.Caller.Call(ctx, id, MethodMoves, struct{}{}, &a) == nil {
				s.opt.Policy.Learn(a.Moves)
				answered.Store(true)
			}
		})
	}
	calls.Wait()
	return answered.Load()
}
