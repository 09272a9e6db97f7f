package fleet

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"greengagedeck/internal/verdict"
)

// retryPending repeats the orders whose outcome is unknown. Orders are
// idempotent: one that was already carried out has no further effect. One whose worker may
// have tasks again, since it has restarted and so lost its cordon, is not repeated, and is
// forgotten once another holder may order the host.
func (s *session) retryPending(ctx context.Context, v View) {
	inUse := workersInUse(v)
	now := s.opt.Clock.Now()
	s.mu.Lock()
	var retries []Action
	for host, a := range s.pending {
		switch {
		case s.inFlight[host]:
		case !inUse[a.Worker]:
			retries = append(retries, a)
		case now-s.lastOrdered[host] >= s.opt.OrderSeparation:
			delete(s.pending, host)
			s.opt.Logger.Info().Str("machine", host).Str("worker", a.Worker).Str("reason", a.Reason).Msg("order without an answer dropped, its worker takes tasks again")
		}
	}
	s.mu.Unlock()
	for _, a := range retries {
		s.sendOrder(ctx, a)
	}
}

// workersInUse returns the workers that their pools report and that have tasks or may get some.
func workersInUse(v View) map[string]bool {
	out := map[string]bool{}
	for _, p := range v.Pools {
		for _, l := range p.Report.Workers {
			out[l.ID] = !l.Empty
		}
	}
	return out
}

// execute carries out the actions of a decision. It reports whether a worker was
// cordoned.
func (s *session) execute(ctx context.Context, actions []Action) (cordoned bool) {
	changes := map[string][]CordonChange{}
	for _, a := range actions {
		switch a.Kind {
		case Cordon, Uncordon:
			changes[a.Pool] = append(changes[a.Pool], CordonChange{Worker: a.Worker, Uncordon: a.Kind == Uncordon, Reason: a.Reason, Evacuate: a.Evacuate})
		default:
			s.sendOrder(ctx, a)
		}
	}
	var calls sync.WaitGroup
	var any atomic.Bool
	for pool, list := range changes {
		calls.Go(func() {
			if s.changeCordons(ctx, pool, list) {
				any.Store(true)
			}
		})
	}
	calls.Wait()
	return any.Load()
}

// changeCordons cordons and uncordons workers of a pool. It reports whether any
// was cordoned.
func (s *session) changeCordons(ctx context.Context, pool string, changes []CordonChange) (cordoned bool) {
	err := s.opt.Pools.Cordon(ctx, CordonOrder{Pool: pool, Token: s.issuer.Token, Changes: changes})
	s.metrics.countCordons(changes, err)
	if err != nil {
		s.opt.Logger.Info().Err(err).Str("pool", pool).Int("workers", len(changes)).Str("first", changes[0].Worker).Str("reason", changes[0].Reason).Msg("failed to cordon and uncordon workers")
		return false
	}
	return slices.ContainsFunc(changes, func(c CordonChange) bool { return !c.Uncordon })
}

// sendOrder sends the order for a move or a maintenance in the background,
// unless an order for the host is in flight.
func (s *session) sendOrder(ctx context.Context, a Action) {
	s.mu.Lock()
	if s.inFlight[a.Host] {
		s.mu.Unlock()
		return
	}
	s.inFlight[a.Host] = true
	s.mu.Unlock()
	s.orderGroup.Go(func() {
		s.orderSlots <- struct{}{}
		defer func() { <-s.orderSlots }()
		err := s.callCloud(ctx, a)
		s.recordOutcome(a, err)
	})
}

// errOrderNotSent is returned for an order that was not sent, because the lease of
// the fleet duty might expire before the call ends or the controller stops.
var errOrderNotSent = verdict.NewNotRun(verdict.ReasonNotReady, "too little is left of the duty's lease")

func (s *session) callCloud(ctx context.Context, a Action) error {
	if err := s.orderLimiter.Wait(ctx); err != nil {
		return errOrderNotSent
	}
	if ctx.Err() != nil || s.lease.Remaining() < minOrderLease {
		return errOrderNotSent
	}
	if a.Kind == Maintain {
		return s.opt.Cloud.Maintain(ctx, s.issuer, a.Host, a.Wave)
	}
	return s.opt.Cloud.Move(ctx, s.issuer, a.Host, a.To)
}

// recordOutcome logs the outcome of an order and updates the session by it.
func (s *session) recordOutcome(a Action, err error) {
	s.metrics.countOrder(a.Kind, err)
	now := s.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, a.Host)
	if !errors.Is(err, errOrderNotSent) {
		s.lastOrdered[a.Host] = now
	}
	line := s.opt.Logger.Info()
	if err != nil {
		line = s.opt.Logger.Warn().Err(err)
	}
	line.Str("machine", a.Host).Str("worker", a.Worker).Str("pool", a.Pool).Str("to", a.To).Int("wave", a.Wave).Str("reason", a.Reason).Msg(orderMessages[a.Kind])
	var rejected *RejectedError
	switch {
	case err == nil:
		delete(s.pending, a.Host)
		s.recordSuccess(a, now)
	case errors.As(err, &rejected) || verdict.Of(err) == verdict.NotRun:
		// A retry that was not run does not tell what became of the earlier call.
		if _, retried := s.pending[a.Host]; !retried || errors.As(err, &rejected) {
			delete(s.pending, a.Host)
			s.pausedUntil[a.Host] = now + rejectedPause
		}
	default:
		s.pending[a.Host] = a
	}
	// The results of orders that were carried out are known without the list.
	s.hostList.stale = s.hostList.stale || err != nil
}

// orderMessages are the log messages for answered orders. A failed order's line
// also has the error.
var orderMessages = map[ActionKind]string{Move: "order to move host ended", Maintain: "order to maintain host ended"}

// recordSuccess applies an order that was carried out to the list of hosts, and
// to the progress of its wave, before the next list is read.
func (s *session) recordSuccess(a Action, now time.Duration) {
	s.hostList.applyChange(a.Host, now, func(h *Host) {
		h.Worker = ""
		if a.Kind == Maintain {
			h.State = HostInMaintenance
			return
		}
		h.State = HostMoving
		h.Pool = a.To
	})
	if st := s.waveStates[a.Wave]; a.Kind == Maintain && st != nil {
		st.started[a.Host] = true
	}
}
